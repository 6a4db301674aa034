//! Guards against input that exhausts an entry host or disturbs other callers.

use std::time::{Duration, Instant};

use bv_lab::{Deployment, HostProcess, HostSpec, OPERATOR_KEY};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");
const LOOKUP_REQUEST: &str = "GET /booking/seats HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
const READ_TIMEOUT: Duration = Duration::from_secs(15);
const REFUSAL_COUNT_TIMEOUT: Duration = Duration::from_secs(2);

async fn start() -> (Deployment, HostProcess) {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let spec = HostSpec::new(0, &deployment, "planned").await.unwrap();
    let host = HostProcess::start(spec).unwrap();
    host.wait_ready().await.unwrap();
    (deployment, host)
}

/// Sends bytes and returns what the host sends until it closes the connection.
async fn send(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    // The host may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    read_to_close(&mut stream).await
}

async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(READ_TIMEOUT, read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn refused_count(host: &HostProcess, reason: &str) -> u64 {
    let request = format!(
        "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {OPERATOR_KEY}\r\n\r\n"
    );
    let metrics = send(host.spec.operator_addr, request.as_bytes()).await;
    let name = format!("burdockvale_refused_total{{reason=\"{reason}\"}} ");
    metrics
        .lines()
        .find_map(|line| line.strip_prefix(&name))
        .and_then(|count| count.trim().parse().ok())
        .unwrap_or_default()
}

/// Waits for one refusal; a rejected head is counted when its connection ends, which may be after
/// the answer has arrived here.
async fn wait_refused(host: &HostProcess, reason: &str) {
    let start = Instant::now();
    loop {
        let count = refused_count(host, reason).await;
        if count == 1 {
            return;
        }
        assert!(
            count == 0 && start.elapsed() < REFUSAL_COUNT_TIMEOUT,
            "{reason}: {count}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against oversized or malformed requests that are processed, or that disturb the next
/// caller.
#[tokio::test]
async fn large_inputs() {
    let (_deployment, host) = start().await;
    let body = "x".repeat(5 << 20);
    let cases = [
        (
            "head_too_large",
            "431",
            format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(64 << 10)),
        ),
        (
            "body_too_large",
            "413",
            format!(
                "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            ),
        ),
        ("bad_request", "400", "NOT HTTP\r\n\r\n".to_owned()),
    ];
    for (reason, status, request) in cases {
        let answer = send(host.spec.caller_addr, request.as_bytes()).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{reason}: {answer:.80}"
        );
        wait_refused(&host, reason).await;
        let lookup = send(host.spec.caller_addr, LOOKUP_REQUEST.as_bytes()).await;
        assert!(lookup.starts_with("HTTP/1.1 200"), "{reason}: {lookup:.80}");
    }
}

/// Guards against a caller that holds a connection with an unfinished head.
#[tokio::test]
async fn slow_head() {
    let (_deployment, host) = start().await;
    let mut slow = TcpStream::connect(host.spec.caller_addr).await.unwrap();
    slow.write_all(b"GET / HTTP/1.1\r\nx: ").await.unwrap();
    let lookup = send(host.spec.caller_addr, LOOKUP_REQUEST.as_bytes()).await;
    assert!(lookup.starts_with("HTTP/1.1 200"), "{lookup:.80}");
    read_to_close(&mut slow).await;
    wait_refused(&host, "read_timeout").await;
}

/// Guards against operator requests that are accepted without the key.
#[tokio::test]
async fn wrong_key() {
    let (_deployment, host) = start().await;
    for key in ["", "Bearer x", "Basic bGFi"] {
        let request = format!(
            "GET /v1/config HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: {key}\r\n\r\n"
        );
        let answer = send(host.spec.operator_addr, request.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{key:?}: {answer:.80}");
    }
}
