//! A burst of clients with bodies within the manifest's limit. The platform kills a process that
//! exceeds its memory.

use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{self, Outcome};
use crate::host::{Host, Settings};
use crate::record::Record;
use crate::runner::{Arrival, Runner, Silence, Work};
use crate::store::Store;

/// `max_body_bytes` of the manifest, as the bench's messages for the site show it.
const MAX_BODY_BYTES: usize = 4_194_304;
/// `memory_mb` of the site's machines.
const MEMORY_MB: u64 = 110;
/// Largest dose of `burst` in the site file.
const BURST: f64 = 2.3;
/// Zones with one machine, and their clients.
const ZONES: [(&str, usize); 2] = [("gate-main", 13), ("depot-east", 15)];
const WAVES: usize = 3;
/// Time between two looks at the memory of the processes.
const LOOK: Duration = Duration::from_millis(5);
/// Pause before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Time in which a client sends its body. All clients of a zone together then stay far below the link
/// of a machine, 1,000 Mbit/s, so that it does not count as choked.
const UPLOAD: Duration = Duration::from_secs(3);
/// Time budget of `lost-property`.
const DEADLINE_MS: u64 = 14_000;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"lost-property","host":"ride.example","path_prefix":"/lost/","kind":"streaming","timeout_ms":14000,
"target_latency_ms":1000,"gap_aim_ms":300,"priority":1,"service":"drafting","max_attempts":1,"resumable":false,
"sticky_sessions":true}],
"services":[{"name":"drafting","max_connections":360,"engine":{"kv_cache_tokens":43793,"stride":15,
"kv_token_bytes":327680.0,"link_mbps":3600000.0,"handle_ttl_s":0.9,"stage_switch_s":5.0,"hold_ms":2000}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let record = Arc::new(record);
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

fn play(record: &Arc<Record>, folder: &Path, trouble: bool) -> Verdict {
    let store = Store::start(address(1));
    store.put("op", "config", MANIFEST);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut runners = Vec::new();
    for number in 0..9u8 {
        let work = match number < 4 {
            true => Work::Prefill,
            false => Work::Decode(14, Duration::from_millis(200), Silence::default()),
        };
        let zone = ZONES[number as usize % 2].0;
        let id = format!("i-{number}");
        let ip = address(10 + number);
        runners.push(Runner::start(ip, &id, "drafting", zone, work, 64, &arrivals));
    }
    for runner in &runners {
        store.put("servers", &runner.id, &runner.entry(1));
    }
    let mut hosts = Vec::new();
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        let host = Host::start(&Settings {
            folder,
            ip: address(100 + number as u8),
            name: &format!("frontend-{zone}-1"),
            zone,
            store: store.addr,
            memory_mb: MEMORY_MB,
        });
        hosts.push(Arc::new(Mutex::new(host)));
    }
    for host in &hosts {
        if !host.lock().unwrap().wait_ready() {
            record.line("a host did not become ready");
            return Verdict::CouldNotRun;
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let platforms: Vec<_> = hosts
        .iter()
        .map(|host| {
            let (host, record, is_over) = (host.clone(), record.clone(), is_over.clone());
            std::thread::spawn(move || enforce_memory(&host, &record, &is_over))
        })
        .collect();
    let mut unanswered = 0;
    for wave in 1..=WAVES {
        let mut clients = Vec::new();
        for (host, (zone, usual)) in hosts.iter().zip(ZONES) {
            let count = match trouble {
                true => (usual as f64 * BURST) as usize,
                false => usual,
            };
            let rate = (count * MAX_BODY_BYTES * 8) as f64 / UPLOAD.as_secs_f64() / 1e6;
            record.line(&format!(
                "wave {wave}: {count} clients of {zone} send one request each, together {rate:.0} Mbit/s"
            ));
            let addr = host.lock().unwrap().callers;
            for number in 0..count {
                let id = format!("{wave:02x}{number:04x}{zone}");
                let record = record.clone();
                clients.push(std::thread::spawn(move || {
                    let outcome = send(addr, &id);
                    record.line(&format!("client {id}: {outcome}"));
                    !matches!(outcome, Outcome::Answer { .. })
                }));
            }
        }
        unanswered += clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|is_unanswered| *is_unanswered)
            .count();
        let until = Instant::now() + Duration::from_secs(12);
        while Instant::now() < until && !hosts.iter().all(|host| host.lock().unwrap().is_ready()) {
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    is_over.store(true, Ordering::Relaxed);
    let kills: Vec<usize> = platforms.into_iter().filter_map(|p| p.join().ok()).collect();
    let ran = arrivals.lock().unwrap().iter().filter(|arrival| arrival.ran).count();
    record.line(&format!(
        "processes killed for their memory, by machine: {kills:?}; requests without an answer: {unanswered}; \
         runs at runners: {ran}"
    ));
    let machines = kills.iter().filter(|kills| **kills >= 3).count();
    match machines >= 2 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

fn send(addr: std::net::SocketAddr, id: &str) -> Outcome {
    let head = format!(
        "POST /lost/7 HTTP/1.1\r\nHost: ride.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
         X-Burdockvale-Model-Name: m\r\nX-Burdockvale-Token-Counts: 3200,210\r\n\
         X-Burdockvale-Prompt-Prefix: 5c1e07a2:200,{}:3000\r\nX-Burdockvale-Deadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: {MAX_BODY_BYTES}\r\n\r\n",
        &id[..6]
    );
    let body = vec![b'p'; MAX_BODY_BYTES];
    client::call_slowly(addr, &head, &body, UPLOAD, Duration::from_millis(DEADLINE_MS))
}

/// Kills a host's process when it exceeds its memory, and starts it again, as the platform does.
/// Returns how often that happened.
fn enforce_memory(host: &Mutex<Host>, record: &Record, is_over: &AtomicBool) -> usize {
    let mut kills = 0;
    let mut peak = 0;
    let mut started = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK);
        let mut locked = host.lock().unwrap();
        let memory = locked.memory();
        peak = peak.max(memory);
        if memory <= MEMORY_MB << 20 {
            continue;
        }
        // An end within a second of a disruption, such as the start of the process, does not count.
        let age = started.elapsed();
        kills += usize::from(age > Duration::from_secs(1));
        record.line(&format!(
            "{} uses {:.1} MB of {MEMORY_MB} and is killed, {:.1} s after its start",
            locked.name,
            memory as f64 / 1e6,
            age.as_secs_f64()
        ));
        locked.kill();
        std::thread::sleep(RESTART_DELAY);
        locked.restart();
        started = Instant::now();
    }
    let name = host.lock().unwrap().name.clone();
    record.line(&format!("{name}: most memory in use {:.1} MB", peak as f64 / 1e6));
    kills
}
