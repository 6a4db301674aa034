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
pub(crate) struct AdmissionRequest {
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
pub(crate) struct Scheduler {
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
    request: AdmissionRequest,
    since: Instant,
    /// The slot is released; the memory is still held for an export.
    exported: bool,
    cancel: CancellationToken,
}

#[derive(Debug)]
struct Waiting {
    id: u64,
    request: AdmissionRequest,
    cancel: CancellationToken,
    admission_tx: oneshot::Sender<()>,
}

impl Scheduler {
    pub fn new(decode_slots: u32, pieces: u32) -> Self {
        Scheduler {
            decode_slots: decode_slots as usize,
            pieces,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Waits for a slot and memory; `None` if the attempt is cancelled in the meantime.
    pub async fn acquire(self: &Arc<Self>, request: AdmissionRequest) -> Option<Reservation> {
        let cancel = CancellationToken::new();
        let (admission_tx, admission_rx) = oneshot::channel();
        let reservation = {
            let mut state = self.lock();
            let id = state.next_id;
            state.next_id += 1;
            let key = (request.priority, id);
            let index = state
                .waiting
                .partition_point(|other| (other.request.priority, other.id) < key);
            let waiting = Waiting {
                id,
                request,
                cancel: cancel.clone(),
                admission_tx,
            };
            state.waiting.insert(index, waiting);
            self.admit(&mut state);
            Reservation {
                scheduler: self.clone(),
                id,
                cancel,
            }
        };
        tokio::select! {
            admitted = admission_rx => admitted.ok().map(|()| reservation),
            () = reservation.cancel.cancelled() => None,
        }
    }

    /// Admits waiting attempts in order. An attempt that does not fit blocks those behind it with
    /// the same step, so that a large request does not starve.
    fn admit(&self, state: &mut State) {
        for step in [Step::Prefill, Step::Decode] {
            while let Some(index) = state.waiting.iter().position(|w| w.request.step == step) {
                if !self.fits(state, &state.waiting[index].request) {
                    break;
                }
                let waiting = state.waiting.remove(index);
                state.admitted.push(Admitted {
                    id: waiting.id,
                    request: waiting.request,
                    since: Instant::now(),
                    exported: false,
                    cancel: waiting.cancel,
                });
                let _ = waiting.admission_tx.send(());
            }
        }
    }

    fn fits(&self, state: &State, request: &AdmissionRequest) -> bool {
        let used: u32 = state
            .admitted
            .iter()
            .map(|admitted| admitted.request.pieces)
            .sum();
        let running = state.running(request.step);
        let slots = match request.step {
            Step::Prefill => 1,
            Step::Decode => self.decode_slots,
        };
        running < slots && used + request.pieces <= self.pieces
    }

    /// Cancels every attempt with this id and returns the number of cancelled attempts.
    pub fn cancel(&self, attempt: &str) -> u64 {
        let state = self.lock();
        let admitted = state
            .admitted
            .iter()
            .map(|admitted| (&admitted.request, &admitted.cancel));
        let waiting = state.waiting.iter().map(|w| (&w.request, &w.cancel));
        admitted
            .chain(waiting)
            .filter(|(request, _)| request.attempt == attempt)
            .map(|(_, cancel)| cancel.cancel())
            .count() as u64
    }

    /// Cancels and removes every attempt, as a crash does.
    pub fn clear(&self) {
        let mut state = self.lock();
        for admitted in state.admitted.drain(..) {
            admitted.cancel.cancel();
        }
        for waiting in state.waiting.drain(..) {
            waiting.cancel.cancel();
        }
    }

    pub fn held_attempts(&self) -> Vec<HeldAttempt> {
        let state = self.lock();
        let held = state.admitted.iter().map(|admitted| HeldAttempt {
            attempt: admitted.request.attempt.clone(),
            nonce: admitted.request.nonce.clone(),
            since: admitted.since,
        });
        held.collect()
    }

    /// Numbers of running attempts, waiting attempts and free pieces of memory.
    pub fn load(&self) -> (usize, usize, u32) {
        let state = self.lock();
        let running = state.running(Step::Prefill) + state.running(Step::Decode);
        let used: u32 = state
            .admitted
            .iter()
            .map(|admitted| admitted.request.pieces)
            .sum();
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
            .filter(|admitted| admitted.request.step == step && !admitted.exported)
            .count()
    }
}

/// Memory and slot of one attempt; released when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    scheduler: Arc<Scheduler>,
    id: u64,
    pub cancel: CancellationToken,
}

impl Reservation {
    /// Releases the slot and keeps the memory.
    pub fn free_slot(&self) {
        let mut state = self.scheduler.lock();
        if let Some(admitted) = state
            .admitted
            .iter_mut()
            .find(|admitted| admitted.id == self.id)
        {
            admitted.exported = true;
        }
        self.scheduler.admit(&mut state);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        state.admitted.retain(|admitted| admitted.id != self.id);
        state.waiting.retain(|waiting| waiting.id != self.id);
        self.scheduler.admit(&mut state);
    }
}
