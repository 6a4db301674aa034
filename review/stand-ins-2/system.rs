//! Runners, clients and processes of the system.

use std::fs::{self, File};
use std::io::{Result, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
}

/// `struct linger` of the C library, and the numbers of the option on Linux.
#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}
const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Lets the channel be reset when it is dropped.
fn reset(stream: &TcpStream) {
    let linger = Linger { on: 1, seconds: 0 };
    let length = size_of::<Linger>() as u32;
    // The option only concerns this socket, which is open.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, length) };
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Ports of each machine of the system; the last one is that of the metrics in the deploy file.
const FRONTEND: u16 = 8149;
const READY: u16 = 8141;
const CONTROL: u16 = 8144;
const INTERNAL: u16 = 7380;
const METRICS: u16 = 9464;

/// `memory_mb` of each machine.
pub const MEMORY_MB: f64 = 110.0;

/// A loopback address at which the ports of a machine are free.
pub fn free_address() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    loop {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = Ipv4Addr::new(127, 20 + (process >> 8) as u8 % 200, process as u8, number);
        let is_free = |port| TcpListener::bind((ip, port)).is_ok();
        if number > 0
            && [FRONTEND, READY, CONTROL, INTERNAL, METRICS]
                .into_iter()
                .all(is_free)
        {
            return ip;
        }
    }
}

/// What happened, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("record.txt can be written"),
            )),
            started: Instant::now(),
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn add(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }

    /// Writes a line to the record only.
    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let line = format!("{ms:>6} ms  {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes the ids of the requests that a runner began to run.
    pub fn note_runs(&self, runner: &Runner) {
        let runs = runner.runs.lock().unwrap();
        let ids: Vec<&str> = runs.iter().map(|run| run.request.id()).collect();
        self.note(format!("ran at {}: {}", runner.id, ids.join(" ")));
    }
}

/// Part of an answer of a runner.
pub enum Step {
    Send(Vec<u8>),
    Wait(u64),
    /// Resets the channel.
    Reset,
}

/// A request that a runner began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: Message,
}

type Script = Arc<dyn Fn(&str, &Message) -> Vec<Step> + Send + Sync>;

/// A backend server. It runs whatever its script does not reject.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub addr: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    pub fn start(
        ip: Ipv4Addr,
        id: &str,
        script: impl Fn(&str, &Message) -> Vec<Step> + Send + Sync + 'static,
    ) -> Runner {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for a runner");
        let runner = Runner {
            id: id.to_owned(),
            addr: listener.local_addr().expect("an address"),
            runs: Arc::default(),
        };
        let serving = runner.clone();
        let script: Script = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (serving, script) = (serving.clone(), script.clone());
                std::thread::spawn(move || serving.serve(stream, &script));
            }
        });
        runner
    }

    fn serve(&self, stream: TcpStream, script: &Script) {
        let _ = stream.set_nodelay(true);
        let mut conn = Conn::new(stream);
        while let Ok(req) = conn.message(false) {
            if req.header("X-Burdockvale-Expect-Instance") != Some(&self.id) {
                let head = format!(
                    "HTTP/1.1 421 X\r\nX-Burdockvale-Instance-Id: {}\r\nX-Burdockvale-Request-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    req.id()
                );
                if conn.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                request: req.clone(),
            });
            for step in script(&self.id, &req) {
                match step {
                    Step::Send(bytes) => {
                        if conn.stream.write_all(&bytes).is_err() {
                            return;
                        }
                    }
                    Step::Wait(ms) => std::thread::sleep(Duration::from_millis(ms)),
                    Step::Reset => return reset(&conn.stream),
                }
            }
        }
    }

    /// The row that this runner writes to the store.
    pub fn row(&self, service: &str, state: &str, sequence: u64) -> String {
        format!(
            r#"{{"service":"{service}","address":"{}","zone":"lot-north","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":{sequence},"born":1700000000000}}"#,
            self.addr
        )
    }
}

/// The head of a runner's answer to a request.
pub fn answer_head(runner: &str, req: &Message, status: u16, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nX-Burdockvale-Request-Id: {}\r\nX-Burdockvale-Server-Stamp: stamp.{runner}\r\n{extra}",
        req.id()
    )
}

/// A whole answer.
pub fn answer(runner: &str, req: &Message, status: u16, body: &str) -> Vec<Step> {
    let length = format!("Content-Length: {}\r\n\r\n", body.len());
    let head = answer_head(runner, req, status, &length);
    vec![Step::Send((head + body).into_bytes())]
}

/// A machine's process, started with the command of the deploy file.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    store: SocketAddr,
    process: Child,
}

/// The bounds of `sites/vleiroete-park`, with another grace period.
fn settings(name: &str, ip: Ipv4Addr, store: SocketAddr, grace_s: u64) -> String {
    format!(
        r#"{{"node_name":"{name}","role":"entry","machine_class":"frontend","serves":["frontend"],
"ip_address":"{ip}","zone":"lot-north","region":"gauteng",
"zones":{{"lot-north":"gauteng","lot-south":"gauteng","gate-main":"gauteng","depot-east":"gauteng"}},
"listen_addresses":{{"frontend":"{ip}:{FRONTEND}","ready":"{ip}:{READY}","control_plane":"{ip}:{CONTROL}"}},
"internal_port_range":[{INTERNAL},{}],"seeds":[],"bootstrap":true,"counts_toward_tolerance":false,
"limits":{{"cpu_share":0.25,"cpu_cores":1,"memory_mb":{MEMORY_MB},"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_interval_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_timeout_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,
"drain_timeout_ms":2000,"grace_period_s":{grace_s},"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
"max_stretch_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"retry_budget_extra":52,"recovery_s":12,
"max_transit_ms":120,"again_s":5.7,"require_fencing":true,"lease_ms":3000,"thaw_slack_ms":300}},
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,"tx_ms":3.0,
"partition_writes_s":300,"row_bytes":65536,"across":true,"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0}}}}"#,
        INTERNAL + 15
    )
}

impl Host {
    pub fn start(number: usize, store: SocketAddr, grace_s: u64) -> Host {
        let ip = free_address();
        let name = format!("frontend-lot-north-{number}");
        let path =
            std::env::temp_dir().join(format!("bv-review-{}-{number}.json", std::process::id()));
        fs::write(&path, settings(&name, ip, store, grace_s)).expect("settings can be written");
        Host {
            process: spawn(&path),
            name,
            ip,
            settings: path,
            store,
        }
    }

    /// Starts a process that has ended again, as the platform does.
    pub fn restart(&mut self) {
        let _ = self.process.wait();
        let text = fs::read_to_string(&self.settings).expect("settings can be read");
        let text = text.replace("\"bootstrap\":true", "\"bootstrap\":false");
        fs::write(&self.settings, text).expect("settings can be written");
        self.process = spawn(&self.settings);
    }

    pub fn frontend(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, FRONTEND))
    }

    /// Writes other settings to the file.
    pub fn write_settings(&self, grace_s: u64) {
        let text = settings(&self.name, self.ip, self.store, grace_s);
        fs::write(&self.settings, text).expect("settings can be written");
    }

    pub fn signal(&self, signal: i32) {
        // The process was started here and has not been waited for, so the id is its own.
        unsafe { kill(self.process.id() as i32, signal) };
    }

    /// Sends a signal unless the process has ended.
    pub fn signal_if_running(&mut self, signal: i32) {
        if !self.has_ended() {
            self.signal(signal);
        }
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> Result<u16> {
            let ready = SocketAddr::V4(SocketAddrV4::new(self.ip, READY));
            let mut stream = TcpStream::connect(ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream
                .write_all(b"GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(Conn::new(stream).head()?.status())
        };
        get().is_ok_and(|status| status == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process has ended by itself or by a signal.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Largest resident memory so far, in units of 2^20 bytes.
    pub fn peak_mb(&self) -> f64 {
        self.memory_mb("VmHWM:")
    }

    /// Resident memory now, in units of 2^20 bytes; 0 once the process has ended.
    pub fn used_mb(&self) -> f64 {
        self.memory_mb("VmRSS:")
    }

    fn memory_mb(&self, field: &str) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with(field));
        let digits: String = line
            .unwrap_or("")
            .chars()
            .filter(char::is_ascii_digit)
            .collect();
        digits.parse().unwrap_or(0.0) / 1024.0
    }
}

/// Starts a host with the command of the deploy file.
fn spawn(settings: &Path) -> Child {
    Command::new("target/release/burdockvaled")
        .arg("platform")
        .env("BURDOCKVALE_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .spawn()
        .expect("target/release/burdockvaled starts; build it first")
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// A client's channel.
pub fn client(addr: SocketAddr) -> Result<Conn> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    Ok(Conn::new(stream))
}

/// The text of a client's request.
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    let length = match method {
        "GET" => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Burdockvale-Request-Id: {id}\r\n{length}{extra}\r\n{body}"
    )
}

/// A manifest with the service `bookings` and the routes that are given.
pub fn manifest(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"bookings","health_check_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
}

/// A route to the service `bookings`.
pub fn route(prefix: &str, kind: &str, timeout_ms: u64, attempts: u32, extra: &str) -> String {
    format!(
        r#"{{"name":"r{}","host":"a.example","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":120,"priority":2,"service":"bookings","max_attempts":{attempts}{extra}}}"#,
        prefix.replace('/', "-")
    )
}
