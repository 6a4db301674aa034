//! Guards against load updates whose cost for each host grows with the number of hosts.

use bv_admit::update_intervals::remote_interval;
use bv_types::Millis;

/// Datagrams that one host sends to other zones in a second, with a load that changes all the time
/// and five of six hosts in other zones.
fn remote_datagrams_per_s(hosts: usize) -> f64 {
    let remote = hosts as f64 * 5.0 / 6.0;
    remote * 1_000.0 / remote_interval(hosts).0 as f64
}

#[test]
fn rate_does_not_grow() {
    let small = remote_datagrams_per_s(58);
    for hosts in [91, 295, 350, 1_000] {
        let rate = remote_datagrams_per_s(hosts);
        assert!(
            rate <= small * 1.05,
            "{rate} a second at {hosts}, {small} at 58"
        );
    }
}

#[test]
fn few_hosts_are_told_at_once() {
    assert_eq!(remote_interval(8), Millis::ZERO);
    assert_eq!(remote_interval(15), Millis::ZERO);
}
