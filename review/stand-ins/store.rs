//! Stand-in for the platform's store in the form `table`: rows, conditional writes and feeds.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head};
use crate::json::{Json, base64, decode_percent};

struct Row {
    table: String,
    part: String,
    key: String,
    /// In base64; none if the row was removed.
    value: Option<String>,
    ver: u64,
}

struct Inner {
    /// Present and removed rows; one entry for each key.
    rows: Vec<Row>,
    ver: u64,
}

type Shared = Arc<(Mutex<Inner>, Condvar)>;

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Shared,
    started: Instant,
}

impl Store {
    pub fn start(ip: IpAddr) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("store listens");
        let inner = Inner {
            rows: Vec::new(),
            ver: 0,
        };
        let store = Store {
            addr: listener.local_addr().expect("store has an address"),
            shared: Arc::new((Mutex::new(inner), Condvar::new())),
            started: Instant::now(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with an empty part, as the operator or a server.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.put_in_part(table, "", key, value);
    }

    /// Writes a row of any part.
    pub fn put_in_part(&self, table: &str, part: &str, key: &str, value: &str) {
        let mut inner = self.shared.0.lock().unwrap();
        inner.ver += 1;
        inner.set(table, part, key, Some(base64(value.as_bytes())));
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_body(&mut reader, &head) else {
                return;
            };
            let (status, text) = self.answer(head.target(), &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str, body: &[u8]) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.find(|(key, _)| *key == name);
            found.map(|(_, value)| decode_percent(value)).unwrap_or_default()
        };
        let table = query("table");
        let mut inner = self.shared.0.lock().unwrap();
        match path {
            "/-/rows-tx" => {
                let answer = inner.transact(&String::from_utf8_lossy(body), self.now_ms());
                self.shared.1.notify_all();
                answer
            }
            "/-/rows-get" => {
                let (part, from) = (query("part"), query("from"));
                let rows = inner.rows.iter().filter(|row| row.table == table && row.part == part);
                let mut rows: Vec<&Row> =
                    rows.filter(|row| row.value.is_some() && row.key >= from).collect();
                rows.sort_by(|a, b| a.key.cmp(&b.key));
                (200, page(&rows, inner.ver, self.now_ms()))
            }
            "/-/rows-feed" => {
                let after: u64 = query("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let rows = inner.rows.iter();
                    let mut rows: Vec<&Row> =
                        rows.filter(|row| row.table == table && row.ver > after).collect();
                    rows.sort_by_key(|row| row.ver);
                    let now = Instant::now();
                    if !rows.is_empty() || now >= until {
                        return (200, page(&rows, inner.ver, self.now_ms()));
                    }
                    inner = self.shared.1.wait_timeout(inner, until - now).unwrap().0;
                }
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.started.elapsed().as_millis() as u64
    }
}

impl Inner {
    /// Sets a row at the current version.
    fn set(&mut self, table: &str, part: &str, key: &str, value: Option<String>) {
        let ver = self.ver;
        let is_it = |row: &&mut Row| row.table == table && row.part == part && row.key == key;
        let known = self.rows.iter_mut().find(is_it);
        match known {
            Some(row) => (row.value, row.ver) = (value, ver),
            None => self.rows.push(Row {
                table: table.to_owned(),
                part: part.to_owned(),
                key: key.to_owned(),
                value,
                ver,
            }),
        }
    }

    fn transact(&mut self, body: &str, now_ms: u64) -> (u16, String) {
        let Some(call) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        for wanted in call.get("expected_revision").list() {
            let [table, part, key] = ["table", "part", "key"].map(|name| wanted.get(name).text());
            let is_it = |row: &&Row| row.table == table && row.part == part && row.key == key;
            let found = self.rows.iter().filter(|row| row.value.is_some()).find(is_it);
            if found.map_or(0, |row| row.ver) != wanted.get("ver").number() {
                let found: Vec<&Row> = found.into_iter().collect();
                return (412, page(&found, self.ver, now_ms));
            }
        }
        let written = call.get("set_keys").list();
        let forbidden = |row: &Json| matches!(row.get("table").text(), "op" | "servers");
        if written.iter().chain(call.get("remove").list()).any(forbidden) {
            return (403, "{}".to_owned());
        }
        self.ver += 1;
        for row in written {
            let [table, part, key] = ["table", "part", "key"].map(|name| row.get(name).text());
            let value = row.get("value").text().to_owned();
            self.set(table, part, key, Some(value));
        }
        for row in call.get("remove").list() {
            let [table, part, key] = ["table", "part", "key"].map(|name| row.get(name).text());
            self.set(table, part, key, None);
        }
        (200, format!("{{\"ver\":{},\"now_ms\":{now_ms}}}", self.ver))
    }
}

fn page(rows: &[&Row], ver: u64, now_ms: u64) -> String {
    let rows: Vec<String> = rows
        .iter()
        .map(|row| {
            let rest = match &row.value {
                Some(value) => format!("\"value\":\"{value}\""),
                None => "\"deleted\":true".to_owned(),
            };
            format!(
                "{{\"table\":\"{}\",\"part\":\"{}\",\"key\":\"{}\",\"ver\":{},{rest}}}",
                row.table, row.part, row.key, row.ver
            )
        })
        .collect();
    format!(
        "{{\"rows\":[{}],\"truncated\":false,\"ver\":{ver},\"now_ms\":{now_ms}}}",
        rows.join(",")
    )
}
