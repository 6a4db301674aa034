//! Injects and undoes the faults of a run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::{Fault, FaultEvent, operators};
use crate::deployment::CONFIG_KEY;
use crate::fleet::Fleet;
use crate::monitor::Monitor;
use crate::relay::{Relay, RelayFaults};
use crate::stand_in::{Engine, EngineFault, Gate, ServiceFault, StoreFault};
use crate::{CallerFaults, Deployment};

/// Time limit for a host to drain; covers the longest deadline in the example inventories.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(70);
/// Time limit for a leaving engine to become idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a change is in force at every host when there are no faults.
const CONFIG_PROPAGATION_TIME: Duration = Duration::from_secs(2);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(200);
// Shares of the calls that a fault affects, in thousandths.
const ALL_PERMILLE: u32 = 1_000;
const HALF_PERMILLE: u32 = 500;
const THIRD_PERMILLE: u32 = 333;
const FIFTH_PERMILLE: u32 = 200;
const TENTH_PERMILLE: u32 = 100;
const PEER_LOSS: RelayFaults = RelayFaults {
    loss: 0.05,
    duplicates: 0.02,
    reordered: 0.05,
    added_delay: Duration::ZERO,
};
const PEER_DELAY: RelayFaults = RelayFaults {
    loss: 0.0,
    duplicates: 0.0,
    reordered: 0.0,
    added_delay: Duration::from_millis(300),
};

/// Injects faults into the parts of a run.
#[derive(Clone)]
pub struct FaultInjector {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) relay: Arc<Relay>,
    pub(crate) callers: Arc<CallerFaults>,
    pub(crate) monitor: Arc<Monitor>,
    /// Body of the configuration row at the start of the run.
    pub(crate) initial_config: String,
}

impl FaultInjector {
    /// Injects the faults at their times and returns once every fault is undone.
    pub async fn run(self, events: Vec<FaultEvent>) {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for event in events {
            let injector = self.clone();
            tasks.spawn(async move {
                tokio::time::sleep_until(start + event.start).await;
                eprintln!("lab: fault {} starts", event.fault.name());
                injector.apply(event).await;
                tokio::time::sleep_until(start + event.start + event.duration).await;
                injector.undo(event).await;
                eprintln!("lab: fault {} is undone", event.fault.name());
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn apply(&self, event: FaultEvent) {
        let host = event.target_selector % self.fleet.len();
        match event.fault {
            Fault::KillHost => self.fleet.kill(host),
            Fault::PauseHost => self.fleet.pause(host),
            Fault::RestartHost => {
                self.fleet.kill(host);
                self.start_host(host);
            }
            Fault::DrainHost => self.drain_and_restart(host).await,
            Fault::ReplaceAll => self.replace_all().await,
            Fault::OneSidedCut => self.relay.partition(host, self.next_host(host)),
            Fault::KillEngine => self.engine(event).crash(),
            Fault::LeavingBackend => self.engine(event).set_leaving(true),
            Fault::ServiceDown => {
                if let Some(gate) = self.server_gate(event) {
                    gate.close();
                    gate.disconnect_all();
                }
            }
            Fault::StoreOldCopy => self.restore_old_copy(host).await,
            Fault::OperatorRace => {
                operators::submit_racing_changes(self, event.target_selector).await
            }
            Fault::ZoneLoss => self.stop_zone(event),
            Fault::FreshHostStoreDown => {
                self.set_store_up(false);
                self.fleet.kill(host);
                self.start_host(host);
            }
            Fault::CrashRequest => self.callers.crash_next.store(true, Ordering::Relaxed),
            _ => self.set_enabled(event, true),
        }
    }

    async fn undo(&self, event: FaultEvent) {
        let host = event.target_selector % self.fleet.len();
        match event.fault {
            Fault::KillHost => self.start_host(host),
            Fault::PauseHost => self.fleet.resume(host),
            Fault::OneSidedCut => self.relay.heal(host, self.next_host(host)),
            Fault::KillEngine => self.engine(event).restart(),
            Fault::LeavingBackend => self.restart_when_idle(self.engine(event)).await,
            Fault::ServiceDown => {
                if let Some(gate) = self.server_gate(event) {
                    gate.open();
                }
            }
            Fault::ZoneLoss => self.restart_zone(event),
            Fault::FreshHostStoreDown => self.set_store_up(true),
            Fault::RestartHost
            | Fault::DrainHost
            | Fault::ReplaceAll
            | Fault::StoreOldCopy
            | Fault::OperatorRace
            | Fault::CrashRequest => {}
            _ => self.set_enabled(event, false),
        }
    }

    /// Turns on or off a fault that only sets a state: a share of the calls, an outage, or faults
    /// of the relay or the callers.
    fn set_enabled(&self, event: FaultEvent, on: bool) {
        let share = |permille: u32| if on { permille } else { 0 };
        match event.fault {
            Fault::SlowEngine => self
                .engine(event)
                .set_fault(EngineFault::Slow, share(ALL_PERMILLE)),
            Fault::StallTransfer => {
                self.set_engines(EngineFault::StallTransfer, share(TENTH_PERMILLE))
            }
            Fault::LoseCancel => self.set_engines(EngineFault::LoseCancel, share(HALF_PERMILLE)),
            Fault::CrossedAnswers => self.set_engines(EngineFault::Crossed, share(TENTH_PERMILLE)),
            Fault::TruncatedAnswers => {
                self.set_engines(EngineFault::Truncated, share(TENTH_PERMILLE));
                self.set_services(ServiceFault::Truncated, share(TENTH_PERMILLE));
            }
            Fault::LateAnswers => self.set_engines(EngineFault::Late, share(FIFTH_PERMILLE)),
            Fault::RepeatedAnswers => {
                self.set_engines(EngineFault::Repeated, share(FIFTH_PERMILLE))
            }
            Fault::StaleLoad => self.set_engines(EngineFault::StaleLoad, share(ALL_PERMILLE)),
            Fault::ServiceSlow => self.set_services(ServiceFault::Slow, share(THIRD_PERMILLE)),
            Fault::ServiceCuts => {
                self.set_services(ServiceFault::DisconnectAfterRun, share(TENTH_PERMILLE))
            }
            Fault::StoreDown => self.set_store_up(!on),
            Fault::StoreSlow => self
                .deployment
                .table
                .set_fault(StoreFault::Slow, share(ALL_PERMILLE)),
            Fault::StoreLostAnswers => {
                let table = &self.deployment.table;
                table.set_fault(StoreFault::LoseAnswer, share(THIRD_PERMILLE));
            }
            Fault::CallerGone if on => self
                .callers
                .close_early_permille
                .store(FIFTH_PERMILLE, Ordering::Relaxed),
            Fault::CallerSilent if on => self
                .callers
                .stop_reading_permille
                .store(TENTH_PERMILLE, Ordering::Relaxed),
            Fault::CallerGone | Fault::CallerSilent => self.callers.reset(),
            Fault::PeerLoss if on => self.relay.set_faults(PEER_LOSS),
            Fault::PeerDelay if on => self.relay.set_faults(PEER_DELAY),
            Fault::PeerLoss | Fault::PeerDelay => self.relay.set_faults(RelayFaults::default()),
            _ => {}
        }
    }

    fn engine(&self, event: FaultEvent) -> &Arc<Engine> {
        let engines = &self.deployment.engines;
        &engines[event.target_selector % engines.len()]
    }

    fn server_gate(&self, event: FaultEvent) -> Option<&Arc<Gate>> {
        let gates = &self.deployment.server_gates;
        gates.get(event.target_selector % gates.len().max(1))
    }

    fn set_engines(&self, fault: EngineFault, permille: u32) {
        for engine in &self.deployment.engines {
            engine.set_fault(fault, permille);
        }
    }

    fn set_services(&self, fault: ServiceFault, permille: u32) {
        for service in &self.deployment.services {
            service.set_fault(fault, permille);
        }
    }

    fn set_store_up(&self, up: bool) {
        let gate = self.deployment.table.gate();
        if up {
            gate.open();
        } else {
            gate.close();
            gate.disconnect_all();
        }
    }

    fn next_host(&self, host: usize) -> usize {
        (host + 1) % self.fleet.len()
    }

    fn start_host(&self, host: usize) {
        if let Err(err) = self.fleet.start_host(host) {
            eprintln!("lab: cannot restart host {host}: {err}");
        }
    }

    async fn drain_and_restart(&self, host: usize) {
        if !self.fleet.drain(host, DRAIN_TIMEOUT).await {
            eprintln!(
                "lab: host {host} did not exit within {} s after SIGTERM; killing it",
                DRAIN_TIMEOUT.as_secs()
            );
            self.fleet.kill(host);
        }
        self.start_host(host);
    }

    async fn replace_all(&self) {
        for half in [0, 1] {
            let hosts = (0..self.fleet.len()).filter(|host| host % 2 == half);
            let mut tasks = JoinSet::new();
            for host in hosts {
                let injector = self.clone();
                tasks.spawn(async move { injector.drain_and_restart(host).await });
            }
            while tasks.join_next().await.is_some() {}
        }
    }

    /// Makes a configuration change, so that there is a newer version, and restores the initial row
    /// once the change should be in force everywhere.
    async fn restore_old_copy(&self, host: usize) {
        operators::submit_change(self, host, None).await;
        tokio::time::sleep(CONFIG_PROPAGATION_TIME).await;
        self.deployment
            .table
            .put(CONFIG_KEY, 1, &self.initial_config);
    }

    /// Restarts a leaving engine with a new incarnation once it holds no memory.
    async fn restart_when_idle(&self, engine: &Arc<Engine>) {
        let deadline = Instant::now() + IDLE_TIMEOUT;
        while Instant::now() < deadline {
            if engine.counts().held == 0 {
                engine.restart();
                return;
            }
            tokio::time::sleep(IDLE_POLL_INTERVAL).await;
        }
    }

    fn stop_zone(&self, event: FaultEvent) {
        let zone = self.zone(event);
        for host in self.fleet.in_zone(&zone) {
            self.fleet.kill(host);
        }
        for engine in &self.deployment.engines {
            if engine.gate().zone().is_some_and(|z| z.as_str() == zone) {
                engine.crash();
            }
        }
        for gate in &self.deployment.server_gates {
            if gate.zone().is_some_and(|z| z.as_str() == zone) {
                gate.close();
                gate.disconnect_all();
            }
        }
    }

    fn restart_zone(&self, event: FaultEvent) {
        let zone = self.zone(event);
        for host in self.fleet.in_zone(&zone) {
            self.start_host(host);
        }
        for engine in &self.deployment.engines {
            if engine.gate().zone().is_some_and(|z| z.as_str() == zone) {
                engine.restart();
            }
        }
        for gate in &self.deployment.server_gates {
            if gate.zone().is_some_and(|z| z.as_str() == zone) {
                gate.open();
            }
        }
    }

    fn zone(&self, event: FaultEvent) -> String {
        let zones = &self.deployment.inventory.zones;
        zones[event.target_selector % zones.len()].id.to_string()
    }
}
