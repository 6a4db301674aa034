//! The time after which idle connections of callers are closed, across changes of the configuration.

use bv_types::Millis;

use crate::Limits;

/// An idle timeout and when it came into force.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Millis,
    timeout: Millis,
}

/// Idle timeouts of the current and recent configurations.
///
/// Callers may know an older limit for a while after a change, so a connection stays open for the
/// longest limit in force since shortly before it became idle.
///
/// ```
/// use bv_route::IdleTimeouts;
/// use bv_types::Millis;
///
/// let mut timeouts = IdleTimeouts::new(Millis(2_000));
/// timeouts.set(Millis(0), Millis(5_000));
/// timeouts.set(Millis(1_000), Millis(600));
/// assert_eq!(timeouts.close_at(Millis(2_500)), Millis(7_500));
/// assert_eq!(timeouts.close_at(Millis(3_500)), Millis(4_100));
/// ```
#[derive(Debug, Clone)]
pub struct IdleTimeouts {
    /// Time for which callers may know an older limit after a change.
    overlap: Millis,
    /// In order of time; the last one is in force.
    changes: Vec<Change>,
}

impl IdleTimeouts {
    /// The default limit, which holds until the first configuration is received.
    pub fn new(overlap: Millis) -> Self {
        let first = Change {
            at: Millis::ZERO,
            timeout: Limits::default().idle_timeout,
        };
        IdleTimeouts {
            overlap,
            changes: vec![first],
        }
    }

    /// Sets the time for which callers may know an older limit after a change.
    pub fn set_overlap(&mut self, overlap: Millis) {
        self.overlap = overlap;
    }

    /// Records the limit of a configuration that comes into force at `now`.
    pub fn set(&mut self, now: Millis, timeout: Millis) {
        if self.changes.last().is_some_and(|c| c.timeout == timeout) {
            return;
        }
        self.changes.push(Change { at: now, timeout });
        let longest = self.changes.iter().map(|c| c.timeout).max();
        // No connection that is still open became idle before this time.
        let oldest_idle = now - longest.unwrap_or_default();
        let first = self.in_force_at(oldest_idle - self.overlap);
        self.changes.drain(..first);
    }

    /// When a connection that has been idle since `since` is to be closed, as far as is known now.
    pub fn close_at(&self, since: Millis) -> Millis {
        let first = self.in_force_at(since - self.overlap);
        let timeouts = self.changes[first..].iter().map(|c| c.timeout);
        since + timeouts.max().unwrap_or_default()
    }

    /// Index of the change in force at a time.
    fn in_force_at(&self, time: Millis) -> usize {
        let later = self.changes.partition_point(|c| c.at <= time);
        later.saturating_sub(1)
    }
}
