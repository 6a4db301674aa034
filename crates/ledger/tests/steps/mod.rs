//! Scripted tests of one call: inputs at given times and the outputs expected for them.

use bv_ledger::{
    Action, Answer, CallId, Event, Ledger, MAX_STORED_BYTES, Precondition, Reply, RowBody,
    RowState, RowWrite, StoreAnswer, StoreOpId, StoredRow, UnknownReason,
};
use bv_types::{HostId, Incarnation, Millis, Refusal, Version};

pub const START_MS: u64 = 1_000_000;
/// Deadline of the call, from its arrival.
pub const DEADLINE_MS: u64 = 5_000;
const CALL: CallId = CallId(4);
const OTHER_VERSION: Version = Version(50);
const WINDOW: Millis = Millis::from_secs(600);

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Row {
    Missing,
    /// The row of this attempt, as written by its last claim, with this state.
    Own(RowState),
    Other(RowState),
    /// Done by another attempt, without an answer.
    OtherLarge,
    OtherExpired(RowState),
    Malformed,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum In {
    Arrive,
    Written,
    Conflict(Row),
    NotWritten,
    Unanswered,
    Read(Row),
    ReadFailed,
    /// The check of this attempt before dispatch, and whether it must allow the dispatch.
    Start(u32, bool),
    Refused {
        retry: bool,
    },
    Failed,
    Answered,
    AnsweredLarge,
    CallerDisconnected,
    /// The other attempt's host ended.
    OtherDead,
    Tick,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Out {
    /// A claim that requires this version of the row, or that the row does not exist.
    Claim(Option<u64>),
    /// A write of the outcome that requires this version, or that the row does not exist.
    Settle(RowState, Option<u64>),
    Read,
    Withdraw,
    Dispatch(u32),
    Answer,
    NotRun(Refusal),
    Unknown(UnknownReason),
    Closed,
}

/// Milliseconds after the arrival, an input and the expected outputs.
pub type Step<'a> = (u64, In, &'a [Out]);

pub struct Script {
    ledger: Ledger,
    op: StoreOpId,
    claim: Option<RowWrite>,
}

impl Script {
    pub fn new() -> Self {
        let host: HostId = "host-a".parse().unwrap();
        Script {
            ledger: Ledger::new(host, Incarnation(9), 3),
            op: StoreOpId {
                call: CALL,
                number: 0,
            },
            claim: None,
        }
    }

    /// Runs the steps and checks the outputs of each.
    pub fn check(name: &str, steps: &[Step<'_>]) {
        let mut script = Script::new();
        for (index, (at, input, expected)) in steps.iter().enumerate() {
            let got = script.step(Millis(START_MS + at), *input);
            assert_eq!(got, *expected, "{name}, step {index} at {at} ms: {input:?}");
        }
    }

    pub fn open(&self) -> usize {
        self.ledger.open()
    }

    pub fn step(&mut self, now: Millis, input: In) -> Vec<Out> {
        if let In::Start(attempt, allowed) = input {
            assert_eq!(
                self.ledger.start(now, CALL, attempt),
                allowed,
                "start at {now}"
            );
            return Vec::new();
        }
        let event = self.event(now, input);
        let actions = self.ledger.handle(now, event);
        actions.into_iter().map(|action| self.out(action)).collect()
    }

    fn event(&self, now: Millis, input: In) -> Event {
        let op = self.op;
        let store = |answer| Event::StoreAnswer { op, answer };
        match input {
            In::Arrive => Event::Arrive {
                call: CALL,
                key: "call/booking/1".into(),
                deadline: Millis(START_MS + DEADLINE_MS),
                resend_window: WINDOW,
            },
            In::Written => store(StoreAnswer::Written),
            In::Conflict(row) => store(StoreAnswer::Conflict(self.row(now, row))),
            In::NotWritten => store(StoreAnswer::NotWritten),
            In::Unanswered => Event::StoreUnanswered { op },
            In::Read(row) => store(StoreAnswer::Row(self.row(now, row))),
            In::ReadFailed => store(StoreAnswer::ReadFailed),
            In::Refused { retry } => Event::DispatchRefused {
                call: CALL,
                retry,
                refusal: Refusal::ConnectRefused,
            },
            In::Failed => Event::DispatchFailed { call: CALL },
            In::Answered => Event::Answered {
                call: CALL,
                answer: answer(10),
            },
            In::AnsweredLarge => {
                let answer = answer(MAX_STORED_BYTES + 1);
                Event::Answered { call: CALL, answer }
            }
            In::CallerDisconnected => Event::CallerDisconnected { call: CALL },
            In::OtherDead => Event::HostDead {
                host: "host-b".parse().unwrap(),
                incarnation: Incarnation(7),
            },
            In::Tick => Event::Tick,
            In::Start(..) => unreachable!("not an event"),
        }
    }

    fn row(&self, now: Millis, row: Row) -> Option<StoredRow> {
        let other = |state, expires, answer| {
            let body = RowBody {
                state,
                host: "host-b".parse().unwrap(),
                incarnation: Incarnation(7),
                nonce: "other".into(),
                attempt: 0,
                time: now - Millis(1),
                expires,
                answer,
            };
            Some(StoredRow {
                version: OTHER_VERSION,
                body: body.to_json(),
            })
        };
        let live = now + WINDOW;
        match row {
            Row::Missing => None,
            Row::Own(state) => {
                let claim = self.claim.as_ref().unwrap();
                let mut body = RowBody::parse(&claim.body).unwrap();
                body.state = state;
                Some(StoredRow {
                    version: claim.version,
                    body: body.to_json(),
                })
            }
            Row::Other(state @ RowState::Done) => other(state, live, Some(answer(10))),
            Row::Other(state) => other(state, live, None),
            Row::OtherLarge => other(RowState::Done, live, None),
            Row::OtherExpired(state) => other(state, now, None),
            Row::Malformed => Some(StoredRow {
                version: OTHER_VERSION,
                body: "{".to_owned(),
            }),
        }
    }

    fn out(&mut self, action: Action) -> Out {
        match action {
            Action::Write { op, write } => {
                self.op = op;
                let body = RowBody::parse(&write.body).unwrap();
                let precondition = match write.precondition {
                    Precondition::Absent => None,
                    Precondition::Version(version) => Some(version.0),
                };
                if body.state != RowState::Claimed {
                    return Out::Settle(body.state, precondition);
                }
                self.claim = Some(write);
                Out::Claim(precondition)
            }
            Action::Withdraw { op } => {
                assert_eq!(op, self.op, "another write is withdrawn");
                Out::Withdraw
            }
            Action::Read { op, .. } => {
                self.op = op;
                Out::Read
            }
            Action::Dispatch { attempt, .. } => Out::Dispatch(attempt),
            Action::Reply { reply, .. } => match reply {
                Reply::Answer(_) => Out::Answer,
                Reply::NotRun { refusal } => Out::NotRun(refusal),
                Reply::Unknown { reason } => Out::Unknown(reason),
            },
            Action::Closed { .. } => Out::Closed,
        }
    }
}

fn answer(size: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![b'x'; size],
    }
}
