//! Intervals of a host's calls to the store, chosen so that the calls of all hosts together stay
//! within the rate that the store serves.
//!
//! Each host waits for changes with a long poll of its own. The more hosts there are, the longer
//! the calls wait and the more changes are read in one batch. Hosts report to each other which
//! change is the newest, so that a host detects an unresponsive call by what others have read.

use bv_types::Millis;

/// Longest wait of a call for changes with few hosts. A connection may stop responding without a
/// reset; its call then ends at most a second later, within the bounds for leaving servers and
/// configuration.
const SHORT_WAIT: Millis = Millis(2_000);
/// Number of hosts for each multiple of the short times.
const HOSTS_PER_MULTIPLE: u64 = 8;
/// Largest multiple of the short wait.
const MAX_WAIT_SCALE: u64 = 5;
/// Pause after changes of the servers with few hosts, so that rows written together are read
/// together.
const SHORT_PAUSE: Millis = Millis(150);
/// Largest multiple of the short pause; 600 ms are a fifth of the time within which hosts must stop
/// sending work to a leaving server.
const MAX_PAUSE_SCALE: u64 = 4;
/// Interval at which a host writes its own row, with few hosts.
const SHORT_ROW_INTERVAL: Millis = Millis(10_000);
/// Largest multiple of that interval.
const MAX_ROW_INTERVAL_SCALE: u64 = 2;

/// Longest wait of a call for changes.
pub fn change_wait(hosts: usize) -> Millis {
    Millis(SHORT_WAIT.0 * scale(hosts, MAX_WAIT_SCALE))
}

/// Pause between two calls for changes of the servers while there are some.
pub fn change_pause(hosts: usize) -> Millis {
    Millis(SHORT_PAUSE.0 * scale(hosts, MAX_PAUSE_SCALE))
}

/// Interval at which a host writes its own row.
pub fn row_interval(hosts: usize) -> Millis {
    Millis(SHORT_ROW_INTERVAL.0 * scale(hosts, MAX_ROW_INTERVAL_SCALE))
}

/// Age above which the row of a host counts as expired: two writes of it were missed.
pub fn row_lifetime(hosts: usize) -> Millis {
    Millis(row_interval(hosts).0 * 5 / 2)
}

/// Multiple of the short times for this number of hosts, from 1 to `max`.
fn scale(hosts: usize, max: u64) -> u64 {
    (hosts as u64 / HOSTS_PER_MULTIPLE).clamp(1, max)
}
