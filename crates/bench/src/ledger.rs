//! CPU time and memory of a non-idempotent call in the ledger.

use bv_ledger::{Action, Answer, CallId, Event, Ledger, StoreAnswer, StoreOpId};
use bv_types::{Incarnation, Millis};

use crate::measure::{Figure, held_bytes, micros};

const CALLS: u64 = 20_000;
const OPEN_CALLS: u64 = 10_000;

/// Measures the CPU time of complete calls and the memory of open ones.
pub fn measure() -> Vec<Figure> {
    let mut ledger = new_ledger();
    let time = micros(CALLS, |call| run_call(&mut ledger, call));
    let (_open, bytes) = held_bytes(|| {
        let mut ledger = new_ledger();
        (0..OPEN_CALLS).for_each(|call| drop(arrive(&mut ledger, call)));
        ledger
    });
    vec![
        Figure::new("ledger whole call", time, "us"),
        Figure::new("ledger open call", bytes / OPEN_CALLS as f64, "bytes"),
    ]
}

fn new_ledger() -> Ledger {
    let host = "host-a".parse().unwrap_or_else(|err| panic!("{err}"));
    Ledger::new(host, Incarnation(1), 7)
}

fn arrive(ledger: &mut Ledger, call: u64) -> Vec<Action> {
    let event = Event::Arrive {
        call: CallId(call),
        key: format!("call/booking/{call}").into(),
        deadline: Millis(call + 5_000),
        resend_window: Millis::from_secs(600),
    };
    ledger.handle(Millis(call), event)
}

fn run_call(ledger: &mut Ledger, call: u64) -> usize {
    let now = Millis(call);
    let mut actions_run = 0;
    let mut actions = arrive(ledger, call);
    while let Some(action) = actions.pop() {
        actions_run += 1;
        match action {
            Action::Write { op, .. } => actions.extend(confirm_write(ledger, now, op)),
            Action::Dispatch { call, attempt } => {
                ledger.start(now, call, attempt);
                let answer = Answer {
                    status: 200,
                    headers: Vec::new(),
                    body: b"{}".to_vec(),
                };
                actions.extend(ledger.handle(now, Event::Answered { call, answer }));
            }
            _ => {}
        }
    }
    actions_run
}

fn confirm_write(ledger: &mut Ledger, now: Millis, op: StoreOpId) -> Vec<Action> {
    let answer = StoreAnswer::Written;
    ledger.handle(now, Event::StoreAnswer { op, answer })
}
