//! What a call does with its row as it is.

use bv_types::{Millis, Refusal, Version};

use super::{Call, Cx, Io, MIN_RETRY, Next, Phase};
use crate::{DISPATCH_LIMIT, Precondition, Reply, RowBody, RowState, StoredRow, UnknownReason};

/// Longest pause between reads of a row that another attempt has claimed.
const MAX_POLL: Millis = Millis(1_000);

impl Call {
    /// Continues with the row as it is.
    pub(super) fn examine(&mut self, cx: &mut Cx<'_>, row: Option<StoredRow>) {
        let body = row.as_ref().map(|row| RowBody::parse(&row.body));
        match self.phase {
            Phase::Claiming | Phase::Polling { .. } => match (row, body) {
                (Some(row), Some(Some(body))) => self.examine_claim(cx, row.version, body),
                (Some(_), _) => self.give_up(cx, UnknownReason::RowMalformed),
                (None, _) if matches!(self.phase, Phase::Claiming) => {
                    self.claim(cx, Precondition::Absent);
                }
                (None, _) => self.give_up(cx, UnknownReason::RowVanished),
            },
            Phase::Settling(_) => self.examine_settling(cx, row, body.flatten()),
            _ => {}
        }
    }

    fn examine_claim(&mut self, cx: &mut Cx<'_>, version: Version, body: RowBody) {
        let own = body.nonce == self.arrival.nonce;
        if own && body.state == RowState::Claimed {
            self.dispatch_by = body.time + DISPATCH_LIMIT;
            return self.confirmed(cx, version);
        }
        // The row exists in another version than the claim expected, unless a read found it
        // unchanged; then the same claim is written again.
        self.claim_open &= self.claim_precondition == Precondition::Version(version);
        if body.expires <= cx.now {
            return self.claim(cx, Precondition::Version(version));
        }
        match body.state {
            RowState::NotRun => self.claim(cx, Precondition::Version(version)),
            RowState::Unknown => self.give_up(cx, UnknownReason::Recorded),
            RowState::Done => match body.answer {
                Some(answer) => {
                    self.reply(cx, Reply::Answer(answer));
                    self.close(cx);
                }
                None => self.give_up(cx, UnknownReason::AnswerTooLarge),
            },
            RowState::Claimed if cx.dead.contains(&body.host, body.incarnation) => {
                self.give_up(cx, UnknownReason::HostDead);
            }
            RowState::Claimed => self.await_other(cx, body),
        }
    }

    fn await_other(&mut self, cx: &mut Cx<'_>, body: RowBody) {
        self.phase = Phase::Polling {
            host: body.host,
            incarnation: body.incarnation,
        };
        let until = cx.now + self.poll;
        self.poll = (self.poll + self.poll).min(MAX_POLL);
        self.io = Io::Pause {
            until,
            next: Next::Read,
        };
    }

    fn examine_settling(&mut self, cx: &mut Cx<'_>, row: Option<StoredRow>, body: Option<RowBody>) {
        let Phase::Settling(settled) = &self.phase else {
            return;
        };
        let own = body.filter(|body| body.nonce == self.arrival.nonce);
        let current = match &row {
            Some(row) => Precondition::Version(row.version),
            None => Precondition::Absent,
        };
        match own {
            Some(body) if body.state == settled.state => self.close(cx),
            Some(_) => self.settle(cx, current),
            // The claim can still take effect; a write under its own condition prevents that.
            None if self.claim_open && current == self.claim_precondition => {
                self.settle(cx, current)
            }
            None => self.close(cx),
        }
    }

    /// Dispatches a claimed call, or renews a claim that is confirmed too late for that.
    pub(super) fn confirmed(&mut self, cx: &mut Cx<'_>, version: Version) {
        self.claim_open = false;
        self.retry = MIN_RETRY;
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
