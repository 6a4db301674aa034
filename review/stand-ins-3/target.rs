//! Requests whose body has a transfer coding besides chunks, or whose target holds a number sign.

use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::parts::{address, answer_head, call, runner_row, start_runner, Host};
use crate::store::Store;
use crate::Outcome;

const RUNNERS: u8 = 4;
/// Requests of each of the two kinds.
const REQUESTS: usize = 20;
const PATH: &str = "/puxa403/2f";

fn manifest() -> String {
    r#"{"version":7,"routes":[{"name":"r-send","host":"ficu95.example","path_prefix":"/puxa403/",
    "kind":"unsafe","timeout_ms":1500,"target_latency_ms":200,"priority":0,"service":"gateway","max_attempts":1,
    "public":false,"sticky_sessions":false,"resumable":false}],
    "services":[{"name":"gateway","max_connections":440,"health_check_path":"/health"}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
        .to_owned()
}

/// What a request means to its client.
struct Sent {
    id: String,
    target: String,
    body: Vec<u8>,
    status: u16,
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let store = Store::start(&address(1));
    store.put("op", "config", &manifest());
    let ran: Arc<Mutex<Vec<Message>>> = Arc::default();
    for number in 0..RUNNERS {
        let ran = ran.clone();
        let addr = start_runner(&address(10 + number), move |req, stream| {
            ran.lock().unwrap().push(req.clone());
            let head = answer_head(req, 200, "3e1b.07.5a2") + "content-length: 4\r\n\r\n";
            stream.write_all(format!("{head}sent").as_bytes()).is_ok()
        });
        store.put("servers", &format!("i-{number}"), &runner_row("gateway", addr, 6));
    }
    let mut host = Host::start(&address(100), store.addr, true)?;
    host.wait_ready()?;
    thread::sleep(Duration::from_secs(2));
    let mut sent = Vec::new();
    for number in 1..=REQUESTS {
        let body = format!("to=359881{number:04}&text=ready").into_bytes();
        let (coding, coded) = match has_trouble {
            true => ("gzip, chunked", gzip(&body)),
            false => ("chunked", body.clone()),
        };
        let mut bytes = format!("Transfer-Encoding: {coding}\r\n\r\n{:x}\r\n", coded.len()).into_bytes();
        bytes.extend(coded);
        bytes.extend(b"\r\n0\r\n\r\n");
        sent.push(send(&host, number, PATH.to_owned(), body, &bytes));
    }
    for number in REQUESTS + 1..=2 * REQUESTS {
        let sign = if has_trouble { "#" } else { "%23" };
        let target = format!("{PATH}?to=359881234&unit={sign}{number}&copies=0");
        sent.push(send(&host, number, target, b"hi".to_vec(), b"Content-Length: 2\r\n\r\nhi"));
    }
    drop(host);
    let ran = ran.lock().unwrap();
    Ok(judge(&sent, &ran))
}

/// Sends a request whose last headers and body are `rest`.
fn send(host: &Host, number: usize, target: String, body: Vec<u8>, rest: &[u8]) -> Sent {
    let id = format!("{number:016x}");
    let head = format!(
        "POST {target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Burdockvale-Request-Id: {id}\r\n\
         X-Burdockvale-Deadline-Ms: 1500\r\nConnection: close\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.extend(rest);
    let status = call(host.callers, &bytes).map_or(0, |answer| answer.status());
    Sent { id, target, body, status }
}

fn judge(sent: &[Sent], ran: &[Message]) -> Outcome {
    let mut record = String::new();
    let (mut bodies, mut targets) = (0, 0);
    for request in sent {
        let Some(run) = ran.iter().find(|run| run.id() == request.id) else {
            let _ = writeln!(record, "{}: not run, answered {}", request.id, request.status);
            continue;
        };
        let target = run.line.split(' ').nth(1).unwrap_or("");
        // A coding that the runner was told of would be part of the body's form.
        let is_coded = run.header("transfer-encoding").is_some_and(|coding| coding.contains("gzip"))
            || run.header("content-encoding").is_some();
        let has_other_body = run.body != request.body && !is_coded;
        bodies += usize::from(has_other_body);
        targets += usize::from(target != request.target);
        let _ = writeln!(
            record,
            "{}: sent {} with {:?}, run {target} with {:?}, answered {}",
            request.id,
            request.target,
            String::from_utf8_lossy(&request.body),
            String::from_utf8_lossy(&run.body),
            request.status
        );
    }
    let is_broken = bodies + targets > 0;
    let verdict = if is_broken { "broken" } else { "held" };
    let summary = format!(
        "UNASKED {verdict}\nof {} requests with another coding, {bodies} ran with another body\n\
         of {} requests with a number sign, {targets} ran with another query\n",
        REQUESTS,
        REQUESTS
    );
    Outcome { record: summary + &record, is_broken }
}

/// The bytes in the gzip format, stored without compression.
fn gzip(bytes: &[u8]) -> Vec<u8> {
    let length = bytes.len() as u16;
    let mut out = vec![0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 255, 1];
    out.extend(length.to_le_bytes());
    out.extend((!length).to_le_bytes());
    out.extend(bytes);
    let mut crc = !0_u32;
    for byte in bytes {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg());
        }
    }
    out.extend((!crc).to_le_bytes());
    out.extend(u32::from(length).to_le_bytes());
    out
}
