//! Leaving marks of backend servers.

use bv_types::{BackendId, Incarnation, Millis};

/// A process of a backend server that leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingMark {
    /// The backend server.
    pub backend: BackendId,
    /// Its process.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Known {
    backend: BackendId,
    /// Highest incarnation that is marked.
    marked: Option<Incarnation>,
    /// Highest incarnation that was seen running.
    seen: Incarnation,
}

impl Known {
    fn is_leaving(&self) -> bool {
        self.marked.is_some_and(|marked| marked >= self.seen)
    }
}

/// Marks of all backend servers, sorted by id. A mark stays for its incarnation and older ones; a
/// higher incarnation that is seen running ends it, and late marks of older ones are ignored.
#[derive(Debug, Clone, Default)]
pub struct LeavingMarks(Vec<Known>);

impl LeavingMarks {
    /// Marks a process; true if that was not known, in which case it is to be spread.
    pub fn mark(&mut self, backend: &BackendId, incarnation: Incarnation) -> bool {
        let known = self.entry(backend);
        if incarnation < known.seen || known.marked >= Some(incarnation) {
            return false;
        }
        known.marked = Some(incarnation);
        true
    }

    /// Marks the process that runs at `now`, for sources that know no incarnations. Incarnations are
    /// start times, so the mark covers a process started until then, whether it was seen or not.
    /// The returned mark is to be spread; none if one is in force.
    pub fn mark_current(&mut self, backend: &BackendId, now: Millis) -> Option<LeavingMark> {
        let known = self.entry(backend);
        if known.is_leaving() {
            return None;
        }
        let incarnation = known.seen.max(Incarnation(now.0));
        self.mark(backend, incarnation).then(|| LeavingMark {
            backend: backend.clone(),
            incarnation,
        })
    }

    /// Records that a process was seen running; true if that ends a mark.
    pub fn observe(&mut self, backend: &BackendId, incarnation: Incarnation) -> bool {
        let known = self.entry(backend);
        let was_leaving = known.is_leaving();
        known.seen = known.seen.max(incarnation);
        was_leaving && !known.is_leaving()
    }

    /// Whether the backend server may not receive new work.
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.find(backend).is_ok_and(|at| self.0[at].is_leaving())
    }

    /// Marks in force.
    pub fn leaving(&self) -> Vec<LeavingMark> {
        let leaving = self.0.iter().filter(|known| known.is_leaving());
        let mark = |known: &Known| {
            known.marked.map(|incarnation| LeavingMark {
                backend: known.backend.clone(),
                incarnation,
            })
        };
        leaving.filter_map(mark).collect()
    }

    /// Forgets backend servers that are no longer in the inventory.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.0.retain(|known| is_known(&known.backend));
    }

    fn find(&self, backend: &BackendId) -> Result<usize, usize> {
        self.0.binary_search_by(|known| known.backend.cmp(backend))
    }

    fn entry(&mut self, backend: &BackendId) -> &mut Known {
        let at = match self.find(backend) {
            Ok(at) => at,
            Err(at) => {
                let known = Known {
                    backend: backend.clone(),
                    marked: None,
                    seen: Incarnation(0),
                };
                self.0.insert(at, known);
                at
            }
        };
        &mut self.0[at]
    }
}
