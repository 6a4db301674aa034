//! Intervals of a host's calls to the store, chosen so that the calls of all hosts together stay
//! within the rate that the store serves.
//!
//! Only the readers of each zone wait for changes with long polls of their own
//! ([`crate::SourceChoice`]); their number does not grow with that of the hosts. Every host writes a
//! row of its own, the more rarely the more hosts there are. Hosts report to each other which change
//! is the newest, so that a host detects an unresponsive call by what others have read.

use bv_types::Millis;

use crate::age_bounds::AgeBounds;

/// Longest wait of a call for changes if every host reads the store. A connection may stop
/// responding without a reset; its call then ends at most a second later, within the bounds for
/// leaving servers and configuration.
const CHANGE_WAIT: Millis = Millis(2_000);
/// Number of hosts up to which each host reads the store itself.
pub(crate) const MAX_SELF_READING_HOSTS: usize = 15;
/// Pause after changes of the servers, so that rows written together are read together.
pub const CHANGE_PAUSE: Millis = Millis(150);
/// Interval at which a host writes its own row, with few hosts.
const SHORT_ROW_INTERVAL: Millis = Millis(10_000);
/// Number of hosts for each multiple of that interval.
const HOSTS_PER_MULTIPLE: u64 = 8;
/// Largest multiple of that interval.
const MAX_ROW_INTERVAL_SCALE: u64 = 3;
/// Pause of a reader after a failed call.
const READER_FAILURE_PAUSE: Millis = Millis(120);
/// First pause after a failed call of a host that is no reader; it doubles with each further
/// failure. The readers notice that the store answers again, so the other hosts need not.
const FIRST_FAILURE_PAUSE: Millis = Millis(250);
/// Longest such pause.
const MAX_FAILURE_PAUSE: Millis = Millis(4_000);

/// Whether all hosts read the store themselves.
pub fn all_read(hosts: usize) -> bool {
    hosts <= MAX_SELF_READING_HOSTS
}

/// Longest wait of a call for changes.
pub fn change_wait(hosts: usize, bounds: AgeBounds) -> Millis {
    match all_read(hosts) {
        true => CHANGE_WAIT,
        false => bounds.longest_wait(),
    }
}

/// Interval at which a host writes its own row.
pub fn row_interval(hosts: usize) -> Millis {
    let scale = (hosts as u64 / HOSTS_PER_MULTIPLE).clamp(1, MAX_ROW_INTERVAL_SCALE);
    Millis(SHORT_ROW_INTERVAL.0 * scale)
}

/// Age above which the row of a host counts as expired: two writes of it were missed.
pub fn row_lifetime(hosts: usize) -> Millis {
    Millis(row_interval(hosts).0 * 5 / 2)
}

/// Whether the row of a host is one of a live host. A time that is as far ahead of the store's clock is
/// not the time of a write.
pub fn is_row_live(hosts: usize, written_at: Millis, store_time: Millis) -> bool {
    store_time.0.abs_diff(written_at.0) < row_lifetime(hosts).0
}

/// Minimum pause after `failures` failed calls in a row.
pub fn failure_pause(is_reader: bool, failures: u32) -> Millis {
    if is_reader {
        return READER_FAILURE_PAUSE;
    }
    let doublings = failures.saturating_sub(1).min(8);
    Millis(FIRST_FAILURE_PAUSE.0 << doublings).min(MAX_FAILURE_PAUSE)
}
