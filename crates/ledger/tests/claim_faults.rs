//! Faults of the table while a call is claimed and while an abandoned claim is undone.

#[allow(dead_code)]
mod steps;

use bv_ledger::RowState::{Claimed, Done, NotRun, Unknown};
use bv_ledger::UnknownReason;
use bv_types::Refusal::{CallerDisconnected, DispatchTooLate, StoreUnavailable};
use steps::{In, Out, Row, START_MS, Script, Step};

const CLAIM: &[Out] = &[Out::Claim(None)];
const READ: &[Out] = &[Out::Read];
const DISPATCH: &[Out] = &[Out::Dispatch(0)];
const CLOSED: &[Out] = &[Out::Closed];

/// Guards against dispatch without a confirmed claim, and against losing a claim because its answer
/// was lost.
#[test]
fn before_dispatch() {
    let cases: [(&str, &[Step<'_>]); 9] = [
        (
            "written",
            &[(0, In::Arrive, CLAIM), (5, In::Written, DISPATCH)],
        ),
        (
            "unanswered, applied",
            &[
                (0, In::Arrive, CLAIM),
                (1_000, In::Unanswered, READ),
                (1_005, In::Read(Row::Own(Claimed)), DISPATCH),
            ],
        ),
        (
            "unanswered, not applied yet",
            &[
                (0, In::Arrive, CLAIM),
                (1_000, In::Unanswered, READ),
                (1_005, In::Read(Row::Missing), CLAIM),
                (1_010, In::Written, DISPATCH),
            ],
        ),
        (
            "unanswered, applied after the read",
            &[
                (0, In::Arrive, CLAIM),
                (1_000, In::Unanswered, READ),
                (1_005, In::Read(Row::Missing), CLAIM),
                (1_010, In::Conflict(Row::Own(Claimed)), DISPATCH),
            ],
        ),
        (
            "unanswered, then unavailable: the first write is read back",
            &[
                (0, In::Arrive, CLAIM),
                (1_000, In::Unanswered, READ),
                (1_005, In::Read(Row::Missing), CLAIM),
                (1_010, In::NotWritten, &[]),
                (1_060, In::Tick, READ),
                (1_065, In::Read(Row::Own(Claimed)), DISPATCH),
            ],
        ),
        (
            "unavailable, then written",
            &[
                (0, In::Arrive, CLAIM),
                (5, In::NotWritten, &[]),
                (54, In::Tick, &[]),
                (55, In::Tick, CLAIM),
                (60, In::NotWritten, &[]),
                (159, In::Tick, &[]),
                (160, In::Tick, CLAIM),
                (165, In::Written, DISPATCH),
            ],
        ),
        (
            "read fails, then answers",
            &[
                (0, In::Arrive, CLAIM),
                (1_000, In::Unanswered, READ),
                (1_010, In::ReadFailed, &[]),
                (1_060, In::Tick, READ),
                (1_065, In::Read(Row::Own(Claimed)), DISPATCH),
            ],
        ),
        (
            "a row that did not run is claimed again",
            &[
                (0, In::Arrive, CLAIM),
                (5, In::Conflict(Row::Other(NotRun)), &[Out::Claim(Some(50))]),
                (10, In::Written, DISPATCH),
            ],
        ),
        (
            "an expired row is claimed again",
            &[
                (0, In::Arrive, CLAIM),
                (
                    5,
                    In::Conflict(Row::OtherExpired(Done)),
                    &[Out::Claim(Some(50))],
                ),
                (10, In::Written, DISPATCH),
            ],
        ),
    ];
    for (name, steps) in cases {
        Script::check(name, steps);
    }
}

/// Guards against the reply "not run" for a call that can still be sent, and against a claim that
/// remains in the table after that reply.
#[test]
fn abandoned_claim_is_undone() {
    let late: &[Out] = &[Out::NotRun(StoreUnavailable), Out::Withdraw];
    let cases: [(&str, &[Step<'_>]); 9] = [
        (
            "withdrawn before it was sent",
            &[
                (0, In::Arrive, CLAIM),
                (5_000, In::Tick, late),
                (5_000, In::NotWritten, CLOSED),
            ],
        ),
        (
            "written after the deadline",
            &[
                (0, In::Arrive, CLAIM),
                (5_000, In::Tick, late),
                (5_100, In::Written, &[Out::Settle(NotRun, Some(START_MS))]),
                (5_100, In::Start(0, false), &[]),
                (5_110, In::Written, CLOSED),
            ],
        ),
        (
            "unanswered, applied after the read",
            &[
                (0, In::Arrive, CLAIM),
                (5_000, In::Tick, late),
                (5_100, In::Unanswered, READ),
                (5_110, In::Read(Row::Missing), &[Out::Settle(NotRun, None)]),
                (
                    5_120,
                    In::Conflict(Row::Own(Claimed)),
                    &[Out::Settle(NotRun, Some(START_MS))],
                ),
                (5_130, In::Unanswered, READ),
                (5_140, In::Read(Row::Own(NotRun)), CLOSED),
            ],
        ),
        (
            "unanswered, another attempt's row",
            &[
                (0, In::Arrive, CLAIM),
                (5_000, In::Tick, late),
                (5_100, In::Unanswered, READ),
                (5_110, In::Read(Row::Other(Claimed)), CLOSED),
            ],
        ),
        (
            "claim on a known version, unanswered, unchanged",
            &[
                (0, In::Arrive, CLAIM),
                (5, In::Conflict(Row::Other(NotRun)), &[Out::Claim(Some(50))]),
                (5_000, In::Tick, late),
                (5_100, In::Unanswered, READ),
                (
                    5_110,
                    In::Read(Row::Other(NotRun)),
                    &[Out::Settle(NotRun, Some(50))],
                ),
                (5_120, In::Written, CLOSED),
            ],
        ),
        (
            "undone although the table is unavailable for a time",
            &[
                (0, In::Arrive, CLAIM),
                (5_000, In::Tick, late),
                (5_100, In::Written, &[Out::Settle(NotRun, Some(START_MS))]),
                (5_110, In::NotWritten, &[]),
                (5_160, In::Tick, &[Out::Settle(NotRun, Some(START_MS))]),
                (5_170, In::Written, CLOSED),
            ],
        ),
        (
            "caller disconnected before the claim is confirmed",
            &[
                (0, In::Arrive, CLAIM),
                (
                    5,
                    In::CallerDisconnected,
                    &[Out::NotRun(CallerDisconnected), Out::Withdraw],
                ),
                (10, In::Written, &[Out::Settle(NotRun, Some(START_MS))]),
                (15, In::Written, CLOSED),
            ],
        ),
        (
            "confirmed but not sent before the deadline",
            &[
                (0, In::Arrive, CLAIM),
                (10, In::Written, DISPATCH),
                (5_000, In::Start(0, false), &[]),
                (
                    5_000,
                    In::Tick,
                    &[
                        Out::NotRun(DispatchTooLate),
                        Out::Settle(NotRun, Some(START_MS)),
                    ],
                ),
                (5_000, In::Start(0, false), &[]),
            ],
        ),
        (
            "confirmed after the deadline",
            &[
                (0, In::Arrive, CLAIM),
                (
                    5_010,
                    In::Written,
                    &[
                        Out::NotRun(StoreUnavailable),
                        Out::Settle(NotRun, Some(START_MS)),
                    ],
                ),
                (5_020, In::Written, CLOSED),
            ],
        ),
    ];
    for (name, steps) in cases {
        Script::check(name, steps);
    }
}

/// Guards against a second run of a call that another attempt has claimed, run or lost.
#[test]
fn other_attempt_prevents_dispatch() {
    let unknown = |reason| [Out::Unknown(reason), Out::Closed];
    let cases: [(Row, &[Out]); 5] = [
        (Row::Other(Done), &[Out::Answer, Out::Closed]),
        (Row::OtherLarge, &unknown(UnknownReason::AnswerTooLarge)),
        (Row::Other(Unknown), &unknown(UnknownReason::Recorded)),
        (Row::Malformed, &unknown(UnknownReason::RowMalformed)),
        (Row::Other(Claimed), &[]),
    ];
    for (row, expected) in cases {
        let name = format!("{row:?}");
        Script::check(
            &name,
            &[(0, In::Arrive, CLAIM), (5, In::Conflict(row), expected)],
        );
    }
}

/// Guards against a poll that never ends, and against a wrong reply at its end.
#[test]
fn polling_ends_with_correct_reply() {
    let start: [Step<'_>; 3] = [
        (0, In::Arrive, CLAIM),
        (10, In::Conflict(Row::Other(Claimed)), &[]),
        (110, In::Tick, READ),
    ];
    let cases: [(&str, &[Step<'_>]); 6] = [
        (
            "done",
            &[(115, In::Read(Row::Other(Done)), &[Out::Answer, Out::Closed])],
        ),
        (
            "did not run",
            &[(115, In::Read(Row::Other(NotRun)), &[Out::Claim(Some(50))])],
        ),
        (
            "vanished",
            &[(
                115,
                In::Read(Row::Missing),
                &[Out::Unknown(UnknownReason::RowVanished), Out::Closed],
            )],
        ),
        (
            "holder of the claim ends",
            &[
                (115, In::Read(Row::Other(Claimed)), &[]),
                (
                    200,
                    In::OtherDead,
                    &[Out::Unknown(UnknownReason::HostDead), Out::Closed],
                ),
            ],
        ),
        (
            "delays double",
            &[
                (115, In::Read(Row::Other(Claimed)), &[]),
                (314, In::Tick, &[]),
                (315, In::Tick, READ),
                (320, In::Read(Row::Other(Claimed)), &[]),
                (719, In::Tick, &[]),
                (720, In::Tick, READ),
            ],
        ),
        (
            "deadline",
            &[(
                5_000,
                In::Tick,
                &[Out::Unknown(UnknownReason::InProgress), Out::Closed],
            )],
        ),
    ];
    for (name, steps) in cases {
        let steps: Vec<_> = start.iter().chain(steps).copied().collect();
        Script::check(name, &steps);
    }
}
