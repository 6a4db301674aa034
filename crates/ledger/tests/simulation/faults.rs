//! Dispatches to the backend server and transactions of the table, with injected faults.

use bv_ledger::{CallId, DISPATCH_WINDOW, Event, RowState, TransactionResult};
use bv_types::{Millis, Refusal};

use super::{Simulation, Step, answer_of, key_name};

/// Longest delay after which an unanswered write takes effect.
const MAX_LATE_WRITE_MS: u64 = 30_000;

impl Simulation {
    pub(super) fn dispatch(&mut self, host: usize, call: CallId, attempt: u32) {
        if self.fault() && self.rng.bool() {
            let until = self.after(1, 15_000);
            // The host is paused between the claim and its dispatch.
            self.hosts[host].paused_until = until;
            return self.schedule(until, host, Step::Dispatch { call, attempt });
        }
        if !self.hosts[host].ledger.start(self.now, call, attempt) {
            return self.event(host, Event::Tick);
        }
        let key = self.hosts[host].key_of(call);
        if self.fault() && self.rng.bool() {
            let event = Event::DispatchRefused {
                call,
                retry: self.rng.bool(),
                refusal: Refusal::ConnectRefused,
            };
            let at = self.after(1, 500);
            return self.schedule(at, host, Step::Outcome { event });
        }
        self.check_claim(host, call, key);
        self.hosts[host].record_sent(call);
        let run_at = self.after(1, 3_000);
        let lost = self.fault();
        if !lost || self.rng.bool() {
            self.schedule(run_at, host, Step::Run { key });
        }
        let event = match lost {
            true => Event::DispatchFailed { call },
            false => Event::Answered {
                call,
                answer: answer_of(key),
            },
        };
        self.schedule(run_at + Millis(1), host, Step::Outcome { event });
    }

    /// Checks that a call is sent only under its own recent claim and before its deadline.
    fn check_claim(&self, host: usize, call: CallId, key: usize) {
        let body = self
            .table
            .body(&key_name(key))
            .expect("a call is sent without a row");
        let host = &self.hosts[host];
        assert_eq!(
            body.state,
            RowState::Claimed,
            "{call:?} is sent without a claim"
        );
        assert_eq!((&body.host, body.incarnation), (&host.id, host.incarnation));
        assert!(
            self.now < body.time + DISPATCH_WINDOW,
            "{call:?} is sent after the dispatch window of its claim"
        );
        let deadline = host.calls[call.0 as usize].deadline;
        assert!(self.now < deadline, "{call:?} is sent after its deadline");
    }

    pub(super) fn send_transaction(&mut self, host: usize) {
        let Some(writes) = self.hosts[host].commit.next(self.now) else {
            return;
        };
        let unanswered = TransactionResult::Unanswered;
        let timeout = self.now + Millis(1_000);
        if !self.fault() {
            let at = self.after(1, 30);
            let answer_at = Some(at + Millis(self.rng.u64(1..=30)));
            return self.schedule(at, host, Step::Apply { writes, answer_at });
        }
        match self.rng.u8(..4) {
            0 => {
                let result = TransactionResult::Unavailable;
                let at = self.after(1, 100);
                self.schedule(at, host, Step::Finished { result });
            }
            1 => {
                let at = self.after(1, 100);
                self.schedule(
                    at,
                    host,
                    Step::Apply {
                        writes,
                        answer_at: None,
                    },
                );
                self.schedule(timeout, host, Step::Finished { result: unanswered });
            }
            2 => {
                let at = self.after(1, MAX_LATE_WRITE_MS);
                self.schedule(
                    at,
                    host,
                    Step::Apply {
                        writes,
                        answer_at: None,
                    },
                );
                self.schedule(timeout, host, Step::Finished { result: unanswered });
            }
            _ => self.schedule(timeout, host, Step::Finished { result: unanswered }),
        }
    }
}
