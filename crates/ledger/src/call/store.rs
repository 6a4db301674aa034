//! Reads and writes of a call's row.

use bv_types::{Millis, Version};

use super::{Call, Cx, Io, Kind, MIN_RETRY, Next, Phase, Settled};
use crate::{
    Action, Answer, DISPATCH_LIMIT, Precondition, ROW_GRACE, RowBody, RowState, RowWrite,
    StoreAnswer, StoreOpId,
};

/// Longest pause before a failed read or write is repeated.
const MAX_RETRY: Millis = Millis(1_000);

impl Call {
    pub fn store_answer(&mut self, cx: &mut Cx<'_>, number: u32, answer: StoreAnswer) {
        match (self.io, answer) {
            (
                Io::Writing {
                    number: n,
                    kind,
                    version,
                    ..
                },
                StoreAnswer::Written,
            ) if n == number => {
                self.io = Io::Idle;
                self.written(cx, kind, version);
            }
            (Io::Writing { number: n, .. }, StoreAnswer::Conflict(row)) if n == number => {
                self.io = Io::Idle;
                self.examine(cx, row);
            }
            (
                Io::Writing {
                    number: n,
                    kind,
                    precondition,
                    ..
                },
                StoreAnswer::NotWritten,
            ) if n == number => {
                self.io = Io::Idle;
                self.not_written(cx, kind, precondition);
            }
            (Io::Reading { number: n }, StoreAnswer::Row(row)) if n == number => {
                self.io = Io::Idle;
                self.examine(cx, row);
            }
            (Io::Reading { number: n }, StoreAnswer::ReadFailed) if n == number => {
                self.pause(cx, Next::Read);
            }
            _ => {}
        }
    }

    pub fn store_unanswered(&mut self, cx: &mut Cx<'_>, number: u32) {
        match self.io {
            Io::Writing {
                number: n, kind, ..
            } if n == number => {
                self.claim_open |= kind == Kind::Claim;
                self.read(cx);
            }
            Io::Reading { number: n } if n == number => self.pause(cx, Next::Read),
            _ => {}
        }
    }

    fn written(&mut self, cx: &mut Cx<'_>, kind: Kind, version: Version) {
        match (&self.phase, kind) {
            (Phase::Claiming, Kind::Claim) => self.confirmed(cx, version),
            (Phase::Settling(_), Kind::Claim) => self.settle(cx, Precondition::Version(version)),
            (Phase::Settling(_), Kind::Settle) => self.close(cx),
            _ => {}
        }
    }

    fn not_written(&mut self, cx: &mut Cx<'_>, kind: Kind, precondition: Precondition) {
        match (&self.phase, kind) {
            (Phase::Claiming, _) if self.claim_open => self.pause(cx, Next::Read),
            (Phase::Claiming, _) => self.pause(cx, Next::Claim(precondition)),
            (Phase::Settling(_), Kind::Settle) => self.pause(cx, Next::Settle(precondition)),
            (Phase::Settling(_), Kind::Claim) if self.claim_open => self.read(cx),
            (Phase::Settling(_), Kind::Claim) => self.close(cx),
            _ => {}
        }
    }

    pub(super) fn settle_from(
        &mut self,
        cx: &mut Cx<'_>,
        version: Version,
        state: RowState,
        answer: Option<Answer>,
    ) {
        self.phase = Phase::Settling(Settled { state, answer });
        self.retry = MIN_RETRY;
        self.settle(cx, Precondition::Version(version));
    }

    pub(super) fn proceed(&mut self, cx: &mut Cx<'_>, next: Next) {
        match next {
            Next::Read => self.read(cx),
            Next::Claim(precondition) => self.claim(cx, precondition),
            Next::Settle(precondition) => self.settle(cx, precondition),
        }
    }

    pub(super) fn claim(&mut self, cx: &mut Cx<'_>, precondition: Precondition) {
        self.phase = Phase::Claiming;
        self.claim_precondition = precondition;
        self.dispatch_by = cx.now + DISPATCH_LIMIT;
        self.write(cx, Kind::Claim, precondition, RowState::Claimed, None);
    }

    pub(super) fn settle(&mut self, cx: &mut Cx<'_>, precondition: Precondition) {
        if let Phase::Settling(settled) = &self.phase {
            let (state, answer) = (settled.state, settled.answer.clone());
            self.write(cx, Kind::Settle, precondition, state, answer);
        }
    }

    fn write(
        &mut self,
        cx: &mut Cx<'_>,
        kind: Kind,
        precondition: Precondition,
        state: RowState,
        answer: Option<Answer>,
    ) {
        // A first version taken from the clock differs from that of an expired row of the same
        // key, so that a late write for the old row cannot match the new one.
        let version = match precondition {
            Precondition::Absent => Version(cx.now.0),
            Precondition::Version(version) => Version(version.0 + 1),
        };
        let expires = cx.now + self.arrival.resend_window + ROW_GRACE;
        let body = RowBody {
            state,
            host: cx.host.clone(),
            incarnation: cx.incarnation,
            nonce: self.arrival.nonce.clone(),
            attempt: self.attempt,
            time: cx.now,
            expires,
            answer,
        };
        let op = self.next_ticket();
        self.io = Io::Writing {
            number: op.number,
            kind,
            precondition,
            version,
        };
        cx.out.push(Action::Write {
            op,
            write: RowWrite {
                key: self.arrival.key.clone(),
                version,
                body: body.to_json(),
                precondition,
                expires,
            },
        });
    }

    pub(super) fn read(&mut self, cx: &mut Cx<'_>) {
        let op = self.next_ticket();
        self.io = Io::Reading { number: op.number };
        cx.out.push(Action::Read {
            op,
            key: self.arrival.key.clone(),
        });
    }

    pub(super) fn pause(&mut self, cx: &Cx<'_>, next: Next) {
        let until = cx.now + self.retry;
        self.retry = (self.retry + self.retry).min(MAX_RETRY);
        self.io = Io::Pause { until, next };
    }

    fn next_ticket(&mut self) -> StoreOpId {
        self.tickets += 1;
        self.ticket(self.tickets)
    }

    pub(super) fn ticket(&self, number: u32) -> StoreOpId {
        StoreOpId {
            call: self.arrival.id,
            number,
        }
    }
}
