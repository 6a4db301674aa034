//! Stand-in for a client.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{read_answer_body, read_head};

/// Piece of a body that is sent over a while.
const PIECE_BYTES: usize = 64 << 10;

/// What a client got.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// A status, with a stamp or without; `whole` tells whether the body came up to its marked end.
    Answer { status: u16, stamped: bool, whole: bool, body: Vec<u8> },
    /// The channel ended without an answer.
    Cut,
    /// No channel was opened.
    NoChannel,
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Outcome::Answer { status, stamped, whole, body } => write!(
                f,
                "{status}, {}, body of {} bytes {}",
                if *stamped { "stamped" } else { "no stamp" },
                body.len(),
                if *whole { "whole" } else { "cut" },
            ),
            Outcome::Cut => write!(f, "channel ended without an answer"),
            Outcome::NoChannel => write!(f, "no channel"),
        }
    }
}

/// Sends a request on a new channel and reads the answer.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], patience: Duration) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Outcome::NoChannel;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let _ = stream.set_write_timeout(Some(patience));
    if stream.write_all(head.as_bytes()).is_err() || stream.write_all(body).is_err() {
        // An answer may have come before the end of the body.
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    }
    read(&stream)
}

/// Sends a request on a new channel, its body evenly over `time`, and reads the answer.
pub fn call_slowly(
    addr: SocketAddr,
    head: &str,
    body: &[u8],
    time: Duration,
    patience: Duration,
) -> Outcome {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Outcome::NoChannel;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    let _ = stream.set_write_timeout(Some(patience));
    let began = Instant::now();
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    let pieces = body.chunks(PIECE_BYTES);
    let count = pieces.len() as u32;
    for (number, piece) in pieces.enumerate() {
        let due = began + time * number as u32 / count;
        std::thread::sleep(due.saturating_duration_since(Instant::now()));
        is_sent = is_sent && stream.write_all(piece).is_ok();
    }
    if !is_sent {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
    }
    read(&stream)
}

fn read(stream: &TcpStream) -> Outcome {
    let Ok(copy) = stream.try_clone() else {
        return Outcome::Cut;
    };
    let mut reader = BufReader::new(copy);
    let Ok(Some(head)) = read_head(&mut reader) else {
        return Outcome::Cut;
    };
    let mut body = Vec::new();
    let whole = read_answer_body(&mut reader, &head, &mut body);
    Outcome::Answer {
        status: head.status(),
        stamped: head.get("x-burdockvale-server-stamp").is_some(),
        whole,
        body,
    }
}

/// Status of the answer to a request without a body.
pub fn status_of(addr: SocketAddr, request: &str) -> Option<u16> {
    let since = Instant::now();
    match call(addr, request, b"", Duration::from_secs(2)) {
        Outcome::Answer { status, .. } if since.elapsed() < Duration::from_secs(2) => Some(status),
        _ => None,
    }
}
