//! One entry host of the world and what its callers were told.

use bv_ledger::{CallId, GroupCommit, Ledger, Reply, commit_interval};
use bv_types::{HostId, Incarnation, Millis};

/// A call and what its caller was told.
#[derive(Debug, Clone)]
pub struct Told {
    pub call: CallId,
    pub key: usize,
    pub arrived: Millis,
    pub deadline: Millis,
    /// Whether bytes were sent to the backend server.
    pub sent: bool,
    pub reply: Option<(Millis, Reply)>,
    /// Whether its process ended first.
    pub crashed: bool,
    /// Whether the caller closed its connection.
    pub gone: bool,
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
    /// Calls of all processes of this host.
    pub calls: Vec<Told>,
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
        self.calls.push(Told {
            call,
            key,
            arrived: now,
            deadline,
            sent: false,
            reply: None,
            crashed: false,
            gone: false,
            closed: false,
        });
        call
    }

    pub fn key_of(&self, call: CallId) -> usize {
        self.calls[call.0 as usize].key
    }

    pub fn sent(&mut self, call: CallId) {
        let told = &mut self.calls[call.0 as usize];
        told.sent = true;
        let not_run = told
            .reply
            .as_ref()
            .is_some_and(|(_, reply)| super::is_not_run(reply));
        assert!(!not_run, "{call:?} was told \"not run\" and is sent now");
    }

    pub fn told(&mut self, call: CallId, now: Millis, reply: Reply) {
        let key = self.key_of(call);
        let mut open = self
            .calls
            .iter()
            .filter(|told| told.key == key && !told.closed);
        assert!(
            !super::is_not_run(&reply) || open.all(|told| !told.sent),
            "{call:?} is told \"not run\" while this host runs the same call"
        );
        let told = &mut self.calls[call.0 as usize];
        assert!(told.reply.is_none(), "{call:?} was answered twice");
        assert!(
            !(told.sent && super::is_not_run(&reply)),
            "{call:?} was sent and is told \"not run\" now"
        );
        told.reply = Some((now, reply));
    }
}
