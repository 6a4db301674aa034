//! Prints processor time a decision and memory a runner and a request, for the capacity page.
//!
//! `cargo run --release -p bv-place --example decision_cost`

use std::fs;

use bv_place::{
    Action, Class, Event, Policy, PoolSpec, Report, Request, Role, RunnerSpec, Shard, ShardSpec,
    split,
};
use bv_types::{AttemptId, Bytes, Incarnation, Millis, Pieces, RatePerSec, Tokens};

const RUNNERS: [usize; 3] = [10, 100, 900];
/// Most runners in a shard today, and at the planned size.
const SHARD_SIZES: [usize; 2] = [16, 4];
const REQUESTS: u64 = 20_000;
const SLOTS: u32 = 20;
const ZONES: usize = 8;
const OUTPUT: u64 = 200;
/// Share of the slots that are in use while decisions are measured.
const USED: f64 = 0.9;
const OPEN: u64 = 100_000;
const HELD_RUNNERS: usize = 50_000;

fn main() {
    println!(
        "decisions at {:.0}% of the slots in use, one shard home a process",
        USED * 100.0
    );
    memory();
    for runners in RUNNERS {
        for size in SHARD_SIZES {
            cost(runners, size, REQUESTS);
        }
        // One decision costs as many comparisons as there are pairs of runners.
        cost(runners, runners, REQUESTS / runners as u64);
    }
}

/// Grants and releases requests over all shards at a steady number in progress.
fn cost(runners: usize, shard_size: usize, requests: u64) {
    let mut shards: Vec<Shard> = split(&runners_of(runners), shard_size)
        .into_iter()
        .map(|runners| Shard::new(spec(runners), Policy::Planned))
        .collect();
    let mut now = Millis::from_secs(1_000);
    for shard in &mut shards {
        report(shard, now);
    }
    let slots = (runners - runners.div_ceil(3)) as f64 * f64::from(SLOTS);
    let in_progress = (slots * USED) as usize;
    let mut open: std::collections::VecDeque<(usize, AttemptId)> = Default::default();
    let (mut decisions, mut refused) = (0, 0);
    let mut sequence = 0;
    // The steady state is reached before the measurement starts.
    let warm = in_progress as u64;
    let mut start = 0;
    while sequence < warm + requests {
        if sequence == warm {
            (start, decisions, refused) = (processor_nanos(), 0, 0);
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
    let nanos = (processor_nanos() - start) as f64 / f64::from(decisions);
    println!(
        "{runners:>4} runners, {:>3} shards of at most {shard_size:>3}: {:>7.1} us a request \
         (reserve, prefill done, release), {:>4.1}% refused or queued",
        shards.len(),
        nanos / 1000.0,
        f64::from(refused) * 100.0 / f64::from(decisions),
    );
}

/// Growth of the resident memory by open grants and by runners, measured on fresh memory.
fn memory() {
    let now = Millis::from_secs(1_000);
    let mut shards: Vec<Shard> = (0..OPEN / 200)
        .map(|_| {
            let mut shard = Shard::new(spec(runners_of(3)), Policy::RoundRobin);
            report(&mut shard, now);
            shard
        })
        .collect();
    let before = resident_bytes();
    for sequence in 0..OPEN {
        let at = sequence as usize % shards.len();
        shards[at].handle(now, Event::Reserve(request(now, sequence)));
    }
    let grown = resident_bytes().saturating_sub(before);
    println!("{} bytes an open grant", grown / OPEN);
    let before = resident_bytes();
    let more: Vec<Shard> = split(&runners_of(HELD_RUNNERS), 16)
        .into_iter()
        .map(|runners| {
            let mut shard = Shard::new(spec(runners), Policy::Planned);
            report(&mut shard, now);
            shard
        })
        .collect();
    let grown = resident_bytes().saturating_sub(before);
    println!("{} bytes a runner", grown / HELD_RUNNERS as u64);
    drop((shards, more));
}

fn rate(value: f64) -> RatePerSec {
    RatePerSec::try_from(value).expect("a rate above 0")
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
        max_output: Tokens(OUTPUT),
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

/// Time that this process has spent on a processor; the run time would count other processes.
fn processor_nanos() -> u64 {
    let text = fs::read_to_string("/proc/self/schedstat").expect("Linux with scheduler counts");
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.expect("a number of nanoseconds")
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("Linux with process status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.expect("a size in KiB") * 1024
}
