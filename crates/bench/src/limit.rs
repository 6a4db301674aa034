//! CPU time and memory of a team's limit at the owner of the team and at an entry host.

use bv_limit::{AllowanceRequest, HostAllowances, Limits, OwnedTeams};
use bv_types::{HostId, Incarnation, Millis, TeamId, Tokens};

use crate::measure::{Figure, held_bytes, micros};

const CALLS: u64 = 100_000;

/// Measures allowances for several numbers of teams.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for teams in [67, 670, 6_700] {
        let ids: Vec<TeamId> = (0..teams)
            .filter_map(|i| format!("team-{i}").parse().ok())
            .collect();
        let hosts: Vec<HostId> = (0..350)
            .filter_map(|i| format!("host-{i}").parse().ok())
            .collect();
        let limits = Limits {
            requests: 5.0.try_into().ok(),
            tokens: Some(Tokens(1_000_000)),
        };
        let request = AllowanceRequest {
            requests: 1,
            tokens: Tokens(2_000),
        };
        let mut owner = OwnedTeams::default();
        let (take, bytes) = held_bytes(|| {
            micros(CALLS, |i| {
                let team = &ids[i as usize % ids.len()];
                let host = &hosts[i as usize % hosts.len()];
                owner.take(Millis(i), team, limits, (host, Incarnation(1)), request)
            })
        });
        let mut allowances = HostAllowances::default();
        let admit = micros(CALLS, |i| {
            let team = &ids[i as usize % ids.len()];
            allowances.admit(Millis(i), team, limits, Tokens(2_000))
        });
        // The names of two figures say `home` for the owner, because recorded figures use them.
        figures.push(Figure::new(
            format!("limit take at home, {teams} teams"),
            take,
            "us",
        ));
        figures.push(Figure::new(
            format!("limit admit, {teams} teams"),
            admit,
            "us",
        ));
        figures.push(Figure::new(
            format!("limit home, {teams} teams"),
            bytes / 1e6,
            "MB",
        ));
    }
    figures
}
