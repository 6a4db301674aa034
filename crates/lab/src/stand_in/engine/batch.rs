//! Slots and memory of one engine: who runs, who waits, who is cancelled.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// What an attempt does at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    Prefill,
    Decode,
}

/// An attempt that wants memory, and a slot for its step.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub attempt: String,
    pub nonce: String,
    pub step: Step,
    pub pieces: u32,
    /// Lower goes first.
    pub priority: i64,
}

/// An attempt that holds engine memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAttempt {
    /// Attempt id.
    pub attempt: String,
    /// Nonce of the caller's prompt, if it has one.
    pub nonce: String,
    /// When it got its memory.
    pub since: Instant,
}

/// Slots and memory.
#[derive(Debug)]
pub(crate) struct Batch {
    decode_slots: usize,
    pieces: u32,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    held: Vec<Held>,
    /// Sorted by priority and arrival.
    waiting: Vec<Waiting>,
    next: u64,
}

#[derive(Debug)]
struct Held {
    id: u64,
    entry: Entry,
    since: Instant,
    /// The slot is free again; the memory is held for an export.
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

    /// Waits for a slot and memory; `None` if cancelled meanwhile.
    pub async fn enter(self: &Arc<Self>, entry: Entry) -> Option<Hold> {
        let cancel = CancellationToken::new();
        let (admitted, wait) = oneshot::channel();
        let hold = {
            let mut state = self.lock();
            let id = state.next;
            state.next += 1;
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
            Hold {
                batch: self.clone(),
                id,
                cancel,
            }
        };
        tokio::select! {
            admitted = wait => admitted.ok().map(|()| hold),
            () = hold.cancel.cancelled() => None,
        }
    }

    /// Admits waiting attempts; one that does not fit holds back those behind it with the same
    /// step, so that a large request is not passed over for ever.
    fn admit(&self, state: &mut State) {
        for step in [Step::Prefill, Step::Decode] {
            while let Some(index) = state.waiting.iter().position(|w| w.entry.step == step) {
                if !self.fits(state, &state.waiting[index].entry) {
                    break;
                }
                let waiting = state.waiting.remove(index);
                state.held.push(Held {
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
        let used: u32 = state.held.iter().map(|held| held.entry.pieces).sum();
        let running = state.running(entry.step);
        let slots = match entry.step {
            Step::Prefill => 1,
            Step::Decode => self.decode_slots,
        };
        running < slots && used + entry.pieces <= self.pieces
    }

    /// Cancels every attempt with this id and returns how many there were.
    pub fn cancel(&self, attempt: &str) -> u64 {
        let state = self.lock();
        let held = state.held.iter().map(|held| (&held.entry, &held.cancel));
        let waiting = state.waiting.iter().map(|w| (&w.entry, &w.cancel));
        held.chain(waiting)
            .filter(|(entry, _)| entry.attempt == attempt)
            .map(|(_, cancel)| cancel.cancel())
            .count() as u64
    }

    /// Forgets every attempt, as a crash does.
    pub fn clear(&self) {
        let mut state = self.lock();
        for held in state.held.drain(..) {
            held.cancel.cancel();
        }
        for waiting in state.waiting.drain(..) {
            waiting.cancel.cancel();
        }
    }

    pub fn held(&self) -> Vec<HeldAttempt> {
        let state = self.lock();
        let held = state.held.iter().map(|held| HeldAttempt {
            attempt: held.entry.attempt.clone(),
            nonce: held.entry.nonce.clone(),
            since: held.since,
        });
        held.collect()
    }

    /// Running attempts, waiting attempts and free pieces.
    pub fn load(&self) -> (usize, usize, u32) {
        let state = self.lock();
        let running = state.running(Step::Prefill) + state.running(Step::Decode);
        let used: u32 = state.held.iter().map(|held| held.entry.pieces).sum();
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
        self.held
            .iter()
            .filter(|held| held.entry.step == step && !held.exported)
            .count()
    }
}

/// Memory, and a slot, of one attempt; freed when dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    batch: Arc<Batch>,
    id: u64,
    pub cancel: CancellationToken,
}

impl Hold {
    /// Gives the slot back and keeps the memory.
    pub fn free_slot(&self) {
        let mut state = self.batch.lock();
        if let Some(held) = state.held.iter_mut().find(|held| held.id == self.id) {
            held.exported = true;
        }
        self.batch.admit(&mut state);
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let mut state = self.batch.lock();
        state.held.retain(|held| held.id != self.id);
        state.waiting.retain(|waiting| waiting.id != self.id);
        self.batch.admit(&mut state);
    }
}
