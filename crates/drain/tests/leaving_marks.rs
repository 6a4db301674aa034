//! Leaving marks against a simple oracle.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bv_drain::LeavingMarks;
use bv_types::{BackendId, Incarnation, Millis};

const CASES: u64 = 10_000;
const INPUT_BYTES: u64 = 256;
/// Spreads case numbers over the seeds; small seeds start with similar bytes.
const SPREAD: u64 = 0x9E37_79B9;

fn backend(at: usize) -> BackendId {
    format!("engine-{at}").parse().unwrap()
}

/// Guards against marks that are lost, return late, or outlive their process.
#[test]
fn marks_match_oracle() {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SPREAD) << 32 | INPUT_BYTES;
        arbtest(check).seed(seed);
    }
}

fn check(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut marks = LeavingMarks::default();
    // Highest marked and highest seen incarnation of each backend server.
    let mut oracle = [(None, 0u64); 3];
    for _ in 0..u.int_in_range(1..=40)? {
        let at = u.choose_index(oracle.len())?;
        let incarnation = u.int_in_range(0..=4u64)?;
        let id = backend(at);
        let (marked, seen) = &mut oracle[at];
        let was_leaving = marked.is_some_and(|m| m >= *seen);
        match u.int_in_range(0..=2)? {
            0 => {
                let is_news = incarnation >= *seen && *marked < Some(incarnation);
                if is_news {
                    *marked = Some(incarnation);
                }
                assert_eq!(marks.mark(&id, Incarnation(incarnation)), is_news);
            }
            1 => {
                *seen = incarnation.max(*seen);
                let ends = was_leaving && marked.is_some_and(|m| m < *seen);
                assert_eq!(marks.observe(&id, Incarnation(incarnation)), ends);
            }
            _ => {
                let is_news = !was_leaving;
                if is_news {
                    *marked = Some(incarnation.max(*seen));
                }
                let mark = marks.mark_current(&id, Millis(incarnation));
                let expected = is_news.then_some(*marked).flatten().map(Incarnation);
                assert_eq!(mark.map(|m| m.incarnation), expected);
            }
        }
        for (at, (marked, seen)) in oracle.iter().enumerate() {
            let leaving = marked.is_some_and(|m| m >= *seen);
            assert_eq!(marks.is_leaving(&backend(at)), leaving, "{at}: {marks:?}");
        }
    }
    let expected = oracle.iter().filter(|(m, s)| m.is_some_and(|m| m >= *s));
    assert_eq!(marks.leaving().len(), expected.count());
    Ok(())
}

/// Guards against a mark by an operator that other hosts ignore, because they have seen the
/// process and the marking host has not.
#[test]
fn unseen_process_is_covered() {
    let id = backend(0);
    let started = Incarnation(1_000);
    let mut blind = LeavingMarks::default();
    let mut other = LeavingMarks::default();
    other.observe(&id, started);
    let mark = blind.mark_current(&id, Millis(5_000)).unwrap();
    assert!(other.mark(&id, mark.incarnation));
    other.observe(&id, started);
    assert!(other.is_leaving(&id), "the same process stays marked");
    other.observe(&id, Incarnation(6_000));
    assert!(!other.is_leaving(&id), "a later process is not marked");
}
