//! MIXED: a runner in trouble answers with the status 101, which is no answer, and the client gets it.

use std::io::{ErrorKind, Result, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Outcome;
use crate::http::Message;
use crate::store::Store;
use crate::system::{
    Host, Record, Runner, Step, answer, answer_head, client, free_address, manifest, request, route,
};

/// Runners of the service, of which two are in trouble: a share of 0.5.
const RUNNERS: usize = 4;
const FAULTY: usize = 2;
/// One in this many answers of a faulty runner is spoilt: a share of 0.05.
const SPOILT_ONE_IN: u64 = 20;
/// Calls of each kind, one every 10 ms, so that the trouble lasts less than 5 s.
const CALLS: usize = 400;

pub fn run(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start(free_address());
    let routes = [
        route("/booking/", "unsafe", 600, 1, ""),
        route("/lookup/", "safe", 600, 2, ""),
    ];
    store.put("op", "config", Some(&manifest(1, &routes)));
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| {
            let is_faulty = has_trouble && n < FAULTY;
            let answered = Arc::new(AtomicU64::new(0));
            let script = move |id: &str, req: &Message| -> Vec<Step> {
                let count = answered.fetch_add(1, Ordering::Relaxed);
                if is_faulty && count % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                    // The runner keeps the channel and says nothing more.
                    let head = answer_head(id, req, 101, "\r\n");
                    return vec![Step::Send(head.into_bytes())];
                }
                answer(id, req, 200, &format!("done {}", req.id()))
            };
            let runner = Runner::start(free_address(), &format!("i-{n}"), script);
            store.put(
                "servers",
                &runner.id,
                Some(&runner.row("bookings", "ready", 1)),
            );
            runner
        })
        .collect();
    let host = Host::start(1, store.addr, 8);
    if !host.wait_ready() {
        return Outcome::NotRun("the host is not ready".into());
    }
    std::thread::sleep(Duration::from_millis(800));
    let mut served = 0;
    let mut failed = 0;
    let mut mixed = 0;
    for n in 0..CALLS {
        for (method, path) in [("POST", "/booking/seat"), ("GET", "/lookup/seat")] {
            let id = format!("{}-{n}", &path[1..4]);
            match call(&host, method, path, &id) {
                Ok(answer) if answer.status() == 101 => {
                    mixed += 1;
                    record.add(format!(
                        "{method} {path} {id}: the client got {:?}",
                        answer.line
                    ));
                }
                Ok(answer) if answer.status() == 200 => {
                    served += 1;
                    record.note(format!("{method} {path} {id}: 200"));
                }
                Ok(answer) => {
                    failed += 1;
                    record.add(format!("{method} {path} {id}: {}", answer.status()));
                }
                Err(err) => {
                    failed += 1;
                    record.add(format!("{method} {path} {id}: {err}"));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    runners.iter().for_each(|runner| record.note_runs(runner));
    let runs: usize = runners.iter().map(|r| r.runs.lock().unwrap().len()).sum();
    record.add(format!(
        "{runs} runs, {served} served, {failed} failed, {mixed} answered with 101"
    ));
    if served < CALLS {
        return Outcome::NotRun("fewer than half of the calls were served".into());
    }
    match mixed {
        0 => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Sends a call on a channel of its own. After a 101 it waits for a final answer as well.
fn call(host: &Host, method: &str, path: &str, id: &str) -> Result<Message> {
    let mut conn = client(host.frontend())?;
    let body = if method == "GET" { "" } else { "seat 7" };
    let text = request(method, path, id, "X-Burdockvale-Deadline-Ms: 600\r\n", body);
    conn.stream.write_all(text.as_bytes())?;
    let mut answer = conn.head()?;
    if answer.status() != 101 {
        conn.body(&mut answer, true)?;
        return Ok(answer);
    }
    conn.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let rest = match conn.head() {
        Ok(next) => format!("then {:?}", next.line),
        Err(err) if err.kind() == ErrorKind::UnexpectedEof => "then the channel was closed".into(),
        Err(err) => format!("then {err}"),
    };
    answer.line = format!("{}, {rest}", answer.line);
    Ok(answer)
}
