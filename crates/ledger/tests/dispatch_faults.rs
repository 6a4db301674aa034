//! Faults of the backend server and the caller after the claim is confirmed.

#[allow(dead_code)]
mod steps;

use bv_ledger::RowState::{Claimed, Done, NotRun, Unknown};
use bv_ledger::UnknownReason::{ConnectionLost, Deadline};
use bv_types::Millis;
use bv_types::Refusal::ConnectRefused;
use steps::{In, Out, Row, START_MS, Script, Step};

const SETTLE_DONE: Out = Out::Settle(Done, Some(START_MS));
const SETTLE_UNKNOWN: Out = Out::Settle(Unknown, Some(START_MS));
const SETTLE_NOT_RUN: Out = Out::Settle(NotRun, Some(START_MS));

/// Guards against a wrong outcome in the reply or the row.
#[test]
fn outcome_is_replied_and_recorded() {
    let start: [Step<'_>; 3] = [
        (0, In::Arrive, &[Out::Claim(None)]),
        (5, In::Written, &[Out::Dispatch(0)]),
        (6, In::Start(0, true), &[]),
    ];
    let cases: [(&str, &[Step<'_>]); 10] = [
        (
            "answered",
            &[(50, In::Answered, &[Out::Answer, SETTLE_DONE])],
        ),
        (
            "answer too large to keep",
            &[(50, In::AnsweredLarge, &[Out::Answer, SETTLE_DONE])],
        ),
        (
            "connection lost",
            &[(
                50,
                In::Failed,
                &[Out::Unknown(ConnectionLost), SETTLE_UNKNOWN],
            )],
        ),
        (
            "refused",
            &[(
                50,
                In::Refused { retry: false },
                &[Out::NotRun(ConnectRefused), SETTLE_NOT_RUN],
            )],
        ),
        (
            "refused, then another server",
            &[
                (50, In::Refused { retry: true }, &[Out::Dispatch(1)]),
                (51, In::Start(0, false), &[]),
                (51, In::Start(1, true), &[]),
                (90, In::Answered, &[Out::Answer, SETTLE_DONE]),
            ],
        ),
        (
            "refused after the deadline",
            &[
                (5_000, In::Tick, &[Out::Unknown(Deadline)]),
                (5_010, In::Refused { retry: true }, &[SETTLE_NOT_RUN]),
            ],
        ),
        (
            "answered after the deadline",
            &[
                (5_000, In::Tick, &[Out::Unknown(Deadline)]),
                (5_010, In::Answered, &[SETTLE_DONE]),
            ],
        ),
        (
            "caller disconnected, then answered",
            &[
                (20, In::CallerDisconnected, &[]),
                (50, In::Answered, &[SETTLE_DONE]),
            ],
        ),
        (
            "caller disconnected, then connection lost",
            &[
                (20, In::CallerDisconnected, &[]),
                (50, In::Failed, &[SETTLE_UNKNOWN]),
            ],
        ),
        (
            "caller disconnected, then refused",
            &[
                (20, In::CallerDisconnected, &[]),
                (50, In::Refused { retry: true }, &[SETTLE_NOT_RUN]),
            ],
        ),
    ];
    for (name, steps) in cases {
        let steps: Vec<_> = start.iter().chain(steps).copied().collect();
        Script::check(name, &steps);
    }
}

/// Guards against losing an outcome because the answer to its write was lost.
#[test]
fn outcome_written_again() {
    let settle: &[Out] = &[SETTLE_DONE];
    let mut script = Script::new();
    for (at, input) in [
        (0, In::Arrive),
        (5, In::Written),
        (6, In::Start(0, true)),
        (50, In::Answered),
    ] {
        script.step(Millis(START_MS + at), input);
    }
    let steps: [Step<'_>; 6] = [
        (60, In::NotWritten, &[]),
        (110, In::Tick, settle),
        (120, In::Unanswered, &[Out::Read]),
        (130, In::Read(Row::Own(Claimed)), settle),
        (140, In::Unanswered, &[Out::Read]),
        (150, In::Read(Row::Own(Done)), &[Out::Closed]),
    ];
    for (at, input, expected) in steps {
        assert_eq!(
            script.step(Millis(START_MS + at), input),
            expected,
            "at {at} ms"
        );
    }
    assert_eq!(script.open(), 0);
}

/// Guards against a dispatch by a host that was paused after its claim.
#[test]
fn paused_holder() {
    let mut script = Script::new();
    script.step(Millis(START_MS), In::Arrive);
    script.step(Millis(START_MS + 5), In::Written);
    let woken = Millis(START_MS + 10_000);
    script.step(woken, In::Start(0, false));
    let out = script.step(woken, In::Tick);
    assert_eq!(out[1..], [SETTLE_NOT_RUN]);
    script.step(woken, In::Start(0, false));
}
