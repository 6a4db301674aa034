//! Times at which refused calls were told to return.

use bv_types::Millis;

/// Time for which a promise is kept after its time: callers return a little later than told.
const PROMISE_LIFETIME: Millis = Millis(300);
/// Largest number of promises; beyond it, the oldest is forgotten.
const MAX_PROMISES: usize = 2_048;

#[derive(Debug, Clone, Copy)]
struct Promise {
    key: u64,
    due: Millis,
    arrived: Millis,
}

/// Promised returns, in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    promises: Vec<Promise>,
}

impl Returns {
    /// Promises a place to a call: not before `free_at`, and `spacing_ms` after the one before, so that those
    /// who were refused together do not return together. Returns its time.
    pub fn promise(
        &mut self,
        key: u64,
        arrived: Millis,
        free_at: Millis,
        spacing_ms: f64,
    ) -> Millis {
        let last = self.promises.last().map_or(Millis::ZERO, |p| p.due);
        let due = free_at.max(last + Millis(spacing_ms.ceil() as u64));
        self.promises.push(Promise { key, due, arrived });
        if self.promises.len() > MAX_PROMISES {
            self.promises.remove(0);
        }
        due
    }

    /// Takes the promise of a call that returns; returns when it arrived first.
    pub fn take(&mut self, key: u64) -> Option<Millis> {
        let at = self.promises.iter().position(|p| p.key == key)?;
        Some(self.promises.remove(at).arrived)
    }

    /// Number of calls that are due to return before this time.
    pub fn due_before(&self, time: Millis) -> usize {
        self.promises.partition_point(|p| p.due < time)
    }

    /// Forgets the calls that did not return.
    pub fn expire(&mut self, now: Millis) {
        let gone = self
            .promises
            .partition_point(|p| p.due + PROMISE_LIFETIME < now);
        self.promises.drain(..gone);
    }
}
