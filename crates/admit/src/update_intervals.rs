//! Intervals at which hosts tell each other their load, chosen so that what a host sends to other
//! availability zones does not grow with the number of hosts.
//!
//! Hosts prefer engines of their own zone, so the load of hosts in the same zone matters at once and
//! that of other zones may be older. An engine that is chosen on outdated knowledge refuses the
//! reservation, which costs a round trip and no prompt.

use bv_types::{HostId, Millis};

use crate::host_groups::HostGroups;

/// Number of hosts up to which all are told at once.
const SMALL_INSTALLATION: usize = 15;
/// Interval between two updates to hosts of other zones, for each host, in microseconds.
const REMOTE_PER_HOST_US: u64 = 3_400;
/// Time without a message after which a host's load no longer counts, beyond the interval. Its
/// streams end with its process, and a live host sends at least two messages a second.
const LOAD_MARGIN: Millis = Millis(1_600);
/// Time without a message after which a host's waiting call no longer counts, beyond the interval.
const WAITING_MARGIN: Millis = Millis(700);

/// Interval at which an unchanged load is reported again, since datagrams can be lost.
pub const REFRESH_INTERVAL: Millis = Millis(500);
/// The same within a group of a large zone.
pub(crate) const GROUP_REFRESH: Millis = Millis(1_000);
/// Shortest time between two reports of a host's presence to another group.
const MIN_RELAY_INTERVAL: Millis = Millis(2_000);
/// Interval of these reports for each other group, in ms: at most 9 are sent a second.
const RELAY_PER_GROUP_MS: u64 = 110;
/// Time without a message after which a host of the own group no longer counts: two refreshes may be
/// lost.
const GROUP_LIFETIME: Millis = Millis(3_000);
/// Time without a message after which the waiting call of a host of the own group no longer counts.
const GROUP_WAITING_LIFETIME: Millis = Millis(1_700);

/// Interval between two reports of a host's presence to each of `groups` other groups.
pub fn relay_interval(groups: usize) -> Millis {
    Millis(groups as u64 * RELAY_PER_GROUP_MS).max(MIN_RELAY_INTERVAL)
}

/// Time without a message after which a host no longer counts. A relay may wait for the next report to
/// its group. With two intervals instead of 2.5, 1 pair of hosts in 10,000 did not hear each other
/// at a loss of 2% with 350 hosts.
pub fn presence_lifetime(groups: &HostGroups, host: &HostId) -> Millis {
    match groups.is_near(host) {
        true => GROUP_LIFETIME,
        false => Millis(relay_interval(groups.far().len()).0 * 5 / 2) + GROUP_REFRESH + LOAD_MARGIN,
    }
}

/// Minimum time between two updates to hosts of other zones.
pub fn remote_interval(hosts: usize) -> Millis {
    match hosts <= SMALL_INSTALLATION {
        true => Millis::ZERO,
        false => Millis(hosts as u64 * REMOTE_PER_HOST_US / 1_000),
    }
}

/// Time without a message after which a host's load no longer counts.
pub(crate) fn load_lifetime(hosts: usize, groups: Option<&HostGroups>, host: &HostId) -> Millis {
    match groups {
        Some(groups) => presence_lifetime(groups, host),
        None => remote_interval(hosts) + LOAD_MARGIN,
    }
}

/// Time without a message after which a host's waiting call no longer counts.
pub(crate) fn waiting_lifetime(hosts: usize, groups: Option<&HostGroups>) -> Millis {
    match groups {
        Some(_) => GROUP_WAITING_LIFETIME,
        None => remote_interval(hosts) + WAITING_MARGIN,
    }
}
