//! Leases of engine groups, one for each pool, and the role orders sent under them.
//!
//! The wanted role of an engine is the one in the inventory, which placement uses too.

mod calls;
mod group;

use std::sync::Arc;

use bv_lease::{Event, OrderEvent};
use bv_member::rendezvous;
use bv_types::{Millis, PoolId};
use tokio::sync::mpsc;

use crate::Host;
use crate::conf::CurrentConfig;

use group::EngineGroup;

const TICK_INTERVAL: Millis = Millis(250);

/// An event for the group of a pool.
enum GroupEvent {
    Lease(Event),
    Order(OrderEvent),
}

type EventSender = mpsc::UnboundedSender<(PoolId, GroupEvent)>;

/// Until the process ends, holds the leases that this host should hold.
pub(crate) async fn run(host: Arc<Host>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut groups: Vec<EngineGroup> = Vec::new();
    let mut ticks = tokio::time::interval(TICK_INTERVAL.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if let Some(current) = host.conf.current() {
                    configure(&host, &mut groups, &current, &tx);
                }
                for group in &mut groups {
                    group.handle(&host, GroupEvent::Lease(Event::Tick));
                    group.handle(&host, GroupEvent::Order(OrderEvent::Tick));
                }
            }
            Some((pool, event)) = rx.recv() => {
                if let Ok(index) = groups.binary_search_by(|group| group.pool.cmp(&pool)) {
                    groups[index].handle(&host, event);
                }
            }
        }
    }
}

/// Matches the groups to the pools of the inventory and decides which leases this host should hold.
fn configure(
    host: &Arc<Host>,
    groups: &mut Vec<EngineGroup>,
    current: &CurrentConfig,
    events: &EventSender,
) {
    let inventory = &current.inventory;
    // The lease of a removed pool expires.
    groups.retain(|group| inventory.pool(&group.pool).is_some());
    let members = host.peers.alive();
    for pool in &inventory.pools {
        let index = match groups.binary_search_by(|group| group.pool.cmp(&pool.id)) {
            Ok(index) => index,
            Err(index) => {
                groups.insert(
                    index,
                    EngineGroup::new(host, pool.id.clone(), events.clone()),
                );
                index
            }
        };
        groups[index].configure(host, current, pool.checks_fence);
        let key = calls::row_key(&pool.id);
        let first = rendezvous(key.as_bytes(), &members).into_iter().next();
        let is_first = first.is_some_and(|first| first.host == host.settings.host_id);
        let stopping = host.shutdown.lame_duck.is_cancelled();
        groups[index].set_wanted(host, is_first && !stopping);
    }
}
