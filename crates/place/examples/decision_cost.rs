//! Prints the CPU time of a decision and the memory of a runner and of a request, for the capacity
//! page.
//!
//! `cargo run --release -p bv-place --example decision_cost`

use std::fs;

use bv_place::{
    Action, Class, Event, Policy, PoolSpec, Report, Request, Role, RunnerSpec, Shard, ShardSpec,
    split,
};
use bv_types::{AttemptId, Bytes, Incarnation, Millis, Pieces, RatePerSec, Tokens};

const RUNNERS: [usize; 3] = [10, 100, 900];
/// Largest numbers of runners in a shard, now and at the planned size of the system.
const SHARD_SIZES: [usize; 2] = [16, 4];
const REQUESTS: u64 = 20_000;
const SLOTS: u32 = 20;
const ZONES: usize = 8;
const OUTPUT_TOKENS: u64 = 200;
/// Share of the slots that are in use while decisions are measured.
const SLOT_USE: f64 = 0.9;
const OPEN_GRANTS: u64 = 100_000;
const RUNNERS_IN_MEMORY_TEST: usize = 50_000;

fn main() {
    println!(
        "decisions at {:.0}% of the slots in use, one shard owner per process",
        SLOT_USE * 100.0
    );
    measure_memory();
    for runners in RUNNERS {
        for size in SHARD_SIZES {
            measure_decisions(runners, size, REQUESTS);
        }
        // A decision compares all pairs of runners, so fewer requests are run at this size.
        measure_decisions(runners, runners, REQUESTS / runners as u64);
    }
}

/// Prints the time per request while a constant number of requests is in progress over all shards.
fn measure_decisions(runners: usize, shard_size: usize, requests: u64) {
    let mut shards: Vec<Shard> = split(&runners_of(runners), shard_size)
        .into_iter()
        .map(|runners| Shard::new(spec(runners), Policy::Planned))
        .collect();
    let mut now = Millis::from_secs(1_000);
    for shard in &mut shards {
        report(shard, now);
    }
    let slots = (runners - runners.div_ceil(3)) as f64 * f64::from(SLOTS);
    let in_progress = (slots * SLOT_USE) as usize;
    let mut open: std::collections::VecDeque<(usize, AttemptId)> = Default::default();
    let (mut decisions, mut refused) = (0, 0);
    let mut sequence = 0;
    // The measurement starts once the number in progress is constant.
    let warm_up = in_progress as u64;
    let mut start = 0;
    while sequence < warm_up + requests {
        if sequence == warm_up {
            (start, decisions, refused) = (cpu_nanos(), 0, 0);
        }
        sequence += 1;
        now = now + Millis(u64::from(sequence % (1 + runners as u64 / 10) == 0) * 20);
        let at = sequence as usize % shards.len();
        let request = request(now, sequence);
        let id = request.attempt.clone();
        let actions = shards[at].handle(now, Event::Reserve(request));
        decisions += 1;
        match actions
            .iter()
            .any(|action| matches!(action, Action::Grant(_)))
        {
            true => {
                shards[at].handle(now, Event::PrefillDone(id.clone()));
                open.push_back((at, id));
            }
            false => {
                refused += 1;
                shards[at].handle(now, Event::Release(id));
            }
        }
        while open.len() > in_progress {
            if let Some((at, id)) = open.pop_front() {
                shards[at].handle(now, Event::Release(id));
            }
        }
    }
    let nanos = (cpu_nanos() - start) as f64 / f64::from(decisions);
    println!(
        "{runners:>4} runners, {:>3} shards of at most {shard_size:>3}: {:>7.1} us per request \
         (reserve, prefill done, release), {:>4.1}% refused or queued",
        shards.len(),
        nanos / 1000.0,
        f64::from(refused) * 100.0 / f64::from(decisions),
    );
}

/// Prints the growth of the resident memory per open grant and per runner.
///
/// It runs first, so that no freed memory is reused.
fn measure_memory() {
    let now = Millis::from_secs(1_000);
    let mut shards: Vec<Shard> = (0..OPEN_GRANTS / 200)
        .map(|_| {
            let mut shard = Shard::new(spec(runners_of(3)), Policy::RoundRobin);
            report(&mut shard, now);
            shard
        })
        .collect();
    let before = resident_bytes();
    for sequence in 0..OPEN_GRANTS {
        let at = sequence as usize % shards.len();
        shards[at].handle(now, Event::Reserve(request(now, sequence)));
    }
    let grown = resident_bytes().saturating_sub(before);
    println!("{} bytes per open grant", grown / OPEN_GRANTS);
    let before = resident_bytes();
    let more: Vec<Shard> = split(&runners_of(RUNNERS_IN_MEMORY_TEST), 16)
        .into_iter()
        .map(|runners| {
            let mut shard = Shard::new(spec(runners), Policy::Planned);
            report(&mut shard, now);
            shard
        })
        .collect();
    let grown = resident_bytes().saturating_sub(before);
    println!("{} bytes per runner", grown / RUNNERS_IN_MEMORY_TEST as u64);
    drop((shards, more));
}

fn rate(value: f64) -> RatePerSec {
    RatePerSec::try_from(value).expect("rate is above 0")
}

fn runners_of(count: usize) -> Vec<RunnerSpec> {
    (0..count)
        .map(|index| RunnerSpec {
            id: format!("runner-{index}").parse().expect("a valid id"),
            role: match index % 3 {
                0 => Role::Prefill,
                _ => Role::Decode,
            },
            zone: format!("zone-{}", index % ZONES)
                .parse()
                .expect("a valid id"),
        })
        .collect()
}

fn spec(runners: Vec<RunnerSpec>) -> ShardSpec {
    ShardSpec {
        pool: PoolSpec {
            slots: SLOTS,
            pieces: Pieces(60),
            prefill: rate(12_000_000.0),
            token_gap_ms: 20.0,
            token_gap_slope_ms: 1.5,
            link: rate(2.5e12),
            kv_per_token: Bytes(50_000),
            eviction: Millis(800),
        },
        runners,
        zone_delay_ms: 4.5,
        zone_price: Millis(5),
        headroom_slots: SLOTS / 5,
    }
}

fn report(shard: &mut Shard, now: Millis) {
    for load in shard.loads() {
        let report = Report {
            at: now,
            incarnation: Incarnation(1),
            running: 0,
            waiting: 0,
            free_pieces: Pieces(60),
            leaving: false,
        };
        let runner = load.runner;
        shard.handle(now, Event::Report { runner, report });
    }
}

fn request(now: Millis, sequence: u64) -> Request {
    Request {
        attempt: format!("host-a.1.{sequence}.0")
            .parse()
            .expect("a valid id"),
        team: format!("team-{}", sequence % 50).into(),
        class: match sequence % 3 {
            0 => Class::Waiting,
            _ => Class::Urgent,
        },
        prompt: Tokens(100 + sequence % 700),
        max_output: Tokens(OUTPUT_TOKENS),
        prefix: sequence % 100,
        zone: format!("zone-{}", sequence as usize % ZONES)
            .parse()
            .expect("a valid id"),
        first_token_by: now + Millis(30_000),
        token_gap: Millis(71),
        deadline: now + Millis(30_000),
        avoid: Vec::new(),
        suspect: false,
    }
}

/// CPU time of this process in nanoseconds. Wall-clock time would include other processes.
fn cpu_nanos() -> u64 {
    let text = fs::read_to_string("/proc/self/schedstat").expect("Linux with /proc/self/schedstat");
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.expect("schedstat starts with nanoseconds")
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("Linux with /proc/self/status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.expect("VmRSS is in KiB") * 1024
}
