//! Stand-in for a runner: a plain server, or a model engine of one stage.

use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};

/// Time that a prefill engine takes for a token, in µs.
const PREFILL_US_PER_TOKEN: u64 = 30;

/// What a runner serves.
#[derive(Clone)]
pub enum Work {
    /// Answers of 800 bytes, each after this time.
    Plain(Duration),
    Prefill,
    /// Streams of this many events, with this time between two of them, and silent now and then.
    Decode(u64, Duration, Silence),
    /// Every slot and place in the queue is taken by other callers.
    Full,
}

/// Time until which a runner sends nothing; it goes on afterwards.
pub type Silence = Arc<Mutex<Option<Instant>>>;

/// A request that a runner received.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub server: String,
    pub request: String,
    /// Whether the runner began to work on it.
    pub ran: bool,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub service: &'static str,
    pub zone: &'static str,
    /// Whether its entry names the stage of a model engine.
    pub is_engine: bool,
    work: Work,
    slots: usize,
    busy: Arc<AtomicUsize>,
    /// Runs whose channel was closed by its caller before the end.
    pub cut: Arc<AtomicUsize>,
    next: Arc<AtomicU64>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    born: u64,
}

impl Runner {
    pub fn start(
        ip: IpAddr,
        id: &str,
        service: &'static str,
        zone: &'static str,
        work: Work,
        slots: usize,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> Runner {
        let listener = TcpListener::bind((ip, 0)).expect("runner listens");
        let runner = Runner {
            id: id.to_owned(),
            addr: listener.local_addr().expect("runner has an address"),
            service,
            zone,
            is_engine: true,
            work,
            slots,
            busy: Arc::default(),
            cut: Arc::default(),
            next: Arc::default(),
            arrivals: arrivals.clone(),
            born: unix_ms(),
        };
        let serving = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = serving.clone();
                std::thread::spawn(move || runner.serve(stream));
            }
        });
        runner
    }

    /// Its entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let stage = match self.work {
            Work::Plain(_) | Work::Full => "",
            Work::Prefill => "\"stage\":\"prefill\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],",
            Work::Decode(..) if !self.is_engine => "",
            Work::Decode(..) => "\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],",
        };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",{stage}\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.addr, self.zone, self.slots, self.born
        )
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        let mut stream = stream;
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_body(&mut reader, &head).is_err() {
                return;
            }
            if self.answer(&mut stream, &head).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let request = head.get("x-burdockvale-request-id").unwrap_or("").to_owned();
        let echo = format!("X-Burdockvale-Request-Id: {request}\r\n");
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let target = head.target().to_owned();
        let expected = head.get("x-burdockvale-expect-instance");
        if expected.is_some_and(|id| id != self.id) {
            return send(stream, 421, &echo, "");
        }
        if target == "/-/hold-take" {
            return send(stream, 200, "", &format!("{{\"hold\":\"h{number}\"}}"));
        }
        if target.starts_with("/-/") {
            return send(stream, 200, "", "{}");
        }
        if head.get("x-burdockvale-stage") == Some("prefill") {
            let counts = head.get("x-burdockvale-token-counts").unwrap_or("");
            let tokens: u64 = counts.split(',').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            std::thread::sleep(Duration::from_micros(tokens * PREFILL_US_PER_TOKEN));
            let body = format!(
                "{{\"transfer_handle\":\"{}x{number}\",\"tokens\":{tokens},\"version\":1}}",
                self.id.replace('-', "")
            );
            return send(stream, 200, &echo, &body);
        }
        let mut arrival = Arrival {
            at: Instant::now(),
            server: self.id.clone(),
            request,
            ran: false,
        };
        let is_full = matches!(self.work, Work::Full);
        if self.busy.fetch_add(1, Ordering::Relaxed) >= self.slots || is_full {
            self.busy.fetch_sub(1, Ordering::Relaxed);
            self.arrivals.lock().unwrap().push(arrival);
            return send(stream, 503, &format!("{echo}X-Burdockvale-Not-Run: 1\r\n"), "");
        }
        arrival.ran = true;
        self.arrivals.lock().unwrap().push(arrival);
        let answered = self.run(stream, &echo, number);
        if answered.is_err() {
            self.cut.fetch_add(1, Ordering::Relaxed);
        }
        self.busy.fetch_sub(1, Ordering::Relaxed);
        answered
    }

    fn run(&self, stream: &mut TcpStream, echo: &str, number: u64) -> std::io::Result<()> {
        let stamp = format!("X-Burdockvale-Server-Stamp: {}.{number}\r\n", self.id);
        match self.work {
            Work::Plain(time) => {
                std::thread::sleep(time);
                send(stream, 200, &format!("{echo}{stamp}"), &"x".repeat(800))
            }
            Work::Decode(events, pause, ref silence) => {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                     Transfer-Encoding: chunked\r\n{echo}{stamp}\r\n"
                )?;
                for event in 1..=events {
                    std::thread::sleep(pause);
                    let until = *silence.lock().unwrap();
                    std::thread::sleep(until.map_or(Duration::ZERO, |until| {
                        until.saturating_duration_since(Instant::now())
                    }));
                    let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(85));
                    write!(stream, "{:x}\r\n{text}\r\n", text.len())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
            Work::Prefill | Work::Full => send(stream, 421, echo, ""),
        }
    }
}

fn send(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> std::io::Result<()> {
    let answer = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(answer.as_bytes())
}

/// The time of day as a Unix millisecond.
pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |time| time.as_millis() as u64)
}
