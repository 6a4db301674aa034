//! Guards against a store that every host reads, and against hosts that keep a source which is
//! silent or knows less than others.

use std::net::SocketAddr;

use bv_roster::{AgeBounds, HostEntry, SourceChoice};
use bv_types::Millis;

fn host(zone: usize, number: usize) -> HostEntry {
    HostEntry {
        id: format!("host-{zone}-{number}").parse().unwrap(),
        zone: Some(format!("zone-{zone}").parse().unwrap()),
        addr: SocketAddr::from(([10, zone as u8, (number >> 8) as u8, number as u8], 7380)),
    }
}

fn installation(zones: usize, per_zone: usize) -> Vec<HostEntry> {
    (0..zones)
        .flat_map(|zone| (0..per_zone).map(move |number| host(zone, number)))
        .collect()
}

fn choice_of(own: &HostEntry, hosts: &[HostEntry]) -> SourceChoice {
    let others: Vec<HostEntry> = hosts.iter().filter(|h| h.id != own.id).cloned().collect();
    let mut choice = SourceChoice::new(AgeBounds::new(Millis(3_000)));
    choice.set_hosts(own, &others);
    choice
}

fn source(choice: &SourceChoice, now: u64) -> SocketAddr {
    let source = choice.source(Millis(now));
    source.expect("no source among the hosts")
}

#[test]
fn few_hosts_read_the_store() {
    let hosts = installation(3, 5);
    for own in &hosts {
        assert!(choice_of(own, &hosts).is_reader());
    }
}

/// Guards against readers whose number grows with that of the hosts.
#[test]
fn number_of_readers() {
    for (zones, per_zone) in [(6, 4), (4, 15), (6, 49), (8, 60)] {
        let hosts = installation(zones, per_zone);
        let choices: Vec<SourceChoice> = hosts.iter().map(|own| choice_of(own, &hosts)).collect();
        let readers = choices.iter().filter(|choice| choice.is_reader()).count();
        assert_eq!(readers, zones);
    }
}

#[test]
fn own_zone_first() {
    let hosts = installation(6, 49);
    for own in &hosts {
        let choice = choice_of(own, &hosts);
        if !choice.is_reader() {
            let SocketAddr::V4(addr) = source(&choice, 0) else {
                unreachable!("all hosts have IPv4 addresses");
            };
            assert_eq!(
                format!("zone-{}", addr.ip().octets()[1]),
                own.zone.clone().unwrap().as_str()
            );
        }
    }
}

/// Guards against a host without rows after the loss of all its sources.
#[test]
fn store_is_the_last_source() {
    let hosts = installation(6, 49);
    let own = hosts
        .iter()
        .find(|own| !choice_of(own, &hosts).is_reader())
        .unwrap();
    let mut choice = choice_of(own, &hosts);
    let mut asked = Vec::new();
    while let Some(addr) = choice.source(Millis(0)) {
        assert!(
            !asked.contains(&addr),
            "a silent source is asked again at once"
        );
        asked.push(addr);
        choice.record_silent(Millis(0), addr);
    }
    assert!(asked.len() >= 3, "readers of other zones are asked too");
    assert!(!choice.is_reader(), "a host that falls back is no reader");
    assert_eq!(source(&choice, 10_000), asked[0]);
}

/// Guards against hosts that ask a dead host again every few seconds until its row expires.
#[test]
fn silent_source_is_asked_ever_more_rarely() {
    let hosts = installation(6, 49);
    let own = hosts
        .iter()
        .find(|own| !choice_of(own, &hosts).is_reader())
        .unwrap();
    let mut choice = choice_of(own, &hosts);
    let dead = source(&choice, 0);
    let mut asked = 0;
    for now in (0..120_000).step_by(100) {
        if source(&choice, now) == dead {
            asked += 1;
            choice.record_silent(Millis(now), dead);
        }
    }
    assert!(asked <= 7, "asked {asked} times in two minutes");
    assert!(choice.record_answer(Millis(120_000), dead, Millis(0)));
    choice.record_silent(Millis(120_000), dead);
    assert_eq!(source(&choice, 123_000), dead);
}

#[test]
fn outdated_source_is_avoided() {
    let hosts = installation(4, 20);
    let own = hosts
        .iter()
        .find(|own| !choice_of(own, &hosts).is_reader())
        .unwrap();
    let mut choice = choice_of(own, &hosts);
    let first = source(&choice, 0);
    choice.record_outdated(Millis(0), first);
    let second = source(&choice, 0);
    assert_ne!(second, first);
    // A new list of hosts does not make the outdated source usable again.
    let others: Vec<HostEntry> = hosts.iter().filter(|h| h.id != own.id).cloned().collect();
    choice.set_hosts(own, &others);
    assert_eq!(source(&choice, 0), second);
    assert_eq!(source(&choice, 5_000), first);
}

/// Guards against a change of most sources when a few hosts come or go.
#[test]
fn stable_when_hosts_change() {
    let hosts = installation(6, 49);
    let own = &hosts[7];
    let before = choice_of(own, &hosts);
    let fewer: Vec<HostEntry> = hosts
        .iter()
        .enumerate()
        .filter(|(at, _)| at % 20 != 1)
        .map(|(_, host)| host.clone())
        .collect();
    let after = choice_of(own, &fewer);
    if let (Some(a), Some(b)) = (before.source(Millis(0)), after.source(Millis(0))) {
        let is_gone = !fewer.iter().any(|host| host.addr == a);
        assert!(a == b || is_gone);
    }
}
