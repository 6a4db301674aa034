//! The platform's store: rows, conditional writes and feeds.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::json::{Json, base64};

struct Row {
    value: String,
    ver: u64,
}

type Key = (String, String, String);

/// Rows and history.
#[derive(Default)]
struct Content {
    rows: BTreeMap<Key, Row>,
    /// All changes in order: the row's key and its value, none if it was removed.
    history: Vec<(u64, Key, Option<String>)>,
    ver: u64,
}

struct Inner {
    now: Content,
    started: Instant,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let inner = Inner {
            now: Content::default(),
            started: Instant::now(),
        };
        let store = Store {
            addr: listener.local_addr().expect("an address"),
            shared: Arc::new((Mutex::new(inner), Condvar::new())),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        store
    }

    fn change(&self, change: impl FnOnce(&mut Inner)) {
        change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
    }

    /// Writes a row as the operator or a runner, or removes it. Returns after the ack.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64(value.as_bytes()));
        self.change(|inner| {
            inner.now.ver += 1;
            inner.now.put(key, value);
        });
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut conn = Conn::new(stream);
        while let Ok(req) = conn.message(false) {
            let (status, body) = self.answer(req.path(), &req.body);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if conn.stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Status and body of an answer.
    fn answer(&self, path: &str, body: &[u8]) -> (u16, String) {
        let query = |name: &str| -> String {
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let found = query
                .split('&')
                .filter_map(|part| part.split_once('='))
                .find(|(key, _)| *key == name);
            found.map_or(String::new(), |(_, value)| decode(value))
        };
        let (lock, changed) = &*self.shared;
        let mut inner = lock.lock().unwrap();
        let wait: u64 = query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        loop {
            let now_ms = 100_000 + inner.started.elapsed().as_millis() as u64;
            if path.starts_with("/-/rows-tx") {
                let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
                let status = inner.now.transact(&body);
                let rows = match status {
                    412 => "\"rows\":[],",
                    _ => "",
                };
                let text = format!("{{{rows}\"ver\":{},\"now_ms\":{now_ms}}}", inner.now.ver);
                drop(inner);
                changed.notify_all();
                return (status, text);
            }
            let table = query("table");
            let page = |rows: String, ver: u64| {
                format!(
                    "{{\"rows\":[{rows}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{now_ms}}}"
                )
            };
            if path.starts_with("/-/rows-get") {
                let (part, from) = (query("part"), query("from"));
                let rows: Vec<String> = inner
                    .now
                    .rows
                    .iter()
                    .filter(|((t, p, k), _)| *t == table && *p == part && *k >= from)
                    .map(|(key, row)| row_text(key, Some(&row.value), row.ver))
                    .collect();
                return (200, page(rows.join(","), inner.now.ver));
            }
            if !path.starts_with("/-/rows-feed") {
                return (404, "{}".into());
            }
            let after: u64 = query("after").parse().unwrap_or(0);
            let rows: Vec<String> = inner
                .now
                .history
                .iter()
                .filter(|(ver, key, _)| *ver > after && key.0 == table)
                .map(|(ver, key, value)| row_text(key, value.as_ref(), *ver))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, page(rows.join(","), inner.now.ver));
            }
            inner = changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

impl Content {
    fn put(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                let row = Row {
                    value: value.clone(),
                    ver: self.ver,
                };
                self.rows.insert(key.clone(), row);
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((self.ver, key, value));
    }

    fn transact(&mut self, body: &Json) -> u16 {
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let key = |row: &Json| -> Key {
            let text = |name: &str| row.get(name).map_or("", Json::text).to_owned();
            (text("table"), text("part"), text("key"))
        };
        for row in list("expected_revision") {
            let ver = self.rows.get(&key(row)).map_or(0, |row| row.ver);
            if ver != row.get("ver").map_or(0, Json::number) {
                return 412;
            }
        }
        self.ver += 1;
        for row in list("set_keys") {
            let value = row.get("value").map_or("", Json::text).to_owned();
            self.put(key(row), Some(value));
        }
        for row in list("remove") {
            self.put(key(row), None);
        }
        200
    }
}

fn row_text((table, part, key): &Key, value: Option<&String>, ver: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{ver}}}")
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
