//! Starts, pauses, drains, kills and restarts the entry hosts of a run.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rustix::process::Signal;

use crate::relay::Relay;
use crate::{Balancer, Deployment, HostProcess, HostSpec, LabError, LeakDetector};

/// Time for which a draining host still accepts connections; the balancer's health check notices
/// the drain within one second.
const LAME_DUCK_MS: u64 = 2_000;
/// Interval between checks whether a draining process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The entry hosts of a run.
pub struct Fleet {
    members: Vec<Member>,
    /// Chooses the host for each connection of a caller.
    pub balancer: Arc<Balancer>,
    leak_detector: Arc<LeakDetector>,
}

struct Member {
    spec: HostSpec,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    process: Option<HostProcess>,
    /// Number of processes started.
    starts: u64,
    paused: bool,
}

impl Fleet {
    /// Starts hosts that reach each other through a relay, and waits until they are ready.
    ///
    /// # Errors
    /// Fails if a host cannot be started or does not become ready.
    pub async fn start(
        deployment: &Deployment,
        count: usize,
        policy: &str,
        leak_detector: Arc<LeakDetector>,
    ) -> Result<(Self, Arc<Relay>), LabError> {
        let mut specs = Vec::new();
        for index in 0..count {
            specs.push(HostSpec::new(index, deployment, policy).await?);
        }
        let relay = Relay::start(&specs, deployment.zones.clone()).await?;
        for (index, spec) in specs.iter_mut().enumerate() {
            spec.peer_advertise = Some(relay.addr(index));
            spec.lame_duck_ms = Some(LAME_DUCK_MS);
            spec.seeds = (0..count)
                .filter(|other| *other != index)
                .map(|other| relay.addr(other))
                .collect();
        }
        let balancer = Arc::new(Balancer::new(specs.iter().map(|spec| spec.caller_addr)));
        let members = specs
            .into_iter()
            .map(|spec| Member {
                spec,
                state: Mutex::default(),
            })
            .collect();
        let fleet = Fleet {
            members,
            balancer,
            leak_detector,
        };
        for index in 0..count {
            fleet.start_host(index)?;
        }
        for index in 0..count {
            fleet.wait_ready(index).await?;
        }
        Ok((fleet, relay))
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether there are no hosts.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Settings of a host.
    pub fn spec(&self, index: usize) -> &HostSpec {
        &self.members[index].spec
    }

    /// Indices of the hosts in a zone.
    pub fn in_zone(&self, zone: &str) -> Vec<usize> {
        (0..self.len())
            .filter(|index| self.spec(*index).zone == zone)
            .collect()
    }

    /// Number of processes started for a host so far.
    pub fn starts(&self, index: usize) -> u64 {
        self.state(index).starts
    }

    /// Whether the host is running and not paused.
    pub fn is_running(&self, index: usize) -> bool {
        let state = self.state(index);
        state.process.is_some() && !state.paused
    }

    fn state(&self, index: usize) -> MutexGuard<'_, State> {
        let state = &self.members[index].state;
        state.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Starts a host unless it is already running.
    ///
    /// # Errors
    /// Fails if the program cannot be started.
    pub fn start_host(&self, index: usize) -> Result<(), LabError> {
        let mut state = self.state(index);
        if state.process.is_none() {
            state.process = Some(HostProcess::start(self.spec(index).clone())?);
            state.starts += 1;
            state.paused = false;
        }
        Ok(())
    }

    async fn wait_ready(&self, index: usize) -> Result<(), LabError> {
        crate::hosts::wait_ready(self.spec(index)).await
    }

    /// Kills a host.
    pub fn kill(&self, index: usize) {
        let process = self.state(index).process.take();
        if process.is_some() {
            self.leak_detector.host_stopped(&self.spec(index).id);
            self.balancer.set_draining(index, false);
        }
        // Dropping the process kills it.
        drop(process);
    }

    /// Pauses a host with SIGSTOP.
    pub fn pause(&self, index: usize) {
        let mut state = self.state(index);
        if let Some(process) = &mut state.process {
            process.signal(Signal::STOP);
            state.paused = true;
            self.leak_detector.host_stopped(&self.spec(index).id);
        }
    }

    /// Continues a paused host with SIGCONT.
    pub fn resume(&self, index: usize) {
        let mut state = self.state(index);
        if state.paused
            && let Some(process) = &mut state.process
        {
            process.signal(Signal::CONT);
            state.paused = false;
            self.leak_detector.host_resumed(&self.spec(index).id);
        }
    }

    /// Drains a host with SIGTERM and waits until its process ends; returns false if it is still
    /// running after `timeout`.
    pub async fn drain(&self, index: usize, timeout: Duration) -> bool {
        if let Some(process) = &mut self.state(index).process {
            self.balancer.set_draining(index, true);
            process.signal(Signal::TERM);
        }
        let deadline = tokio::time::Instant::now() + timeout;
        while tokio::time::Instant::now() < deadline {
            if self.reap(index) {
                self.balancer.set_draining(index, false);
                return true;
            }
            tokio::time::sleep(EXIT_POLL_INTERVAL).await;
        }
        false
    }

    /// Releases the process of a host if it has ended; returns whether it has.
    fn reap(&self, index: usize) -> bool {
        let mut state = self.state(index);
        if state.process.as_mut().is_none_or(HostProcess::has_ended) {
            state.process = None;
            return true;
        }
        false
    }
}
