//! Guards against lists of hosts that differ from the whole list after their changes were applied, and
//! against whole lists for every change.

use std::net::SocketAddr;

use bv_roster::{HostEntry, HostLists};
use fastrand::Rng;

fn host(n: usize, port: u16) -> HostEntry {
    HostEntry {
        id: format!("host-{n:04}").parse().unwrap(),
        zone: Some("z1".parse().unwrap()),
        addr: SocketAddr::from(([10, 0, (n >> 8) as u8, n as u8], port)),
    }
}

#[test]
fn changes_lead_to_the_newest_list() {
    for seed in 0..40 {
        let mut rng = Rng::with_seed(seed);
        let mut list: Vec<HostEntry> = (0..300).map(|n| host(n, 7380)).collect();
        let mut lists = HostLists::default();
        let mut known = Vec::new();
        for digest in 1..=20 {
            list.retain(|_| rng.f64() > 0.01);
            if rng.bool() {
                let n = rng.usize(..400);
                list.retain(|other| other.id != host(n, 0).id);
                list.push(host(n, rng.u16(7_000..7_400)));
                list.sort_by(|a, b| a.id.cmp(&b.id));
            }
            lists.record(digest, list.clone());
            known.push((digest, list.clone()));
            for (digest, from) in &known {
                let Some(changes) = lists.changes_since(*digest) else {
                    continue;
                };
                assert_eq!(changes.apply(from), list, "seed {seed}");
            }
        }
        let before = known.len() - 2;
        assert!(lists.changes_since(known[before].0).is_some());
        assert_eq!(lists.changes_since(0), None);
    }
}

#[test]
fn one_host_is_one_change() {
    let list: Vec<HostEntry> = (0..300).map(|n| host(n, 7380)).collect();
    let mut lists = HostLists::default();
    lists.record(1, list.clone());
    lists.record(2, list[1..].to_vec());
    let changes = lists.changes_since(1).unwrap();
    assert_eq!((changes.changed.len(), changes.gone.len()), (0, 1));
    // The same list again is no older one.
    lists.record(1, list);
    let changes = lists.changes_since(2).unwrap();
    assert_eq!((changes.changed.len(), changes.gone.len()), (1, 0));
}
