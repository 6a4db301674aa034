//! Guards against requests that go on to engines which refuse most of them, while others accept.

mod common;

use bv_admit::{Fleet, ModelPlan, PeerLoad, SendId, SendOutcome, Work};
use bv_roster::{Registration, Stage};
use bv_types::{BackendId, Millis, Tokens};
use common::{id, model_request, server, service, zone};
use fastrand::Rng;

const HOSTS: usize = 8;
const BUSY_TIME: u64 = 6_000;
/// The streams in progress fit into the engines that accept.
const STREAM_TIME: u64 = 800;
/// Sends of one request.
const MAX_SENDS: u32 = 2;
const WORK: Work = Work {
    tokens: Tokens(4_000),
    stuck_after: Millis(5_000),
};

fn engines() -> Vec<Registration> {
    let prefill = (0..4).map(|at| server(&format!("p{at}"), "north", Some(Stage::Prefill)));
    let decode = (0..8).map(|at| server(&format!("d{at}"), "north", Some(Stage::Decode)));
    prefill.chain(decode).collect()
}

/// Whether an engine is one of those that refuse: 7 of 12.
fn is_busy(engine: &BackendId) -> bool {
    ["p0", "p1", "d0", "d1", "d2", "d3", "d4"].contains(&engine.as_str())
}

#[derive(Debug, Default)]
struct Counts {
    requests: u32,
    sends: u32,
    refused: u32,
    served: u32,
}

struct Stream {
    host: usize,
    engine: BackendId,
    send: SendId,
    ends_at: u64,
}

/// Plays requests of all hosts while some engines refuse nine of ten sends.
fn play(seed: u64) -> Counts {
    let mut rng = Rng::with_seed(seed);
    let engines = engines();
    let mut hosts: Vec<Fleet> = (0..HOSTS).map(|_| Fleet::new(rng.u64(..))).collect();
    let mut streams: Vec<Stream> = Vec::new();
    let mut counts = Counts::default();
    let mut now = 0;
    while now < BUSY_TIME {
        now += rng.u64(0..100);
        streams.retain(|stream| {
            let is_over = stream.ends_at <= now;
            if is_over {
                let outcome = SendOutcome::Answered { error: false };
                hosts[stream.host].end(Millis(now), &stream.engine, stream.send, outcome);
            }
            !is_over
        });
        counts.requests += 1;
        let host = rng.usize(..HOSTS);
        let started = request(&mut hosts[host], now, &engines, &mut rng, &mut counts);
        report(&mut hosts, host, now);
        streams.extend(started.map(|(engine, send)| Stream {
            host,
            engine,
            send,
            ends_at: now + STREAM_TIME,
        }));
    }
    counts
}

/// Tells all other hosts what one host knows, as after each change of its load.
fn report(hosts: &mut [Fleet], from: usize, now: u64) {
    let load = PeerLoad {
        loads: hosts[from].own_loads(),
        refusing: hosts[from].refusing(Millis(now)),
        ..PeerLoad::default()
    };
    let sender = format!("host-{from}");
    for (at, host) in hosts.iter_mut().enumerate() {
        if at != from {
            host.expect_peers(HOSTS - 1);
            host.update_peer(Millis(now), sender.parse().unwrap(), (1, now), load.clone());
        }
    }
}

fn request(
    fleet: &mut Fleet,
    now: u64,
    engines: &[Registration],
    rng: &mut Rng,
    counts: &mut Counts,
) -> Option<(BackendId, SendId)> {
    let (service, zone) = (service(), zone("north"));
    let now = Millis(now);
    let mut tried: Vec<BackendId> = Vec::new();
    let mut sends = 0;
    let mut send = |fleet: &mut Fleet, engine: &BackendId| {
        let send = fleet.begin(now, engine, WORK);
        counts.sends += 1;
        let is_refused = is_busy(engine) && rng.f64() < 0.9;
        if is_refused {
            counts.refused += 1;
            fleet.end(now, engine, send, SendOutcome::Refused);
        }
        (!is_refused).then_some(send)
    };
    while sends < MAX_SENDS {
        let query = model_request(&service, &zone, &tried);
        let plan = fleet.place_model(now, query, engines.iter()).ok()?;
        let decode = match plan {
            ModelPlan::Direct { decode, .. } => decode.id,
            ModelPlan::Split {
                prefill, decode, ..
            } => {
                let Some(read) = send(fleet, &prefill.id) else {
                    sends += 1;
                    tried.push(prefill.id);
                    continue;
                };
                fleet.end(now, &prefill.id, read, SendOutcome::Unverified);
                decode.id
            }
        };
        sends += 1;
        if let Some(send) = send(fleet, &decode) {
            fleet.record_progress(now, &decode, send, Tokens(0));
            counts.served += 1;
            return Some((decode, send));
        }
        tried.push(decode);
    }
    None
}

#[test]
fn few_sends_are_refused() {
    let mut total = Counts::default();
    for seed in 0..40 {
        let counts = play(seed);
        total.requests += counts.requests;
        total.sends += counts.sends;
        total.refused += counts.refused;
        total.served += counts.served;
    }
    println!("{total:?}");
    assert!(
        total.refused * 4 < total.sends,
        "a quarter of the sends or more is refused: {total:?}"
    );
    assert!(
        total.served * 10 >= total.requests * 9,
        "under nine tenths of the requests are served: {total:?}"
    );
}

/// Guards against an engine that gets no requests long after its refusals have ended.
#[test]
fn refusals_end() {
    let engines = [
        server("p0", "north", Some(Stage::Prefill)),
        server("d0", "north", Some(Stage::Decode)),
    ];
    let mut fleet = Fleet::new(1);
    let (service, zone, d0) = (service(), zone("north"), id("d0"));
    let mut refused_at = 0;
    for now in (0..20_000).step_by(10) {
        let query = model_request(&service, &zone, &[]);
        if fleet
            .place_model(Millis(now), query, engines.iter())
            .is_ok()
        {
            refused_at = now;
            let send = fleet.begin(Millis(now), &d0, WORK);
            fleet.end(Millis(now), &d0, send, SendOutcome::Refused);
        }
    }
    let query = model_request(&service, &zone, &[]);
    let plan = fleet.place_model(Millis(refused_at + 1_600), query, engines.iter());
    assert!(plan.is_ok(), "{plan:?}");
    let send = fleet.begin(Millis(refused_at + 1_600), &d0, WORK);
    fleet.record_progress(Millis(refused_at + 1_700), &d0, send, Tokens(0));
    let send = fleet.begin(Millis(refused_at + 1_700), &d0, WORK);
    fleet.end(Millis(refused_at + 1_700), &d0, send, SendOutcome::Refused);
    let plan = fleet.place_model(Millis(refused_at + 1_900), query, engines.iter());
    assert!(
        plan.is_ok(),
        "the first refusal after an acceptance counts 200 ms: {plan:?}"
    );
}
