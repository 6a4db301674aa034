//! Guards against requests that are accepted so late in the grace period that they are cut off.

use bv_drain::{GracePeriod, GracePhase, LateRequest};
use bv_types::Millis;

const BEGAN: Millis = Millis(100_000);

fn grace(secs: u64) -> GracePeriod {
    GracePeriod::new(BEGAN, Millis::from_secs(secs))
}

#[test]
fn phases_in_order() {
    let phases =
        [0, 3_199, 3_200, 6_200, 7_500, 7_700].map(|ms| grace(8).phase(BEGAN + Millis(ms)));
    assert_eq!(
        phases,
        [
            GracePhase::Serving,
            GracePhase::Serving,
            GracePhase::CloseIdle,
            GracePhase::StopAccepting,
            GracePhase::AnswerAll,
            GracePhase::Exit,
        ]
    );
}

#[test]
fn early_requests_are_accepted() {
    for request in [LateRequest::Stream, LateRequest::Call(Millis(60_000))] {
        assert!(grace(8).may_accept(BEGAN + Millis(2_899), request));
        assert!(!grace(8).may_accept(BEGAN + Millis(2_900), request));
        // A short grace period is not spent on accepting requests.
        assert!(!grace(2).may_accept(BEGAN + Millis(1_000), request));
    }
}

/// An accepted call has its whole time limit before the calls that are left are answered.
#[test]
fn late_calls_fit() {
    for secs in [2, 5, 8, 30] {
        for limit in [50, 600, 2_500, 14_000].map(Millis) {
            for ms in (0..secs * 1_000).step_by(50) {
                let now = BEGAN + Millis(ms);
                let late = Millis(2_900).min(Millis(secs * 500));
                if now < BEGAN + late || !grace(secs).may_accept(now, LateRequest::Call(limit)) {
                    continue;
                }
                let last = grace(secs).phase(now + limit - Millis(1));
                assert!(last < GracePhase::AnswerAll, "{secs} s, {limit} at {ms}");
            }
        }
    }
}
