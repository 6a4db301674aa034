//! Guards against connections to sound peers that are ended while the peer is silent for a short time.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use bv_link::{ConnectOptions, UNACKNOWLEDGED_TIMEOUT, connect};
use bv_types::Millis;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;

/// Larger than the socket buffers of both sides.
const BODY_BYTES: usize = 32 << 20;
/// Longest silence of a sound peer.
const SILENCE: Duration = Duration::from_millis(1_800);

/// A peer that reads nothing for a while after it has accepted, then the whole request, and answers.
fn silent_peer() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        std::thread::sleep(SILENCE);
        let mut buf = vec![0; 1 << 20];
        let mut received = 0;
        while received < BODY_BYTES {
            match stream.read(&mut buf) {
                Ok(0) | Err(_) => return,
                Ok(bytes) => received += bytes,
            }
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        std::thread::sleep(Duration::from_secs(1));
    });
    addr
}

#[tokio::test]
async fn full_receive_window() {
    let options = ConnectOptions {
        timeout: Millis(1_000),
        unacknowledged: UNACKNOWLEDGED_TIMEOUT,
    };
    let mut channel = connect(silent_peer(), options).await.unwrap();
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    let req = Request::post("/")
        .header("host", "a.example")
        .body(body)
        .unwrap();
    let response = channel.send(req).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}
