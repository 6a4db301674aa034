//! Engines that do not answer a resumed stream with the events that follow.

mod common;
#[allow(dead_code)]
mod model;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use common::start_hosts;
use model::{chat, deployment};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const CONFIG_KEY: &str = "config/current";
const OUTPUT_TOKENS: u64 = 40;
/// Events that pass before the stream breaks; the first has the id 0.
const PASSED_EVENTS: usize = 3;

/// Answer to a request that resumes a stream, as text, from the id of its attempt.
type Resumed = fn(&str) -> String;

/// Passes calls to an engine. Streams break after some events, and `resumed` answers what follows.
async fn start_proxy(engine: SocketAddr, resumed: Arc<Mutex<Resumed>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let resumed = resumed.clone();
            tokio::spawn(async move {
                // A broken connection ends the call.
                let _ = pass(caller, engine, &resumed).await;
            });
        }
    });
    addr
}

async fn pass(
    mut caller: TcpStream,
    engine: SocketAddr,
    resumed: &Mutex<Resumed>,
) -> std::io::Result<()> {
    let mut request = Vec::new();
    let mut buf = [0; 16_384];
    let (head, body) = loop {
        let read = caller.read(&mut buf).await?;
        if read == 0 {
            return Ok(());
        }
        request.extend_from_slice(&buf[..read]);
        let text = String::from_utf8_lossy(&request).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_ascii_lowercase();
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            break (head, body.to_owned());
        }
    };
    if head.contains("last-event-id") {
        let call: Value = serde_json::from_str(&body).unwrap();
        let resumed = *resumed.lock().unwrap();
        let answer = resumed(call["request_id"].as_str().unwrap());
        return caller.write_all(answer.as_bytes()).await;
    }
    let mut upstream = TcpStream::connect(engine).await?;
    let text = String::from_utf8_lossy(&request).into_owned();
    let text = text.replacen("\r\n", "\r\nconnection: close\r\n", 1);
    upstream.write_all(text.as_bytes()).await?;
    let is_stream = body.contains("\"stream\":true");
    let mut answer = Vec::new();
    loop {
        let read = upstream.read(&mut buf).await?;
        if read == 0 {
            return Ok(());
        }
        let sent = answer.len();
        answer.extend_from_slice(&buf[..read]);
        let text = String::from_utf8_lossy(&answer);
        let end = text.match_indices("\n\n").nth(PASSED_EVENTS - 1);
        match end.filter(|_| is_stream) {
            Some((at, _)) => {
                let end = (at + 2).max(sent);
                return caller.write_all(&answer[sent..end]).await;
            }
            None => caller.write_all(&answer[sent..]).await?,
        }
    }
}

fn answer(status: u16, content: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\ncontent-type: {content}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn event(id: &str, attempt: &str) -> String {
    let choices = json!([{"index": 0, "delta": {"content": "other "}}]);
    format!(
        "{id}data: {}\n\n",
        json!({"id": attempt, "choices": choices})
    )
}

const DONE: &str = "data: [DONE]\n\n";
const EVENTS: &str = "text/event-stream";

const ODD_ANSWERS: [(&str, Resumed); 11] = [
    ("not found", |_| answer(404, "text/plain", "no engine\n\n")),
    ("server error", |_| {
        answer(500, "text/plain", "data: no engine\n\n")
    }),
    ("refusal", |_| answer(503, "application/json", "{}\n\n")),
    ("redirect", |_| answer(307, "text/plain", "")),
    ("no content", |_| "HTTP/1.1 204 X\r\n\r\n".to_owned()),
    ("empty", |_| answer(200, EVENTS, "")),
    ("JSON", |_| {
        answer(200, "application/json", "{\"error\":\n\n\"no engine\"}\n\n")
    }),
    ("error event", |_| {
        answer(200, EVENTS, &format!("data: no engine\n\n{DONE}"))
    }),
    ("head in the body", |attempt| {
        let inner = answer(500, "text/plain", "no engine\n\n");
        answer(200, EVENTS, &format!("{inner}{}{DONE}", event("", attempt)))
    }),
    ("event without id", |attempt| {
        answer(200, EVENTS, &format!("{}{DONE}", event("", attempt)))
    }),
    ("skipped event", |attempt| {
        answer(200, EVENTS, &format!("{}{DONE}", event("id: 4\n", attempt)))
    }),
];

/// Guards against the text of an error in a stream, a missing event, and a stream that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn odd_answers_to_a_resumed_stream() {
    let deployment = deployment().await;
    let (version, body) = deployment.table.row(CONFIG_KEY).unwrap();
    let row: Value = serde_json::from_str(&body).unwrap();
    let mut document = row["document"].as_str().unwrap().to_owned();
    let resumed = Arc::new(Mutex::new(ODD_ANSWERS[0].1));
    for runner in &deployment.inventory.runners {
        let proxy = start_proxy(runner.addr, resumed.clone()).await;
        document = document.replace(&runner.addr.to_string(), &proxy.to_string());
    }
    let row = json!({"change": "proxies", "document": document}).to_string();
    deployment.table.put(CONFIG_KEY, version + 1, &row);
    let hosts = start_hosts(&deployment, 1).await;
    for (number, (name, odd)) in ODD_ANSWERS.into_iter().enumerate() {
        *resumed.lock().unwrap() = odd;
        let nonce = format!("n7-{number}");
        let answer = chat(hosts[0].spec.caller_addr, &nonce, OUTPUT_TOKENS, true).await;
        let what = format!("{name}: {answer:?}");
        assert!(answer.head.starts_with("HTTP/1.1 200"), "{what}");
        assert!(answer.body.contains(&format!("{nonce}:2 ")), "{what}");
        assert!(answer.is_truncated && answer.has_only(&nonce), "{what}");
        let text = answer.body.to_ascii_lowercase();
        for odd in ["no engine", "http/1.1", "[done]"] {
            assert!(!text.contains(odd), "{what}");
        }
    }
}
