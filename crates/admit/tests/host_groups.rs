//! Guards against reports of load whose cost for each host grows with the number of hosts, and against
//! hosts in groups that do not notice that others are alive, or that one has gone.

use std::net::SocketAddr;

use bv_admit::{
    HostGroups, News, PeerLoad, Recipients, ServerLoad, UpdatePlan, host_digest, update_intervals,
};
use bv_roster::HostEntry;
use bv_types::{Millis, Tokens};
use fastrand::Rng;

const STEP: Millis = Millis(50);
const SIMULATED: Millis = Millis(16_000);
/// Time after which all hosts must have heard all others.
const SETTLED: Millis = Millis(6_000);
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.02;
/// Headers of a datagram, and its fields without load.
const EMPTY_DATAGRAM: usize = 28 + 45;
/// Engines in a host's report, and the bytes of each.
const LOAD_BYTES: usize = 6 * 20;
/// Half of what control may cost a host; the other half is what it receives.
const MAX_BYTES_PER_S: f64 = 3_500.0;

fn hosts(count: usize, zones: usize) -> Vec<HostEntry> {
    (0..count)
        .map(|n| HostEntry {
            id: format!("host-{n}").parse().unwrap(),
            zone: Some(format!("zone-{}", n % zones).parse().unwrap()),
            addr: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], 7380)),
        })
        .collect()
}

fn number(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("{addr}")
    };
    let [_, _, high, low] = addr.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn groups_of(hosts: &[HostEntry]) -> Vec<Option<HostGroups>> {
    hosts
        .iter()
        .map(|own| {
            let others: Vec<HostEntry> = hosts.iter().filter(|h| h.id != own.id).cloned().collect();
            HostGroups::new(own, &others)
        })
        .collect()
}

/// What a simulated fleet sent and heard.
struct Outcome {
    /// Bytes that a host sent in a second, mean and largest.
    mean: f64,
    busiest: f64,
    /// Pairs of live hosts in which one was not heard within its lifetime at some step.
    unheard: usize,
    /// Time after which the last host no longer counted the one that was killed.
    gone_after: Millis,
}

/// Runs hosts whose load changes all the time; host 0 is killed halfway.
fn simulate(count: usize, zones: usize, seed: u64) -> Outcome {
    let hosts = hosts(count, zones);
    let groups: Vec<HostGroups> = groups_of(&hosts).into_iter().flatten().collect();
    assert_eq!(groups.len(), count, "all hosts are in groups");
    let mut rng = Rng::with_seed(seed);
    let mut plans: Vec<UpdatePlan> = (0..count).map(|_| UpdatePlan::new(rng.usize(..))).collect();
    let mut heard: Vec<Vec<u32>> = vec![Vec::new(); count];
    let mut heard_at = vec![vec![Millis::ZERO; count]; count];
    let numbers: std::collections::HashMap<_, _> = hosts
        .iter()
        .enumerate()
        .map(|(n, h)| (h.id.clone(), n))
        .collect();
    let lifetime = |host: usize, other: usize| {
        update_intervals::presence_lifetime(&groups[host], &hosts[other].id)
    };
    let killed_at = SIMULATED.0 / 2;
    let mut bytes = vec![0; count];
    let mut unheard = 0;
    let mut gone_after = Millis::ZERO;
    for now in (0..SIMULATED.0).step_by(STEP.0 as usize).map(Millis) {
        for n in 0..count {
            if n == 0 && now.0 >= killed_at {
                continue;
            }
            let news = News {
                load: PeerLoad {
                    loads: vec![ServerLoad {
                        server: "engine".parse().unwrap(),
                        requests: 1,
                        tokens: Tokens(now.0),
                    }],
                    ..PeerLoad::default()
                },
                ..News::default()
            };
            let to = plans[n].receivers(now, Recipients::Groups(&groups[n]), &news);
            let near = to.load.len() + to.presence.len();
            let relays = match near {
                0 => Vec::new(),
                _ => std::mem::take(&mut heard[n]),
            };
            let full = EMPTY_DATAGRAM + LOAD_BYTES + 4 * relays.len();
            let short = EMPTY_DATAGRAM + 4 * relays.len();
            let group_bytes = to.load.len() * full + to.presence.len() * short;
            plans[n].record_sent(now, group_bytes);
            bytes[n] += group_bytes + to.relayed_presence.len() * EMPTY_DATAGRAM;
            for addr in to.load.iter().chain(&to.presence) {
                if rng.f64() < LOSS {
                    continue;
                }
                let receiver = number(*addr);
                heard_at[receiver][n] = now;
                for digest in &relays {
                    let host = groups[receiver].host(*digest).expect("digests differ");
                    heard_at[receiver][numbers[host]] = now;
                }
            }
            for addr in &to.relayed_presence {
                if rng.f64() >= LOSS {
                    heard_at[number(*addr)][n] = now;
                    heard[number(*addr)].push(host_digest(&hosts[n].id));
                }
            }
        }
        if now < SETTLED || now.0 % 500 != 0 {
            continue;
        }
        for (host, heard_at) in heard_at.iter().enumerate().skip(1) {
            for other in (0..count).filter(|other| *other != host) {
                let is_heard = now < heard_at[other] + lifetime(host, other);
                match other {
                    0 if now.0 >= killed_at && is_heard => gone_after = now - Millis(killed_at),
                    0 if now.0 >= killed_at => {}
                    _ => unheard += usize::from(!is_heard),
                }
            }
        }
    }
    let per_s = |bytes: usize| bytes as f64 * 1_000.0 / SIMULATED.0 as f64;
    Outcome {
        mean: per_s(bytes.iter().sum::<usize>()) / count as f64,
        busiest: per_s(*bytes.iter().max().unwrap()),
        unheard,
        gone_after,
    }
}

#[test]
fn cost_does_not_grow() {
    let mut means = Vec::new();
    for (count, zones) in [(64, 1), (132, 4), (350, 4), (1_000, 4)] {
        let outcome = simulate(count, zones, 7);
        println!(
            "{count} hosts in {zones} zones: {:.0} bytes a second, busiest {:.0}, {} times unheard, \
             killed host counted for {}",
            outcome.mean, outcome.busiest, outcome.unheard, outcome.gone_after
        );
        assert!(outcome.mean <= MAX_BYTES_PER_S, "{count} hosts");
        // One report in flight and two lost ones; the sums are over more than 1,000 pairs.
        let checks = count * count * 20;
        assert!(
            outcome.unheard * 10_000 <= checks,
            "{} of {checks} at {count} hosts",
            outcome.unheard
        );
        means.push(outcome.mean);
    }
    // From 132 to 350 hosts, with a power of at most 0.3 in the number of hosts.
    let growth = (means[2] / means[1]).ln() / (350.0_f64 / 132.0).ln();
    assert!(growth <= 0.3, "power {growth:.2}");
}

#[test]
fn small_zones_are_not_divided() {
    for (count, zones) in [(3, 1), (32, 1), (64, 3), (76, 4), (350, 11)] {
        let groups = groups_of(&hosts(count, zones));
        assert!(groups.iter().all(Option::is_none), "{count} in {zones}");
    }
}

#[test]
fn hosts_agree_on_groups() {
    for (count, zones) in [(64, 1), (350, 4), (1_000, 4)] {
        let hosts = hosts(count, zones);
        let groups: Vec<HostGroups> = groups_of(&hosts).into_iter().flatten().collect();
        let largest = groups.iter().map(HostGroups::near_count).max().unwrap();
        println!("{count} hosts: largest group {}", largest + 1);
        assert!(largest < 32, "{largest}");
        for (own, groups) in hosts.iter().zip(&groups) {
            let far: usize = groups.far().iter().map(Vec::len).sum();
            assert_eq!(groups.near_count() + far + 1, count);
            for addr in groups.near() {
                let other = number(addr);
                assert!(groups.is_near(&hosts[other].id));
            }
            assert!(!groups.is_near(&own.id));
        }
        for (n, own) in groups.iter().enumerate() {
            for addr in own.near() {
                assert!(groups[number(addr)].is_near(&hosts[n].id), "not mutual");
            }
        }
    }
}

/// A host that comes or goes must not move the engines and hosts of all groups.
#[test]
fn few_engines_move() {
    let all = hosts(81, 1);
    let zone = "zone-0".parse().unwrap();
    let of_own = |count: usize| -> Vec<bool> {
        let groups = HostGroups::new(&all[0], &all[1..count]).unwrap();
        (0..1_000)
            .map(|n| !groups.is_of_other_group(&format!("engine-{n}").parse().unwrap(), &zone))
            .collect()
    };
    // 80 hosts have 5 groups, 81 have 6.
    let (before, after) = (of_own(80), of_own(81));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let own = before.iter().filter(|own| **own).count();
    println!("{own} of 1,000 engines, {moved} of them move");
    assert!((150..=250).contains(&own), "{own}");
    assert!(moved <= 80, "{moved}");
}
