//! Servers in trouble whose answers do not end.

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Message;
use crate::parts::{address, answer_head, call, runner_row, start_runner, Host, MachineLimits};
use crate::store::Store;
use crate::Outcome;

const MACHINES: u8 = 2;
/// The runners of `drafting` there.
const SERVERS: u8 = 90;
const SLOTS: u32 = 24;
/// A small machine of `vleiroete-park-grown`.
const LIMITS: MachineLimits = MachineLimits { cpu_share: 0.12, memory_mb: 88, files: 4_100 };
/// Callers of the servers in trouble, at each machine.
const CALLERS: usize = 1_000;
const TRAFFIC_AT: Duration = Duration::from_secs(3);
const END_AT: Duration = Duration::from_secs(105);
const MONITOR_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(200);
/// The same after a channel that ended without an answer, as when a process has ended.
const PAUSE_AFTER_LOSS: Duration = Duration::from_millis(3_000);
/// An end within this time of the start of the process does not count.
const START_TIME: Duration = Duration::from_secs(1);
/// Pause until the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Ends of processes of a machine that the rule allows no more.
const TOO_MANY_ENDS: usize = 3;
const STACK_BYTES: usize = 96 << 10;

#[derive(Default)]
struct Counts {
    answered: AtomicU64,
    others: AtomicU64,
    unanswered: AtomicU64,
    is_over: AtomicBool,
}

fn manifest() -> String {
    r#"{"version":7,"routes":[{"name":"r-troubled","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe",
    "timeout_ms":9000,"target_latency_ms":1000,"priority":1,"service":"drafting","max_attempts":1,"public":false,
    "sticky_sessions":false,"resumable":false}],"services":[{"name":"drafting","max_connections":710}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

/// A thread with a small stack.
fn spawn(work: impl FnOnce() + Send + 'static) -> Option<thread::JoinHandle<()>> {
    thread::Builder::new().stack_size(STACK_BYTES).spawn(work).ok()
}

fn answer(req: &Message, stream: &mut TcpStream, is_endless: bool) -> bool {
    let head = answer_head(req, 200, "3e1b.07.5a2");
    if !is_endless {
        return stream.write_all(format!("{head}content-length: 6\r\n\r\nbooked").as_bytes()).is_ok();
    }
    let piece = [b'a'; 4_096];
    let mut is_open = stream.write_all(format!("{head}\r\n").as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(&piece).is_ok();
    }
    false
}

fn count(counts: &Counts, status: u16) {
    match status {
        200 => counts.answered.fetch_add(1, Ordering::Relaxed),
        0 => counts.unanswered.fetch_add(1, Ordering::Relaxed),
        _ => counts.others.fetch_add(1, Ordering::Relaxed),
    };
}

fn request(id: u64) -> Vec<u8> {
    let text = format!(
        "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Burdockvale-Request-Id: {id:016x}\r\n\
         X-Burdockvale-Deadline-Ms: 9000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    text.into_bytes()
}

/// Calls a server in trouble again and again.
fn call_troubled(to: SocketAddr, first_id: u64, counts: &Counts) {
    let mut id = first_id;
    while !counts.is_over.load(Ordering::Relaxed) {
        id += 1;
        let status = call(to, &request(id)).map_or(0, |answer| answer.status());
        count(counts, status);
        thread::sleep(if status == 0 { PAUSE_AFTER_LOSS } else { PAUSE });
    }
}

/// Acts as the platform for one machine: kills the process when it exceeds the machine's memory, and starts
/// it again.
fn supervise(
    machine: u8,
    store: SocketAddr,
    began: Instant,
) -> Result<(Vec<(Duration, u64)>, u64), String> {
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
        if started.elapsed() > START_TIME {
            ends.push((began.elapsed(), memory_kb));
        }
        drop(host);
        thread::sleep(RESTART_PAUSE);
        host = Host::start_with(&ip, store, false, LIMITS)?;
        host.wait_ready()?;
        started = Instant::now();
    }
    Ok((ends, most))
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start(&address(1));
    store.put("op", "config", &manifest());
    for number in 0..SERVERS {
        let addr = start_runner(&address(10 + number), move |req, stream| answer(req, stream, has_trouble));
        store.put("servers", &format!("i-{number}"), &runner_row("drafting", addr, SLOTS));
    }
    let began = Instant::now();
    let addr = store.addr;
    let mut threads = Vec::new();
    for machine in 0..MACHINES {
        let counts = Arc::new(Counts::default());
        let to = SocketAddr::new(address(100 + machine).parse().expect("an address"), 8149);
        for caller in 0..CALLERS as u64 {
            let counts = counts.clone();
            let first_id = u64::from(machine) << 48 | caller << 32;
            let caller = spawn(move || {
                thread::sleep(TRAFFIC_AT);
                call_troubled(to, first_id, &counts);
            });
            if caller.is_none() {
                return Err("a thread cannot be started".to_owned());
            }
        }
        threads.push((counts, thread::spawn(move || supervise(machine, addr, began))));
    }
    let mut record = String::new();
    let mut too_often = 0;
    for (machine, (counts, thread)) in threads.into_iter().enumerate() {
        let (ends, most) = thread.join().map_err(|_| "a thread ended".to_owned())??;
        counts.is_over.store(true, Ordering::Relaxed);
        too_often += usize::from(ends.len() >= TOO_MANY_ENDS);
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let _ = writeln!(
            record,
            "machine {machine}: most memory {most} kB of {} kB, ends {}; requests: 200 {}, other answers {}, without \
             an answer {}",
            LIMITS.memory_mb * 1_024,
            ends.len(),
            of(&counts.answered),
            of(&counts.others),
            of(&counts.unanswered)
        );
        for (at, memory_kb) in ends {
            let seconds = at.as_secs_f64();
            let _ = writeln!(record, "machine {machine}: killed after {seconds:.1} s with {memory_kb} kB");
        }
    }
    let is_broken = too_often >= 2;
    let verdict = if is_broken { "broken" } else { "held" };
    let summary = format!(
        "Fault {verdict}\nmachines on which processes ended {TOO_MANY_ENDS} times: {too_often} of {MACHINES}\n\
         callers at each machine: {CALLERS}\n"
    );
    Ok(Outcome { record: summary + &record, is_broken })
}
