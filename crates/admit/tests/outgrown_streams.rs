//! Plays a load that fills the memory of the decode engines and checks what callers get: streams that
//! outgrow their reservation are preempted, and their prompts are read again for nothing.

mod common;

use bv_admit::{Fleet, ModelRequest, SendId, SendOutcome, Work};
use bv_roster::{Registration, Stage};
use bv_types::{BackendId, Millis, Tokens};
use common::{server, service, zone};
use fastrand::Rng;

const ENGINES: usize = 24;
const KV_CAPACITY: u64 = 28_000;
const STEP_MS: u64 = 10;
const DAY_MS: u64 = 60_000;
/// Time of one token, in ms.
const TOKEN_MS: f64 = 3.2;
/// Wait for capacity after which the first token is late.
const ON_TIME_MS: u64 = 650;
/// Largest share of the tokens of all prompts that may be read for nothing beside faults.
const MAX_WASTED_SHARE: f64 = 0.05;

/// A call of the load.
#[derive(Clone)]
struct Call {
    arrived: u64,
    prompt: u64,
    output: u64,
    hint: u64,
}

struct Stream {
    call: Call,
    engine: BackendId,
    send: SendId,
    reserved: u64,
    started: u64,
    /// Tokens that it has produced; they stop growing while it is preempted.
    produced: f64,
    is_preempted: bool,
}

impl Stream {
    fn used(&self) -> u64 {
        self.call.prompt + self.produced as u64
    }

    /// Memory that the engine keeps for the stream.
    fn committed(&self) -> u64 {
        match self.is_preempted {
            true => 0,
            false => self.reserved.max(self.used()),
        }
    }
}

#[derive(Default)]
struct Outcome {
    calls: usize,
    on_time: usize,
    prompt_tokens: u64,
    wasted_tokens: u64,
}

/// A sample with this median and spread of its logarithm.
fn log_normal(rng: &mut Rng, median: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0;
    median * (normal * spread).exp()
}

/// Calls that arrive at random; `load` is the share of the engines' memory that they need.
fn arrivals(rng: &mut Rng, load: f64) -> Vec<Call> {
    let memory_ms = 4_000.0 * 960.0 * TOKEN_MS;
    let per_ms = load * (ENGINES as u64 * KV_CAPACITY) as f64 / memory_ms;
    let mut at = 0.0;
    let mut calls = Vec::new();
    while at < DAY_MS as f64 {
        at += -rng.f64().max(1e-9).ln() / per_ms;
        let output = log_normal(rng, 800.0, 0.6).clamp(30.0, 2_550.0);
        calls.push(Call {
            arrived: at as u64,
            prompt: log_normal(rng, 2_800.0, 0.45).clamp(300.0, 6_600.0) as u64,
            output: output as u64,
            // Right at the median, and often far off.
            hint: log_normal(rng, output, 0.5) as u64,
        });
    }
    calls
}

fn engine_free(streams: &[Stream], engine: &BackendId) -> u64 {
    let committed = streams.iter().filter(|s| s.engine == *engine);
    KV_CAPACITY.saturating_sub(committed.map(Stream::committed).sum())
}

/// Plays one day at one host that places all calls.
fn play(seed: u64, load: f64) -> Outcome {
    let mut rng = Rng::with_seed(seed);
    let mut fleet = Fleet::new(seed);
    let (service, zone) = (service(), zone("north"));
    let engines: Vec<Registration> = (0..ENGINES)
        .map(|n| server(&format!("d{n}"), "north", Some(Stage::Decode)))
        .collect();
    let mut waiting: Vec<Call> = arrivals(&mut rng, load);
    waiting.reverse();
    let mut outcome = Outcome::default();
    let mut streams: Vec<Stream> = Vec::new();
    for now in (0..DAY_MS).step_by(STEP_MS as usize) {
        advance(&mut fleet, &mut streams, &mut outcome, now);
        while let Some(call) = waiting.last().filter(|call| call.arrived <= now) {
            let planned = fleet.planned_output(&service, Some(Tokens(call.hint)), None);
            let reserved = call.prompt + planned.0;
            let request = ModelRequest {
                service: &service,
                zone: &zone,
                tried: &[],
                prompt: Tokens(call.prompt),
                total: Tokens(reserved),
                kv_capacity: Tokens(KV_CAPACITY),
                remaining: Millis(14_000),
                peers_before: 0,
            };
            let placed = fleet.place_decode(Millis(now), request, None, engines.iter());
            let engine = placed
                .ok()
                .filter(|e| engine_free(&streams, &e.id) >= reserved);
            let Some(engine) = engine else { break };
            let Some(call) = waiting.pop() else { break };
            let work = Work {
                tokens: Tokens(reserved),
                stuck_after: Millis(60_000),
            };
            outcome.calls += 1;
            outcome.on_time += usize::from(now - call.arrived <= ON_TIME_MS);
            outcome.prompt_tokens += call.prompt;
            streams.push(Stream {
                send: fleet.begin(Millis(now), &engine.id, work),
                engine: engine.id,
                reserved,
                started: now,
                produced: 0.0,
                is_preempted: false,
                call,
            });
        }
    }
    outcome
}

/// Lets all streams produce tokens, preempts the newest stream that has outgrown its reservation at
/// each engine without memory, and lets preempted streams go on where there is memory.
fn advance(fleet: &mut Fleet, streams: &mut Vec<Stream>, outcome: &mut Outcome, now: u64) {
    for stream in streams.iter_mut().filter(|s| !s.is_preempted) {
        stream.produced += STEP_MS as f64 / TOKEN_MS;
        let used = Tokens(stream.used());
        fleet.record_progress(Millis(now), &stream.engine, stream.send, used);
    }
    let service = service();
    streams.retain(|stream| {
        let is_done = stream.produced as u64 >= stream.call.output;
        if is_done {
            let answered = SendOutcome::Answered { error: false };
            fleet.end(Millis(now), &stream.engine, stream.send, answered);
            let took = Millis(now - stream.started);
            fleet.observe_stream(&service, took, Tokens(stream.call.output));
        }
        !is_done
    });
    for at in 0..streams.len() {
        let (engine, used) = (streams[at].engine.clone(), streams[at].used());
        if streams[at].is_preempted && engine_free(streams, &engine) >= used {
            streams[at].is_preempted = false;
            outcome.wasted_tokens += used;
        }
    }
    for engine in 0..ENGINES {
        let engine: BackendId = common::id(&format!("d{engine}"));
        while committed(streams, &engine) > KV_CAPACITY {
            let outgrown = streams
                .iter_mut()
                .rev()
                .find(|s| s.engine == engine && !s.is_preempted && s.used() > s.reserved);
            match outgrown {
                Some(stream) => stream.is_preempted = true,
                None => break,
            }
        }
    }
}

fn committed(streams: &[Stream], engine: &BackendId) -> u64 {
    let streams = streams.iter().filter(|s| s.engine == *engine);
    streams.map(Stream::committed).sum()
}

#[test]
fn full_engines_waste_few_prompts() {
    let mut total = Outcome::default();
    for seed in 0..4 {
        let day = play(seed, 1.0);
        total.calls += day.calls;
        total.on_time += day.on_time;
        total.prompt_tokens += day.prompt_tokens;
        total.wasted_tokens += day.wasted_tokens;
    }
    let wasted = total.wasted_tokens as f64 / total.prompt_tokens as f64;
    println!(
        "{} calls, {} on time, {wasted:.3} of the prompt tokens read again",
        total.calls, total.on_time
    );
    assert!(wasted < MAX_WASTED_SHARE, "{wasted}");
}

/// Guards against so much headroom that engines stay empty while callers wait.
#[test]
fn calls_are_on_time_below_capacity() {
    for seed in 0..4 {
        let day = play(seed, 0.6);
        let share = day.on_time as f64 / day.calls as f64;
        assert!(share > 0.99, "seed {seed}: {share}");
    }
}
