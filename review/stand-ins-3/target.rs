//! Clients whose request targets hold a number sign.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::parts::{address, answer_head, call, runner_row, start_runner, Host};
use crate::store::Store;
use crate::Outcome;

const RUNNERS: u8 = 4;
const REQUESTS: usize = 40;

fn manifest() -> String {
    r#"{"version":7,"routes":[{"name":"r-send","host":"ficu95.example","path_prefix":"/puxa403/",
    "kind":"unsafe","timeout_ms":1500,"target_latency_ms":200,"priority":0,"service":"gateway","max_attempts":1,
    "public":false,"sticky_sessions":false,"resumable":false}],
    "services":[{"name":"gateway","max_connections":440,"health_check_path":"/health"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start(&address(1));
    store.put("op", "config", &manifest());
    let ran: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    for number in 0..RUNNERS {
        let ran = ran.clone();
        let addr = start_runner(&address(10 + number), move |req, stream| {
            ran.lock().unwrap().push((req.id().to_owned(), target(&req.line).to_owned()));
            let head = answer_head(req, 200, "3e1b.07.5a2") + "content-length: 4\r\n\r\n";
            stream.write_all(format!("{head}sent").as_bytes()).is_ok()
        });
        store.put("servers", &format!("i-{number}"), &runner_row("gateway", addr, 6));
    }
    let mut host = Host::start(&address(100), store.addr, true)?;
    host.wait_ready()?;
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let mut sent = Vec::new();
    for number in 1..=REQUESTS {
        let id = format!("{number:016x}");
        let sign = if has_trouble { "#" } else { "%23" };
        let target = format!("/puxa403/2f?to=359881234&unit={sign}{number}&copies=0");
        let text = format!(
            "POST {target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
             X-Burdockvale-Deadline-Ms: 1500\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
        );
        let status = call(host.callers, text.as_bytes()).map_or(0, |answer| answer.status());
        sent.push((id, target, status));
    }
    let seconds = began.elapsed().as_secs_f64();
    drop(host);
    let ran = ran.lock().unwrap();
    let mut record = String::new();
    let mut changed = 0;
    for (id, target, status) in &sent {
        let run = ran.iter().find(|(other, _)| other == id).map_or("not run", |(_, run)| run.as_str());
        changed += usize::from(run != "not run" && run != target);
        let _ = writeln!(record, "{id}: sent {target}, run {run}, answered {status}");
    }
    let verdict = if changed > 0 { "broken" } else { "held" };
    let summary = format!(
        "UNASKED {verdict}\n{changed} of {} requests ran with another query than the client's, in {seconds:.1} s\n",
        sent.len()
    );
    Ok(Outcome { record: summary + &record, is_broken: changed > 0 })
}

fn target(line: &str) -> &str {
    line.split(' ').nth(1).unwrap_or("")
}
