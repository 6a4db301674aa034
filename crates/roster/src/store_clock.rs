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
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    /// This host's time less the store's, in ms.
    offset: Option<i64>,
}

impl StoreClock {
    /// Time at which the store gave an answer that carries `store_time`. `began` is the time of the
    /// call, `now` that of the arrival; the result lies between them.
    pub fn answered_at(&mut self, began: Millis, now: Millis, store_time: Millis) -> Millis {
        let difference = (now.0 as i64).saturating_sub(store_time.0 as i64);
        let offset = match self.offset {
            Some(offset) => difference.min(offset.saturating_add(DRIFT_PER_ANSWER_MS)),
            None => difference,
        };
        self.offset = Some(offset);
        let answered_at = Millis(store_time.0.saturating_add_signed(offset));
        answered_at.clamp(began.min(now), now)
    }
}
