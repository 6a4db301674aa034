//! MIXED: a runner in trouble answers a stream with an HTTP/1.0 head and without a length, and resets it
//! midway. The host passes the old version on, so that the end of the channel is the end of the answer for
//! the client, and closes that channel as usual: the cut stream looks complete.

use std::io::{Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Outcome;
use crate::http::Message;
use crate::store::Store;
use crate::system::{
    Host, Record, Runner, Step, answer_head, client, free_address, manifest, request, route,
};

/// Runners of the service, of which two are in trouble: a share of 0.5.
const RUNNERS: usize = 4;
const FAULTY: usize = 2;
/// One in this many answers of a faulty runner is spoilt: a share of 0.05.
const SPOILT_ONE_IN: u64 = 20;
/// Streams, one after the other, which take less than 5 s.
const STREAMS: usize = 300;
const EVENTS: u64 = 10;
/// Events of a spoilt answer before the reset.
const EVENTS_BEFORE_RESET: u64 = 3;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(free_address());
    let routes = [route(
        "/draft/",
        "streaming",
        14_000,
        1,
        ",\"resumable\":false,\"gap_aim_ms\":300",
    )];
    let text =
        manifest(1, &routes).replace("\"target_latency_ms\":120", "\"target_latency_ms\":1000");
    store.put("op", "config", Some(&text));
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let is_faulty = has_trouble && n < FAULTY;
        let answered = Arc::new(AtomicU64::new(0));
        let script = move |id: &str, req: &Message| -> Vec<Step> {
            let count = answered.fetch_add(1, Ordering::Relaxed);
            match is_faulty && count % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                true => spoilt(id, req),
                false => whole(id, req),
            }
        };
        let runner = Runner::start(free_address(), &format!("i-{n}"), script);
        store.put(
            "servers",
            &runner.id,
            Some(&runner.row("bookings", "ready", 1)),
        );
        runners.push(runner);
    }
    let host = Host::start(1, store.addr, 8);
    if !host.wait_ready() {
        return Outcome::NotRun("the host is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(800));
    let mut served = 0;
    let mut mixed = 0;
    for n in 0..STREAMS {
        let id = format!("s{n}");
        match call(&host, &id) {
            Ok(answer) if answer.status() == 200 => {
                let events = String::from_utf8_lossy(&answer.body)
                    .matches("id: ")
                    .count() as u64;
                match events {
                    EVENTS => {
                        served += 1;
                        record.note(format!("{id}: complete with {events} events"));
                    }
                    _ => {
                        mixed += 1;
                        record.add(format!(
                            "{id}: complete with {events} of {EVENTS} events, {:?}, Transfer-Encoding {:?}, stamp {:?}",
                            answer.line,
                            answer.header("Transfer-Encoding"),
                            answer.header("X-Burdockvale-Server-Stamp")
                        ));
                    }
                }
            }
            Ok(answer) => record.add(format!("{id}: {}", answer.status())),
            Err(err) => record.add(format!("{id}: cut off: {err}")),
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    runners.iter().for_each(|runner| record.note_runs(runner));
    record.add(format!(
        "{STREAMS} streams, {served} served, {mixed} cut but complete for the client"
    ));
    if served < STREAMS / 2 {
        return Outcome::NotRun("fewer than half of the streams were served".into());
    }
    match mixed {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id}-{number}\n\n")
}

fn whole(id: &str, req: &Message) -> Vec<Step> {
    let extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut text = answer_head(id, req, 200, extra);
    for number in 1..=EVENTS {
        let event = event(id, number);
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    vec![Step::Send((text + "0\r\n\r\n").into_bytes())]
}

fn spoilt(id: &str, req: &Message) -> Vec<Step> {
    let head = answer_head(id, req, 200, "Content-Type: text/event-stream\r\n\r\n");
    let mut text = head.replacen("HTTP/1.1", "HTTP/1.0", 1);
    for number in 1..=EVENTS_BEFORE_RESET {
        text += &event(id, number);
    }
    vec![Step::Send(text.into_bytes()), Step::Wait(20), Step::Reset]
}

/// Sends a request for a stream on a channel of its own and reads the answer to its end. Fails if the answer
/// is cut off: reset, or closed before its marked end.
fn call(host: &Host, id: &str) -> Result<Message> {
    let mut conn = client(host.frontend())?;
    let extra = "X-Burdockvale-Deadline-Ms: 14000\r\n";
    let text = request("POST", "/draft/reply", id, extra, "a complaint");
    conn.stream.write_all(text.as_bytes())?;
    conn.message(true)
}
