//! Time since the configuration was last confirmed.

use bv_types::Millis;

/// Time without confirmation after which a configuration is stale.
pub const STALE_AFTER: Millis = Millis(15_000);

/// Time of the last confirmation by the store, directly or through peers.
#[derive(Debug, Clone, Default)]
pub(super) struct Freshness {
    confirmed_at: Option<Millis>,
    stale: bool,
}

impl Freshness {
    /// Records a confirmation as of `at`.
    pub fn confirm(&mut self, at: Millis) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |known| known.max(at)));
    }

    /// Replaces the confirmation when another document comes into force.
    pub fn replace(&mut self, confirmed_at: Option<Millis>) {
        self.confirmed_at = confirmed_at;
    }

    /// Time since the last confirmation.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.confirmed_at.map(|at| now - at)
    }

    /// Whether the configuration counts as stale.
    pub fn is_stale(&self, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age >= STALE_AFTER)
    }

    /// Returns whether the configuration is stale, if that has changed since the last call.
    pub fn take_change(&mut self, now: Millis) -> Option<bool> {
        let stale = self.is_stale(now);
        let changed = stale != self.stale;
        self.stale = stale;
        changed.then_some(stale)
    }
}
