//! State machine of one call.

mod examine;
mod store;

use bv_types::{HostId, Incarnation, Millis, Refusal, Version};
use smol_str::SmolStr;

use crate::dead::DeadHosts;
use crate::{Action, Answer, CallId, Precondition, Reply, RowState, UnknownReason};

/// First pause before a failed read or write is repeated; doubles each time.
const MIN_RETRY: Millis = Millis(50);
/// First pause between reads of a row that another attempt has claimed; doubles each time.
const MIN_POLL: Millis = Millis(100);

/// What a step of a call may use besides the call.
pub(crate) struct Cx<'a> {
    pub now: Millis,
    pub host: &'a HostId,
    pub incarnation: Incarnation,
    pub dead: &'a DeadHosts,
    pub others: &'a [(CallId, Option<Box<Call>>)],
    pub out: &'a mut Vec<Action>,
}

/// A call as it arrived.
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
    io: Io,
    replied: bool,
    dispatch_by: Millis,
    attempt: u32,
    /// Condition of the latest claim.
    claim_precondition: Precondition,
    /// Whether a claim without an answer may still take effect.
    claim_open: bool,
    retry: Millis,
    poll: Millis,
    tickets: u32,
}

#[derive(Debug)]
enum Phase {
    /// The claim is not confirmed.
    Claiming,
    /// The claim is confirmed; nothing was sent.
    Confirmed { version: Version },
    /// The call may have been sent.
    Running { version: Version },
    /// Another attempt holds the row.
    Polling {
        host: HostId,
        incarnation: Incarnation,
    },
    /// Nothing will be sent from now on; the row is being set to its last state.
    Settling(Settled),
    /// Nothing is left to do.
    Closed,
}

#[derive(Debug)]
struct Settled {
    state: RowState,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Claim,
    Settle,
}

#[derive(Debug, Clone, Copy)]
enum Next {
    Read,
    Claim(Precondition),
    Settle(Precondition),
}

#[derive(Debug, Clone, Copy)]
enum Io {
    Idle,
    Pause {
        until: Millis,
        next: Next,
    },
    Reading {
        number: u32,
    },
    Writing {
        number: u32,
        kind: Kind,
        precondition: Precondition,
        version: Version,
    },
}

impl Call {
    pub fn new(arrival: Arrival) -> Self {
        Call {
            arrival,
            phase: Phase::Claiming,
            io: Io::Idle,
            replied: false,
            dispatch_by: Millis::MAX,
            attempt: 0,
            claim_precondition: Precondition::Absent,
            claim_open: false,
            retry: MIN_RETRY,
            poll: MIN_POLL,
            tickets: 0,
        }
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.phase, Phase::Closed)
    }

    pub fn wake_at(&self) -> Option<Millis> {
        let io = match self.io {
            Io::Pause { until, .. } => Some(until),
            _ => None,
        };
        let limit = match self.phase {
            Phase::Confirmed { .. } => Some(self.limit()),
            Phase::Running { .. } if self.replied => None,
            Phase::Claiming | Phase::Running { .. } | Phase::Polling { .. } => {
                Some(self.arrival.deadline)
            }
            Phase::Settling(_) | Phase::Closed => None,
        };
        [io, limit].into_iter().flatten().min()
    }

    pub fn arrive(&mut self, cx: &mut Cx<'_>) {
        self.claim(cx, Precondition::Absent);
    }

    pub fn start(&mut self, now: Millis, attempt: u32) -> bool {
        let Phase::Confirmed { version } = self.phase else {
            return false;
        };
        if attempt != self.attempt || now >= self.limit() {
            return false;
        }
        self.phase = Phase::Running { version };
        true
    }

    pub fn dispatch_refused(&mut self, cx: &mut Cx<'_>, retry: bool, refusal: Refusal) {
        let (Phase::Confirmed { version } | Phase::Running { version }) = self.phase else {
            return;
        };
        if retry && !self.replied && cx.now < self.limit() {
            self.attempt += 1;
            self.dispatch(cx, version);
            return;
        }
        self.reply(cx, Reply::NotRun { refusal });
        self.settle_from(cx, version, RowState::NotRun, None);
    }

    pub fn dispatch_failed(&mut self, cx: &mut Cx<'_>) {
        let Phase::Running { version } = self.phase else {
            return;
        };
        self.reply_unknown(cx, UnknownReason::ConnectionLost);
        self.settle_from(cx, version, RowState::Unknown, None);
    }

    pub fn answered(&mut self, cx: &mut Cx<'_>, answer: Answer) {
        let Phase::Running { version } = self.phase else {
            return;
        };
        let stored = answer.is_storable().then(|| answer.clone());
        self.reply(cx, Reply::Answer(answer));
        self.settle_from(cx, version, RowState::Done, stored);
    }

    pub fn caller_gone(&mut self, cx: &mut Cx<'_>) {
        match self.phase {
            Phase::Claiming | Phase::Confirmed { .. } => self.abandon(cx, Refusal::CallerGone),
            Phase::Polling { .. } => self.give_up(cx, UnknownReason::InProgress),
            Phase::Running { .. } | Phase::Settling(_) | Phase::Closed => {}
        }
        self.replied = true;
    }

    pub fn hosts_changed(&mut self, cx: &mut Cx<'_>) {
        if let Phase::Polling { host, incarnation } = &self.phase
            && cx.dead.contains(host, *incarnation)
        {
            self.give_up(cx, UnknownReason::HostDead);
        }
    }

    pub fn tick(&mut self, cx: &mut Cx<'_>) {
        let late = cx.now >= self.arrival.deadline;
        match self.phase {
            Phase::Claiming if late => self.abandon(cx, Refusal::StoreUnavailable),
            Phase::Confirmed { .. } if cx.now >= self.limit() => {
                self.abandon(cx, Refusal::DispatchTooLate);
            }
            Phase::Polling { .. } if late => self.give_up(cx, UnknownReason::InProgress),
            Phase::Running { .. } if late => self.reply_unknown(cx, UnknownReason::Deadline),
            _ => {}
        }
        if let Io::Pause { until, next } = self.io
            && until <= cx.now
        {
            self.proceed(cx, next);
        }
    }

    /// Whether this call may have been sent.
    fn is_dispatched(&self) -> bool {
        match &self.phase {
            Phase::Running { .. } => true,
            Phase::Settling(settled) => settled.state != RowState::NotRun,
            _ => false,
        }
    }

    /// Time from which the call is not sent any more.
    fn limit(&self) -> Millis {
        self.dispatch_by.min(self.arrival.deadline)
    }

    fn dispatch(&mut self, cx: &mut Cx<'_>, version: Version) {
        self.phase = Phase::Confirmed { version };
        cx.out.push(Action::Dispatch {
            call: self.arrival.id,
            attempt: self.attempt,
        });
    }

    /// Forbids dispatch from now on and tells the caller so.
    fn abandon(&mut self, cx: &mut Cx<'_>, refusal: Refusal) {
        // Another attempt of the same call at this host may have run; this one alone did not.
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
        self.phase = Phase::Settling(Settled {
            state: RowState::NotRun,
            answer: None,
        });
        match self.io {
            Io::Writing { number, .. } => cx.out.push(Action::Withdraw {
                op: self.ticket(number),
            }),
            Io::Reading { .. } => {}
            Io::Idle | Io::Pause { .. } if self.claim_open => self.read(cx),
            Io::Idle | Io::Pause { .. } => self.close(cx),
        }
    }

    fn give_up(&mut self, cx: &mut Cx<'_>, reason: UnknownReason) {
        self.reply_unknown(cx, reason);
        self.close(cx);
    }

    fn reply_unknown(&mut self, cx: &mut Cx<'_>, reason: UnknownReason) {
        self.reply(cx, Reply::Unknown { reason });
    }

    fn reply(&mut self, cx: &mut Cx<'_>, reply: Reply) {
        if std::mem::replace(&mut self.replied, true) {
            return;
        }
        cx.out.push(Action::Reply {
            call: self.arrival.id,
            reply,
        });
    }

    fn close(&mut self, cx: &mut Cx<'_>) {
        self.phase = Phase::Closed;
        self.io = Io::Idle;
        cx.out.push(Action::Closed {
            call: self.arrival.id,
        });
    }
}
