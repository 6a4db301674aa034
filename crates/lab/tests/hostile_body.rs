//! Bodies that are too large, too deep or too slow, with a real entry host.

#[allow(dead_code)]
mod plain;

use std::time::{Duration, Instant};

use plain::{send, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const RESERVE: &str = "/booking/reserve";

/// Guards against bodies above a size or nesting limit that are processed.
#[tokio::test(flavor = "multi_thread")]
async fn too_large_or_deep() {
    let (deployment, hosts) = start(1).await;
    let addr = hosts[0].spec.caller_addr;
    let nested = |depth: usize| {
        let (open, close) = ("[".repeat(depth - 1), "]".repeat(depth - 1));
        format!("{{\"key\": \"deep\", \"x\": {open}{close}}}")
    };
    let cases = [
        ("nested 64", RESERVE, nested(64), 200, ""),
        ("nested 65", RESERVE, nested(65), 400, "nested_too_deeply"),
        (
            "nested 100,000",
            RESERVE,
            nested(100_000),
            400,
            "nested_too_deeply",
        ),
        (
            "brackets in a string",
            RESERVE,
            format!("{{\"key\": \"{}\"}}", "[".repeat(99)),
            200,
            "",
        ),
        ("not parsed here", "/booking/refund", nested(65), 200, ""),
        ("4 MiB", "/booking/refund", "x".repeat(4 << 20), 200, ""),
        (
            "above 4 MiB",
            "/booking/refund",
            "x".repeat((4 << 20) + 1),
            413,
            "body_too_large",
        ),
    ];
    for (name, path, body, status, reason) in cases {
        let response = send(addr, "POST", path, body).await;
        assert_eq!(response.status, status, "{name}: {response:?}");
        let error_reason = response.body["error"]["reason"]
            .as_str()
            .unwrap_or_default();
        assert_eq!(error_reason, reason, "{name}");
    }
    assert_eq!(deployment.services[0].runs_of("deep"), 2);
}

/// Guards against a caller that holds a connection with an unfinished body.
#[tokio::test(flavor = "multi_thread")]
async fn too_slow() {
    let (_deployment, hosts) = start(1).await;
    let mut stream = TcpStream::connect(hosts[0].spec.caller_addr).await.unwrap();
    let head = "POST /booking/reserve HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{";
    stream.write_all(head.as_bytes()).await.unwrap();
    let start = Instant::now();
    let mut answer = [0; 1_024];
    let limit = Duration::from_secs(40);
    let read = tokio::time::timeout(limit, stream.read(&mut answer)).await;
    let text = String::from_utf8_lossy(&answer[..read.unwrap().unwrap()]).to_string();
    assert!(text.starts_with("HTTP/1.1 408"), "{text}");
    assert!(text.contains("x-burdockvale-outcome: not-run"), "{text}");
    assert!(
        start.elapsed() >= Duration::from_secs(29),
        "{:?}",
        start.elapsed()
    );
}
