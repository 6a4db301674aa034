//! CPU time for the team of a request, and the memory of the teams' keys.

use bv_route::{Credential, KeyDigest, Kind, Limits, Route, RouteTable, Team, Teams};
use bv_types::{Millis, Version};

use crate::measure::{Figure, held_bytes, micros};

const REQUESTS: u64 = 100_000;
const KEYS_PER_TEAM: usize = 2;

/// Measures the digest of a key together with the search for its team, and the same without teams.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for count in [0, 16, 670, 6_700] {
        let (table, bytes) = held_bytes(|| table(count));
        let keys: Vec<String> = (0..count.max(1)).map(|team| key(team, 0)).collect();
        let route = route();
        let identify = micros(REQUESTS, |i| {
            // Without teams the key is not read.
            let credential = match table.teams() {
                Some(_) => Credential::Key(KeyDigest::of(&keys[i as usize % keys.len()])),
                None => Credential::Absent,
            };
            table.identify(&route, credential).is_ok()
        });
        let name = |what: &str| format!("teams {what}, {count} teams");
        figures.push(Figure::new(name("identify"), identify, "us"));
        figures.push(Figure::new(name("keys"), bytes / 1e6, "MB"));
    }
    figures
}

fn key(team: usize, number: usize) -> String {
    format!("bench-key-of-32-characters-{team:05}-{number}")
}

/// A table with this number of teams; without teams if it is 0.
fn table(count: usize) -> RouteTable {
    let table = RouteTable::new(Version(1), vec![route()], Vec::new(), Limits::default());
    let teams = (0..count).filter_map(|team| {
        let keys = (0..KEYS_PER_TEAM).map(|number| KeyDigest::of(&key(team, number)));
        Some(Team {
            id: format!("team-{team}").parse().ok()?,
            priority: None,
            quota: None,
            keys: keys.collect(),
        })
    });
    match Teams::new(teams.collect()) {
        Ok(teams) if count > 0 => table.with_teams(teams),
        _ => table,
    }
}

fn route() -> Route {
    Route {
        name: "bench".into(),
        host: "a.example".into(),
        path_prefix: "/".into(),
        kind: Kind::Idempotent,
        timeout: Millis(1_500),
        objective: Millis(200),
        max_attempts: 1,
        priority: 0,
        targets: Vec::new(),
        event_gap: None,
        uses_model: false,
        is_public: false,
    }
}
