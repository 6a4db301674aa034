//! Time limits and counts of the protocol.

use bv_types::Millis;

/// Time between two probes that one host sends. With 8 hosts and one probe a second, a dead host
/// stays unprobed for over 2 s in one of ten failures, which the detection target of 8 s does not
/// allow.
pub(crate) const PROBE_PERIOD: Millis = Millis(500);
/// Time for a direct acknowledgement, after which other hosts are asked to probe.
pub(crate) const DIRECT_TIMEOUT: Millis = Millis(300);
/// Time for any acknowledgement, after which the member is suspected.
pub(crate) const PROBE_TIMEOUT: Millis = Millis(1_000);
/// Number of hosts asked for an indirect probe.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Time for a suspected member to refute, after which it is declared dead.
pub(crate) const SUSPICION_TIMEOUT: Millis = Millis(4_000);
/// Time of suspicion after which this host accepts another host's declaration of death. A
/// declaration that arrives earlier may come from a partition that has just healed, so the member
/// must have time to refute it.
pub(crate) const MIN_SUSPICION_TIME: Millis = Millis(2_000);
/// Time between two pings to a seed or a dead member.
pub(crate) const REJOIN_PERIOD: Millis = Millis(2_000);
/// Time between two pings to all seeds while no other member is known.
pub(crate) const JOIN_PERIOD: Millis = Millis(500);
/// Time for which dead members are kept and pinged. It exceeds the hour that a partition between
/// regions may last.
pub(crate) const DEAD_RETENTION: Millis = Millis::from_secs(2 * 3_600);
/// Time between two rounds of messages that carry updates without waiting for a probe.
pub(crate) const GOSSIP_PERIOD: Millis = Millis(100);
/// Receivers in one such round.
pub(crate) const GOSSIP_FANOUT: usize = 3;
/// Time without a tick from which this process counts as having been paused itself.
pub(crate) const PAUSE_THRESHOLD: Millis = Millis(1_000);
/// Time between two announcements of this host's departure.
pub(crate) const LEAVE_PERIOD: Millis = Millis(150);
/// Number of announcements of this host's departure.
pub(crate) const LEAVE_ANNOUNCEMENTS: u32 = 3;
/// Receivers of each announcement of this host's departure.
pub(crate) const LEAVE_FANOUT: usize = 16;
/// Known members added to each message in rotation, so that views converge after any loss.
pub(crate) const ROTATED_UPDATES: usize = 2;
/// A host whose view has matched no other for this long exchanges whole views, at most once in
/// this time. A single change arrives sooner by gossip; the exchange is needed when many hosts
/// start at once.
pub(crate) const VIEW_EXCHANGE_PERIOD: Millis = Millis(5_000);
/// Limit of probes that are relayed for other hosts at a time.
pub(crate) const MAX_RELAYS: usize = 256;

/// Number of transmissions of one update: 3·log2 of the number of members.
pub(crate) fn transmissions(members: usize) -> u32 {
    let log2 = (members.max(2) as f64).log2();
    (3.0 * log2).ceil() as u32
}
