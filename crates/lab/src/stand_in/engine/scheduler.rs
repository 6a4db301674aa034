//! Scheduler of one engine: gives slots and memory to attempts, queues and cancels them.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// Step of an attempt that an engine executes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Prefill,
    Decode,
}

/// An attempt that requests memory and a slot for its step.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub attempt: String,
    pub nonce: String,
    pub step: Step,
    pub pieces: u32,
    /// Lower values are admitted first.
    pub priority: i64,
}

/// An attempt that holds engine memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAttempt {
    /// Attempt id.
    pub attempt: String,
    /// Nonce of the caller's prompt, if it has one.
    pub nonce: String,
    /// When the attempt received its memory.
    pub since: Instant,
}

/// Slots and memory of one engine.
#[derive(Debug)]
pub(crate) struct Batch {
    decode_slots: usize,
    pieces: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    admitted: Vec<Admitted>,
    /// Attempts that wait for admission, sorted by priority and arrival.
    waiting: Vec<Waiting>,
    next_id: u64,
}

#[derive(Debug)]
struct Admitted {
    id: u64,
    entry: Entry,
    since: Instant,
    /// The slot is released; the memory is still held for an export.
    exported: bool,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    entry: Entry,
    cancel: CancellationToken,
    admitted: oneshot::Sender<()>,
}

impl Batch {
    pub fn new(decode_slots: u32, pieces: u32) -> Self {
        Batch {
            decode_slots: decode_slots as usize,
            pieces,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Waits for a slot and memory; `None` if the attempt is cancelled in the meantime.
    pub async fn acquire(self: &Arc<Self>, entry: Entry) -> Option<Reservation> {
        let cancel = CancellationToken::new();
        let (admitted, admission) = oneshot::channel();
        let reservation = {
            let mut state = self.lock();
            let id = state.next_id;
            state.next_id += 1;
            let key = (entry.priority, id);
            let index = state
                .waiting
                .partition_point(|other| (other.entry.priority, other.id) < key);
            let waiting = Waiting {
                id,
                entry,
                cancel: cancel.clone(),
                admitted,
            };
            state.waiting.insert(index, waiting);
            self.admit(&mut state);
            Reservation {
                batch: self.clone(),
                id,
                cancel,
            }
        };
        tokio::select! {
            admitted = admission => admitted.ok().map(|()| reservation),
            () = reservation.cancel.cancelled() => None,
        }
    }

    /// Admits waiting attempts in order. An attempt that does not fit blocks those behind it with
    /// the same step, so that a large request does not starve.
    fn admit(&self, state: &mut State) {
        for step in [Step::Prefill, Step::Decode] {
            while let Some(index) = state.waiting.iter().position(|w| w.entry.step == step) {
                if !self.fits(state, &state.waiting[index].entry) {
                    break;
                }
                let waiting = state.waiting.remove(index);
                state.admitted.push(Admitted {
                    id: waiting.id,
                    entry: waiting.entry,
                    since: Instant::now(),
                    exported: false,
                    cancel: waiting.cancel,
                });
                let _ = waiting.admitted.send(());
            }
        }
    }

    fn fits(&self, state: &State, entry: &Entry) -> bool {
        let used: u32 = state.admitted.iter().map(|held| held.entry.pieces).sum();
        let running = state.running(entry.step);
        let slots = match entry.step {
            Step::Prefill => 1,
            Step::Decode => self.decode_slots,
        };
        running < slots && used + entry.pieces <= self.pieces
    }

    /// Cancels every attempt with this id and returns the number of cancelled attempts.
    pub fn cancel(&self, attempt: &str) -> u64 {
        let state = self.lock();
        let held = state
            .admitted
            .iter()
            .map(|held| (&held.entry, &held.cancel));
        let waiting = state.waiting.iter().map(|w| (&w.entry, &w.cancel));
        held.chain(waiting)
            .filter(|(entry, _)| entry.attempt == attempt)
            .map(|(_, cancel)| cancel.cancel())
            .count() as u64
    }

    /// Cancels and removes every attempt, as a crash does.
    pub fn clear(&self) {
        let mut state = self.lock();
        for held in state.admitted.drain(..) {
            held.cancel.cancel();
        }
        for waiting in state.waiting.drain(..) {
            waiting.cancel.cancel();
        }
    }

    pub fn held(&self) -> Vec<HeldAttempt> {
        let state = self.lock();
        let held = state.admitted.iter().map(|held| HeldAttempt {
            attempt: held.entry.attempt.clone(),
            nonce: held.entry.nonce.clone(),
            since: held.since,
        });
        held.collect()
    }

    /// Numbers of running attempts, waiting attempts and free pieces of memory.
    pub fn load(&self) -> (usize, usize, u32) {
        let state = self.lock();
        let running = state.running(Step::Prefill) + state.running(Step::Decode);
        let used: u32 = state.admitted.iter().map(|held| held.entry.pieces).sum();
        (
            running,
            state.waiting.len(),
            self.pieces.saturating_sub(used),
        )
    }

    pub fn decoding(&self) -> usize {
        self.lock().running(Step::Decode)
    }

    pub fn pieces(&self) -> u32 {
        self.pieces
    }
}

impl State {
    fn running(&self, step: Step) -> usize {
        self.admitted
            .iter()
            .filter(|held| held.entry.step == step && !held.exported)
            .count()
    }
}

/// Memory and slot of one attempt; released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    batch: Arc<Batch>,
    id: u64,
    pub cancel: CancellationToken,
}

impl Reservation {
    /// Releases the slot and keeps the memory.
    pub fn free_slot(&self) {
        let mut state = self.batch.lock();
        if let Some(held) = state.admitted.iter_mut().find(|held| held.id == self.id) {
            held.exported = true;
        }
        self.batch.admit(&mut state);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.batch.lock();
        state.admitted.retain(|held| held.id != self.id);
        state.waiting.retain(|waiting| waiting.id != self.id);
        self.batch.admit(&mut state);
    }
}
