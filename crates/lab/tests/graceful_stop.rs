//! SIGTERM to an entry host with requests in progress.

mod common;

use std::time::{Duration, Instant};

use bv_lab::Deployment;
use bytes::Bytes;
use common::{INVENTORY, send_signal, start_hosts, wait_view};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rustix::process::Signal;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const STREAMS: usize = 8;
const EXIT_LIMIT: Duration = Duration::from_secs(60);

/// A streamed call; returns its whole text, or what went wrong.
async fn stream(addr: std::net::SocketAddr, model: String, tokens: u64) -> Result<String, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let body = json!({
        "model": model,
        "messages": [{"role": "user", "content": "word ".repeat(200)}],
        "max_tokens": tokens,
        "stream": true,
    });
    let req = Request::post(format!("http://{addr}/v1/chat/completions"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|err| err.to_string())?;
    let answer = client.request(req).await.map_err(|err| err.to_string())?;
    let status = answer.status();
    let body = answer.into_body().collect().await;
    let text = body.map_err(|err| err.to_string())?.to_bytes();
    let text = String::from_utf8_lossy(&text).into_owned();
    match status.is_success() && text.ends_with("data: [DONE]\n\n") {
        true => Ok(text),
        false => Err(format!("status {status}, {} bytes", text.len())),
    }
}

/// Guards against streams cut by a stopping host, connections that keep it from ending, and a
/// departure that others take for a death.
#[tokio::test(flavor = "multi_thread")]
async fn streams_finish() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let mut hosts = start_hosts(&deployment, 3).await;
    let addr = hosts[2].spec.caller_addr;
    let model = deployment.inventory.models[0].clone();
    let calls: Vec<_> = (0..STREAMS)
        .map(|_| tokio::spawn(stream(addr, model.id.to_string(), model.max_output.0)))
        .collect();
    // An idle keep-alive connection and one that never sends anything.
    let mut idle = TcpStream::connect(addr).await.unwrap();
    let req = b"GET /no-such-route HTTP/1.1\r\nhost: lab\r\n\r\n";
    idle.write_all(req).await.unwrap();
    let mut buf = [0; 4_096];
    assert!(idle.read(&mut buf).await.unwrap() > 0);
    let mut silent = TcpStream::connect(addr).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;

    let stopped = Instant::now();
    send_signal(&hosts[2], Signal::TERM);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let late = stream(addr, model.id.to_string(), 4).await;
    assert!(late.is_ok(), "call during the lame duck phase: {late:?}");
    for call in calls {
        let outcome = call.await.unwrap();
        assert!(outcome.is_ok(), "stream cut: {outcome:?}");
    }
    let closed = idle.read(&mut buf).await.unwrap();
    assert_eq!(closed, 0, "the idle connection is closed without an error");
    assert_eq!(silent.read(&mut buf).await.unwrap(), 0);
    let status = loop {
        if let Some(status) = hosts[2].exit_status() {
            break status;
        }
        assert!(stopped.elapsed() < EXIT_LIMIT, "the process does not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    };
    println!("exit after {:?}", stopped.elapsed());
    assert!(status.success(), "{status}");
    // A death would take at least the suspicion time of 4 s to notice.
    for host in &hosts[..2] {
        wait_view(host, &[0, 1], Duration::from_secs(2)).await;
    }
}
