//! Bounds on the age of the rows that a host knows.
//!
//! A change must be in force everywhere within a promised time after the store acknowledged it. The
//! store confirms a host's rows whenever it answers the host or, through others, its source. A host
//! whose rows were confirmed less than the promised time ago lacks no change that is due. The
//! promised time is divided so that there is time left to find another source:
//!
//! | part | for |
//! |---|---|
//! | 11/20 | the longest wait of a reader's call, and of a query at a source |
//! | 7/60 | slow calls and messages; up to here the rows count as current |
//! | 1/6 | the hosts try the store, one after the other |
//! | 1/6 | the rows reach all hosts |

use bv_types::Millis;

/// Bounds on the age of rows, derived from the time within which a change must be in force.
///
/// ```
/// use bv_roster::AgeBounds;
/// use bv_types::Millis;
///
/// let bounds = AgeBounds::new(Millis(3_000));
/// assert_eq!(bounds.max_age(), Millis(2_000));
/// assert!(bounds.longest_wait() < bounds.max_age());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgeBounds {
    promise: Millis,
}

impl AgeBounds {
    /// Bounds for a change that must be in force within `promise`, in ms.
    pub fn new(promise: Millis) -> Self {
        AgeBounds { promise }
    }

    /// Age up to which rows count as current.
    pub fn max_age(self) -> Millis {
        self.part(40)
    }

    /// Age from which a host may lack a change that is due.
    pub fn promise(self) -> Millis {
        self.promise
    }

    /// Longest wait of a reader's call for changes, and of a query at a source. A source answers as
    /// soon as the store has confirmed its rows again.
    pub fn longest_wait(self) -> Millis {
        self.part(33)
    }

    /// Time in which all hosts try the store once, after no host has reported that it reads it.
    pub fn takeover_time(self) -> Millis {
        self.part(10)
    }

    fn part(self, sixtieths: u64) -> Millis {
        Millis(self.promise.0 * sixtieths / 60)
    }
}
