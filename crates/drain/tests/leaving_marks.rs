//! Compares leaving marks with a simple model under random operations.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bv_drain::LeavingMarks;
use bv_types::{BackendId, Incarnation, Millis};

const CASES: u64 = 10_000;
const INPUT_BYTES: u64 = 256;
/// Multiplier that spreads case numbers over the seeds; small seeds start with similar bytes.
const SEED_MULTIPLIER: u64 = 0x9E37_79B9;

fn backend(index: usize) -> BackendId {
    format!("engine-{index}").parse().unwrap()
}

/// Guards against marks that are lost, come back after they ended, or outlive their process.
#[test]
fn marks_match_model() {
    for case in 1..=CASES {
        let seed = case.wrapping_mul(SEED_MULTIPLIER) << 32 | INPUT_BYTES;
        arbtest(check_case).seed(seed);
    }
}

fn check_case(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut marks = LeavingMarks::default();
    // Highest marked and highest seen incarnation of each backend server.
    let mut model = [(None, 0u64); 3];
    for _ in 0..u.int_in_range(1..=40)? {
        let index = u.choose_index(model.len())?;
        let incarnation = u.int_in_range(0..=4u64)?;
        let id = backend(index);
        let (marked, seen) = &mut model[index];
        let was_leaving = marked.is_some_and(|m| m >= *seen);
        match u.int_in_range(0..=2)? {
            0 => {
                let is_new = incarnation >= *seen && *marked < Some(incarnation);
                if is_new {
                    *marked = Some(incarnation);
                }
                assert_eq!(marks.mark(&id, Incarnation(incarnation)), is_new);
            }
            1 => {
                *seen = incarnation.max(*seen);
                let ends = was_leaving && marked.is_some_and(|m| m < *seen);
                assert_eq!(marks.observe(&id, Incarnation(incarnation)), ends);
            }
            _ => {
                let is_new = !was_leaving;
                if is_new {
                    *marked = Some(incarnation.max(*seen));
                }
                let mark = marks.mark_current(&id, Millis(incarnation));
                let expected = is_new.then_some(*marked).flatten().map(Incarnation);
                assert_eq!(mark.map(|m| m.incarnation), expected);
            }
        }
        for (index, (marked, seen)) in model.iter().enumerate() {
            let leaving = marked.is_some_and(|m| m >= *seen);
            assert_eq!(
                marks.is_leaving(&backend(index)),
                leaving,
                "{index}: {marks:?}"
            );
        }
    }
    let expected = model.iter().filter(|(m, s)| m.is_some_and(|m| m >= *s));
    assert_eq!(marks.leaving().len(), expected.count());
    Ok(())
}

/// Guards against an operator's mark that other hosts ignore: they have seen the process, but the
/// host that sets the mark has not.
#[test]
fn unseen_process_is_marked() {
    let id = backend(0);
    let started = Incarnation(1_000);
    let mut unaware = LeavingMarks::default();
    let mut other = LeavingMarks::default();
    other.observe(&id, started);
    let mark = unaware.mark_current(&id, Millis(5_000)).unwrap();
    assert!(other.mark(&id, mark.incarnation));
    other.observe(&id, started);
    assert!(other.is_leaving(&id), "the same process stays marked");
    other.observe(&id, Incarnation(6_000));
    assert!(!other.is_leaving(&id), "a later process is not marked");
}
