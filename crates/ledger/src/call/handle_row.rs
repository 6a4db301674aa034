//! Reactions of a call to the current row, as a read or a conflicting write returned it.

use bv_types::{Millis, Refusal, Version};

use super::{Call, CallContext, MIN_RETRY_DELAY, NextOp, Phase, StoreIo};
use crate::{DISPATCH_WINDOW, Precondition, Reply, RowBody, RowState, StoredRow, UnknownReason};

/// Upper limit of the delay between reads of a row that another attempt has claimed.
const MAX_POLL_DELAY: Millis = Millis(1_000);

impl Call {
    /// Continues the call with the current row, or with none if the row does not exist.
    pub(super) fn handle_row(&mut self, cx: &mut CallContext<'_>, row: Option<StoredRow>) {
        let body = row.as_ref().map(|row| RowBody::parse(&row.body));
        match self.phase {
            Phase::Claiming | Phase::Polling { .. } => match (row, body) {
                (Some(row), Some(Some(body))) => {
                    self.handle_row_while_claiming(cx, row.version, body)
                }
                (Some(_), _) => self.finish_unknown(cx, UnknownReason::RowMalformed),
                (None, _) if matches!(self.phase, Phase::Claiming) => {
                    self.claim(cx, Precondition::Absent);
                }
                (None, _) => self.finish_unknown(cx, UnknownReason::RowVanished),
            },
            Phase::Settling(_) => self.handle_row_while_settling(cx, row, body.flatten()),
            _ => {}
        }
    }

    fn handle_row_while_claiming(
        &mut self,
        cx: &mut CallContext<'_>,
        version: Version,
        body: RowBody,
    ) {
        let own = body.nonce == self.arrival.nonce;
        if own && body.state == RowState::Claimed {
            self.dispatch_by = body.time + DISPATCH_WINDOW;
            return self.claim_confirmed(cx, version);
        }
        // An unanswered claim can still take effect only while the row has the version that the
        // claim requires. The claims below then repeat it with the same precondition.
        self.claim_may_take_effect &= self.claim_precondition == Precondition::Version(version);
        if body.expires <= cx.now {
            return self.claim(cx, Precondition::Version(version));
        }
        match body.state {
            RowState::NotRun => self.claim(cx, Precondition::Version(version)),
            RowState::Unknown => self.finish_unknown(cx, UnknownReason::Recorded),
            RowState::Done => match body.answer {
                Some(answer) => {
                    self.reply(cx, Reply::Answer(answer));
                    self.close(cx);
                }
                None => self.finish_unknown(cx, UnknownReason::AnswerTooLarge),
            },
            RowState::Claimed if cx.dead.contains(&body.host, body.incarnation) => {
                self.finish_unknown(cx, UnknownReason::HostDead);
            }
            RowState::Claimed => self.poll_other_attempt(cx, body),
        }
    }

    fn poll_other_attempt(&mut self, cx: &mut CallContext<'_>, body: RowBody) {
        self.phase = Phase::Polling {
            host: body.host,
            incarnation: body.incarnation,
        };
        let until = cx.now + self.poll_delay;
        self.poll_delay = (self.poll_delay + self.poll_delay).min(MAX_POLL_DELAY);
        self.io = StoreIo::Delayed {
            until,
            next: NextOp::Read,
        };
    }

    fn handle_row_while_settling(
        &mut self,
        cx: &mut CallContext<'_>,
        row: Option<StoredRow>,
        body: Option<RowBody>,
    ) {
        let Phase::Settling(outcome) = &self.phase else {
            return;
        };
        let own = body.filter(|body| body.nonce == self.arrival.nonce);
        let current = match &row {
            Some(row) => Precondition::Version(row.version),
            None => Precondition::Absent,
        };
        match own {
            Some(body) if body.state == outcome.state => self.close(cx),
            Some(_) => self.settle(cx, current),
            // The unanswered claim can still take effect. A write with the same precondition
            // prevents that.
            None if self.claim_may_take_effect && current == self.claim_precondition => {
                self.settle(cx, current)
            }
            None => self.close(cx),
        }
    }

    /// Dispatches the call, or claims it again if the confirmation came after the dispatch window.
    pub(super) fn claim_confirmed(&mut self, cx: &mut CallContext<'_>, version: Version) {
        self.claim_may_take_effect = false;
        self.retry_delay = MIN_RETRY_DELAY;
        if cx.now >= self.arrival.deadline {
            self.phase = Phase::Confirmed { version };
            return self.abandon(cx, Refusal::StoreUnavailable);
        }
        if cx.now >= self.dispatch_by {
            return self.claim(cx, Precondition::Version(version));
        }
        self.dispatch(cx, version);
    }
}
