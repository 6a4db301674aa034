//! Stand-in for the platform's store: rows, conditional writes and feeds.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};
use crate::json::Json;

#[derive(Clone)]
struct Change {
    ver: u64,
    table: String,
    part: String,
    key: String,
    value: Option<String>,
}

#[derive(Default)]
struct Inner {
    /// By table, part and key: value and version.
    rows: BTreeMap<(String, String, String), (String, u64)>,
    changes: Vec<Change>,
    ver: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Inner {
    fn put(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        let id = (table.to_owned(), part.to_owned(), key.to_owned());
        match &value {
            Some(value) => drop(self.rows.insert(id, (value.clone(), self.ver))),
            None => drop(self.rows.remove(&id)),
        }
        self.changes.push(Change {
            ver: self.ver,
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
            value,
        });
    }
}

impl Store {
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("bind the store");
        let addr = listener.local_addr().expect("address of the store");
        let shared = Arc::new((Mutex::new(Inner::default()), Condvar::new()));
        let serving = shared.clone();
        let started = Instant::now();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = serving.clone();
                thread::spawn(move || serve(stream, &shared, started));
            }
        });
        Store { addr, shared }
    }

    /// Writes a row as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut inner = self.shared.0.lock().unwrap();
        inner.ver += 1;
        inner.put(table, "", key, Some(base64(value.as_bytes())));
        drop(inner);
        self.shared.1.notify_all();
    }
}

fn serve(mut stream: TcpStream, shared: &(Mutex<Inner>, Condvar), started: Instant) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(reading);
    while let Some(call) = read_message(&mut reader) {
        let (status, mut body) = answer(&call, shared);
        let now_ms = 100_000 + started.elapsed().as_millis();
        if body.ends_with('}') {
            body.truncate(body.len() - 1);
            body += &format!(",\"now_ms\":{now_ms}}}");
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}

fn answer(call: &Message, shared: &(Mutex<Inner>, Condvar)) -> (u16, String) {
    let target = call.line.split(' ').nth(1).unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let param = |name: &str| {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    };
    let table = param("table").unwrap_or_default();
    let mut inner = shared.0.lock().unwrap();
    match path {
        "/-/rows-get" => {
            let part = param("part").unwrap_or_default();
            let from = param("from").unwrap_or_default();
            let limit = param("limit").and_then(|l| l.parse().ok()).unwrap_or(500).min(500);
            let wanted = inner.rows.iter().filter(|((t, p, key), _)| {
                *t == table && *p == part && *key >= from
            });
            let found: Vec<String> = wanted
                .map(|((t, p, key), (value, ver))| row(t, p, key, Some(value), *ver))
                .collect();
            let truncated = found.len() > limit;
            let rows = found[..found.len().min(limit)].join(",");
            (200, format!("{{\"rows\":[{rows}],\"truncated\":{truncated},\"ver\":{}}}", inner.ver))
        }
        "/-/rows-feed" => {
            let after: u64 = param("after").and_then(|a| a.parse().ok()).unwrap_or(0);
            let wait = param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            loop {
                let changed = inner.changes.iter().filter(|c| c.ver > after && c.table == table);
                let rows: Vec<String> = changed
                    .map(|c| row(&c.table, &c.part, &c.key, c.value.as_ref(), c.ver))
                    .collect();
                let left = until.saturating_duration_since(Instant::now());
                if !rows.is_empty() || left.is_zero() {
                    let rows = rows.join(",");
                    let ver = inner.ver;
                    return (200, format!("{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver}}}"));
                }
                inner = shared.1.wait_timeout(inner, left).unwrap().0;
            }
        }
        "/-/rows-tx" => {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let Some(tx) = Json::parse(&body) else {
                return (400, "{}".to_owned());
            };
            let field = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
            let id = |row: &Json| (field(row, "table"), field(row, "part"), field(row, "key"));
            let list = |name: &str| tx.get(name).map_or(Vec::new(), |l| l.list().to_vec());
            let is_met = list("expected_revision").iter().all(|expected| {
                let ver = inner.rows.get(&id(expected)).map_or(0, |(_, ver)| *ver);
                expected.get("ver").map_or(0.0, Json::number) as u64 == ver
            });
            if !is_met {
                return (412, format!("{{\"rows\":[],\"ver\":{}}}", inner.ver));
            }
            let is_reserved = |row: &Json| ["op", "servers"].contains(&field(row, "table").as_str());
            if list("set_keys").iter().any(is_reserved) {
                return (403, "{}".to_owned());
            }
            inner.ver += 1;
            for set in list("set_keys") {
                let (table, part, key) = id(&set);
                inner.put(&table, &part, &key, Some(field(&set, "value")));
            }
            for gone in list("remove") {
                let (table, part, key) = id(&gone);
                inner.put(&table, &part, &key, None);
            }
            let ver = inner.ver;
            drop(inner);
            shared.1.notify_all();
            (200, format!("{{\"ver\":{ver}}}"))
        }
        _ => (404, "{}".to_owned()),
    }
}

fn row(table: &str, part: &str, key: &str, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"value\":null,\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let [a, b, c] = group;
        let digits = [a >> 2, (a & 3) << 4 | b >> 4, (b & 15) << 2 | c >> 6, c & 63];
        for (at, digit) in digits.into_iter().enumerate() {
            match at <= chunk.len() {
                true => out.push(DIGITS[digit as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
