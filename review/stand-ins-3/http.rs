//! Reading of HTTP/1.1 messages.

use std::io::BufRead;

/// A request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived up to its marked end, or, without a mark, up to the end of the channel.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("X-Burdockvale-Request-Id").unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; none if the channel ends before its head is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    message.line = read_line(reader)?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (key, value) = line.split_once(':')?;
        message.headers.push((key.to_owned(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").and_then(|l| l.parse::<usize>().ok());
    let is_answer = message.line.starts_with("HTTP/");
    message.is_complete = match (is_chunked, length) {
        (true, _) => read_chunks(reader, &mut message.body).is_some(),
        (false, Some(length)) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body).is_ok()
        }
        (false, None) if is_answer => reader.read_to_end(&mut message.body).is_ok(),
        (false, None) => true,
    };
    Some(message)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    line.pop().filter(|byte| *byte == b'\n')?;
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk).ok()?;
        body.extend(chunk);
        read_line(reader)?;
        if size == 0 {
            return Some(());
        }
    }
}
