//! Periodic work of a shard's owner: load polls, ticks, dead hosts and changed configuration.

use std::sync::Arc;

use bv_member::Member;
use bv_place::{Event, Report};
use bv_types::{BackendId, Incarnation, Millis, Pieces};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tracing::debug;

use super::owned_shard::OwnedShard;
use super::owner_calls::get_or_create;
use super::{grants, lock, shards};
use crate::Host;
use crate::backend::CallError;

/// Time between load polls of a runner.
const POLL_INTERVAL: Millis = Millis(250);
/// Time for one load poll.
const POLL_TIMEOUT: Millis = Millis(200);
const POLL_TRIES: u32 = 2;
/// Ticks of the shards between two load polls.
const TICKS_PER_POLL: u32 = 5;

/// Until the process ends, maintains the shards that this host owns.
pub(crate) async fn run(host: Arc<Host>) {
    let mut members = host.peers.alive();
    loop {
        members = update_members(&host, members);
        update_owned_shards(&host);
        for shard in owned_shards(&host) {
            let host = host.clone();
            tokio::spawn(async move {
                poll_runners(host, shard.clone()).await;
                shard.polled.get_or_init(|| std::future::ready(())).await;
            });
        }
        apply_leaving_marks(&host);
        grants::register(&host);
        for _ in 0..TICKS_PER_POLL {
            tokio::time::sleep((POLL_INTERVAL.duration()) / TICKS_PER_POLL).await;
            for shard in owned_shards(&host) {
                shard.handle(&host, Event::Tick);
            }
        }
    }
}

/// Polls each runner of a shard for its load.
pub(super) async fn poll_runners(host: Arc<Host>, shard: Arc<OwnedShard>) {
    let Some(current) = host.conf.current() else {
        return;
    };
    let mut polls = JoinSet::new();
    for runner in shard.spec().runners {
        let Some(addr) = current.inventory.runner(&runner.id).map(|r| r.addr) else {
            continue;
        };
        let client = host.backends.clone();
        polls.spawn(async move {
            let mut load = None;
            let mut ended = false;
            // A single late answer must not make a runner unusable.
            for _ in 0..POLL_TRIES {
                let answer = client.load(addr);
                let answer = tokio::time::timeout(POLL_TIMEOUT.duration(), answer).await;
                // A connection that fails within `POLL_TIMEOUT` was refused by a host whose engine
                // process has ended; an unreachable host normally shows as a timeout, since the
                // client's connect timeout is longer.
                ended = matches!(answer, Ok(Err(CallError::ConnectFailed { .. })));
                load = answer.ok().and_then(Result::ok);
                if load.is_some() || ended {
                    break;
                }
            }
            (runner.id, load, ended)
        });
    }
    while let Some(Ok((runner, load, ended))) = polls.join_next().await {
        if ended {
            shard.runner_crashed(&host, &runner);
        }
        let report = load.as_ref().and_then(parse_report);
        if let Some(report) = &report {
            host.observe_backend(&runner, report.incarnation, report.leaving);
        }
        shard.handle(&host, report_event(runner, report));
    }
}

fn report_event(runner: BackendId, report: Option<Report>) -> Event {
    match report {
        Some(report) => Event::Report { runner, report },
        None => Event::RunnerFailed(runner),
    }
}

fn parse_report(load: &serde_json::Value) -> Option<Report> {
    let count = |name: &str| load[name].as_u64();
    let count_u32 = |name: &str| count(name).and_then(|value| u32::try_from(value).ok());
    Some(Report {
        at: Millis(count("at_ms")?),
        incarnation: Incarnation(count("incarnation")?),
        running: count_u32("running")?,
        waiting: count_u32("waiting")?,
        free_pieces: Pieces(count_u32("free_pieces")?),
        leaving: load["leaving"].as_bool().unwrap_or(false),
    })
}

fn owned_shards(host: &Host) -> Vec<Arc<OwnedShard>> {
    lock(&host.placement.owned_shards).clone()
}

/// Reports to the shards which runners are marked as leaving.
fn apply_leaving_marks(host: &Arc<Host>) {
    let marks = host.leaving.lock().leaving();
    for shard in owned_shards(host) {
        for mark in &marks {
            let event = Event::Leaving {
                runner: mark.backend.clone(),
                incarnation: mark.incarnation,
            };
            shard.handle(host, event);
        }
    }
}

/// Reports to the shards which entry host processes have died or joined.
fn update_members(host: &Arc<Host>, before: Vec<Member>) -> Vec<Member> {
    let members = host.peers.alive();
    let is_in = |list: &[Member], member: &Member| {
        list.iter()
            .any(|m| m.host == member.host && m.incarnation == member.incarnation)
    };
    for removed in before.iter().filter(|member| !is_in(&members, member)) {
        debug!(
            host = %removed.host,
            incarnation = %removed.incarnation,
            "place: entry host process is no longer live"
        );
        for shard in owned_shards(host) {
            shard.handle(
                host,
                Event::HostDead {
                    host: removed.host.clone(),
                    incarnation: removed.incarnation,
                },
            );
        }
    }
    for new in members.iter().filter(|member| !is_in(&before, member)) {
        for shard in owned_shards(host) {
            shard.handle(
                host,
                Event::HostAlive {
                    host: new.host.clone(),
                    incarnation: new.incarnation,
                },
            );
        }
    }
    members
}

/// Creates the shards that this host owns and drops those that it no longer serves.
fn update_owned_shards(host: &Arc<Host>) {
    let Some(current) = host.conf.current() else {
        return;
    };
    let inventory = current.inventory;
    let members = host.peers.alive();
    let is_owner = |key: &SmolStr| {
        let first = shards::owner_candidates(key, &members).into_iter().next();
        first.as_ref() == Some(&host.settings.host_id)
    };
    for pool in &inventory.pools {
        for key in shards::keys(&inventory, &pool.id) {
            if is_owner(&key) {
                get_or_create(host, &key);
            }
        }
    }
    lock(&host.placement.owned_shards).retain(|shard| {
        // A call that holds the shard while it polls the runners may still add a grant.
        let is_needed = !shard.is_idle() || Arc::strong_count(shard) > 1;
        match shards::find(&inventory, &shard.key) {
            Some(spec) => {
                shard.configure(spec, host.placement.policy);
                is_owner(&shard.key) || is_needed
            }
            None => is_needed,
        }
    });
}
