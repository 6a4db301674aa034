//! The clock, and milliseconds as points in time and as durations.

use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds, either a duration or a point in time since the Unix epoch.
///
/// Addition and subtraction saturate.
///
/// ```
/// use bv_types::Millis;
/// assert_eq!(Millis::from_secs(2) - Millis(500), Millis(1500));
/// assert_eq!(Millis(1) - Millis(2), Millis::ZERO);
/// ```
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Millis = Millis(0);
    /// The largest value, used for "never".
    pub const MAX: Millis = Millis(u64::MAX);

    /// Converts whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Millis(secs.saturating_mul(1000))
    }

    /// The value as a standard duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Millis(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of the current time.
#[derive(Debug, Clone)]
pub struct Clock(Source);

#[derive(Debug, Clone)]
enum Source {
    System { origin: Instant, unix: Millis },
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// A clock that starts at the system's time and then advances monotonically.
    pub fn system() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock(Source::System {
            origin: Instant::now(),
            unix: unix.into(),
        })
    }

    /// A clock for tests that advances only through [`Clock::advance`].
    pub fn manual(start: Millis) -> Self {
        Clock(Source::Manual(Arc::new(AtomicU64::new(start.0))))
    }

    /// The current time since the Unix epoch.
    pub fn now(&self) -> Millis {
        match &self.0 {
            Source::System { origin, unix } => *unix + Millis::from(origin.elapsed()),
            Source::Manual(now) => Millis(now.load(Ordering::Relaxed)),
        }
    }

    /// Advances a manual clock; has no effect on a system clock.
    pub fn advance(&self, by: Millis) {
        if let Source::Manual(now) = &self.0 {
            now.fetch_add(by.0, Ordering::Relaxed);
        }
    }
}
