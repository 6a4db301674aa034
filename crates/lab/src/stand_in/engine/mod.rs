//! Model engine with continuous batching, memory in pieces and export of the KV cache.

mod batch;
mod cache;
mod calls;
mod count;
mod report;
mod stream;

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use axum::routing::{get, post};
use bv_config::Pool;
use bv_types::{BackendId, Clock, Tokens, ZoneId};
use tokio::net::TcpListener;

use super::{Gate, Shares, Zones};
use batch::{Batch, Entry, Hold, Step};
use cache::{Export, PrefixCache};
use count::FAULTS;
use report::{Order, Samples};
use stream::{Generation, Generations};

pub use batch::HeldAttempt;
pub use cache::Exports;
pub use count::{EngineCounts, EngineFault};

/// Bytes of a prompt in one token.
pub(crate) const BYTES_PER_TOKEN: u64 = 4;
/// Factor of every time at a slow engine.
const SLOW_FACTOR: f64 = 5.0;
/// Time for which a stalled transfer makes no progress.
const STALL: Duration = Duration::from_secs(20);
/// Time from the leaving mark until no new work may arrive.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time a crashed engine needs to come back.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// One engine; it serves prefill and decode, so that a role change needs no restart.
#[derive(Debug)]
pub struct Engine {
    id: BackendId,
    pool: Pool,
    clock: Clock,
    incarnation: AtomicU64,
    exports: Arc<Exports>,
    batch: Arc<Batch>,
    cache: PrefixCache,
    generations: Generations,
    /// Transfers in and out of this engine, one at a time each way.
    link_in: tokio::sync::Mutex<()>,
    link_out: Arc<tokio::sync::Mutex<()>>,
    samples: Samples,
    order: Mutex<Order>,
    leaving: Mutex<Option<Instant>>,
    crashing: AtomicBool,
    faults: Shares<FAULTS>,
    counts: Mutex<EngineCounts>,
    /// Nonces of the requests that a crash or a truncated answer broke, sorted.
    broken: Mutex<Vec<String>>,
    gate: Arc<Gate>,
}

impl Engine {
    /// An engine of this pool without zone.
    pub fn new(id: BackendId, pool: Pool, exports: Arc<Exports>) -> Self {
        let clock = Clock::system();
        Engine {
            batch: Arc::new(Batch::new(pool.slots, pool.pieces.0)),
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
            order: Mutex::default(),
            leaving: Mutex::default(),
            crashing: AtomicBool::new(false),
            faults: Shares::default(),
            counts: Mutex::default(),
            broken: Mutex::default(),
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
            .route("/load", get(report::load))
            .route("/order", get(report::show_order).post(report::take_order))
            .with_state(self.clone());
        tokio::spawn(report::sample(self.clone()));
        self.gate.clone().serve(listener, router).await;
    }

    /// Id of the runner.
    pub fn id(&self) -> &BackendId {
        &self.id
    }

    /// Connections of the engine.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Counts so far.
    pub fn counts(&self) -> EngineCounts {
        let mut counts = *self.count();
        counts.held = self.batch.held().len() as u64;
        counts
    }

    /// Attempts that hold memory now.
    pub fn held_attempts(&self) -> Vec<HeldAttempt> {
        self.batch.held()
    }

    /// Lets a fault hit this share of the calls, in thousandths; 0 undoes it.
    pub fn set_fault(&self, fault: EngineFault, thousandths: u32) {
        self.faults.set(fault as usize, thousandths);
    }

    /// Sets or clears the leaving mark of this incarnation.
    pub fn set_leaving(&self, leaving: bool) {
        let mut mark = self.leaving.lock().unwrap_or_else(|err| err.into_inner());
        *mark = leaving.then(Instant::now);
    }

    /// Drops all connections and state; the engine refuses connections until [`Engine::restart`].
    pub fn crash(&self) {
        self.count().crashes += 1;
        for held in self.batch.held() {
            self.note_broken(&held.nonce);
        }
        self.gate.close();
        self.gate.disconnect_all();
        self.batch.clear();
        self.exports.evict(self.id.as_str(), None);
        self.generations.clear();
        self.cache.clear();
        self.samples.clear();
    }

    /// Comes back after a crash with a new incarnation.
    pub fn restart(&self) {
        let now = self.clock.now().0;
        // Two restarts within a millisecond must differ.
        let _ = self
            .incarnation
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| {
                Some(now.max(last + 1))
            });
        *self.order() = Order::default();
        self.set_leaving(false);
        self.crashing.store(false, Ordering::Relaxed);
        self.gate.open();
    }

    /// Crashes and comes back after a second, as a request that crashes engines makes it do.
    fn crash_and_restart(self: &Arc<Self>) {
        if self.crashing.swap(true, Ordering::Relaxed) {
            return;
        }
        self.count().request_crashes += 1;
        let engine = self.clone();
        tokio::spawn(async move {
            engine.crash();
            tokio::time::sleep(RESTART_TIME).await;
            engine.restart();
        });
    }

    /// Whether a crash or a truncated answer of this engine broke a request.
    pub fn broke(&self, nonce: &str) -> bool {
        let broken = self.broken.lock().unwrap_or_else(|err| err.into_inner());
        broken
            .binary_search_by(|known| known.as_str().cmp(nonce))
            .is_ok()
    }

    fn note_broken(&self, nonce: &str) {
        let mut broken = self.broken.lock().unwrap_or_else(|err| err.into_inner());
        if let Err(index) = broken.binary_search_by(|known| known.as_str().cmp(nonce)) {
            broken.insert(index, nonce.to_owned());
        }
    }

    fn hits(&self, fault: EngineFault) -> bool {
        self.faults.hits(fault as usize)
    }

    fn slowness(&self) -> f64 {
        match self.hits(EngineFault::Slow) {
            true => SLOW_FACTOR,
            false => 1.0,
        }
    }

    fn count(&self) -> MutexGuard<'_, EngineCounts> {
        self.counts.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn order(&self) -> MutexGuard<'_, Order> {
        self.order.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn is_leaving(&self) -> Option<Instant> {
        *self.leaving.lock().unwrap_or_else(|err| err.into_inner())
    }

    fn note_new_work(&self) {
        let Some(since) = self.is_leaving() else {
            return;
        };
        let mut counts = self.count();
        let ms = since.elapsed().as_millis() as u64;
        counts.leaving_longest_ms = counts.leaving_longest_ms.max(ms);
        counts.work_after_leaving += u64::from(since.elapsed() > LEAVING_LIMIT);
    }

    /// Computes a prompt and exports its KV cache; `None` if cancelled.
    async fn prefill(self: &Arc<Self>, entry: Entry, prompt: &str) -> Option<()> {
        let attempt = entry.attempt.clone();
        let hold = self.batch.enter(entry).await?;
        let bytes = prompt.len() as u64;
        let tokens = bytes / BYTES_PER_TOKEN;
        let found = self.cache.visit(prompt) as u64 / BYTES_PER_TOKEN;
        let computed = tokens.saturating_sub(found).max(1);
        let time_ms = self.pool.prefill.millis_for(computed as f64) * self.slowness();
        let start = Instant::now();
        tokio::select! {
            () = sleep_ms(time_ms) => {}
            () = hold.cancel.cancelled() => {
                let share = start.elapsed().as_secs_f64() * 1000.0 / time_ms.max(0.001);
                self.count().prefill_tokens += (computed as f64 * share.min(1.0)) as u64;
                return None;
            }
        }
        self.count().prefill_tokens += computed;
        hold.free_slot();
        self.exports.add(Export {
            attempt: attempt.clone(),
            engine: self.id.to_string(),
            tokens,
            computed,
            link: self.link_out.clone(),
            hold,
        });
        let engine = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(engine.pool.eviction.duration()).await;
            let evicted = engine.exports.evict(engine.id.as_str(), Some(&attempt));
            engine.count().evicted += evicted;
        });
        Some(())
    }

    /// Imports the KV cache of an attempt; `None` if it was evicted. Returns the prompt's tokens.
    async fn import(&self, attempt: &str) -> Option<u64> {
        let export = self.exports.take(attempt)?;
        let bytes = export.tokens * self.pool.kv_per_token.0;
        let transfer = async {
            if self.hits(EngineFault::StallTransfer) {
                // A stalled transfer keeps its memory at both ends and uses no bandwidth.
                tokio::time::sleep(STALL).await;
            }
            let _turn_in = self.link_in.lock().await;
            let _turn_out = export.link.lock().await;
            sleep_ms(self.pool.link.millis_for(bytes as f64)).await;
        };
        tokio::select! {
            () = transfer => {}
            () = export.hold.cancel.cancelled() => return None,
        }
        self.count().imported_tokens += export.computed;
        Some(export.tokens)
    }

    /// Waits for a slot, imports the KV cache and starts to generate.
    async fn decode(
        self: &Arc<Self>,
        entry: Entry,
        output: u64,
    ) -> Result<Arc<Generation>, DecodeError> {
        let (attempt, nonce) = (entry.attempt.clone(), entry.nonce.clone());
        let hold = self
            .batch
            .enter(entry)
            .await
            .ok_or(DecodeError::Cancelled)?;
        let imported = tokio::select! {
            imported = self.import(&attempt) => imported,
            () = hold.cancel.cancelled() => return Err(DecodeError::Cancelled),
        };
        let tokens = imported.ok_or(DecodeError::Evicted)?;
        let cancel = hold.cancel.clone();
        let generation = Arc::new(Generation::new(attempt, nonce, tokens, output, cancel));
        self.generations.add(generation.clone());
        tokio::spawn(self.clone().generate(generation.clone(), hold));
        Ok(generation)
    }

    async fn generate(self: Arc<Self>, generation: Arc<Generation>, hold: Hold) {
        // Counted from the word before, so that late timers do not add up.
        let mut next = tokio::time::Instant::now();
        for made in 1..=generation.output {
            next += self.token_gap();
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = hold.cancel.cancelled() => break,
            }
            generation.made.send_replace(made);
        }
        drop(hold);
        tokio::time::sleep(stream::RESUME_TIME).await;
        self.generations.remove(&generation.attempt);
    }

    fn token_gap(&self) -> Duration {
        let others = self.batch.decoding().saturating_sub(1) as f64;
        let gap = self.pool.token_gap_ms + self.pool.token_gap_slope_ms * others;
        Duration::from_secs_f64(gap * self.slowness() / 1000.0)
    }

    fn entry(&self, call: &serde_json::Value, step: Step, nonce: &str, tokens: u64) -> Entry {
        Entry {
            attempt: call["request_id"].as_str().unwrap_or_default().to_owned(),
            nonce: nonce.to_owned(),
            step,
            pieces: Tokens(tokens).pieces().0.min(self.batch.pieces()),
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
