//! Times and counts of the protocol.

use bv_types::Millis;

/// Between two probes of one host. With one probe a second, 8 hosts leave a dead one unprobed for
/// over 2 s in one failure of ten, which the 8 s target does not allow.
pub(crate) const PROBE_PERIOD: Millis = Millis(500);
/// Time for a direct acknowledgement before other hosts are asked to probe.
pub(crate) const DIRECT_LIMIT: Millis = Millis(300);
/// Time for any acknowledgement before the member is suspected.
pub(crate) const PROBE_LIMIT: Millis = Millis(1_000);
/// Hosts asked for an indirect probe.
pub(crate) const HELPERS: usize = 3;
/// Time a suspected member has to refute.
pub(crate) const SUSPICION: Millis = Millis(4_000);
/// Suspicion after which another host's declaration of death is taken over. A declaration that
/// arrives earlier may stem from a partition that has just healed, and the member can refute it.
pub(crate) const SUSPICION_CONFIRMED: Millis = Millis(2_000);
/// Between two contacts of a seed or a dead member.
pub(crate) const CONTACT_PERIOD: Millis = Millis(2_000);
/// Between two contacts of all seeds while no other member is known.
pub(crate) const JOIN_PERIOD: Millis = Millis(500);
/// Dead members are contacted and remembered for this long, above the hour that a partition
/// between regions may last.
pub(crate) const DEAD_KEPT: Millis = Millis::from_secs(2 * 3_600);
/// Between two rounds of messages that spread news without waiting for a probe.
pub(crate) const SPREAD_PERIOD: Millis = Millis(100);
/// Receivers of one such round.
pub(crate) const SPREAD_FANOUT: usize = 3;
/// Time without a tick after which this process has been paused itself.
pub(crate) const OWN_PAUSE: Millis = Millis(1_000);
/// Between two announcements of this host's departure.
pub(crate) const LEAVE_PERIOD: Millis = Millis(150);
/// Announcements of this host's departure to each receiver.
pub(crate) const LEAVE_REPEATS: u32 = 3;
/// Receivers of each announcement of this host's departure.
pub(crate) const LEAVE_FANOUT: usize = 16;
/// Known members added to each message in rotation, so that views converge after any loss.
pub(crate) const ROTATED_UPDATES: usize = 2;
/// A host that agrees with no other view for this long exchanges whole views, at most once in this
/// time. A single change spreads faster; many hosts that start at once need it.
pub(crate) const VIEW_PERIOD: Millis = Millis(5_000);
/// Probes relayed for others at a time.
pub(crate) const MAX_RELAYS: usize = 256;

/// Transmissions of one piece of news: 3·log2 of the number of members.
pub(crate) fn transmissions(members: usize) -> u32 {
    let log = (members.max(2) as f64).log2();
    (3.0 * log).ceil() as u32
}
