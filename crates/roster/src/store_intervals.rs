//! How often a host calls the store, so that many hosts together stay within what it serves.
//!
//! Each host waits for changes in a call of its own. The more hosts there are, the longer the calls
//! wait and the more changes are read together; hosts tell each other which change is the newest, so
//! that a call that fell silent is noticed by what others have read.

use bv_types::Millis;

/// Wait of a call for changes with few hosts. A connection may fall silent without a reset, and its
/// call then ends at most a second later, within the bounds for leaving servers and configuration.
const SHORT_WAIT: Millis = Millis(2_000);
/// Hosts up to which calls wait for the short time.
const FEW_HOSTS: u64 = 8;
/// Most times the short wait.
const MAX_WAITS: u64 = 5;
/// Pause after changes of the servers with few hosts: rows written together are read together.
const SHORT_PAUSE: Millis = Millis(150);
/// Most times the short pause; 600 ms are a fifth of the time in which a leaving server must be left.
const MAX_PAUSES: u64 = 4;
/// Interval of a host's own row with few hosts.
const SHORT_ROW_INTERVAL: Millis = Millis(10_000);
/// Most times the interval of a host's own row.
const MAX_ROW_INTERVALS: u64 = 2;

/// Longest wait of a call for changes.
pub fn change_wait(hosts: usize) -> Millis {
    Millis(SHORT_WAIT.0 * crowd(hosts, MAX_WAITS))
}

/// Pause between two calls for changes of the servers while there are some.
pub fn change_pause(hosts: usize) -> Millis {
    Millis(SHORT_PAUSE.0 * crowd(hosts, MAX_PAUSES))
}

/// Interval of a host's own row.
pub fn row_interval(hosts: usize) -> Millis {
    Millis(SHORT_ROW_INTERVAL.0 * crowd(hosts, MAX_ROW_INTERVALS))
}

/// Age above which the row of a host no longer counts: two writes of it were missed.
pub fn row_lifetime(hosts: usize) -> Millis {
    Millis(row_interval(hosts).0 * 5 / 2)
}

/// Times as many hosts as few ones, up to `most`.
fn crowd(hosts: usize, most: u64) -> u64 {
    (hosts as u64 / FEW_HOSTS).clamp(1, most)
}
