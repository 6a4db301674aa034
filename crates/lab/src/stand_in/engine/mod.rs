//! Stand-in for a model engine with continuous batching, paged memory and transfer of the KV cache.

mod cache;
mod calls;
mod count;
mod load_and_orders;
mod scheduler;
mod stream;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::routing::{get, post};
use bv_config::Pool;
use bv_types::{BackendId, Clock, Tokens, ZoneId};
use tokio::net::TcpListener;

use super::{FaultRates, Gate, Zones};
use cache::{Export, PrefixCache};
use count::FAULT_COUNT;
use load_and_orders::{Orders, Samples};
use scheduler::{AdmissionRequest, Reservation, Scheduler, Step};
use stream::{Generation, Generations};

pub use cache::Exports;
pub use count::{EngineCounts, EngineFault};
pub use scheduler::HeldAttempt;

/// Bytes of a prompt per token.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;
/// Factor by which the slow fault lengthens prefill and decode.
const SLOW_FACTOR: f64 = 5.0;
/// Time for which a stalled transfer makes no progress.
const STALL_TIME: Duration = Duration::from_secs(20);
/// Time after the leaving mark from which new work counts as a violation.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time from a crash caused by a request to the restart of the engine.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// One engine. It serves both prefill and decode, so that a role change needs no restart.
#[derive(Debug)]
pub struct Engine {
    id: BackendId,
    pool: Pool,
    clock: Clock,
    incarnation: AtomicU64,
    exports: Arc<Exports>,
    scheduler: Arc<Scheduler>,
    cache: PrefixCache,
    generations: Generations,
    /// Incoming and outgoing link of this engine; each carries one transfer at a time.
    link_in: tokio::sync::Mutex<()>,
    link_out: Arc<tokio::sync::Mutex<()>>,
    samples: Samples,
    orders: Mutex<Orders>,
    /// When this incarnation set its leaving mark.
    leaving_since: Mutex<Option<Instant>>,
    /// A request crashed the engine and it has not restarted yet.
    crashed_by_request: AtomicBool,
    faults: FaultRates<FAULT_COUNT>,
    counts: Mutex<EngineCounts>,
    /// Nonces of the requests that a crash or a truncated answer interrupted, sorted.
    interrupted_nonces: Mutex<Vec<String>>,
    gate: Arc<Gate>,
}

impl Engine {
    /// An engine of this pool without a zone.
    pub fn new(id: BackendId, pool: Pool, exports: Arc<Exports>) -> Self {
        let clock = Clock::system();
        Engine {
            scheduler: Arc::new(Scheduler::new(pool.slots, pool.pieces.0)),
            incarnation: AtomicU64::new(clock.now().0),
            id,
            pool,
            clock,
            exports,
            cache: PrefixCache::default(),
            generations: Generations::default(),
            link_in: tokio::sync::Mutex::default(),
            link_out: Arc::default(),
            samples: Samples::default(),
            orders: Mutex::default(),
            leaving_since: Mutex::default(),
            crashed_by_request: AtomicBool::new(false),
            faults: FaultRates::default(),
            counts: Mutex::default(),
            interrupted_nonces: Mutex::default(),
            gate: Arc::default(),
        }
    }

    /// Places the engine in a zone.
    pub fn in_zone(mut self, zones: Arc<Zones>, zone: ZoneId) -> Self {
        self.gate = Arc::new(Gate::new(zones, Some(zone)));
        self
    }

    /// Serves calls until the runtime ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let router = axum::Router::new()
            .route("/v1/chat/completions", post(calls::chat))
            .route("/abort_request", post(calls::abort))
            .route("/load", get(load_and_orders::load))
            .route(
                "/order",
                get(load_and_orders::show_order).post(load_and_orders::take_order),
            )
            .with_state(self.clone());
        tokio::spawn(load_and_orders::sample(self.clone()));
        self.gate.clone().serve(listener, router).await;
    }

    /// Id of the runner.
    pub fn id(&self) -> &BackendId {
        &self.id
    }

    /// Connection gate of the engine.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Counts so far.
    pub fn counts(&self) -> EngineCounts {
        let mut counts = *self.lock_counts();
        counts.held = self.scheduler.held_attempts().len() as u64;
        counts
    }

    /// Attempts that currently hold memory.
    pub fn held_attempts(&self) -> Vec<HeldAttempt> {
        self.scheduler.held_attempts()
    }

    /// Sets the share of the calls that a fault affects, in thousandths; 0 disables the fault.
    pub fn set_fault(&self, fault: EngineFault, thousandths: u32) {
        self.faults.set(fault as usize, thousandths);
    }

    /// Sets or clears the leaving mark of this incarnation.
    pub fn set_leaving(&self, leaving: bool) {
        let mut leaving_since = self
            .leaving_since
            .lock()
            .unwrap_or_else(|err| err.into_inner());
        *leaving_since = leaving.then(Instant::now);
    }

    /// Simulates a crash: drops all connections and state, and refuses connections until
    /// [`Engine::restart`].
    pub fn crash(&self) {
        self.lock_counts().crashes += 1;
        for held in self.scheduler.held_attempts() {
            self.record_interrupted(&held.nonce);
        }
        self.gate.close();
        self.gate.disconnect_all();
        self.scheduler.clear();
        self.exports.evict(self.id.as_str(), None);
        self.generations.clear();
        self.cache.clear();
        self.samples.clear();
    }

    /// Restarts the engine with a new incarnation and without its leaving mark.
    pub fn restart(&self) {
        let now = self.clock.now().0;
        // Incarnations are times in ms; two restarts within one millisecond must still differ.
        let _ = self
            .incarnation
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| {
                Some(now.max(last + 1))
            });
        *self.lock_orders() = Orders::default();
        self.set_leaving(false);
        self.crashed_by_request.store(false, Ordering::Relaxed);
        self.gate.open();
    }

    /// Crashes because of a request, and restarts after [`RESTART_TIME`].
    fn crash_and_restart(self: &Arc<Self>) {
        if self.crashed_by_request.swap(true, Ordering::Relaxed) {
            return;
        }
        self.lock_counts().request_crashes += 1;
        let engine = self.clone();
        tokio::spawn(async move {
            engine.crash();
            tokio::time::sleep(RESTART_TIME).await;
            engine.restart();
        });
    }

    /// Whether a crash or a truncated answer of this engine interrupted a request.
    pub fn was_interrupted(&self, nonce: &str) -> bool {
        let interrupted = self
            .interrupted_nonces
            .lock()
            .unwrap_or_else(|err| err.into_inner());
        interrupted
            .binary_search_by(|known| known.as_str().cmp(nonce))
            .is_ok()
    }

    fn record_interrupted(&self, nonce: &str) {
        let mut interrupted = self
            .interrupted_nonces
            .lock()
            .unwrap_or_else(|err| err.into_inner());
        if let Err(index) = interrupted.binary_search_by(|known| known.as_str().cmp(nonce)) {
            interrupted.insert(index, nonce.to_owned());
        }
    }

    /// Whether the fault affects the current call; drawn anew at each call.
    fn fault_applies(&self, fault: EngineFault) -> bool {
        self.faults.applies(fault as usize)
    }

    fn slowdown_factor(&self) -> f64 {
        match self.fault_applies(EngineFault::Slow) {
            true => SLOW_FACTOR,
            false => 1.0,
        }
    }

    fn lock_counts(&self) -> MutexGuard<'_, EngineCounts> {
        self.counts.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn lock_orders(&self) -> MutexGuard<'_, Orders> {
        self.orders.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn leaving_since(&self) -> Option<Instant> {
        *self
            .leaving_since
            .lock()
            .unwrap_or_else(|err| err.into_inner())
    }

    fn record_new_work(&self) {
        let Some(since) = self.leaving_since() else {
            return;
        };
        let mut counts = self.lock_counts();
        let ms = since.elapsed().as_millis() as u64;
        counts.leaving_longest_ms = counts.leaving_longest_ms.max(ms);
        counts.work_after_leaving += u64::from(since.elapsed() > LEAVING_LIMIT);
    }

    /// Computes a prompt and exports its KV cache; `None` if the attempt is cancelled.
    async fn prefill(self: &Arc<Self>, request: AdmissionRequest, prompt: &str) -> Option<()> {
        let attempt = request.attempt.clone();
        let reservation = self.scheduler.acquire(request).await?;
        let bytes = prompt.len() as u64;
        let prompt_tokens = bytes / BYTES_PER_TOKEN;
        let cached_tokens = self.cache.look_up_and_insert(prompt) as u64 / BYTES_PER_TOKEN;
        let computed_tokens = prompt_tokens.saturating_sub(cached_tokens).max(1);
        let time_ms = self.pool.prefill.millis_for(computed_tokens as f64) * self.slowdown_factor();
        let start = Instant::now();
        tokio::select! {
            () = sleep_ms(time_ms) => {}
            () = reservation.cancel.cancelled() => {
                let share = start.elapsed().as_secs_f64() * 1000.0 / time_ms.max(0.001);
                self.lock_counts().prefill_tokens += (computed_tokens as f64 * share.min(1.0)) as u64;
                return None;
            }
        }
        self.lock_counts().prefill_tokens += computed_tokens;
        reservation.free_slot();
        self.exports.add(Export {
            attempt: attempt.clone(),
            engine: self.id.to_string(),
            prompt_tokens,
            computed_tokens,
            link: self.link_out.clone(),
            reservation,
        });
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(engine.pool.eviction.duration()).await;
            let evicted = engine.exports.evict(engine.id.as_str(), Some(&attempt));
            engine.lock_counts().evicted += evicted;
        });
        Some(())
    }

    /// Imports the KV cache of an attempt and returns the number of its prompt tokens; `None` if
    /// the export was evicted or cancelled.
    async fn import(&self, attempt: &str) -> Option<u64> {
        let export = self.exports.take(attempt)?;
        let bytes = export.prompt_tokens * self.pool.kv_per_token.0;
        let transfer = async {
            if self.fault_applies(EngineFault::StallTransfer) {
                // A stalled transfer holds memory at both engines and uses no bandwidth.
                tokio::time::sleep(STALL_TIME).await;
            }
            let _in_guard = self.link_in.lock().await;
            let _out_guard = export.link.lock().await;
            sleep_ms(self.pool.link.millis_for(bytes as f64)).await;
        };
        tokio::select! {
            () = transfer => {}
            () = export.reservation.cancel.cancelled() => return None,
        }
        self.lock_counts().imported_tokens += export.computed_tokens;
        Some(export.prompt_tokens)
    }

    /// Waits for a slot, imports the KV cache and starts the generation.
    async fn decode(
        self: &Arc<Self>,
        request: AdmissionRequest,
        output: u64,
    ) -> Result<Arc<Generation>, DecodeError> {
        let (attempt, nonce) = (request.attempt.clone(), request.nonce.clone());
        let reservation = self
            .scheduler
            .acquire(request)
            .await
            .ok_or(DecodeError::Cancelled)?;
        let imported = tokio::select! {
            imported = self.import(&attempt) => imported,
            () = reservation.cancel.cancelled() => return Err(DecodeError::Cancelled),
        };
        let prompt_tokens = imported.ok_or(DecodeError::Evicted)?;
        let cancel = reservation.cancel.clone();
        let generation = Arc::new(Generation::new(
            attempt,
            nonce,
            prompt_tokens,
            output,
            cancel,
        ));
        self.generations.add(generation.clone());
        tokio::spawn(self.clone().generate(generation.clone(), reservation));
        Ok(generation)
    }

    async fn generate(self: Arc<Self>, generation: Arc<Generation>, reservation: Reservation) {
        // Computed from the due time of the previous word, so that late timers do not accumulate.
        let mut due = tokio::time::Instant::now();
        for generated in 1..=generation.output {
            due += self.token_gap();
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = reservation.cancel.cancelled() => break,
            }
            generation.generated.send_replace(generated);
        }
        drop(reservation);
        tokio::time::sleep(stream::RESUME_TIMEOUT).await;
        self.generations.remove(&generation.attempt);
    }

    fn token_gap(&self) -> Duration {
        let others = self.scheduler.decoding().saturating_sub(1) as f64;
        let gap = self.pool.token_gap_ms + self.pool.token_gap_slope_ms * others;
        Duration::from_secs_f64(gap * self.slowdown_factor() / 1000.0)
    }

    fn admission_request(
        &self,
        call: &serde_json::Value,
        step: Step,
        nonce: &str,
        tokens: u64,
    ) -> AdmissionRequest {
        AdmissionRequest {
            attempt: call["request_id"].as_str().unwrap_or_default().to_owned(),
            nonce: nonce.to_owned(),
            step,
            pieces: Tokens(tokens).pieces().0.min(self.scheduler.pieces()),
            priority: call["priority"].as_i64().unwrap_or_default(),
        }
    }
}

/// Why a decode did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecodeError {
    Cancelled,
    Evicted,
}

async fn sleep_ms(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
}
