//! Leaving marks, which record the backend server processes that are shutting down.

use bv_types::{BackendId, Incarnation, Millis};

/// Mark on a backend server process that is shutting down and must receive no new requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeavingMark {
    /// The backend server.
    pub backend: BackendId,
    /// Its process.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone)]
struct Record {
    backend: BackendId,
    /// Highest incarnation that is marked.
    marked: Option<Incarnation>,
    /// Highest incarnation that was seen running.
    seen: Incarnation,
}

impl Record {
    fn is_leaving(&self) -> bool {
        self.marked.is_some_and(|marked| marked >= self.seen)
    }
}

/// Marks of all backend servers, sorted by id. A mark covers its incarnation and older ones. It
/// ends when a higher incarnation is seen running; marks of older incarnations that arrive later
/// are ignored.
#[derive(Debug, Clone, Default)]
pub struct LeavingMarks(Vec<Record>);

impl LeavingMarks {
    /// Marks a process; returns whether the mark is new, in which case the driver sends it to the
    /// other hosts.
    pub fn mark(&mut self, backend: &BackendId, incarnation: Incarnation) -> bool {
        let record = self.entry(backend);
        if incarnation < record.seen || record.marked >= Some(incarnation) {
            return false;
        }
        record.marked = Some(incarnation);
        true
    }

    /// Marks the process that runs at `now`, for callers that do not know its incarnation.
    /// Incarnations are start times, so the mark covers any process started up to `now`, whether it
    /// was seen or not. Returns the mark to send to the other hosts, or none if one is in force.
    pub fn mark_current(&mut self, backend: &BackendId, now: Millis) -> Option<LeavingMark> {
        let record = self.entry(backend);
        if record.is_leaving() {
            return None;
        }
        let incarnation = record.seen.max(Incarnation(now.0));
        self.mark(backend, incarnation).then(|| LeavingMark {
            backend: backend.clone(),
            incarnation,
        })
    }

    /// Records that a process was seen running; returns whether that ends a mark.
    pub fn observe(&mut self, backend: &BackendId, incarnation: Incarnation) -> bool {
        let record = self.entry(backend);
        let was_leaving = record.is_leaving();
        record.seen = record.seen.max(incarnation);
        was_leaving && !record.is_leaving()
    }

    /// Whether the backend server is leaving and must receive no new requests.
    pub fn is_leaving(&self, backend: &BackendId) -> bool {
        self.find(backend)
            .is_ok_and(|index| self.0[index].is_leaving())
    }

    /// All marks in force.
    pub fn leaving(&self) -> Vec<LeavingMark> {
        let leaving = self.0.iter().filter(|record| record.is_leaving());
        let mark = |record: &Record| {
            record.marked.map(|incarnation| LeavingMark {
                backend: record.backend.clone(),
                incarnation,
            })
        };
        leaving.filter_map(mark).collect()
    }

    /// Removes the records of backend servers for which `is_known` is false, such as those that are
    /// no longer in the inventory.
    pub fn retain(&mut self, is_known: impl Fn(&BackendId) -> bool) {
        self.0.retain(|record| is_known(&record.backend));
    }

    fn find(&self, backend: &BackendId) -> Result<usize, usize> {
        self.0
            .binary_search_by(|record| record.backend.cmp(backend))
    }

    fn entry(&mut self, backend: &BackendId) -> &mut Record {
        let index = match self.find(backend) {
            Ok(index) => index,
            Err(index) => {
                let record = Record {
                    backend: backend.clone(),
                    marked: None,
                    seen: Incarnation(0),
                };
                self.0.insert(index, record);
                index
            }
        };
        &mut self.0[index]
    }
}
