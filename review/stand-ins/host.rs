//! A host of the system as a separate process, and what the platform does with it.

use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::client;

/// A host's process, which is killed on drop.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Child,
}

/// What the settings of a host say.
pub struct Settings<'a> {
    pub folder: &'a Path,
    pub ip: IpAddr,
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub memory_mb: u64,
}

impl Host {
    /// Starts the program as the deploy file says.
    pub fn start(settings: &Settings<'_>) -> Host {
        let Settings { ip, name, zone, store, memory_mb, .. } = settings;
        let text = format!(
            r#"{{"node_name":"{name}","role":"entry","machine_class":"frontend","serves":["frontend"],
"ip_address":"{ip}","zone":"{zone}","region":"gauteng",
"zones":{{"lot-north":"gauteng","lot-south":"gauteng","gate-main":"gauteng","depot-east":"gauteng"}},
"listen_addresses":{{"frontend":"{ip}:8149","ready":"{ip}:8141"}},
"internal_port_range":[7380,7395],"seeds":[],"bootstrap":true,"counts_toward_tolerance":false,
"limits":{{"cpu_share":0.25,"cpu_cores":1,"memory_mb":{memory_mb},"file_descriptors":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_directory":null,"discovery":"platform","entry":"virtual_ip","heartbeat_interval_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","split","stream","engine","platform"],
"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_timeout_ms":3000,"ack_timeout_ms":4000,"catch_up_s":4,
"drain_timeout_ms":2000,"grace_period_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,
"max_stretch_ms":5000,"retry_budget_ratio":0.2,"retry_window_s":10,"retry_budget_extra":52,"recovery_s":12,
"max_transit_ms":120,"again_s":5.7,"require_fencing":true,"lease_ms":3000,"thaw_slack_ms":300}},
"platform":{{"address":"{store}","form":"table","writes_per_s":400,"reads_per_s":2000,"tx_ms":3.0,
"partition_writes_s":300,"row_bytes":65536,"across":true,"history_s":20,"blob_bytes":8388608,"blob_ms":25.0,
"blob_mb_s":80.0}}}}"#
        );
        let path = settings.folder.join(format!("{name}.json"));
        std::fs::write(&path, text).expect("settings are written");
        Host {
            name: (*name).to_owned(),
            callers: SocketAddr::new(*ip, 8149),
            ready: SocketAddr::new(*ip, 8141),
            process: spawn(&path),
            settings: path,
        }
    }

    pub fn is_ready(&self) -> bool {
        client::status_of(self.ready, "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            == Some(200)
    }

    /// Waits up to 10 s until the host is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() && TcpStream::connect(self.callers).is_ok() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Memory of the process that is in use, in bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let digits: String = line.unwrap_or("").chars().filter(char::is_ascii_digit).collect();
        digits.parse::<u64>().unwrap_or(0) * 1024
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the program again after it ended.
    pub fn restart(&mut self) {
        self.process = spawn(&self.settings);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path) -> Child {
    Command::new("target/release/burdockvaled")
        .arg("platform")
        .env_clear()
        .env("BURDOCKVALE_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program of the deploy file starts")
}
