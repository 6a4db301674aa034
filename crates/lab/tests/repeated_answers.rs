//! Servers of a plain service that send an earlier answer once more on a kept connection.

#[allow(dead_code)]
mod plain;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;
use plain::raw::set_servers;
use plain::{reserve, send, start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// When the earlier answer is sent once more.
#[derive(Debug, Clone, Copy)]
enum Repeat {
    Idle(Duration),
    BeforeNext,
    AfterNext,
}

/// A server that answers the first request of each connection with a status of its own and echoes
/// the line of every request.
struct Server {
    repeat: Repeat,
    status: u16,
    /// Request lines that arrived.
    lines: Vec<String>,
}

async fn start_server(server: Arc<Mutex<Server>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, server.clone()));
        }
    });
    addr
}

async fn serve(mut stream: TcpStream, server: Arc<Mutex<Server>>) {
    let mut earlier: Option<String> = None;
    let mut buf = [0; 4_096];
    loop {
        let read = stream.read(&mut buf).await.unwrap_or(0);
        if read == 0 {
            return;
        }
        let text = String::from_utf8_lossy(&buf[..read]).into_owned();
        let line = text.lines().next().unwrap_or_default().to_owned();
        let (repeat, status) = {
            let mut server = server.lock().unwrap();
            server.lines.push(line.clone());
            (server.repeat, server.status)
        };
        let status = match earlier {
            None => status,
            Some(_) => 200,
        };
        let body = format!("\"{line}\"");
        let own = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let again = earlier.replace(own.clone()).unwrap_or_default();
        let answer = match repeat {
            Repeat::BeforeNext => again + &own,
            Repeat::AfterNext => own.clone() + &again,
            Repeat::Idle(_) => own.clone(),
        };
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
        if let Repeat::Idle(pause) = repeat {
            tokio::time::sleep(pause).await;
            let _ = stream.write_all(own.as_bytes()).await;
        }
    }
}

/// Guards against an answer that belongs to another call, and against "not run" for a call that ran.
#[tokio::test(flavor = "multi_thread")]
async fn answers_belong_to_their_calls() {
    let (deployment, hosts) = start(1).await;
    let addr = hosts[0].spec.caller_addr;
    let server = Arc::new(Mutex::new(Server {
        repeat: Repeat::BeforeNext,
        status: 200,
        lines: Vec::new(),
    }));
    let server_addr = start_server(server.clone()).await;
    set_servers(&deployment, &[server_addr, server_addr]).await;
    let repeats = [
        Repeat::BeforeNext,
        Repeat::AfterNext,
        Repeat::Idle(Duration::ZERO),
        Repeat::Idle(Duration::from_millis(5)),
    ];
    for (round, repeat) in repeats.into_iter().enumerate() {
        for status in [200, 429, 503] {
            *server.lock().unwrap() = Server {
                repeat,
                status,
                lines: Vec::new(),
            };
            for call in 0..10 {
                let what = format!("{repeat:?}, {status}, call {call}");
                let path = format!("/booking/seats?round={round}&call={call}");
                let answer = send(addr, "GET", &path, String::new()).await;
                if answer.body.is_string() {
                    let line = format!("GET {path} HTTP/1.1");
                    assert_eq!(answer.body, line.as_str(), "{what}");
                }
                let key = format!("{round}-{status}-{call}");
                let reserved = reserve(addr, &key).await;
                assert!(!reserved.is_not_run(), "{what}: {reserved:?}");
                assert_ne!(
                    reserved.status,
                    StatusCode::NOT_FOUND,
                    "{what}: {reserved:?}"
                );
            }
            let lines = &server.lock().unwrap().lines;
            let runs = lines.iter().filter(|line| line.starts_with("POST")).count();
            assert_eq!(runs, 10, "{repeat:?}, {status}: each call runs once");
        }
    }
}
