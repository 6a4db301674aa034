//! Heads and bodies of HTTP/1.1 messages on blocking sockets.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its marked end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.line.split(' ').nth(1).unwrap_or_default();
        code.parse().unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn id(&self) -> &str {
        self.header("X-Burdockvale-Request-Id").unwrap_or_default()
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        Conn {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<()> {
        let mut part = [0; 16 << 10];
        match self.stream.read(&mut part)? {
            0 => Err(Error::new(ErrorKind::UnexpectedEof, "closed")),
            read => {
                self.buf.extend_from_slice(&part[..read]);
                Ok(())
            }
        }
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Result<Message> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Message {
            line,
            headers,
            ..Message::default()
        })
    }

    /// Reads the rest of a message of which the head was read; `is_answer` for answers, whose body may
    /// end with the connection.
    pub fn body(&mut self, message: &mut Message, is_answer: bool) -> Result<()> {
        let chunked = message
            .header("Transfer-Encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message
            .header("Content-Length")
            .and_then(|value| value.parse().ok());
        match length {
            _ if chunked => self.chunks(&mut message.body)?,
            Some(length) => {
                let body = self.exact(length)?;
                message.body.extend(body);
            }
            None if is_answer => loop {
                message.body.append(&mut self.buf);
                match self.fill() {
                    Ok(()) => {}
                    Err(err) if err.kind() == ErrorKind::UnexpectedEof => break,
                    Err(err) => return Err(err),
                }
            },
            None => {}
        }
        message.complete = true;
        Ok(())
    }

    /// Reads a whole message.
    pub fn message(&mut self, is_answer: bool) -> Result<Message> {
        let mut message = self.head()?;
        self.body(&mut message, is_answer)?;
        Ok(message)
    }

    pub fn exact(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buf.len() < length {
            self.fill()?;
        }
        Ok(self.buf.drain(..length).collect())
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> Result<()> {
        loop {
            let line = self.line()?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| Error::new(ErrorKind::InvalidData, "chunk size"))?;
            let data = self.exact(size)?;
            self.exact(2)?;
            if size == 0 {
                return Ok(());
            }
            body.extend(data);
        }
    }
}
