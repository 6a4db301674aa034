//! Another writer leaves an entry with missing fields under the id of a runner.

use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Outcome};
use crate::host::{Host, Settings};
use crate::record::Record;
use crate::runner::{Arrival, Runner, Work, unix_ms};
use crate::store::Store;

/// Interval at which runners write their entries, `heartbeat_interval_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const CALM: Duration = Duration::from_secs(4);
/// Time for which clients send after the entry was written.
const WATCH: Duration = Duration::from_secs(10);
/// Time between two requests of the clients of one host.
const PACE: Duration = Duration::from_millis(50);
const ZONES: [&str; 2] = ["lot-north", "lot-south"];
/// Runners of the service `bookings`, then those of `permits`.
const RUNNERS: [(&str, &str); 4] =
    [("i-0", "bookings"), ("i-1", "bookings"), ("i-2", "permits"), ("i-3", "permits")];
/// The runner under whose id the other writer leaves an entry.
const NAMED: usize = 3;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"seat-booking","host":"ride.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":600,
"target_latency_ms":120,"priority":2,"service":"bookings","max_attempts":1},
{"name":"permit","host":"ride.example","path_prefix":"/permit/","kind":"unsafe","timeout_ms":600,
"target_latency_ms":120,"priority":2,"service":"permits","max_attempts":1}],
"services":[{"name":"bookings","max_connections":96},{"name":"permits","max_connections":96}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

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

fn play(record: &Record, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(address(1));
    store.put("op", "config", MANIFEST);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut runners = Vec::new();
    for (number, (id, service)) in RUNNERS.iter().enumerate() {
        let ip = address(10 + number as u8);
        let work = Work::Plain(Duration::from_millis(15));
        runners.push(Runner::start(ip, id, service, ZONES[number % 2], work, 6, &arrivals));
    }
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry(1));
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
    std::thread::sleep(CALM);
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(host, process)| {
            let (addr, is_over) = (process.callers, is_over.clone());
            std::thread::spawn(move || send_steadily(addr, host, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    let written = Instant::now();
    if trouble {
        let entry = format!(
            r#"{{"service":"bookings","address":"{}","zone":"{}","slots":6,"state":"ready","born":{}}}"#,
            runners[NAMED].addr,
            runners[NAMED].zone,
            unix_ms()
        );
        store.put("servers", RUNNERS[NAMED].0, &entry);
        record.line(&format!("another writer writes servers/{}: {entry}", RUNNERS[NAMED].0));
    }
    // The runner writes its own entry at its next status report; the others' entries don't change, as
    // nothing but their sequence does.
    std::thread::sleep(HEARTBEAT);
    if trouble {
        let entry = runners[NAMED].entry(5);
        store.put("servers", RUNNERS[NAMED].0, &entry);
        record.line(&format!("runner {} writes its entry again: {entry}", RUNNERS[NAMED].0));
    }
    let rewritten = Instant::now();
    std::thread::sleep(WATCH);
    is_over.store(true, Ordering::Relaxed);
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.extend(client.join().unwrap_or_default());
    }
    let arrivals = arrivals.lock().unwrap();
    let mut foreign = 0;
    let mut last = Duration::ZERO;
    let mut after_rewrite = 0;
    for (id, outcome) in &outcomes {
        let runs = arrivals.iter().filter(|arrival| arrival.request == *id && arrival.ran);
        for arrival in runs {
            let service = RUNNERS.iter().find(|(id, _)| *id == arrival.server);
            let service = service.map_or("", |(_, service)| *service);
            if service == "bookings" {
                continue;
            }
            foreign += 1;
            last = last.max(arrival.at.saturating_duration_since(written));
            after_rewrite += usize::from(arrival.at > rewritten);
            record.line(&format!(
                "request {id} on /book/ was run by {} of the service {service}; its client got {outcome}",
                arrival.server
            ));
        }
    }
    record.line(&format!(
        "{} requests on /book/, which every manifest sends to bookings; {foreign} of them were run by another \
         service, the last one {:.1} s after the odd entry, {after_rewrite} after the runner had written its own \
         entry again",
        outcomes.len(),
        last.as_secs_f64()
    ));
    match foreign {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

fn send_steadily(
    addr: std::net::SocketAddr,
    host: usize,
    is_over: &AtomicBool,
) -> Vec<(String, Outcome)> {
    let mut outcomes = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let id = format!("{host:02x}{:06x}", outcomes.len());
        let head = format!(
            "POST /book/7 HTTP/1.1\r\nHost: ride.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
             X-Burdockvale-Deadline-Ms: 600\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
        );
        let at = Instant::now();
        let outcome = client::call(addr, &head, b"seat", Duration::from_millis(700));
        outcomes.push((id, outcome));
        std::thread::sleep(PACE.saturating_sub(at.elapsed()));
    }
    outcomes
}
