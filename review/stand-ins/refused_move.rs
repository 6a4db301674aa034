//! A runner is silent for a second or so beside a change of the manifest, and goes on. The other runner is
//! full.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Outcome};
use crate::host::{Host, Settings};
use crate::record::Record;
use crate::runner::{Arrival, Runner, Silence, Work};
use crate::store::Store;

const SILENCE: Duration = Duration::from_millis(1_400);
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time from a change of the manifest to the silence.
const SILENCE_DELAY: Duration = Duration::from_millis(300);
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(150);
/// Time between two streams of the clients of one host.
const PACE: Duration = Duration::from_millis(800);
/// Time for which clients send, from one change of the manifest to the next.
const ROUND: Duration = Duration::from_secs(12);
const ROUNDS: u64 = 4;
const DEADLINE_MS: u64 = 14_000;
const ZONES: [&str; 2] = ["lot-north", "lot-south"];

/// A stream from the side of its client.
struct Stream {
    id: String,
    host: usize,
    began: Instant,
    ended: Instant,
    outcome: Outcome,
}

impl Stream {
    fn is_cut(&self) -> bool {
        match &self.outcome {
            Outcome::Answer { status, whole, .. } => *status == 200 && !whole,
            Outcome::Cut => true,
            Outcome::NoChannel => false,
        }
    }
}

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return Verdict::CouldNotRun;
    }
    let verdict = play(&record, &temporary, trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    verdict
}

fn address(last: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::from([127, 20 + (process >> 8) as u8 % 200, process as u8, last])
}

/// A manifest; its versions differ in the objective of a route that gets no requests.
fn manifest(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"shift-brief","host":"ride.example","path_prefix":"/shift/","kind":"streaming","timeout_ms":14000,
"target_latency_ms":1000,"gap_aim_ms":300,"priority":1,"service":"drafting","max_attempts":2,"resumable":true}},
{{"name":"idle","host":"ride.example","path_prefix":"/idle/","kind":"safe","timeout_ms":600,
"target_latency_ms":{},"priority":2,"service":"drafting","max_attempts":1}}],
"services":[{{"name":"drafting","max_connections":360}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        100 + version
    )
}

fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(address(1));
    store.put("op", "config", &manifest(1));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let silence = Silence::default();
    let works = [Work::Decode(EVENTS, PAUSE, silence.clone()), Work::Full];
    let mut runners = Vec::new();
    for (number, work) in works.into_iter().enumerate() {
        let ip = address(10 + number as u8);
        let id = format!("i-{number}");
        let mut runner = Runner::start(ip, &id, "drafting", ZONES[number], work, 64, &arrivals);
        runner.is_engine = false;
        store.put("servers", &runner.id, &runner.entry(1));
        runners.push(runner);
    }
    let mut hosts = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        hosts.push(Host::start(&Settings {
            folder,
            ip: address(100 + number as u8),
            name: &format!("frontend-{zone}-1"),
            zone,
            store: store.addr,
            memory_mb: 110,
        }));
    }
    if !hosts.iter().all(Host::wait_ready) {
        record.line("a host did not become ready");
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(4));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let end = Instant::now() + ROUND * ROUNDS as u32;
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(host, process)| {
            let (addr, streams) = (process.callers, streams.clone());
            std::thread::spawn(move || send_steadily(addr, host, end, &streams))
        })
        .collect();
    let mut planned = Vec::new();
    for round in 1..=ROUNDS {
        std::thread::sleep(ROUND / 2);
        let sent = Instant::now();
        store.put("op", "config", &manifest(round + 1));
        planned.push((sent, Instant::now() + CONFIG_APPLY + Duration::from_secs(1)));
        record.line(&format!("the store accepts version {} of the manifest", round + 1));
        std::thread::sleep(SILENCE_DELAY);
        if trouble {
            *silence.lock().unwrap() = Some(Instant::now() + SILENCE);
            record.line("i-0 is silent for 1.4 s, and goes on afterwards");
        }
        std::thread::sleep(ROUND / 2 - SILENCE_DELAY);
    }
    for client in clients {
        let _ = client.join();
    }
    let refused = arrivals.lock().unwrap().iter().filter(|arrival| !arrival.ran).count();
    record.line(&format!(
        "runs of i-0 whose channel the host closed before the end: {}; requests that i-1 refused with \
         X-Burdockvale-Not-Run: {refused}",
        runners[0].cut.load(Ordering::Relaxed)
    ));
    judge(record, &streams.lock().unwrap(), &arrivals.lock().unwrap(), &planned, &hosts)
}

fn send_steadily(
    addr: SocketAddr,
    host: usize,
    end: Instant,
    streams: &Arc<Mutex<Vec<Stream>>>,
) {
    let mut callers = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let id = format!("{host:02x}{number:06x}");
        let streams = streams.clone();
        callers.push(std::thread::spawn(move || {
            let head = format!(
                "POST /shift/7 HTTP/1.1\r\nHost: ride.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
                 X-Burdockvale-Token-Counts: 3200,300\r\nX-Burdockvale-Deadline-Ms: {DEADLINE_MS}\r\n\
                 Content-Length: 6\r\n\r\n"
            );
            let began = Instant::now();
            let outcome = client::call(addr, &head, b"prompt", Duration::from_millis(DEADLINE_MS));
            let ended = Instant::now();
            streams.lock().unwrap().push(Stream { id, host, began, ended, outcome });
        }));
        std::thread::sleep(PACE);
    }
    for caller in callers {
        let _ = caller.join();
    }
}

/// Whether a host cut streams beside changes of the manifest over three times as often as at other times.
fn judge(
    record: &Record,
    streams: &[Stream],
    arrivals: &[Arrival],
    planned: &[(Instant, Instant)],
    hosts: &[Host],
) -> Verdict {
    for stream in streams {
        let ran = arrivals.iter().filter(|a| a.request == stream.id && a.ran).count();
        record.line(&format!(
            "stream {}: {ran} runs, ended after {:.2} s, the client got {}",
            stream.id,
            (stream.ended - stream.began).as_secs_f64(),
            stream.outcome
        ));
    }
    let is_beside = |stream: &Stream| {
        planned.iter().any(|(from, to)| *from <= stream.ended && stream.ended <= *to)
    };
    // Not counted: streams that have used seven tenths of their time.
    let limit = Duration::from_millis(DEADLINE_MS * 7 / 10);
    let mut verdict = Verdict::Held;
    for (number, host) in hosts.iter().enumerate() {
        let own = streams.iter().filter(|stream| stream.host == number);
        let (beside, other): (Vec<&Stream>, Vec<&Stream>) = own.partition(|s| is_beside(s));
        // Counted once a runner began to work on it. No runner of this scenario breaks off.
        let is_passed_on = |s: &Stream| arrivals.iter().any(|a| a.request == s.id && a.ran);
        let is_lost =
            |s: &&&Stream| s.is_cut() && is_passed_on(s) && s.ended - s.began < limit;
        let lost = beside.iter().filter(is_lost).count();
        let lost_else = other.iter().filter(is_lost).count();
        record.line(&format!(
            "{}: {lost} of {} streams that ended beside a change of the manifest were cut, and {lost_else} of {} \
             others",
            host.name,
            beside.len(),
            other.len()
        ));
        if lost * other.len().max(1) > 3 * lost_else * beside.len().max(1) {
            verdict = Verdict::Broken;
        }
    }
    verdict
}
