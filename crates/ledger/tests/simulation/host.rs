//! One simulated entry host and the replies to its callers.

use bv_ledger::{CallId, GroupCommit, Ledger, Reply, commit_interval};
use bv_types::{HostId, Incarnation, Millis};

/// A call and the reply to its caller.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub call: CallId,
    pub key: usize,
    pub arrived: Millis,
    pub deadline: Millis,
    /// Whether bytes were sent to the backend server.
    pub sent: bool,
    pub reply: Option<(Millis, Reply)>,
    /// Whether the host process ended before the reply.
    pub crashed: bool,
    /// Whether the caller closed its connection.
    pub disconnected: bool,
    /// Whether the outcome is recorded, or the process ended.
    pub closed: bool,
}

pub struct Host {
    pub id: HostId,
    pub incarnation: Incarnation,
    pub ledger: Ledger,
    pub commit: GroupCommit,
    pub paused_until: Millis,
    pub tick_at: Option<Millis>,
    /// Calls of all processes that this host has had.
    pub calls: Vec<CallRecord>,
}

impl Host {
    pub fn new(index: usize, now: Millis, seed: u64) -> Self {
        let id: HostId = format!("host-{index}").parse().unwrap();
        let incarnation = Incarnation(now.0);
        Host {
            ledger: Ledger::new(id.clone(), incarnation, seed),
            commit: GroupCommit::new(commit_interval(8)),
            paused_until: Millis::ZERO,
            tick_at: None,
            calls: Vec::new(),
            id,
            incarnation,
        }
    }

    pub fn restart(&mut self, now: Millis, seed: u64) {
        self.incarnation = Incarnation(now.0.max(self.incarnation.0 + 1));
        self.ledger = Ledger::new(self.id.clone(), self.incarnation, seed);
        self.commit = GroupCommit::new(commit_interval(8));
        self.tick_at = None;
        for call in &mut self.calls {
            call.crashed |= call.reply.is_none();
            call.closed = true;
        }
    }

    pub fn open_call(&mut self, key: usize, now: Millis, deadline: Millis) -> CallId {
        let call = CallId(self.calls.len() as u64);
        self.calls.push(CallRecord {
            call,
            key,
            arrived: now,
            deadline,
            sent: false,
            reply: None,
            crashed: false,
            disconnected: false,
            closed: false,
        });
        call
    }

    pub fn key_of(&self, call: CallId) -> usize {
        self.calls[call.0 as usize].key
    }

    pub fn record_sent(&mut self, call: CallId) {
        let record = &mut self.calls[call.0 as usize];
        record.sent = true;
        let not_run = record
            .reply
            .as_ref()
            .is_some_and(|(_, reply)| super::is_not_run(reply));
        assert!(!not_run, "{call:?} was sent after the reply \"not run\"");
    }

    pub fn record_reply(&mut self, call: CallId, now: Millis, reply: Reply) {
        let key = self.key_of(call);
        let mut open = self
            .calls
            .iter()
            .filter(|record| record.key == key && !record.closed);
        assert!(
            !super::is_not_run(&reply) || open.all(|record| !record.sent),
            "{call:?} got the reply \"not run\" while this host runs the same call"
        );
        let record = &mut self.calls[call.0 as usize];
        assert!(record.reply.is_none(), "{call:?} got two replies");
        assert!(
            !(record.sent && super::is_not_run(&reply)),
            "{call:?} got the reply \"not run\" after it was sent"
        );
        record.reply = Some((now, reply));
    }
}
