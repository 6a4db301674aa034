//! Fault: clients that the operators do not control keep many channels open, each with a chunked body that
//! stops short of its end. The hosts' memory goes beyond `memory_mb`, so that the platform kills them.

use std::io::{Result, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Conn;
use crate::store::Store;
use crate::system::{
    Host, MEMORY_MB, Record, Runner, SIGKILL, answer, client, free_address, manifest, request,
    route,
};

const HOSTS: usize = 2;
/// Ends of one host by itself in a day that the rule does not allow.
const ENDS: usize = 3;
/// Channels to each host. One with 4,100 descriptors serves 1,640 at once.
const CHANNELS: usize = 1_500;
/// Bytes of the head of each request; the limit of the manifest is 16,384.
const HEAD_BYTES: usize = 15_000;
/// Bytes of the only chunk, of which the last one is never sent; the limit of a body is 4,194,304.
const CHUNK_BYTES: usize = 0x7000;
/// Time over which the requests of a crowd are sent: 64 MB in 2.5 s are 205 of the 1,000 Mbit/s of a machine's
/// link, so that no packets wait there.
const SENDING: Duration = Duration::from_millis(2_500);
/// How long the crowd stays.
const STAY: Duration = Duration::from_millis(4_000);
/// Time from a start of a host to the crowd. The rule leaves out ends within a second of a disruption on the
/// machine, such as a start.
const CALM: Duration = Duration::from_millis(1_500);
/// Pause before the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(free_address());
    let routes = [
        route("/booking/", "unsafe", 600, 1, ""),
        route("/draft/", "streaming", 14_000, 1, ""),
    ];
    store.put("op", "config", Some(&manifest(1, &routes)));
    let runners: Vec<Runner> = (0..4)
        .map(|n| {
            let script = |id: &str, req: &_| answer(id, req, 200, "done");
            let runner = Runner::start(free_address(), &format!("i-{n}"), script);
            store.put(
                "servers",
                &runner.id,
                Some(&runner.row("bookings", "ready", 1)),
            );
            runner
        })
        .collect();
    let mut hosts: Vec<Host> = (1..=HOSTS).map(|n| Host::start(n, store.addr, 8)).collect();
    let mut ends = [0; HOSTS];
    for wave in 1..=ENDS {
        if !hosts.iter().all(Host::wait_ready) {
            return Outcome::NotRun("a host is not ready".into());
        }
        sleep(CALM);
        if !hosts
            .iter()
            .all(|host| is_served(host, &format!("before-{wave}")))
        {
            return Outcome::NotRun("an ordinary call is not served".into());
        }
        let stays = Arc::new(AtomicBool::new(true));
        let crowds: Vec<JoinHandle<Result<usize>>> = hosts
            .iter()
            .filter(|_| has_trouble)
            .map(|host| crowd(host.frontend(), stays.clone()))
            .collect();
        let killed = watch(record, &mut hosts, wave);
        // The crowd is still there.
        for (host, is_killed) in hosts.iter().zip(&killed) {
            let served = is_served(host, &format!("after-{wave}"));
            let state = match is_killed {
                true => "ended".to_owned(),
                false => format!("peak {:.1} MB", host.peak_mb()),
            };
            record.add(format!(
                "wave {wave}: {}: {state}, an ordinary call is served: {served}",
                host.name
            ));
        }
        stays.store(false, Ordering::Relaxed);
        for crowd in crowds {
            match crowd.join() {
                Ok(Ok(sent)) => {
                    record.note(format!("requests written, some after the end: {sent}"));
                }
                Ok(Err(err)) => record.note(format!("the crowd cannot connect: {err}")),
                Err(_) => return Outcome::NotRun("the crowd failed".into()),
            }
        }
        sleep(RESTART_DELAY);
        for (n, is_killed) in killed.into_iter().enumerate() {
            if is_killed {
                ends[n] += 1;
                hosts[n].restart();
            }
        }
    }
    runners.iter().for_each(|runner| record.note_runs(runner));
    record.add(format!("ends of the hosts: {ends:?}"));
    match ends.iter().all(|ends| *ends >= ENDS) {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

/// Opens the channels of a crowd and sends a request without its end on each.
fn crowd(addr: SocketAddr, stays: Arc<AtomicBool>) -> JoinHandle<Result<usize>> {
    std::thread::spawn(move || {
        let mut conns: Vec<Conn> = Vec::new();
        for _ in 0..CHANNELS {
            conns.push(client(addr)?);
        }
        let text = unfinished_request();
        let began = Instant::now();
        let mut sent = 0;
        for (number, conn) in conns.iter_mut().enumerate() {
            let due = SENDING * number as u32 / CHANNELS as u32;
            sleep(due.saturating_sub(began.elapsed()));
            // The host may have been killed meanwhile.
            sent += usize::from(conn.stream.write_all(&text).is_ok());
        }
        while stays.load(Ordering::Relaxed) {
            sleep(Duration::from_millis(20));
        }
        Ok(sent)
    })
}

/// Watches the hosts as the platform does, which kills a process that exceeds its memory. Returns which hosts
/// have ended.
fn watch(record: &Record, hosts: &mut [Host], wave: usize) -> [bool; HOSTS] {
    let began = Instant::now();
    let mut ended = [false; HOSTS];
    while began.elapsed() < STAY && !ended.iter().all(|ended| *ended) {
        sleep(Duration::from_millis(10));
        for (host, ended) in hosts
            .iter_mut()
            .zip(&mut ended)
            .filter(|(_, ended)| !**ended)
        {
            let used = host.used_mb();
            if host.has_ended() {
                record.add(format!("wave {wave}: {} has ended by itself", host.name));
                *ended = true;
            } else if used > MEMORY_MB {
                record.add(format!(
                    "wave {wave}: {} uses {used:.1} MB of {MEMORY_MB} MB after {} ms and is killed",
                    host.name,
                    began.elapsed().as_millis()
                ));
                host.signal(SIGKILL);
                *ended = true;
            }
        }
    }
    ended
}

fn unfinished_request() -> Vec<u8> {
    let mut head = "POST /draft/reply HTTP/1.1\r\nHost: a.example\r\n\
                    X-Burdockvale-Request-Id: crowd\r\nTransfer-Encoding: chunked\r\n"
        .to_owned();
    let mut number = 0;
    while head.len() < HEAD_BYTES - 300 {
        head += &format!("X-Note-{number}: {}\r\n", "n".repeat(250));
        number += 1;
    }
    let body = "b".repeat(CHUNK_BYTES - 1);
    format!("{head}\r\n{CHUNK_BYTES:x}\r\n{body}").into_bytes()
}

/// Whether one of three ordinary calls, each on a channel of its own, is answered with success.
fn is_served(host: &Host, name: &str) -> bool {
    (0..3).any(|n| {
        let call = || -> Result<u16> {
            let mut conn = client(host.frontend())?;
            let extra = "X-Burdockvale-Deadline-Ms: 600\r\n";
            let id = format!("{name}-{n}");
            let text = request("POST", "/booking/seat", &id, extra, "seat 7");
            conn.stream.write_all(text.as_bytes())?;
            Ok(conn.message(true)?.status())
        };
        call().is_ok_and(|status| status == 200)
    })
}
