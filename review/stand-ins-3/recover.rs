//! Three servers crash, one after the other, while many clients ask for the same thing.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::parts::{address, answer_head, call, Host, Server};
use crate::store::Store;
use crate::Outcome;

const MACHINES: u8 = 3;
const SERVERS: u8 = 5;
/// Time for which a server works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Pause between two requests of all clients together: 51.4 requests a second.
const REQUEST_PAUSE: Duration = Duration::from_micros(19_455);
const TIME_BUDGET_MS: u64 = 4_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(15);
/// Times after the start of the machines.
const TRAFFIC_AT: Duration = Duration::from_secs(14);
const FIRST_CRASH_AT: Duration = Duration::from_secs(20);
const SECOND_CRASH_AT: Duration = Duration::from_secs(26);
const THIRD_CRASH_AT: Duration = Duration::from_secs(32);
const SERVER_DOWN: Duration = Duration::from_secs(4);
const KILL_AT: Duration = Duration::from_secs(38);
const MACHINES_DOWN: Duration = Duration::from_millis(1_100);
/// Time for which requests are judged after the recovery.
const JUDGED: Duration = Duration::from_secs(15);

struct Request {
    at: Instant,
    /// 0 if the channel ended without an answer.
    status: u16,
    is_served: bool,
    code: String,
}

fn manifest() -> String {
    r#"{"version":7,"routes":[{"name":"r-status","host":"ficu95.example","path_prefix":"/puxa403/",
    "kind":"safe","timeout_ms":4000,"target_latency_ms":300,"priority":0,"service":"policy-app","max_attempts":2,
    "public":false,"sticky_sessions":false,"resumable":false}],
    "services":[{"name":"policy-app","max_connections":520,"health_check_path":"/health"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

/// Sends one request and records what the client sees.
fn send(to: std::net::SocketAddr, number: u64, log: &Mutex<Vec<Request>>) {
    let at = Instant::now();
    let id = format!("{number:016x}");
    let text = format!(
        "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
         X-Burdockvale-Deadline-Ms: {TIME_BUDGET_MS}\r\nConnection: close\r\n\r\n"
    );
    let answer = call(to, text.as_bytes()).unwrap_or_default();
    let status = answer.status();
    let is_stamped = answer.header("X-Burdockvale-Server-Stamp").is_some();
    let is_whole = answer.is_complete && answer.body == b"state: issued" && answer.id() == id;
    let code = String::from_utf8_lossy(&answer.body).into_owned();
    let is_served = status == 200 && is_stamped && is_whole;
    log.lock().unwrap().push(Request { at, status, is_served, code });
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let store = Arc::new(Store::start(&address(1)));
    store.put("op", "config", &manifest());
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|number| {
            // An answer without a length ends with its channel.
            let server = Server::start(&format!("i-{number}"), &address(10 + number), |req, stream| {
                thread::sleep(WORK);
                let head = answer_head(req, 200, "3e1b.07.5a2") + "connection: close\r\n\r\n";
                let _ = stream.write_all(format!("{head}state: issued").as_bytes());
                false
            });
            Arc::new(server)
        })
        .collect();
    let (beating, rows) = (servers.clone(), store.clone());
    thread::spawn(move || loop {
        for server in beating.iter().filter(|server| server.is_up()) {
            rows.put("servers", &server.id, &server.row("policy-app", 6));
        }
        thread::sleep(HEARTBEAT);
    });
    thread::sleep(Duration::from_millis(100));
    let began = Instant::now();
    let start_hosts = |is_first: bool| -> Result<Vec<Host>, String> {
        let start = |number| Host::start(&address(100 + number), store.addr, is_first);
        let mut hosts = (0..MACHINES).map(start).collect::<Result<Vec<Host>, String>>()?;
        hosts.iter_mut().try_for_each(Host::wait_ready)?;
        Ok(hosts)
    };
    let mut hosts = start_hosts(true)?;
    let log = Arc::new(Mutex::new(Vec::new()));
    let to: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let sending = log.clone();
    let end_at = began + KILL_AT + MACHINES_DOWN + RECOVERY + JUDGED + Duration::from_secs(1);
    let clients = thread::spawn(move || {
        let mut next_at = began + TRAFFIC_AT;
        let mut number = 1;
        while next_at < end_at {
            thread::sleep(next_at.saturating_duration_since(Instant::now()));
            next_at += REQUEST_PAUSE;
            number += 1;
            let (log, to) = (sending.clone(), to[number as usize % to.len()]);
            thread::spawn(move || send(to, number, &log));
        }
    });
    let mut back_at = began + KILL_AT + MACHINES_DOWN;
    if has_trouble {
        for (server, at) in [(0, FIRST_CRASH_AT), (1, SECOND_CRASH_AT), (2, THIRD_CRASH_AT)] {
            wait_until(began + at);
            servers[server].crash_at_work(SERVER_DOWN);
        }
        wait_until(began + KILL_AT);
        drop(std::mem::take(&mut hosts));
        thread::sleep(MACHINES_DOWN);
        hosts = start_hosts(false)?;
        back_at = Instant::now();
    }
    wait_until(end_at);
    // The last requests end within their time budget.
    let _ = clients.join();
    thread::sleep(Duration::from_millis(TIME_BUDGET_MS));
    drop(hosts);
    let log = log.lock().unwrap();
    Ok(judge(&log, began, back_at))
}

fn wait_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// The rule: of the requests later than `recovery_s` after the machines are back, less than a quarter is
/// served, though a quarter or more was before the final fault.
fn judge(log: &[Request], began: Instant, back_at: Instant) -> Outcome {
    let share = |from: Instant, to: Instant| {
        let of = |request: &&Request| request.at >= from && request.at < to;
        let sent = log.iter().filter(of).count();
        let served = log.iter().filter(of).filter(|request| request.is_served).count();
        (sent, served, served as f64 / sent.max(1) as f64)
    };
    let before = share(began, began + KILL_AT);
    let after = share(back_at + RECOVERY, back_at + RECOVERY + JUDGED);
    let is_broken = before.2 >= 0.25 && after.2 < 0.25;
    let mut record = String::new();
    let verdict = if is_broken { "broken" } else { "held" };
    let _ = writeln!(record, "RECOVER {verdict}");
    let _ = writeln!(record, "before the final fault: {} sent, {} served ({:.3})", before.0, before.1, before.2);
    let _ = writeln!(
        record,
        "later than {} s after the machines are back: {} sent, {} served ({:.3})",
        RECOVERY.as_secs(),
        after.0,
        after.1,
        after.2
    );
    let _ = writeln!(record, "second after the machines' start: sent, served, other answers");
    let last = log.iter().map(|request| (request.at - began).as_secs()).max().unwrap_or(0);
    for second in TRAFFIC_AT.as_secs()..=last {
        let of = |request: &&Request| (request.at - began).as_secs() == second;
        let mut others: Vec<(String, usize)> = Vec::new();
        for request in log.iter().filter(of).filter(|request| !request.is_served) {
            let code: String = request.code.chars().take(24).collect();
            let what = format!("{} {code}", request.status);
            match others.iter_mut().find(|(known, _)| *known == what) {
                Some((_, count)) => *count += 1,
                None => others.push((what, 1)),
            }
        }
        let sent = log.iter().filter(of).count();
        let served = log.iter().filter(of).filter(|request| request.is_served).count();
        let _ = writeln!(record, "{second}: {sent}, {served}, {others:?}");
    }
    Outcome { record, is_broken }
}
