//! Intervals at which hosts tell each other their load, chosen so that what a host sends to other
//! availability zones does not grow with the number of hosts.
//!
//! Hosts prefer engines of their own zone, so the load of hosts in the same zone matters at once and
//! that of other zones may be older. An engine that is chosen on outdated knowledge refuses the
//! reservation, which costs a round trip and no prompt.

use bv_types::Millis;

/// Number of hosts up to which all are told at once.
const SMALL_INSTALLATION: usize = 15;
/// Interval between two updates to hosts of other zones, for each host, in microseconds.
const REMOTE_PER_HOST_US: u64 = 3_400;
/// Time without a message after which a host's load no longer counts, beyond the interval. Its
/// streams end with its process, and a live host sends at least two messages a second.
const LOAD_MARGIN: Millis = Millis(1_600);
/// Time without a message after which a host's waiting call no longer counts, beyond the interval.
const WAITING_MARGIN: Millis = Millis(700);

/// Minimum time between two updates to hosts of other zones.
pub fn remote_interval(hosts: usize) -> Millis {
    match hosts <= SMALL_INSTALLATION {
        true => Millis::ZERO,
        false => Millis(hosts as u64 * REMOTE_PER_HOST_US / 1_000),
    }
}

/// Time without a message after which a host's load no longer counts.
pub(crate) fn load_lifetime(hosts: usize) -> Millis {
    remote_interval(hosts) + LOAD_MARGIN
}

/// Time without a message after which a host's waiting call no longer counts.
pub(crate) fn waiting_lifetime(hosts: usize) -> Millis {
    remote_interval(hosts) + WAITING_MARGIN
}
