//! When the store gave an answer, by this host's clock.

use bv_types::Millis;

/// Increase of the assumed difference of the clocks with each answer, in ms, so that clocks that
/// drift apart are followed.
const DRIFT_PER_ANSWER_MS: i64 = 1;

/// Converts times of the store's clock into those of this host's.
///
/// An answer may be on its way for long, but its time by the store's clock is that of the answer.
/// The smallest difference between the clocks belongs to the answer that took the least time. While
/// a process is frozen its clock may stand still, which makes the difference smaller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct StoreClock {
    /// This host's time less the store's, in ms.
    offset: Option<i64>,
}

impl StoreClock {
    /// Records a time of the store's clock that this host learns at `now`, from the store or from a
    /// host that passes on its own estimate.
    pub fn observe(&mut self, now: Millis, store_time: Millis) {
        let difference = (now.0 as i64).saturating_sub(store_time.0 as i64);
        self.offset = Some(match self.offset {
            Some(offset) => difference.min(offset.saturating_add(DRIFT_PER_ANSWER_MS)),
            None => difference,
        });
    }

    /// Time at which the store gave an answer that carries `store_time`. `began` is the time of the
    /// call, `now` that of the arrival; the result lies between them.
    pub fn answered_at(&mut self, began: Millis, now: Millis, store_time: Millis) -> Millis {
        self.observe(now, store_time);
        let answered_at = self.local_time(store_time).unwrap_or(began);
        answered_at.clamp(began.min(now), now)
    }

    /// A time of this host's clock by the store's; none before the first answer.
    pub fn store_time(&self, now: Millis) -> Option<Millis> {
        let offset = self.offset?;
        Some(Millis(now.0.saturating_add_signed(offset.saturating_neg())))
    }

    fn local_time(&self, store_time: Millis) -> Option<Millis> {
        let offset = self.offset?;
        Some(Millis(store_time.0.saturating_add_signed(offset)))
    }
}
