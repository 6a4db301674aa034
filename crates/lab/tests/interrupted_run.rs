//! A run that is ended by a signal.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const INVENTORY: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/co-operative.toml"
);

/// Guards against entry hosts that outlive a run ended by SIGTERM.
#[test]
fn no_hosts_left() {
    let mut lab = Command::new(env!("CARGO_BIN_EXE_burdockvale-lab"))
        .args(["run", "--seconds", "60", "--inventory", INVENTORY])
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(lab.stderr.take().unwrap()).lines();
    let ready = lines.any(|line| line.unwrap_or_default().contains("entry hosts are ready"));
    assert!(ready);
    let hosts: Vec<u32> = std::fs::read_dir("/proc")
        .unwrap()
        .filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok())
        .filter(|pid| parent_of(*pid) == Some(lab.id()))
        .collect();
    assert_eq!(hosts.len(), 2);
    let pid = rustix::process::Pid::from_raw(lab.id() as i32).unwrap();
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).unwrap();
    assert!(!lab.wait().unwrap().success());
    let end = Instant::now() + Duration::from_secs(5);
    while hosts.iter().any(|pid| parent_of(*pid).is_some()) {
        assert!(Instant::now() < end, "{hosts:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn parent_of(pid: u32) -> Option<u32> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    fields.split(' ').nth(1)?.parse().ok()
}
