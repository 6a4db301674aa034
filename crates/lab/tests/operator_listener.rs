//! Hostile input at the operators' listener, and keys that must not appear anywhere.

mod operator;

use std::io::Read;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bv_lab::{OPERATOR_KEY, STORE_KEY};
use operator::{Cluster, program};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const WRONG_KEY: &str = "wrong-operator-key-0123456789";

/// Sends a request on its own connection and returns the status and the whole answer.
async fn call(addr: SocketAddr, head: &str, body: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let length = body.len();
    let request =
        format!("{head}\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let _ = stream.write_all(request.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.get(9..12).and_then(|text| text.parse().ok());
    (status.unwrap_or(0), answer)
}

/// Guards against requests that are accepted without the key, and against a listener that an
/// invalid body can break.
#[tokio::test]
async fn refused_requests() {
    let cluster = Cluster::start(1).await;
    let addr = cluster.addrs()[0];
    let keyed = |line: &str| format!("{line} HTTP/1.1\r\nauthorization: Bearer {OPERATOR_KEY}");
    let document = |text: &str| {
        serde_json::json!({"expected": 1, "change": "c", "document": text}).to_string()
    };
    let invalid = document("name = \"x\"\n[[zone]]\nid = \"a b\"\nregion = \"r\"\n");
    let large = document(&format!("name = \"x\"\n#{}", "y".repeat(450_000)));
    let huge = document(&"y".repeat(2 << 20));
    let wrong = format!("GET /v1/config HTTP/1.1\r\nauthorization: Bearer {WRONG_KEY}");
    let prefix = &OPERATOR_KEY[..OPERATOR_KEY.len() - 1];
    let shorter = format!("GET /v1/config HTTP/1.1\r\nauthorization: Bearer {prefix}");
    let basic = format!("GET /v1/config HTTP/1.1\r\nauthorization: Basic {OPERATOR_KEY}");
    let cases: [(&str, String, &str, u16, &str); 16] = [
        ("no key", "GET /v1/config HTTP/1.1".to_owned(), "", 401, ""),
        ("wrong key", wrong, "", 401, ""),
        ("part of the key", shorter, "", 401, ""),
        ("other scheme", basic, "", 401, ""),
        (
            "metrics without key",
            "GET /metrics HTTP/1.1".to_owned(),
            "",
            401,
            "",
        ),
        (
            "health needs no key",
            "GET /healthz HTTP/1.1".to_owned(),
            "",
            200,
            "ok",
        ),
        (
            "readiness needs no key",
            "GET /readyz HTTP/1.1".to_owned(),
            "",
            200,
            "ready",
        ),
        ("not JSON", keyed("PUT /v1/config"), "{", 400, "bad_request"),
        (
            "unknown field",
            keyed("PUT /v1/config"),
            "{\"force\":1}",
            400,
            "force",
        ),
        (
            "invalid document",
            keyed("PUT /v1/config"),
            &invalid,
            422,
            "\"line\":3",
        ),
        (
            "invalid document",
            keyed("PUT /v1/config"),
            &invalid,
            422,
            "\"column\":6",
        ),
        (
            "above the row limit",
            keyed("PUT /v1/config"),
            &large,
            413,
            "document_too_large",
        ),
        (
            "above the body limit",
            keyed("PUT /v1/config"),
            &huge,
            413,
            "",
        ),
        (
            "bad change id",
            keyed("PUT /v1/config"),
            "{\"expected\":1,\"change\":\"a b\",\"document\":\"\"}",
            400,
            "change id",
        ),
        (
            "bad backend id",
            keyed("POST /v1/drain"),
            "{\"backend\":\"a b\"}",
            400,
            "backend",
        ),
        ("unknown path", keyed("GET /v2/config"), "", 404, ""),
    ];
    for (name, head, body, status, expected_text) in cases {
        let (actual, answer) = call(addr, &head, body).await;
        assert_eq!(actual, status, "{name}: {answer}");
        assert!(answer.contains(expected_text), "{name}: {answer}");
        assert!(!answer.contains(OPERATOR_KEY), "{name}");
    }
    assert_eq!(cluster.stored().0, 1);
}

/// Guards against connections that are held open without sending a request.
#[tokio::test]
async fn slow_requests() {
    let cluster = Cluster::start(1).await;
    let addr = cluster.addrs()[0];
    let body = format!(
        "PUT /v1/config HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {OPERATOR_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let heads = ["GET /healthz HTTP/1.1\r\nhost:", body.as_str()];
    let mut waiting = tokio::task::JoinSet::new();
    for head in heads.map(str::to_owned) {
        waiting.spawn(async move {
            let began = Instant::now();
            let mut stream = TcpStream::connect(addr).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut answer = [0; 256];
            let read = stream.read(&mut answer);
            // 10 s for the head, 15 s for the whole request.
            let closed = tokio::time::timeout(Duration::from_secs(20), read).await;
            (head, closed.is_ok(), began.elapsed())
        });
    }
    for (head, closed, took) in waiting.join_all().await {
        assert!(closed, "{head:?} was still open after {took:?}");
    }
}

/// Runs the daemon with these environment variables for `time`, calls `during` and kills it;
/// returns its output.
fn run_daemon(
    variables: &[(&str, &str)],
    log_filter: &str,
    time: Duration,
    during: impl FnOnce(),
) -> String {
    let mut child = Command::new(program("burdockvaled"))
        .envs(variables.iter().copied())
        .env("BURDOCKVALE_LOG_FILTER", log_filter)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut pipe = child.stderr.take().unwrap();
    let reader = std::thread::spawn(move || {
        let mut text = Vec::new();
        let _ = pipe.read_to_end(&mut text);
        String::from_utf8_lossy(&text).into_owned()
    });
    std::thread::sleep(time);
    during();
    let _ = child.kill();
    let _ = child.wait();
    reader.join().unwrap()
}

/// Guards against keys in log lines, at any level, and in settings errors.
#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_secret() {
    let cluster = Cluster::start(1).await;
    let cluster_key = "test-cluster-key-0123456789";
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let operator_addr = free.local_addr().unwrap();
    drop(free);
    let operator = operator_addr.to_string();
    let store = cluster.deployment.store_addr.to_string();
    let seed = cluster.hosts[0].spec.peer_addr.to_string();
    let variables = [
        ("BURDOCKVALE_HOST_ID", "secretive"),
        ("BURDOCKVALE_ZONE", "lot-north"),
        ("BURDOCKVALE_CALLER_ADDR", "127.0.0.1:0"),
        ("BURDOCKVALE_PEER_ADDR", "127.0.0.1:0"),
        ("BURDOCKVALE_OPERATOR_ADDR", &operator),
        ("BURDOCKVALE_STORE_ADDR", &store),
        // The seed has another cluster key, so that the refusal is logged too.
        ("BURDOCKVALE_SEEDS", &seed),
        ("BURDOCKVALE_OPERATOR_KEY", OPERATOR_KEY),
        ("BURDOCKVALE_CLUSTER_KEY", cluster_key),
        ("BURDOCKVALE_STORE_KEY", STORE_KEY),
    ];
    let runtime = tokio::runtime::Handle::current();
    let keys = [OPERATOR_KEY, WRONG_KEY, cluster_key, STORE_KEY];
    let log = tokio::task::block_in_place(|| {
        run_daemon(&variables, "trace", Duration::from_secs(2), || {
            for key in [OPERATOR_KEY, WRONG_KEY] {
                let head = format!("GET /v1/status HTTP/1.1\r\nauthorization: Bearer {key}");
                runtime.block_on(call(operator_addr, &head, ""));
            }
        })
    });
    assert!(log.contains("host: started"), "{log}");
    for key in keys {
        assert!(!log.contains(key), "a key is in the log");
    }
}

/// Guards against a log line for each poll during an outage, which would fill a day's log.
#[test]
fn outage_is_logged_once() {
    let variables = [
        ("BURDOCKVALE_HOST_ID", "a"),
        ("BURDOCKVALE_ZONE", "lot-north"),
        ("BURDOCKVALE_CALLER_ADDR", "127.0.0.1:0"),
        ("BURDOCKVALE_PEER_ADDR", "127.0.0.1:0"),
        ("BURDOCKVALE_OPERATOR_ADDR", "127.0.0.1:0"),
        // Nothing listens on the discard port.
        ("BURDOCKVALE_STORE_ADDR", "127.0.0.1:9"),
        ("BURDOCKVALE_OPERATOR_KEY", OPERATOR_KEY),
        ("BURDOCKVALE_CLUSTER_KEY", OPERATOR_KEY),
        ("BURDOCKVALE_STORE_KEY", STORE_KEY),
    ];
    let log = run_daemon(&variables, "info", Duration::from_secs(5), || {});
    let lines: Vec<&str> = log.lines().filter(|line| line.contains("conf: ")).collect();
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("the table service does not answer"));
}

/// Guards against settings errors that show a key or do not name the setting.
#[test]
fn settings_errors() {
    let valid = [
        ("BURDOCKVALE_HOST_ID", "a"),
        ("BURDOCKVALE_ZONE", "lot-north"),
        ("BURDOCKVALE_STORE_ADDR", "127.0.0.1:9"),
        ("BURDOCKVALE_OPERATOR_KEY", "operator-key-0123456789"),
        ("BURDOCKVALE_CLUSTER_KEY", "cluster-key-0123456789"),
        ("BURDOCKVALE_STORE_KEY", "store-key-0123456789"),
    ];
    let cases = [
        ("BURDOCKVALE_HOST_ID", "a b", "host-id", true),
        ("BURDOCKVALE_ZONE", "", "zone", false),
        ("BURDOCKVALE_STORE_ADDR", "store:9", "store-addr", true),
        (
            "BURDOCKVALE_OPERATOR_KEY",
            "short-secret",
            "operator-key",
            false,
        ),
        (
            "BURDOCKVALE_CLUSTER_KEY",
            "with a blank 0123456789",
            "cluster-key",
            false,
        ),
        (
            "BURDOCKVALE_STORE_KEY",
            "sécret-0123456789",
            "store-key",
            false,
        ),
        ("BURDOCKVALE_MAX_CONNECTIONS", "-1", "max-connections", true),
    ];
    for (variable, value, flag, shows_value) in cases {
        let mut variables = valid.to_vec();
        variables.retain(|(name, _)| *name != variable);
        variables.push((variable, value));
        let log = run_daemon(&variables, "trace", Duration::from_millis(300), || {});
        assert!(log.contains(flag), "{variable}: {log}");
        assert_eq!(
            !value.is_empty() && log.contains(value),
            shows_value,
            "{variable}: {log}"
        );
    }
}
