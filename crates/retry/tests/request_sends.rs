//! Guards against a prompt that is prefilled again although the budget has no retry left for its
//! decode, and against repeats that are not taken from the budget.

use bv_retry::{BudgetLimits, Delivery, Purpose, RequestSends, SendKind, Settlement, SharedBudget};
use bv_types::Millis;

use Delivery::{Accepted, NotSent, Refused};
use SendKind::{Prefill, Run};

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.0,
    extra: 1.0,
    window: Millis(10_000),
};

const NOTHING: Settlement = Settlement {
    arrived: 0,
    returned: 0,
};

const ONE_ARRIVED: Settlement = Settlement {
    arrived: 1,
    returned: 0,
};

fn send(sends: &mut RequestSends, kind: SendKind, delivery: Delivery) -> Settlement {
    sends.begin();
    sends.end(kind, delivery)
}

/// A call whose prompt was prefilled and whose decode reached an engine.
fn started_call() -> RequestSends {
    let mut sends = RequestSends::default();
    assert_eq!(sends.missing_for_split(), 0);
    assert_eq!(send(&mut sends, Prefill, Accepted), NOTHING);
    assert_eq!(send(&mut sends, Run, Accepted), NOTHING);
    sends
}

#[test]
fn resume_takes_both_or_neither() {
    let sends = started_call();
    assert_eq!(sends.missing_for_split(), 2);
    let mut budget = SharedBudget::default();
    assert!(!budget.take(
        Millis(0),
        LIMITS,
        1,
        Purpose::Resume,
        sends.missing_for_split()
    ));
    assert!(
        budget.take(Millis(0), LIMITS, 1, Purpose::Resume, 1),
        "a refused pair must leave the budget untouched"
    );
}

#[test]
fn held_retries_are_used_once() {
    let mut sends = started_call();
    sends.hold(2);
    assert_eq!(sends.missing_for_split(), 0);
    assert_eq!(send(&mut sends, Prefill, Accepted), ONE_ARRIVED);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, Accepted), ONE_ARRIVED);
    assert_eq!(sends.missing_for_run(), 1);
    assert_eq!(sends.missing_for_split(), 2);
}

#[test]
fn failed_prefill_keeps_the_decode_paid() {
    let mut sends = started_call();
    sends.hold(2);
    assert_eq!(send(&mut sends, Prefill, Refused), ONE_ARRIVED);
    // Another prefill is needed, but the decode is still paid.
    assert_eq!(sends.missing_for_split(), 1);
}

#[test]
fn first_sends_are_free() {
    let mut sends = RequestSends::default();
    assert_eq!(send(&mut sends, Prefill, Accepted), NOTHING);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, NotSent), NOTHING);
    assert!(!sends.is_repeat());
    assert_eq!(sends.missing_for_split(), 1);
}

/// Guards against a decode that repeats a refused prefill without a retry from the budget.
#[test]
fn refused_prefill_is_an_arrival() {
    let mut sends = RequestSends::default();
    assert_eq!(send(&mut sends, Prefill, Refused), NOTHING);
    assert!(sends.is_repeat());
    assert_eq!(sends.missing_for_run(), 1);
    sends.hold(1);
    assert_eq!(send(&mut sends, Run, Refused), ONE_ARRIVED);
    assert_eq!(sends.missing_for_run(), 1);
}

/// Guards against a second retry for a decode whose prefill was the first that was accepted.
#[test]
fn accepted_prefill_passes_its_retry_on() {
    let mut sends = RequestSends::default();
    assert_eq!(send(&mut sends, Prefill, Refused), NOTHING);
    assert_eq!(sends.missing_for_split(), 1);
    sends.hold(1);
    assert_eq!(send(&mut sends, Prefill, Accepted), NOTHING);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, Accepted), ONE_ARRIVED);
}

/// Guards against retries that are lost, or used twice, when a request ends at any point.
#[test]
fn abandoned_request() {
    let returned = |count| Settlement {
        arrived: 0,
        returned: count,
    };
    let mut sends = started_call();
    sends.hold(2);
    assert_eq!(send(&mut sends, Prefill, NotSent), NOTHING);
    assert_eq!(sends.abandon(), returned(2));
    assert_eq!(sends.abandon(), NOTHING);

    let mut sends = started_call();
    sends.hold(2);
    sends.begin();
    let in_flight = Settlement {
        arrived: 1,
        returned: 1,
    };
    assert_eq!(sends.abandon(), in_flight);
    assert_eq!(sends.abandon(), NOTHING);
}

/// Guards against a retry too many or too few when two prefills are in flight.
#[test]
fn two_prefills_in_flight() {
    for (first, second) in [
        (Accepted, Refused),
        (Refused, Accepted),
        (Accepted, Accepted),
    ] {
        let mut sends = RequestSends::default();
        sends.begin();
        assert_eq!(sends.missing_for_split(), 1);
        sends.hold(1);
        sends.begin();
        assert_eq!(sends.release(), NOTHING, "the sends in flight need it");
        let arrived = sends.end(Prefill, first).arrived + sends.end(Prefill, second).arrived;
        assert_eq!(arrived, 0, "{first:?} {second:?}");
        assert_eq!(sends.missing_for_run(), 0, "{first:?} {second:?}");
        assert_eq!(send(&mut sends, Run, Accepted), ONE_ARRIVED);
    }
}

/// Guards against a retry of the decode that is given back while its prefill is silent.
#[test]
fn prefill_in_flight() {
    let mut sends = started_call();
    sends.hold(2);
    sends.begin();
    assert!(sends.is_in_flight());
    assert_eq!(sends.end(Prefill, Accepted), ONE_ARRIVED);
    assert!(!sends.is_in_flight());
    assert_eq!(sends.missing_for_run(), 0);
}

/// Guards against a search that is dropped and then costs the engine that went on its decode.
#[test]
fn dropped_prefill_in_search() {
    let mut sends = RequestSends::default();
    sends.begin();
    sends.hold(1);
    sends.begin();
    assert_eq!(sends.end(Prefill, Accepted), NOTHING);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, Accepted), NOTHING);
    assert_eq!(sends.abandon(), ONE_ARRIVED);
}

/// Guards against a stream that is moved with its last retry, so that none is left for the way back.
#[test]
fn kept_return() {
    let mut sends = started_call();
    sends.keep_return(true);
    assert_eq!((sends.missing_for_run(), sends.missing_for_split()), (2, 4));
    sends.hold(2);
    assert_eq!(send(&mut sends, Run, Refused), ONE_ARRIVED);
    assert_eq!(sends.release(), NOTHING, "the return needs it");
    assert_eq!(sends.missing_for_run(), 1);
    sends.keep_return(false);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, Accepted), ONE_ARRIVED);
    assert_eq!(sends.abandon(), NOTHING);
}

/// Guards against a way back whose prefill or decode is not paid.
#[test]
fn kept_return_with_prefill() {
    let mut sends = started_call();
    sends.keep_return(true);
    sends.hold(4);
    assert_eq!(send(&mut sends, Prefill, Accepted), ONE_ARRIVED);
    assert_eq!(sends.missing_for_run(), 0);
    assert_eq!(send(&mut sends, Run, Refused), ONE_ARRIVED);
    assert_eq!(sends.release(), NOTHING);
    sends.keep_return(false);
    assert_eq!(sends.missing_for_split(), 0);
}

/// Guards against a retry that is not given back when the way back was not needed.
#[test]
fn unused_return() {
    let one_returned = Settlement {
        arrived: 0,
        returned: 1,
    };
    for ends in [false, true] {
        let mut sends = started_call();
        sends.keep_return(true);
        sends.hold(2);
        assert_eq!(send(&mut sends, Run, Accepted), ONE_ARRIVED);
        let settlement = match ends {
            true => sends.abandon(),
            false => {
                sends.keep_return(false);
                sends.release()
            }
        };
        assert_eq!(settlement, one_returned);
    }
}
