//! Many clients with kept channels, whose requests have large heads within the limits of the manifest.

use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::read_message;
use crate::parts::{address, answer_head, runner_row, start_runner, Host, MachineLimits};
use crate::store::Store;
use crate::Outcome;

const MACHINES: u8 = 2;
const RUNNERS: u8 = 4;
/// A machine of `vleiroete-park`.
const LIMITS: MachineLimits = MachineLimits { cpu_share: 0.25, memory_mb: 110, files: 4_100 };
/// Clients at each machine, each with one kept channel; a machine takes 0.4 of its descriptors.
const CLIENTS: usize = 1_600;
/// Threads that send the requests of the clients of a machine, one after the other.
const THREADS: usize = 4;
/// Header lines of a request, and its head in bytes; `max_header_bytes` is 16,384.
const LINES: usize = 90;
const HEAD_BYTES: usize = 16_000;
const SMALL_HEAD_BYTES: usize = 400;
/// Body of a request; `max_body_bytes` is 4,194,304.
const BODY_BYTES: usize = 3_600;
const TRAFFIC_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(100);
/// Pause of a thread after each request, so that a machine gets at most 2,000 requests a second.
const REQUEST_PAUSE: Duration = Duration::from_millis(2);
const MONITOR_PAUSE: Duration = Duration::from_millis(50);
/// Pause until the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// An end within this time of the start of its process does not count: the start is a disruption.
const START_TIME: Duration = Duration::from_secs(1);
/// Ends of processes of a machine that the rule allows no more.
const TOO_MANY_ENDS: usize = 3;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    unanswered: AtomicU64,
    is_over: AtomicBool,
}

struct End {
    machine: u8,
    at: Duration,
    memory_kb: u64,
    answered: u64,
}

fn manifest() -> String {
    r#"{"version":7,"routes":[{"name":"r-book","host":"ficu95.example","path_prefix":"/puxa403/",
    "kind":"unsafe","timeout_ms":5000,"target_latency_ms":120,"priority":2,"service":"bookings","max_attempts":1,
    "public":false,"sticky_sessions":false,"resumable":false}],
    "services":[{"name":"bookings","max_connections":96,"health_check_path":"/health"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

/// A request; its head has `bytes` bytes.
fn request(number: u64, bytes: usize) -> Vec<u8> {
    let mut head = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Burdockvale-Request-Id: {number:016x}\r\n\
         X-Burdockvale-Deadline-Ms: 5000\r\nContent-Length: {BODY_BYTES}\r\n"
    );
    let each = bytes.saturating_sub(head.len() + 2) / LINES;
    for line in 0..LINES {
        let name = format!("X-Part-{line:02}: ");
        if each > name.len() + 2 {
            let value = "a".repeat(each - name.len() - 2);
            let _ = write!(head, "{name}{value}\r\n");
        }
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES, b'h');
    bytes
}

/// Sends requests on kept channels, one client after the other, until the end.
fn send_all(to: SocketAddr, head_bytes: usize, first_id: u64, counts: &Counts) {
    let mut channels: Vec<Option<BufReader<TcpStream>>> = Vec::new();
    channels.resize_with(CLIENTS / THREADS, || None);
    let mut number = first_id;
    while !counts.is_over.load(Ordering::Relaxed) {
        for channel in &mut channels {
            if counts.is_over.load(Ordering::Relaxed) {
                return;
            }
            number += 1;
            thread::sleep(REQUEST_PAUSE);
            match send(channel, to, &request(number, head_bytes)) {
                Some(200) => counts.answered.fetch_add(1, Ordering::Relaxed),
                Some(429 | 503) => counts.refused.fetch_add(1, Ordering::Relaxed),
                Some(_) => counts.failed.fetch_add(1, Ordering::Relaxed),
                None => {
                    thread::sleep(Duration::from_millis(5));
                    counts.unanswered.fetch_add(1, Ordering::Relaxed)
                }
            };
        }
    }
}

/// Status of the answer; none if the channel cannot be opened or ends without an answer.
fn send(channel: &mut Option<BufReader<TcpStream>>, to: SocketAddr, bytes: &[u8]) -> Option<u16> {
    if channel.is_none() {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
        stream.set_nodelay(true).ok()?;
        *channel = Some(BufReader::with_capacity(2_048, stream));
    }
    let mut reader = channel.take()?;
    reader.get_mut().write_all(bytes).ok()?;
    let answer = read_message(&mut reader)?;
    let closes = answer.header("connection").is_some_and(|value| value.contains("close"));
    if !closes && answer.is_complete {
        *channel = Some(reader);
    }
    Some(answer.status())
}

/// Acts as the platform for one machine: kills the process when it exceeds the machine's memory, and starts
/// it again. Returns when that happened, and the most memory that was seen.
fn supervise(machine: u8, store: SocketAddr, began: Instant, counts: &Counts) -> Result<(Vec<End>, u64), String> {
    let ip = address(100 + machine);
    let mut host = Host::start_with(&ip, store, true, LIMITS)?;
    host.wait_ready()?;
    let mut started = Instant::now();
    let mut ends = Vec::new();
    let mut most = 0;
    while began.elapsed() < END_AT && ends.len() < TOO_MANY_ENDS {
        thread::sleep(MONITOR_PAUSE);
        let memory_kb = host.memory_kb();
        most = most.max(memory_kb);
        if memory_kb <= LIMITS.memory_mb * 1_024 {
            continue;
        }
        let (at, answered) = (began.elapsed(), counts.answered.load(Ordering::Relaxed));
        if started.elapsed() > START_TIME {
            ends.push(End { machine, at, memory_kb, answered });
        }
        drop(host);
        thread::sleep(RESTART_PAUSE);
        host = Host::start_with(&ip, store, false, LIMITS)?;
        host.wait_ready()?;
        started = Instant::now();
    }
    counts.is_over.store(true, Ordering::Relaxed);
    Ok((ends, most))
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start(&address(1));
    store.put("op", "config", &manifest());
    for number in 0..RUNNERS {
        let addr = start_runner(&address(10 + number), move |req, stream| {
            let head = answer_head(req, 200, "3e1b.07.5a2") + "content-length: 6\r\n\r\n";
            stream.write_all(format!("{head}booked").as_bytes()).is_ok()
        });
        store.put("servers", &format!("i-{number}"), &runner_row("bookings", addr, 6));
    }
    let head_bytes = if has_trouble { HEAD_BYTES } else { SMALL_HEAD_BYTES };
    let began = Instant::now();
    let addr = store.addr;
    let machines: Vec<_> = (0..MACHINES)
        .map(|machine| {
            thread::spawn(move || {
                let counts = Arc::new(Counts::default());
                let to = SocketAddr::new(address(100 + machine).parse().expect("an address"), 8149);
                let senders: Vec<_> = (0..THREADS as u64)
                    .map(|sender| {
                        let counts = counts.clone();
                        let first_id = u64::from(machine) << 40 | sender << 32;
                        thread::spawn(move || {
                            thread::sleep(TRAFFIC_AT);
                            send_all(to, head_bytes, first_id, &counts);
                        })
                    })
                    .collect();
                let supervised = supervise(machine, addr, began, &counts);
                counts.is_over.store(true, Ordering::Relaxed);
                senders.into_iter().for_each(|sender| drop(sender.join()));
                (supervised, counts)
            })
        })
        .collect();
    let mut record = String::new();
    let mut too_often = 0;
    for (machine, thread) in machines.into_iter().enumerate() {
        let (supervised, counts) = thread.join().map_err(|_| "a thread ended".to_owned())?;
        let (ends, most) = supervised?;
        too_often += usize::from(ends.len() >= TOO_MANY_ENDS);
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let _ = writeln!(
            record,
            "machine {machine}: most memory {most} kB of {} kB, ends {}; requests: 200 {}, 429 or 503 {}, other \
             answers {}, without an answer {}",
            LIMITS.memory_mb * 1_024,
            ends.len(),
            of(&counts.answered),
            of(&counts.refused),
            of(&counts.failed),
            of(&counts.unanswered)
        );
        for end in ends {
            let _ = writeln!(
                record,
                "machine {}: killed after {:.1} s with {} kB, after {} requests answered with 200",
                end.machine,
                end.at.as_secs_f64(),
                end.memory_kb,
                end.answered
            );
        }
    }
    let is_broken = too_often >= 2;
    let verdict = if is_broken { "broken" } else { "held" };
    let summary = format!(
        "Fault {verdict}\nmachines on which processes ended {TOO_MANY_ENDS} times: {too_often} of {MACHINES}\n\
         clients at each machine: {CLIENTS}; heads of {head_bytes} bytes, bodies of {BODY_BYTES} bytes\n"
    );
    Ok(Outcome { record: summary + &record, is_broken })
}
