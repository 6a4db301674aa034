//! Marks of backend servers that are about to leave.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bv_types::{BackendId, Incarnation};
use tracing::info;

/// A backend server that must receive no new work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeavingMark {
    /// The backend server.
    pub backend: BackendId,
    /// Process that leaves; `None` while it is not known, which marks any.
    pub incarnation: Option<Incarnation>,
}

/// The leaving marks known to this host, sorted by backend server.
#[derive(Debug, Default)]
pub(crate) struct LeavingMarks(Mutex<Vec<LeavingMark>>);

impl LeavingMarks {
    /// Sets a mark; returns whether it was not set before.
    pub fn mark_leaving(&self, mark: LeavingMark) -> bool {
        let mut marks = self.lock();
        let Err(index) = marks.binary_search(&mark) else {
            return false;
        };
        info!(backend = %mark.backend, "leaving: marked");
        marks.insert(index, mark);
        true
    }

    /// The marks, sorted.
    pub fn marks(&self) -> Vec<LeavingMark> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LeavingMark>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
