//! Rows of the store that name no runner, or are no manifest. Requests must not follow them to another
//! service.

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
/// Time for which clients send, from a status report interval after the row was written.
const WATCH: Duration = Duration::from_secs(10);
/// Time between two requests of the clients of one host.
const PACE: Duration = Duration::from_millis(50);
const ZONES: [&str; 2] = ["lot-north", "lot-south"];
/// Runners of the service `bookings`, then those of `permits`.
const RUNNERS: [(&str, &str); 4] =
    [("i-0", "bookings"), ("i-1", "bookings"), ("i-2", "permits"), ("i-3", "permits")];
/// The runner whose id another writer uses.
const NAMED: usize = 3;

/// A row that names no runner, or is no manifest, but that a host may take for one.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Another writer leaves an entry with missing fields under the id of a runner.
    MissingFields,
    /// Another writer has an entry of a runner in another part of the table.
    EntryInOtherPart,
    /// The operator keeps a draft of a manifest in another part of its table.
    DraftInOtherPart,
}

pub fn run(folder: &Path, troubles: &[Trouble], trouble: bool) -> Verdict {
    let Ok(record) = Record::create(folder) else {
        return Verdict::CouldNotRun;
    };
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return Verdict::CouldNotRun;
    }
    let mut foreign = Some(0);
    for (number, kind) in troubles.iter().enumerate() {
        let played = play(&record, &temporary, *kind, number as u8, trouble);
        foreign = foreign.zip(played).map(|(sum, more)| sum + more);
    }
    let _ = std::fs::remove_dir_all(&temporary);
    match foreign {
        None => Verdict::CouldNotRun,
        Some(0) => Verdict::Held,
        Some(_) => Verdict::Broken,
    }
}

/// A loopback address that no other round of this process uses.
fn address(round: u8, last: u8) -> IpAddr {
    let process = std::process::id();
    IpAddr::from([127, 20 + (process >> 8) as u8 % 200, process as u8, round * 120 + last])
}

/// Plays one round with processes of its own. Returns how many requests were run by a service to which no
/// manifest allows them to go; none if the round could not be played.
fn play(record: &Record, folder: &Path, kind: Trouble, round: u8, trouble: bool) -> Option<usize> {
    let store = Store::start(address(round, 1));
    store.put("op", "config", &manifest(1, "bookings"));
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let mut runners = Vec::new();
    for (number, (id, service)) in RUNNERS.iter().enumerate() {
        let ip = address(round, 10 + number as u8);
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
            ip: address(round, 100 + number as u8),
            name: &format!("frontend-{zone}-1"),
            zone,
            store: store.addr,
            memory_mb: 110,
        }));
    }
    if !hosts.iter().all(Host::wait_ready) {
        record.line("a host did not become ready");
        return None;
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
        make_trouble(record, &store, &runners[NAMED], kind);
    }
    // The runner writes its own entry at its next status report. The store shows that only where more
    // than its sequence has changed.
    std::thread::sleep(HEARTBEAT);
    if trouble && kind == Trouble::MissingFields {
        let entry = runners[NAMED].entry(5);
        store.put("servers", RUNNERS[NAMED].0, &entry);
        record.line(&format!("runner {} writes its entry again: {entry}", RUNNERS[NAMED].0));
    }
    let reported = Instant::now();
    std::thread::sleep(WATCH);
    is_over.store(true, Ordering::Relaxed);
    let mut outcomes = Vec::new();
    for client in clients {
        outcomes.extend(client.join().unwrap_or_default());
    }
    let arrivals = arrivals.lock().unwrap();
    Some(judge(record, &outcomes, &arrivals, written, reported))
}

/// A manifest that sends `/book/` to `service`.
fn manifest(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"seat-booking","host":"ride.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":600,
"target_latency_ms":120,"priority":2,"service":"{service}","max_attempts":1}},
{{"name":"permit","host":"ride.example","path_prefix":"/permit/","kind":"unsafe","timeout_ms":600,
"target_latency_ms":120,"priority":2,"service":"permits","max_attempts":1}}],
"services":[{{"name":"bookings","max_connections":96}},{{"name":"permits","max_connections":96}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn make_trouble(record: &Record, store: &Store, runner: &Runner, kind: Trouble) {
    let id = &runner.id;
    match kind {
        Trouble::MissingFields => {
            let entry = format!(
                r#"{{"service":"bookings","address":"{}","zone":"{}","slots":6,"state":"ready","born":{}}}"#,
                runner.addr,
                runner.zone,
                unix_ms()
            );
            store.put("servers", id, &entry);
            record.line(&format!("another writer writes servers/{id}: {entry}"));
        }
        Trouble::EntryInOtherPart => {
            let entry = runner.entry(900).replace("permits", "bookings");
            store.put_in_part("servers", "staging", id, &entry);
            record.line(&format!(
                "another writer writes table servers, part staging, key {id}: {entry}"
            ));
        }
        Trouble::DraftInOtherPart => {
            store.put_in_part("op", "draft", "config", &manifest(2, "permits"));
            record.line(
                "the operator writes table op, part draft, key config: a manifest of version 2 that sends \
                 /book/ to permits",
            );
        }
    }
}

/// Number of requests that were run by a service to which no manifest allows them to go.
fn judge(
    record: &Record,
    outcomes: &[(String, Outcome)],
    arrivals: &[Arrival],
    written: Instant,
    reported: Instant,
) -> usize {
    let mut foreign = 0;
    let mut last = Duration::ZERO;
    let mut after_report = 0;
    for (id, outcome) in outcomes {
        let runs = arrivals.iter().filter(|arrival| arrival.request == *id && arrival.ran);
        let mut places = Vec::new();
        for arrival in runs {
            let service = RUNNERS.iter().find(|(id, _)| *id == arrival.server);
            let service = service.map_or("", |(_, service)| *service);
            places.push(format!("{} of {service}", arrival.server));
            if service != "bookings" {
                foreign += 1;
                last = last.max(arrival.at.saturating_duration_since(written));
                after_report += usize::from(arrival.at > reported);
            }
        }
        let places = match places.is_empty() {
            true => "nobody".to_owned(),
            false => places.join(" and "),
        };
        record.line(&format!("POST /book/7 with id {id}: run by {places}; the client got {outcome}"));
    }
    record.line(&format!(
        "{} requests on /book/, which every manifest sends to bookings; {foreign} of them were run by another \
         service, the last one {:.1} s after the row was written, {after_report} later than a status report \
         interval after it",
        outcomes.len(),
        last.as_secs_f64()
    ));
    foreign
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
