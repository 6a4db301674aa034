//! Fault: clients that the operators do not control keep many channels open, each with a chunked body that
//! stops short of its end. The host's memory goes beyond `memory_mb`, so that the platform kills it.

use std::io::{Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::http::Conn;
use crate::store::Store;
use crate::system::{
    Host, MEMORY_MB, Record, Runner, SIGKILL, answer, client, free_address, manifest, request,
    route,
};

/// Channels of the crowd: as many as a host with 4,100 descriptors serves at once.
const CHANNELS: usize = 1_600;
/// Bytes of the head of each request; the limit of the manifest is 16,384.
const HEAD_BYTES: usize = 15_000;
/// Bytes of the only chunk, of which the last one is never sent; the limit of a body is 4,194,304.
const CHUNK_BYTES: usize = 0x7000;
/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(3);

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
    let mut host = Host::start(1, store.addr, 8);
    if !host.wait_ready() {
        return Outcome::NotRun("the host is not ready".into());
    }
    sleep(Duration::from_millis(800));
    if !is_served(&host, "before") {
        return Outcome::NotRun("an ordinary call is not served".into());
    }
    record.add(format!(
        "an ordinary call is served; the host uses {:.1} MB at most",
        host.peak_mb()
    ));
    let has_crowd = Arc::new(AtomicBool::new(true));
    let crowd = has_trouble.then(|| {
        let (addr, stays) = (host.frontend(), has_crowd.clone());
        std::thread::spawn(move || -> Result<usize> {
            let mut conns: Vec<Conn> = Vec::new();
            let text = unfinished_request();
            for _ in 0..CHANNELS {
                conns.push(client(addr)?);
            }
            // The host may have been killed meanwhile.
            let sent = conns
                .iter_mut()
                .filter_map(|c| c.stream.write_all(&text).ok())
                .count();
            while stays.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(20));
            }
            Ok(sent)
        })
    });
    let began = Instant::now();
    let mut is_killed = false;
    while began.elapsed() < STAY && !is_killed {
        sleep(Duration::from_millis(10));
        // The platform kills a process that exceeds its memory.
        let used = host.used_mb();
        if used > MEMORY_MB {
            record.add(format!(
                "the host uses {used:.1} MB of {MEMORY_MB} MB and is killed"
            ));
            host.signal_if_running(SIGKILL);
            is_killed = true;
        }
        if host.has_ended() && !is_killed {
            record.add("the host has ended by itself");
            is_killed = true;
        }
    }
    record.add(format!("peak: {:.1} MB", host.peak_mb()));
    has_crowd.store(false, Ordering::Relaxed);
    if let Some(crowd) = crowd {
        match crowd.join() {
            Ok(Ok(sent)) => record.add(format!(
                "{sent} of {CHANNELS} channels sent an unfinished request"
            )),
            Ok(Err(err)) => return Outcome::NotRun(format!("the crowd cannot connect: {err}")),
            Err(_) => return Outcome::NotRun("the crowd failed".into()),
        }
    }
    sleep(Duration::from_millis(300));
    record.add(format!(
        "an ordinary call afterwards is served: {}",
        is_served(&host, "after")
    ));
    runners.iter().for_each(|runner| record.note_runs(runner));
    let runs: usize = runners.iter().map(|r| r.runs.lock().unwrap().len()).sum();
    record.add(format!("{runs} runs"));
    match is_killed {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}

fn unfinished_request() -> Vec<u8> {
    let mut head =
        "POST /draft/reply HTTP/1.1\r\nHost: a.example\r\nX-Burdockvale-Request-Id: crowd\r\n\
                    Transfer-Encoding: chunked\r\n"
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
            let text = request(
                "POST",
                "/booking/seat",
                &format!("{name}-{n}"),
                extra,
                "seat 7",
            );
            conn.stream.write_all(text.as_bytes())?;
            Ok(conn.message(true)?.status())
        };
        call().is_ok_and(|status| status == 200)
    })
}
