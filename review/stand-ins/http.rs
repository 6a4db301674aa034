//! Reading of HTTP/1.1 messages from a socket.

use std::io::{BufRead, BufReader, Read, Result};
use std::net::TcpStream;

/// First line and headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }
}

pub type Reader = BufReader<TcpStream>;

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut Reader) -> Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_body(reader: &mut Reader, head: &Head) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = head.length() {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads the body of an answer; returns whether it came up to its marked end.
pub fn read_answer_body(reader: &mut Reader, head: &Head, body: &mut Vec<u8>) -> bool {
    if head.is_chunked() {
        loop {
            match read_chunk(reader) {
                Ok(Some(chunk)) => body.extend_from_slice(&chunk),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }
    let Some(length) = head.length() else {
        return reader.read_to_end(body).is_ok();
    };
    body.resize(length, 0);
    reader.read_exact(body).is_ok()
}

fn read_chunk(reader: &mut Reader) -> Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.split(';').next().unwrap_or("").trim();
    let size = usize::from_str_radix(size, 16)
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}
