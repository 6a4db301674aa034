//! State machine of one call.

mod handle_row;
mod store;

use bv_types::{HostId, Incarnation, Millis, Refusal, Version};
use smol_str::SmolStr;

use crate::dead_hosts::DeadHosts;
use crate::{Action, Answer, CallId, Precondition, Reply, RowState, UnknownReason};

/// First delay before a failed read or write is retried; doubles with each retry.
const MIN_RETRY_DELAY: Millis = Millis(50);
/// First delay between reads of a row that another attempt has claimed; doubles with each read.
const MIN_POLL_DELAY: Millis = Millis(100);

/// State of the ledger that a call uses while it handles an event.
pub(crate) struct CallContext<'a> {
    pub now: Millis,
    pub host: &'a HostId,
    pub incarnation: Incarnation,
    pub dead: &'a DeadHosts,
    /// All calls of this host; `None` for the one that handles the event.
    pub others: &'a [(CallId, Option<Box<Call>>)],
    pub actions: &'a mut Vec<Action>,
}

/// Parameters of a call, fixed when it arrives.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub id: CallId,
    pub key: SmolStr,
    pub nonce: SmolStr,
    pub deadline: Millis,
    pub resend_window: Millis,
}

#[derive(Debug)]
pub(crate) struct Call {
    arrival: Arrival,
    phase: Phase,
    io: StoreIo,
    replied: bool,
    /// End of the dispatch window of the claim.
    dispatch_by: Millis,
    attempt: u32,
    /// Precondition of the latest claim.
    claim_precondition: Precondition,
    /// Whether an unanswered claim may still take effect.
    claim_may_take_effect: bool,
    retry_delay: Millis,
    poll_delay: Millis,
    last_op_number: u32,
}

#[derive(Debug)]
enum Phase {
    /// The claim is not confirmed.
    Claiming,
    /// The claim is confirmed and nothing was sent.
    Confirmed { version: Version },
    /// The call may have been sent.
    Running { version: Version },
    /// Another attempt has claimed the row.
    Polling {
        host: HostId,
        incarnation: Incarnation,
    },
    /// Nothing is sent any more; the outcome is being written to the row.
    Settling(Outcome),
    /// The outcome is recorded, or there is none to record.
    Closed,
}

#[derive(Debug)]
struct Outcome {
    state: RowState,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteKind {
    Claim,
    Settle,
}

/// Read or write to start after a delay.
#[derive(Debug, Clone, Copy)]
enum NextOp {
    Read,
    Claim(Precondition),
    Settle(Precondition),
}

/// Read or write of the row in progress.
#[derive(Debug, Clone, Copy)]
enum StoreIo {
    Idle,
    Delayed {
        until: Millis,
        next: NextOp,
    },
    Reading {
        number: u32,
    },
    Writing {
        number: u32,
        kind: WriteKind,
        precondition: Precondition,
        version: Version,
    },
}

impl Call {
    pub fn new(arrival: Arrival) -> Self {
        Call {
            arrival,
            phase: Phase::Claiming,
            io: StoreIo::Idle,
            replied: false,
            dispatch_by: Millis::MAX,
            attempt: 0,
            claim_precondition: Precondition::Absent,
            claim_may_take_effect: false,
            retry_delay: MIN_RETRY_DELAY,
            poll_delay: MIN_POLL_DELAY,
            last_op_number: 0,
        }
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    pub fn wake_at(&self) -> Option<Millis> {
        let delay_end = match self.io {
            StoreIo::Delayed { until, .. } => Some(until),
            _ => None,
        };
        let phase_deadline = match self.phase {
            Phase::Confirmed { .. } => Some(self.dispatch_cutoff()),
            Phase::Running { .. } if self.replied => None,
            Phase::Claiming | Phase::Running { .. } | Phase::Polling { .. } => {
                Some(self.arrival.deadline)
            }
            Phase::Settling(_) | Phase::Closed => None,
        };
        [delay_end, phase_deadline].into_iter().flatten().min()
    }

    pub fn arrive(&mut self, cx: &mut CallContext<'_>) {
        self.claim(cx, Precondition::Absent);
    }

    pub fn start(&mut self, now: Millis, attempt: u32) -> bool {
        let Phase::Confirmed { version } = self.phase else {
            return false;
        };
        if attempt != self.attempt || now >= self.dispatch_cutoff() {
            return false;
        }
        self.phase = Phase::Running { version };
        true
    }

    pub fn dispatch_refused(&mut self, cx: &mut CallContext<'_>, retry: bool, refusal: Refusal) {
        let (Phase::Confirmed { version } | Phase::Running { version }) = self.phase else {
            return;
        };
        if retry && !self.replied && cx.now < self.dispatch_cutoff() {
            self.attempt += 1;
            self.dispatch(cx, version);
            return;
        }
        self.reply(cx, Reply::NotRun { refusal });
        self.settle_from(cx, version, RowState::NotRun, None);
    }

    pub fn dispatch_failed(&mut self, cx: &mut CallContext<'_>) {
        let Phase::Running { version } = self.phase else {
            return;
        };
        self.reply_unknown(cx, UnknownReason::ConnectionLost);
        self.settle_from(cx, version, RowState::Unknown, None);
    }

    pub fn answered(&mut self, cx: &mut CallContext<'_>, answer: Answer) {
        let Phase::Running { version } = self.phase else {
            return;
        };
        let stored = answer.is_storable().then(|| answer.clone());
        self.reply(cx, Reply::Answer(answer));
        self.settle_from(cx, version, RowState::Done, stored);
    }

    pub fn caller_disconnected(&mut self, cx: &mut CallContext<'_>) {
        match self.phase {
            Phase::Claiming | Phase::Confirmed { .. } => {
                self.abandon(cx, Refusal::CallerDisconnected)
            }
            Phase::Polling { .. } => self.finish_unknown(cx, UnknownReason::InProgress),
            Phase::Running { .. } | Phase::Settling(_) | Phase::Closed => {}
        }
        self.replied = true;
    }

    pub fn hosts_changed(&mut self, cx: &mut CallContext<'_>) {
        if let Phase::Polling { host, incarnation } = &self.phase
            && cx.dead.contains(host, *incarnation)
        {
            self.finish_unknown(cx, UnknownReason::HostDead);
        }
    }

    pub fn tick(&mut self, cx: &mut CallContext<'_>) {
        let late = cx.now >= self.arrival.deadline;
        match self.phase {
            Phase::Claiming if late => self.abandon(cx, Refusal::StoreUnavailable),
            Phase::Confirmed { .. } if cx.now >= self.dispatch_cutoff() => {
                self.abandon(cx, Refusal::DispatchTooLate);
            }
            Phase::Polling { .. } if late => self.finish_unknown(cx, UnknownReason::InProgress),
            Phase::Running { .. } if late => self.reply_unknown(cx, UnknownReason::Deadline),
            _ => {}
        }
        if let StoreIo::Delayed { until, next } = self.io
            && until <= cx.now
        {
            self.start_op(cx, next);
        }
    }

    /// Whether this call may have been sent.
    fn is_dispatched(&self) -> bool {
        match &self.phase {
            Phase::Running { .. } => true,
            Phase::Settling(outcome) => outcome.state != RowState::NotRun,
            _ => false,
        }
    }

    /// Time from which the call must not be sent.
    fn dispatch_cutoff(&self) -> Millis {
        self.dispatch_by.min(self.arrival.deadline)
    }

    fn dispatch(&mut self, cx: &mut CallContext<'_>, version: Version) {
        self.phase = Phase::Confirmed { version };
        cx.actions.push(Action::Dispatch {
            call: self.arrival.id,
            attempt: self.attempt,
        });
    }

    /// Rules out dispatch from now on and tells the caller that the call did not run, or that this
    /// is unknown if another attempt at this host may have run it.
    fn abandon(&mut self, cx: &mut CallContext<'_>, refusal: Refusal) {
        // This attempt did not run, but another one with the same key at this host may have.
        let calls = cx.others.iter().filter_map(|(_, call)| call.as_ref());
        let ran = calls
            .filter(|call| call.arrival.key == self.arrival.key)
            .any(|call| call.is_dispatched());
        match ran {
            true => self.reply_unknown(cx, UnknownReason::InProgress),
            false => self.reply(cx, Reply::NotRun { refusal }),
        }
        if let Phase::Confirmed { version } = self.phase {
            return self.settle_from(cx, version, RowState::NotRun, None);
        }
        self.phase = Phase::Settling(Outcome {
            state: RowState::NotRun,
            answer: None,
        });
        match self.io {
            StoreIo::Writing { number, .. } => cx.actions.push(Action::Withdraw {
                op: self.op_id(number),
            }),
            StoreIo::Reading { .. } => {}
            StoreIo::Idle | StoreIo::Delayed { .. } if self.claim_may_take_effect => self.read(cx),
            StoreIo::Idle | StoreIo::Delayed { .. } => self.close(cx),
        }
    }

    fn finish_unknown(&mut self, cx: &mut CallContext<'_>, reason: UnknownReason) {
        self.reply_unknown(cx, reason);
        self.close(cx);
    }

    fn reply_unknown(&mut self, cx: &mut CallContext<'_>, reason: UnknownReason) {
        self.reply(cx, Reply::Unknown { reason });
    }

    fn reply(&mut self, cx: &mut CallContext<'_>, reply: Reply) {
        if std::mem::replace(&mut self.replied, true) {
            return;
        }
        cx.actions.push(Action::Reply {
            call: self.arrival.id,
            reply,
        });
    }

    fn close(&mut self, cx: &mut CallContext<'_>) {
        self.phase = Phase::Closed;
        self.io = StoreIo::Idle;
        cx.actions.push(Action::Closed {
            call: self.arrival.id,
        });
    }
}
