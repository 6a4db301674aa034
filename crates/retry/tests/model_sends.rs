//! Guards against a prompt that is prefilled again although the budget has no retry left for its
//! decode: the stream ended right after the prompt was read.

use bv_retry::{BudgetLimits, ModelSends, SharedBudget};
use bv_types::Millis;

const LIMITS: BudgetLimits = BudgetLimits {
    ratio: 0.0,
    extra: 1.0,
    window: Millis(10_000),
};

/// A call whose prompt was prefilled and whose decode reached an engine.
fn started_call() -> ModelSends {
    let mut sends = ModelSends::default();
    assert_eq!(sends.missing_for_split(), 0);
    sends.begin_prefill();
    sends.begin_decode();
    sends.decode_delivered();
    sends
}

#[test]
fn resume_takes_both_or_neither() {
    let sends = started_call();
    assert_eq!(sends.missing_for_split(), 2);
    let mut budget = SharedBudget::default();
    assert!(!budget.take_many(Millis(0), LIMITS, 1, sends.missing_for_split()));
    assert!(
        budget.take(Millis(0), LIMITS, 1),
        "a refused pair must leave the budget untouched"
    );
}

#[test]
fn prepaid_retries_are_used_once() {
    let mut sends = started_call();
    sends.prepay(2);
    assert_eq!(sends.missing_for_split(), 0);
    sends.begin_prefill();
    assert_eq!(sends.missing_for_decode(), 0);
    sends.begin_decode();
    assert_eq!(sends.missing_for_decode(), 1);
    assert_eq!(sends.missing_for_split(), 2);
}

#[test]
fn failed_prefill_keeps_the_decode_paid() {
    let mut sends = started_call();
    sends.prepay(2);
    sends.begin_prefill();
    // The engine fails; another prefill is needed, but the decode is still paid.
    assert_eq!(sends.missing_for_split(), 1);
}

#[test]
fn first_sends_are_free() {
    let mut sends = ModelSends::default();
    sends.begin_prefill();
    assert_eq!(sends.missing_for_decode(), 0);
    sends.begin_decode();
    // The engine refused the connection, so the decode reached no engine.
    assert!(!sends.is_decode_repeat());
    assert_eq!(sends.missing_for_split(), 1);
}
