//! Entry hosts and the operators' program as child processes.
#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};

use bv_lab::{Deployment, HostProcess, HostSpec, OPERATOR_KEY};
use serde_json::Value;

pub const INVENTORY: &str = include_str!("../../../../examples/co-operative.toml");

/// Output and exit code of one run of the program.
#[derive(Debug)]
pub struct CommandOutput {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl CommandOutput {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|err| panic!("{err}: {self:?}"))
    }
}

/// Path of a program of this workspace.
pub fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap();
    path.pop();
    if path.ends_with("deps") {
        path.pop();
    }
    path.join(name)
}

/// Runs `burdockvale` with these arguments against these entry hosts.
pub async fn burdockvale(args: &[&str], hosts: &[SocketAddr]) -> CommandOutput {
    let mut command = Command::new(program("burdockvale"));
    let hosts: Vec<String> = hosts.iter().map(SocketAddr::to_string).collect();
    command
        .args(args)
        .env("BURDOCKVALE_OPERATOR_KEY", OPERATOR_KEY)
        .env("BURDOCKVALE_HOSTS", hosts.join(","))
        .stdin(Stdio::null());
    tokio::task::spawn_blocking(move || {
        let output = command.output().unwrap();
        CommandOutput {
            exit_code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    })
    .await
    .unwrap()
}

/// Ready entry hosts of one deployment, each with all of them as seeds.
pub struct Cluster {
    pub deployment: Deployment,
    pub hosts: Vec<HostProcess>,
    dir: PathBuf,
}

impl Cluster {
    pub async fn start(count: usize) -> Self {
        Cluster::start_with(count, |_, _| {}).await
    }

    /// Starts hosts and applies `configure` to the settings of each.
    pub async fn start_with(count: usize, configure: impl Fn(usize, &mut HostSpec)) -> Self {
        let deployment = Deployment::start(INVENTORY).await.unwrap();
        let mut specs = Vec::new();
        for index in 0..count {
            let mut spec = HostSpec::new(index, &deployment, "planned").await.unwrap();
            configure(index, &mut spec);
            specs.push(spec);
        }
        let seeds: Vec<SocketAddr> = specs.iter().map(|spec| spec.peer_addr).collect();
        let mut hosts = Vec::new();
        for mut spec in specs {
            spec.seeds = seeds.clone();
            hosts.push(HostProcess::start(spec).unwrap());
        }
        for host in &hosts {
            host.wait_ready().await.unwrap();
        }
        let dir = std::env::temp_dir().join(format!(
            "burdockvale-test-{}-{}",
            std::process::id(),
            hosts[0].spec.operator_addr.port()
        ));
        std::fs::create_dir_all(&dir).unwrap();
        Cluster {
            deployment,
            hosts,
            dir,
        }
    }

    pub fn addrs(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.iter();
        hosts.map(|host| host.spec.operator_addr).collect()
    }

    /// Writes a file with the current inventory under another deployment name; returns its path.
    pub fn document(&self, name: &str) -> String {
        let (_, body) = self.deployment.table.row("config/current").unwrap();
        let body: Value = serde_json::from_str(&body).unwrap();
        let text = body["document"].as_str().unwrap();
        let (_, rest) = text.split_once("name = ").unwrap();
        let (_, rest) = rest.split_once('\n').unwrap();
        let path = self.dir.join(format!("{name}.toml"));
        std::fs::write(&path, format!("name = \"{name}\"\n{rest}")).unwrap();
        path.display().to_string()
    }

    /// Version of the stored configuration and the id of the change that wrote it.
    pub fn stored(&self) -> (u64, String) {
        let (version, body) = self.deployment.table.row("config/current").unwrap();
        let body: Value = serde_json::from_str(&body).unwrap();
        (version, body["change"].as_str().unwrap().to_owned())
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
