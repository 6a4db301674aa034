//! Guards against requests that end because their server is silent.

use bv_retry::{RETURN_PERIOD, Silence, SilenceStep};
use bv_types::Millis;

fn silence() -> Silence {
    Silence::new(Millis(1_000), Millis(1_200), Millis(6_000))
}

#[test]
fn search_after_patience() {
    let silence = silence();
    assert_eq!(
        silence.step(Millis(1_500), true),
        SilenceStep::Wait(Millis(700))
    );
    assert_eq!(silence.step(Millis(2_200), true), SilenceStep::Search);
    assert_eq!(silence.length(Millis(2_200)), Millis(1_200));
}

#[test]
fn no_search_without_attempt() {
    let silence = silence();
    assert_eq!(
        silence.step(Millis(3_000), false),
        SilenceStep::Wait(Millis(3_000))
    );
}

/// Guards against a request that ends, or searches without pause, because no other server is found.
#[test]
fn failed_search() {
    let mut silence = silence();
    let mut now = Millis(2_200);
    let mut searches = 0;
    loop {
        match silence.step(now, true) {
            SilenceStep::Wait(time) => now = now + time,
            SilenceStep::Search => {
                searches += 1;
                silence.search_failed(now);
            }
            SilenceStep::DeadlinePassed => break,
        }
    }
    assert_eq!(now, Millis(6_000));
    assert_eq!(searches, 19);
}

#[test]
fn deadline_before_patience() {
    let silence = Silence::new(Millis(0), Millis(1_200), Millis(600));
    assert_eq!(
        silence.step(Millis(0), true),
        SilenceStep::Wait(Millis(600))
    );
    assert_eq!(silence.step(Millis(600), true), SilenceStep::DeadlinePassed);
}

/// Guards against a stream that is moved without a way back while its server may be sound, or never.
#[test]
fn return_after_patience() {
    let silence = silence().with_return();
    let until = Millis(2_200) + RETURN_PERIOD;
    assert_eq!(silence.step(Millis(2_200), true), SilenceStep::Search);
    assert!(silence.needs_return(Millis(2_200)));
    assert!(silence.needs_return(until - Millis(1)));
    assert!(!silence.needs_return(until));
    assert_eq!(silence.length(until), Millis(3_000));
}

#[test]
fn return_before_deadline() {
    let silence = Silence::new(Millis(0), Millis(1_200), Millis(2_000)).with_return();
    assert!(silence.needs_return(Millis(1_599)));
    assert!(!silence.needs_return(Millis(1_600)));
    let silence = Silence::new(Millis(0), Millis(1_200), Millis(1_000)).with_return();
    assert!(!silence.needs_return(Millis(1_200)));
}

#[test]
fn no_return_by_default() {
    assert!(!silence().needs_return(Millis(2_200)));
}
