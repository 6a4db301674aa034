//! Model calls for tests.

use std::net::SocketAddr;

use bv_lab::Deployment;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::common::INVENTORY;

/// A model with a deadline of 60 s.
const MODEL: &str = "tender";

pub async fn deployment() -> Deployment {
    Deployment::start(INVENTORY).await.unwrap()
}

/// Response to a model call as the caller receives it.
#[derive(Debug)]
pub struct Answer {
    pub head: String,
    pub body: String,
    /// The connection ended before the body did.
    pub is_truncated: bool,
}

impl Answer {
    /// Whether the stream holds every word of this request once and in order, and its end marker.
    pub fn is_complete_stream(&self, nonce: &str, words: u64) -> bool {
        let expected: Vec<String> = (0..words).map(|i| format!("{nonce}:{i} ")).collect();
        !self.is_truncated && self.words() == expected && self.body.ends_with("data: [DONE]\n\n")
    }

    /// Whether all words belong to this request.
    pub fn has_only(&self, nonce: &str) -> bool {
        let start = format!("{nonce}:");
        self.words().iter().all(|word| word.starts_with(&start))
    }

    pub fn is_unknown(&self) -> bool {
        self.head.starts_with("HTTP/1.1 504")
            && self.head.contains("x-burdockvale-outcome: unknown")
            && !self.is_truncated
    }

    fn words(&self) -> Vec<String> {
        let data = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        data.filter_map(|data| serde_json::from_str::<Value>(data).ok())
            .filter_map(|event| {
                let word = &event["choices"][0]["delta"]["content"];
                word.as_str().map(str::to_owned)
            })
            .collect()
    }
}

/// HTTP/1 text of a model call.
pub fn request_text(version: &str, nonce: &str, output: u64, streamed: bool) -> String {
    let body = json!({
        "model": MODEL,
        "messages": [{"role": "user", "content": format!("nonce={nonce};{}", "word ".repeat(100))}],
        "max_tokens": output,
        "stream": streamed,
    })
    .to_string();
    format!(
        "POST /v1/chat/completions {version}\r\nhost: lab\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a streamed call and returns its response, head and body, as received.
pub async fn send_raw(addr: SocketAddr, version: &str, nonce: &str, output: u64) -> String {
    send(addr, &request_text(version, nonce, output, true)).await
}

/// Sends a call and reads its answer.
pub async fn chat(addr: SocketAddr, nonce: &str, output: u64, streamed: bool) -> Answer {
    let text = send(addr, &request_text("HTTP/1.1", nonce, output, streamed)).await;
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let head = head.to_ascii_lowercase().replacen("http", "HTTP", 1);
    let (body, is_complete) = match head.contains("transfer-encoding: chunked") {
        true => decode_chunked(body),
        false => (body.to_owned(), !head.is_empty()),
    };
    Answer {
        head,
        body,
        is_truncated: !is_complete,
    }
}

async fn send(addr: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A broken connection returns an error after the bytes that arrived.
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Decodes a chunked body; returns its content and whether it has the last chunk.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        body.push_str(chunk);
        rest = after[size..].trim_start_matches("\r\n");
    }
    (body, false)
}
