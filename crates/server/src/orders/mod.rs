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
use crate::conf::InForce;

use group::Group;

const TICK: Millis = Millis(250);

/// An answer for the group of a pool.
enum Answer {
    Lease(Event),
    Order(OrderEvent),
}

type Answers = mpsc::UnboundedSender<(PoolId, Answer)>;

/// Holds the leases that fall to this host until the process ends.
pub(crate) async fn follow(host: Arc<Host>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let mut groups: Vec<Group> = Vec::new();
    let mut ticks = tokio::time::interval(TICK.duration());
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                if let Some(current) = host.conf.current() {
                    configure(&host, &mut groups, &current, &tx);
                }
                for group in &mut groups {
                    group.handle(&host, Answer::Lease(Event::Tick));
                    group.handle(&host, Answer::Order(OrderEvent::Tick));
                }
            }
            Some((pool, answer)) = rx.recv() => {
                if let Ok(index) = groups.binary_search_by(|group| group.pool.cmp(&pool)) {
                    groups[index].handle(&host, answer);
                }
            }
        }
    }
}

/// Follows the pools of the inventory and decides which leases this host should hold.
fn configure(host: &Arc<Host>, groups: &mut Vec<Group>, current: &InForce, answers: &Answers) {
    let inventory = &current.inventory;
    // A removed pool's lease runs out.
    groups.retain(|group| inventory.pool(&group.pool).is_some());
    let members = host.peers.alive();
    for pool in &inventory.pools {
        let index = match groups.binary_search_by(|group| group.pool.cmp(&pool.id)) {
            Ok(index) => index,
            Err(index) => {
                groups.insert(index, Group::new(host, pool.id.clone(), answers.clone()));
                index
            }
        };
        groups[index].configure(host, current, pool.checks_fence);
        let key = calls::row_key(&pool.id);
        let first = rendezvous(key.as_bytes(), &members).into_iter().next();
        let is_first = first.is_some_and(|first| first.host == host.settings.host_id);
        let stopping = host.shutdown.lame_duck.is_cancelled();
        groups[index].want(host, is_first && !stopping);
    }
}
