//! Applies and undoes faults.

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

/// Time for requests in progress when a host drains: the longest deadline of the examples.
const DRAIN_LIMIT: Duration = Duration::from_secs(70);
/// Time for a leaving engine to become idle.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
/// Time until a change is in force at every host without faults.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);
const IDLE_POLL: Duration = Duration::from_millis(200);
/// Shares of calls hit, in thousandths.
const ALL: u32 = 1_000;
const HALF: u32 = 500;
const THIRD: u32 = 333;
const FIFTH: u32 = 200;
const TENTH: u32 = 100;
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

/// Everything that a fault can touch.
#[derive(Clone)]
pub struct Rig {
    pub(crate) deployment: Arc<Deployment>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) relay: Arc<Relay>,
    pub(crate) callers: Arc<CallerFaults>,
    pub(crate) monitor: Arc<Monitor>,
    /// Body of the configuration row at the start.
    pub(crate) first_config: String,
}

impl Rig {
    /// Runs the events and returns once every fault is undone.
    pub async fn run(self, events: Vec<FaultEvent>) {
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for event in events {
            let rig = self.clone();
            tasks.spawn(async move {
                tokio::time::sleep_until(start + event.start).await;
                eprintln!("lab: fault {} starts", event.fault.name());
                rig.apply(event).await;
                tokio::time::sleep_until(start + event.start + event.length).await;
                rig.undo(event).await;
                eprintln!("lab: fault {} is undone", event.fault.name());
            });
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn apply(&self, event: FaultEvent) {
        let host = event.pick % self.fleet.len();
        match event.fault {
            Fault::KillHost => self.fleet.kill(host),
            Fault::PauseHost => self.fleet.pause(host),
            Fault::RestartHost => {
                self.fleet.kill(host);
                self.start_host(host);
            }
            Fault::DrainHost => self.replace(host).await,
            Fault::ReplaceAll => self.replace_all().await,
            Fault::OneSidedCut => self.relay.partition(host, self.neighbour(host)),
            Fault::KillEngine => self.engine(event).crash(),
            Fault::LeavingBackend => self.engine(event).set_leaving(true),
            Fault::ServiceDown => {
                if let Some(gate) = self.server_gate(event) {
                    gate.close();
                    gate.disconnect_all();
                }
            }
            Fault::StoreOldCopy => self.restore_old_copy(host).await,
            Fault::OperatorRace => operators::race(self, event.pick).await,
            Fault::ZoneLoss => self.lose_zone(event),
            Fault::FreshHostStoreDown => {
                self.set_store(false);
                self.fleet.kill(host);
                self.start_host(host);
            }
            Fault::CrashRequest => self.callers.crash_next.store(true, Ordering::Relaxed),
            _ => self.set(event, true),
        }
    }

    async fn undo(&self, event: FaultEvent) {
        let host = event.pick % self.fleet.len();
        match event.fault {
            Fault::KillHost => self.start_host(host),
            Fault::PauseHost => self.fleet.resume(host),
            Fault::OneSidedCut => self.relay.heal(host, self.neighbour(host)),
            Fault::KillEngine => self.engine(event).restart(),
            Fault::LeavingBackend => self.replace_when_idle(self.engine(event)).await,
            Fault::ServiceDown => {
                if let Some(gate) = self.server_gate(event) {
                    gate.open();
                }
            }
            Fault::ZoneLoss => self.restore_zone(event),
            Fault::FreshHostStoreDown => self.set_store(true),
            Fault::RestartHost
            | Fault::DrainHost
            | Fault::ReplaceAll
            | Fault::StoreOldCopy
            | Fault::OperatorRace
            | Fault::CrashRequest => {}
            _ => self.set(event, false),
        }
    }

    /// Faults that are a share of the calls, on or off.
    fn set(&self, event: FaultEvent, on: bool) {
        let share = |share: u32| if on { share } else { 0 };
        match event.fault {
            Fault::SlowEngine => self.engine(event).set_fault(EngineFault::Slow, share(ALL)),
            Fault::StallTransfer => self.set_engines(EngineFault::StallTransfer, share(TENTH)),
            Fault::LoseCancel => self.set_engines(EngineFault::LoseCancel, share(HALF)),
            Fault::CrossedAnswers => self.set_engines(EngineFault::Crossed, share(TENTH)),
            Fault::TruncatedAnswers => {
                self.set_engines(EngineFault::Truncated, share(TENTH));
                self.set_services(ServiceFault::Truncated, share(TENTH));
            }
            Fault::LateAnswers => self.set_engines(EngineFault::Late, share(FIFTH)),
            Fault::RepeatedAnswers => self.set_engines(EngineFault::Repeated, share(FIFTH)),
            Fault::StaleLoad => self.set_engines(EngineFault::StaleLoad, share(ALL)),
            Fault::ServiceSlow => self.set_services(ServiceFault::Slow, share(THIRD)),
            Fault::ServiceCuts => self.set_services(ServiceFault::CutAfterRun, share(TENTH)),
            Fault::StoreDown => self.set_store(!on),
            Fault::StoreSlow => self
                .deployment
                .table
                .set_fault(StoreFault::Slow, share(ALL)),
            Fault::StoreLostAnswers => {
                let table = &self.deployment.table;
                table.set_fault(StoreFault::LoseAnswer, share(THIRD));
            }
            Fault::CallerGone if on => self
                .callers
                .disconnecting_permille
                .store(FIFTH, Ordering::Relaxed),
            Fault::CallerSilent if on => {
                self.callers.silent_permille.store(TENTH, Ordering::Relaxed)
            }
            Fault::CallerGone | Fault::CallerSilent => self.callers.reset(),
            Fault::PeerLoss if on => self.relay.set_faults(PEER_LOSS),
            Fault::PeerDelay if on => self.relay.set_faults(PEER_DELAY),
            Fault::PeerLoss | Fault::PeerDelay => self.relay.set_faults(RelayFaults::default()),
            _ => {}
        }
    }

    fn engine(&self, event: FaultEvent) -> &Arc<Engine> {
        let engines = &self.deployment.engines;
        &engines[event.pick % engines.len()]
    }

    fn server_gate(&self, event: FaultEvent) -> Option<&Arc<Gate>> {
        let gates = &self.deployment.server_gates;
        gates.get(event.pick % gates.len().max(1))
    }

    fn set_engines(&self, fault: EngineFault, share: u32) {
        for engine in &self.deployment.engines {
            engine.set_fault(fault, share);
        }
    }

    fn set_services(&self, fault: ServiceFault, share: u32) {
        for service in &self.deployment.services {
            service.set_fault(fault, share);
        }
    }

    fn set_store(&self, up: bool) {
        let gate = self.deployment.table.gate();
        if up {
            gate.open();
        } else {
            gate.close();
            gate.disconnect_all();
        }
    }

    fn neighbour(&self, host: usize) -> usize {
        (host + 1) % self.fleet.len()
    }

    fn start_host(&self, host: usize) {
        if let Err(err) = self.fleet.start_host(host) {
            eprintln!("lab: {err}");
        }
    }

    async fn replace(&self, host: usize) {
        if !self.fleet.drain(host, DRAIN_LIMIT).await {
            eprintln!(
                "lab: host {host} did not end within {} s",
                DRAIN_LIMIT.as_secs()
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
                let rig = self.clone();
                tasks.spawn(async move { rig.replace(host).await });
            }
            while tasks.join_next().await.is_some() {}
        }
    }

    /// Makes a change, so that there is a newer copy, and restores the first one once the change
    /// should be in force everywhere.
    async fn restore_old_copy(&self, host: usize) {
        operators::change(self, host, None).await;
        tokio::time::sleep(IN_FORCE_TIME).await;
        self.deployment.table.put(CONFIG_KEY, 1, &self.first_config);
    }

    /// Gives a leaving engine a new incarnation once it holds nothing.
    async fn replace_when_idle(&self, engine: &Arc<Engine>) {
        let end = Instant::now() + IDLE_LIMIT;
        while Instant::now() < end {
            if engine.counts().held == 0 {
                engine.restart();
                return;
            }
            tokio::time::sleep(IDLE_POLL).await;
        }
    }

    fn lose_zone(&self, event: FaultEvent) {
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

    fn restore_zone(&self, event: FaultEvent) {
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
        zones[event.pick % zones.len()].id.to_string()
    }
}
