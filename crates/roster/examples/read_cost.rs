//! Cost of the ways in which hosts could learn the rows of the store, without a network: store calls
//! of all hosts, bytes that one host sends for it, and time until all hosts know a change, at several
//! numbers of hosts. Seeded; prints a table.
//!
//! cargo run --release -p bv-roster --example read_cost

use std::net::SocketAddr;

use bv_roster::{AgeBounds, HostEntry, SourceChoice, store_intervals};
use bv_types::Millis;
use fastrand::Rng;

const ZONES: usize = 6;
/// Time within which a change must be in force.
const PROMISE: Millis = Millis(4_000);
/// Changes of the servers or the configuration, per second.
const CHANGES_PER_SEC: f64 = 0.5;
/// A changed row on the wire between hosts, and an answer without rows, in bytes.
const CHANGE_BYTES: f64 = 330.0;
const EMPTY_BYTES: f64 = 90.0;
/// One way between zones and within one, in ms.
const CROSS_ZONE_MS: f64 = 4.9;
const IN_ZONE_MS: f64 = 0.2;
/// Time of a store call, in ms.
const STORE_CALL_MS: f64 = 4.0;
/// Interval of the gossip rounds that are compared, in ms, and the hosts told in each.
const GOSSIP_ROUND_MS: f64 = 200.0;
const GOSSIP_FANOUT: usize = 3;

struct Cost {
    store_calls_per_s: f64,
    most_bytes_per_s: f64,
    known_everywhere_ms: f64,
}

fn main() {
    println!("way, hosts, store calls/s, bytes/s of the busiest host, ms until all know a change");
    for hosts in [58, 91, 295, 350, 1_000] {
        for (way, cost) in [
            ("each host alone", alone(hosts)),
            ("readers in each zone", readers(hosts)),
            ("gossip of the rows", gossip(hosts)),
        ] {
            println!(
                "{way}, {hosts}, {:.1}, {:.0}, {:.0}",
                cost.store_calls_per_s, cost.most_bytes_per_s, cost.known_everywhere_ms
            );
        }
    }
}

/// Calls a second of one host that follows two tables itself.
fn calls_of_follower(hosts: usize) -> f64 {
    let polls =
        2.0 * 1_000.0 / store_intervals::change_wait(hosts, AgeBounds::new(PROMISE)).0 as f64;
    polls + CHANGES_PER_SEC
}

fn alone(hosts: usize) -> Cost {
    Cost {
        store_calls_per_s: hosts as f64 * calls_of_follower(hosts),
        most_bytes_per_s: 0.0,
        known_everywhere_ms: STORE_CALL_MS + CROSS_ZONE_MS,
    }
}

fn readers(hosts: usize) -> Cost {
    let all: Vec<HostEntry> = (0..hosts).map(entry).collect();
    let mut calls = 0.0;
    let mut asked: Vec<(SocketAddr, usize)> = Vec::new();
    for own in &all {
        let others: Vec<HostEntry> = all.iter().filter(|h| h.id != own.id).cloned().collect();
        let mut choice = SourceChoice::new(AgeBounds::new(PROMISE));
        choice.set_hosts(own, &others);
        match choice.source(Millis(0)) {
            None => calls += calls_of_follower(hosts),
            Some(addr) => match asked.binary_search_by_key(&addr, |(addr, _)| *addr) {
                Ok(at) => asked[at].1 += 1,
                Err(at) => asked.insert(at, (addr, 1)),
            },
        }
    }
    let most = asked.iter().map(|(_, count)| *count).max().unwrap_or(0);
    let per_host = EMPTY_BYTES + CHANGES_PER_SEC * CHANGE_BYTES;
    Cost {
        store_calls_per_s: calls,
        most_bytes_per_s: most as f64 * per_host,
        known_everywhere_ms: STORE_CALL_MS + CROSS_ZONE_MS + 2.0 * IN_ZONE_MS,
    }
}

/// Each host tells a few random hosts what it learnt last; two hosts read the store.
fn gossip(hosts: usize) -> Cost {
    let mut rng = Rng::with_seed(7);
    let mut known = vec![false; hosts];
    known[0] = true;
    let mut rounds = 0;
    while known.iter().any(|knows| !knows) {
        rounds += 1;
        let tellers = known.iter().filter(|knows| **knows).count();
        for _ in 0..tellers * GOSSIP_FANOUT {
            known[rng.usize(..hosts)] = true;
        }
    }
    let sends = GOSSIP_FANOUT as f64 * 1_000.0 / GOSSIP_ROUND_MS;
    Cost {
        store_calls_per_s: 2.0 * calls_of_follower(hosts),
        most_bytes_per_s: sends * (EMPTY_BYTES + CHANGES_PER_SEC * CHANGE_BYTES),
        known_everywhere_ms: STORE_CALL_MS + f64::from(rounds) * GOSSIP_ROUND_MS,
    }
}

fn entry(number: usize) -> HostEntry {
    HostEntry {
        id: format!("host-{number}").parse().expect("a valid id"),
        zone: Some(
            format!("zone-{}", number % ZONES)
                .parse()
                .expect("a valid zone"),
        ),
        addr: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7380)),
    }
}
