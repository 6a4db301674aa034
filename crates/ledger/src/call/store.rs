//! Reads and writes of a call's row.

use bv_types::{Millis, Version};

use super::{Call, CallContext, MIN_RETRY_DELAY, NextOp, Outcome, Phase, StoreIo, WriteKind};
use crate::{
    Action, Answer, DISPATCH_WINDOW, Precondition, ROW_GRACE, RowBody, RowState, RowWrite,
    StoreAnswer, StoreOpId,
};

/// Upper limit of the delay before a failed read or write is retried.
const MAX_RETRY_DELAY: Millis = Millis(1_000);

impl Call {
    pub fn store_answer(&mut self, cx: &mut CallContext<'_>, number: u32, answer: StoreAnswer) {
        match (self.io, answer) {
            (
                StoreIo::Writing {
                    number: n,
                    kind,
                    version,
                    ..
                },
                StoreAnswer::Written,
            ) if n == number => {
                self.io = StoreIo::Idle;
                self.written(cx, kind, version);
            }
            (StoreIo::Writing { number: n, .. }, StoreAnswer::Conflict(row)) if n == number => {
                self.io = StoreIo::Idle;
                self.handle_row(cx, row);
            }
            (
                StoreIo::Writing {
                    number: n,
                    kind,
                    precondition,
                    ..
                },
                StoreAnswer::NotWritten,
            ) if n == number => {
                self.io = StoreIo::Idle;
                self.not_written(cx, kind, precondition);
            }
            (StoreIo::Reading { number: n }, StoreAnswer::Row(row)) if n == number => {
                self.io = StoreIo::Idle;
                self.handle_row(cx, row);
            }
            (StoreIo::Reading { number: n }, StoreAnswer::ReadFailed) if n == number => {
                self.retry_later(cx, NextOp::Read);
            }
            _ => {}
        }
    }

    pub fn store_unanswered(&mut self, cx: &mut CallContext<'_>, number: u32) {
        match self.io {
            StoreIo::Writing {
                number: n, kind, ..
            } if n == number => {
                self.claim_may_take_effect |= kind == WriteKind::Claim;
                self.read(cx);
            }
            StoreIo::Reading { number: n } if n == number => self.retry_later(cx, NextOp::Read),
            _ => {}
        }
    }

    fn written(&mut self, cx: &mut CallContext<'_>, kind: WriteKind, version: Version) {
        match (&self.phase, kind) {
            (Phase::Claiming, WriteKind::Claim) => self.claim_confirmed(cx, version),
            (Phase::Settling(_), WriteKind::Claim) => {
                self.settle(cx, Precondition::Version(version))
            }
            (Phase::Settling(_), WriteKind::Settle) => self.close(cx),
            _ => {}
        }
    }

    fn not_written(
        &mut self,
        cx: &mut CallContext<'_>,
        kind: WriteKind,
        precondition: Precondition,
    ) {
        match (&self.phase, kind) {
            (Phase::Claiming, _) if self.claim_may_take_effect => {
                self.retry_later(cx, NextOp::Read)
            }
            (Phase::Claiming, _) => self.retry_later(cx, NextOp::Claim(precondition)),
            (Phase::Settling(_), WriteKind::Settle) => {
                self.retry_later(cx, NextOp::Settle(precondition))
            }
            (Phase::Settling(_), WriteKind::Claim) if self.claim_may_take_effect => self.read(cx),
            (Phase::Settling(_), WriteKind::Claim) => self.close(cx),
            _ => {}
        }
    }

    pub(super) fn settle_from(
        &mut self,
        cx: &mut CallContext<'_>,
        version: Version,
        state: RowState,
        answer: Option<Answer>,
    ) {
        self.phase = Phase::Settling(Outcome { state, answer });
        self.retry_delay = MIN_RETRY_DELAY;
        self.settle(cx, Precondition::Version(version));
    }

    pub(super) fn start_op(&mut self, cx: &mut CallContext<'_>, next: NextOp) {
        match next {
            NextOp::Read => self.read(cx),
            NextOp::Claim(precondition) => self.claim(cx, precondition),
            NextOp::Settle(precondition) => self.settle(cx, precondition),
        }
    }

    pub(super) fn claim(&mut self, cx: &mut CallContext<'_>, precondition: Precondition) {
        self.phase = Phase::Claiming;
        self.claim_precondition = precondition;
        self.dispatch_by = cx.now + DISPATCH_WINDOW;
        self.write(cx, WriteKind::Claim, precondition, RowState::Claimed, None);
    }

    pub(super) fn settle(&mut self, cx: &mut CallContext<'_>, precondition: Precondition) {
        if let Phase::Settling(outcome) = &self.phase {
            let (state, answer) = (outcome.state, outcome.answer.clone());
            self.write(cx, WriteKind::Settle, precondition, state, answer);
        }
    }

    fn write(
        &mut self,
        cx: &mut CallContext<'_>,
        kind: WriteKind,
        precondition: Precondition,
        state: RowState,
        answer: Option<Answer>,
    ) {
        // The first version comes from the clock, so that it differs from the versions of an
        // expired row with the same key. Otherwise a late write for the old row could match the
        // new one.
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
        let op = self.next_op_id();
        self.io = StoreIo::Writing {
            number: op.number,
            kind,
            precondition,
            version,
        };
        cx.actions.push(Action::Write {
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

    pub(super) fn read(&mut self, cx: &mut CallContext<'_>) {
        let op = self.next_op_id();
        self.io = StoreIo::Reading { number: op.number };
        cx.actions.push(Action::Read {
            op,
            key: self.arrival.key.clone(),
        });
    }

    pub(super) fn retry_later(&mut self, cx: &CallContext<'_>, next: NextOp) {
        let until = cx.now + self.retry_delay;
        self.retry_delay = (self.retry_delay + self.retry_delay).min(MAX_RETRY_DELAY);
        self.io = StoreIo::Delayed { until, next };
    }

    fn next_op_id(&mut self) -> StoreOpId {
        self.last_op_number += 1;
        self.op_id(self.last_op_number)
    }

    pub(super) fn op_id(&self, number: u32) -> StoreOpId {
        StoreOpId {
            call: self.arrival.id,
            number,
        }
    }
}
