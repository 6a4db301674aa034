//! Guards against fences that are used twice, and against rounds that overlap, when the store was
//! restored from an older copy.

use bv_lease::{MIN_TERM_INTERVAL, RoundTimes, Term, TermRow};
use bv_types::{Era, Fence, HostId, Millis, ServiceId, Version};

fn host() -> HostId {
    "a".parse().unwrap()
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn fence(era: u64, replaced: u64) -> Option<Fence> {
    let replaced = (Era(era), Version(replaced));
    Some(Term::next(None, replaced, &host(), Millis(1))?.fence)
}

/// Guards against a fence of the lost seconds that is used again.
#[test]
fn fences_of_a_later_era_are_higher() {
    let lost = fence(0, 900);
    for version in [0, 899, 900, 901, 1_000_000] {
        assert!(fence(1, version) > lost, "{version}");
        assert!(fence(2, version) > fence(1, 2_000_000), "{version}");
    }
    assert_eq!(fence(0, 900), Some(Fence(901)));
    // Fences stay exact for decoders that read numbers as doubles.
    let highest = fence(8_191, 1 << 39).unwrap().0;
    assert_eq!(highest as f64 as u64, highest);
}

/// Guards against a fence that would be one of another era.
#[test]
fn no_fence_beyond_the_numbers_of_an_era() {
    assert_eq!(fence(1, (1 << 40) - 1), None);
    assert!(fence(1, (1 << 40) - 2) < fence(2, 0));
    assert_eq!(fence(1 << 24, 5), None);
    assert_eq!(fence(u64::MAX, 5), None);
    assert_eq!(fence(0, u64::MAX), None);
}

/// Guards against a round soon after one whose acknowledged row was lost: its orders may still be
/// carried out.
#[test]
fn lost_round_counts_from_the_new_era() {
    let mut times = RoundTimes::default();
    let old = Term::next(None, (Era(0), Version(7)), &host(), Millis(100)).unwrap();
    let old = TermRow {
        version: Version(8),
        term: Some(old),
    };
    let mut latest = |row, era, now| times.latest(&service(), row, (Era(era), Millis(now)));
    assert_eq!(latest(Some(&old), 0, 30_000), Some(Millis(100)));
    assert_eq!(latest(Some(&old), 1, 31_000), Some(Millis(31_000)));
    assert_eq!(latest(Some(&old), 1, 40_000), Some(Millis(31_000)));
    assert_eq!(latest(None, 2, 90_000), Some(Millis(90_000)));
    let next = 90_000 + MIN_TERM_INTERVAL.0;
    let latest = latest(None, 2, next);
    let term = Term::next(latest, (Era(2), Version(3)), &host(), Millis(next));
    assert!(term.is_some());
}

/// Guards against a host that starts in a later era and takes a round at once.
#[test]
fn first_reading_in_a_later_era() {
    let mut times = RoundTimes::default();
    let latest = times.latest(&service(), None, (Era(3), Millis(1_000)));
    assert_eq!(latest, Some(Millis(1_000)));
    // The store's clock was set back.
    let latest = times.latest(&service(), None, (Era(3), Millis(10)));
    assert_eq!(latest, Some(Millis(10)));
}
