//! Connections that arrive while a listener is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinSet;

const CALLERS: usize = 8;
const LISTENERS: usize = 20;
const OPEN_TIME: Duration = Duration::from_millis(100);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Opens connections with one exchange each until one is refused. Returns the number of answers.
fn call_until_refused(addr: SocketAddr) -> Result<usize, String> {
    for answered in 0.. {
        let mut conn = match TcpStream::connect(addr) {
            Ok(conn) => conn,
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => return Ok(answered),
            Err(err) => return Err(format!("connect: {err} after {answered} answers")),
        };
        let mut buf = [0];
        let answer = conn
            .write_all(b"?")
            .and_then(|()| conn.read_exact(&mut buf));
        if let Err(err) = answer {
            return Err(format!("{err} after {answered} answers"));
        }
    }
    unreachable!("the loop ends with a refused connection")
}

async fn answer(mut stream: tokio::net::TcpStream) {
    let mut buf = [0];
    stream.read_exact(&mut buf).await.unwrap();
    stream.write_all(b"!").await.unwrap();
}

/// Serves callers for a short time, then closes the listener.
async fn serve_shortly() -> Result<(), String> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let callers: Vec<JoinHandle<_>> = (0..CALLERS)
        .map(|_| std::thread::spawn(move || call_until_refused(addr)))
        .collect();
    let accepting = async {
        loop {
            tokio::spawn(answer(listener.accept().await.unwrap().0));
        }
    };
    assert!(tokio::time::timeout(OPEN_TIME, accepting).await.is_err());
    let take = |stream, _| {
        tokio::spawn(answer(stream));
    };
    bv_listen::close(listener, take).await.unwrap();
    for caller in callers {
        while !caller.is_finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        if caller.join().unwrap()? == 0 {
            return Err("no call was answered".to_owned());
        }
    }
    Ok(())
}

/// Guards against connections in the accept queue that are reset when the listener is closed.
#[tokio::test]
async fn open_connections_are_answered() {
    let mut listeners: JoinSet<_> = (0..LISTENERS).map(|_| serve_shortly()).collect();
    while let Some(outcome) = listeners.join_next().await {
        assert_eq!(outcome.unwrap(), Ok(()));
    }
}
