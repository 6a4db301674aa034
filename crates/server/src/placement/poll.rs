//! Duties of a home between calls: load reports, time, dead hosts, changed configuration.

use std::sync::Arc;

use bv_member::Member;
use bv_place::{Event, Report};
use bv_types::{BackendId, Incarnation, Millis, Pieces};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tracing::debug;

use super::answer::create;
use super::home::Home;
use super::{grants, lock, shards};
use crate::Host;
use crate::engine::CallError;

/// Time between load reports of a runner.
const POLL: Millis = Millis(250);
/// Time for one load report.
const POLL_TIMEOUT: Millis = Millis(200);
const POLL_TRIES: u32 = 2;
/// Ticks of the shards between two polls.
const TICKS: u32 = 5;

/// Serves the shards of which this host is the home, until the process ends.
pub(crate) async fn follow(host: Arc<Host>) {
    let mut members = host.peers.alive();
    loop {
        members = follow_members(&host, members);
        configure(&host);
        for home in homes(&host) {
            let host = host.clone();
            tokio::spawn(async move {
                poll(host, home.clone()).await;
                home.polled.get_or_init(|| std::future::ready(())).await;
            });
        }
        tell_leaving(&host);
        grants::register(&host);
        for _ in 0..TICKS {
            tokio::time::sleep((POLL.duration()) / TICKS).await;
            for home in homes(&host) {
                home.handle(&host, Event::Tick);
            }
        }
    }
}

/// Asks each runner of a shard for its load.
pub(super) async fn poll(host: Arc<Host>, home: Arc<Home>) {
    let Some(current) = host.conf.current() else {
        return;
    };
    let mut polls = JoinSet::new();
    for runner in home.spec().runners {
        let Some(addr) = current.inventory.runner(&runner.id).map(|r| r.addr) else {
            continue;
        };
        let client = host.engines.clone();
        polls.spawn(async move {
            let mut load = None;
            let mut ended = false;
            // A single late answer does not make a runner unusable.
            for _ in 0..POLL_TRIES {
                let answer = client.load(addr);
                let answer = tokio::time::timeout(POLL_TIMEOUT.duration(), answer).await;
                // A refusal within the time for a report comes from a host whose engine has ended.
                ended = matches!(answer, Ok(Err(CallError::Refused { .. })));
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
            home.crashed(&host, &runner);
        }
        let report = load.as_ref().and_then(report_of);
        if let Some(report) = &report {
            host.backend_seen(&runner, report.incarnation, report.leaving);
        }
        home.handle(&host, event_of(runner, report));
    }
}

fn event_of(runner: BackendId, report: Option<Report>) -> Event {
    match report {
        Some(report) => Event::Report { runner, report },
        None => Event::RunnerFailed(runner),
    }
}

fn report_of(load: &serde_json::Value) -> Option<Report> {
    let count = |name: &str| load[name].as_u64();
    let small = |name: &str| count(name).and_then(|value| u32::try_from(value).ok());
    Some(Report {
        at: Millis(count("at_ms")?),
        incarnation: Incarnation(count("incarnation")?),
        running: small("running")?,
        waiting: small("waiting")?,
        free_pieces: Pieces(small("free_pieces")?),
        leaving: load["leaving"].as_bool().unwrap_or(false),
    })
}

fn homes(host: &Host) -> Vec<Arc<Home>> {
    lock(&host.placement.homes).clone()
}

/// Tells the shards which runners have a leaving mark from any source.
fn tell_leaving(host: &Arc<Host>) {
    let marks = host.leaving.lock().leaving();
    for home in homes(host) {
        for mark in &marks {
            let event = Event::Leaving {
                runner: mark.backend.clone(),
                incarnation: mark.incarnation,
            };
            home.handle(host, event);
        }
    }
}

/// Tells the shards which entry host processes have died or returned.
fn follow_members(host: &Arc<Host>, before: Vec<Member>) -> Vec<Member> {
    let members = host.peers.alive();
    let is_in = |list: &[Member], member: &Member| {
        list.iter()
            .any(|m| m.host == member.host && m.incarnation == member.incarnation)
    };
    for gone in before.iter().filter(|member| !is_in(&members, member)) {
        debug!(host = %gone.host, incarnation = %gone.incarnation, "place: entry host is gone");
        for home in homes(host) {
            home.handle(
                host,
                Event::HostDead {
                    host: gone.host.clone(),
                    incarnation: gone.incarnation,
                },
            );
        }
    }
    for new in members.iter().filter(|member| !is_in(&before, member)) {
        for home in homes(host) {
            home.handle(
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

/// Creates the shards of which this host is the home and drops those that it no longer serves.
fn configure(host: &Arc<Host>) {
    let Some(current) = host.conf.current() else {
        return;
    };
    let inventory = current.inventory;
    let members = host.peers.alive();
    let is_home = |key: &SmolStr| {
        let first = shards::homes(key, &members).into_iter().next();
        first.as_ref() == Some(&host.settings.host_id)
    };
    for pool in &inventory.pools {
        for key in shards::keys(&inventory, &pool.id) {
            if is_home(&key) {
                create(host, &key);
            }
        }
    }
    lock(&host.placement.homes).retain(|home| {
        // A call that still polls the runners is about to add its grant.
        let is_needed = !home.is_idle() || Arc::strong_count(home) > 1;
        match shards::find(&inventory, &home.key) {
            Some(spec) => {
                home.configure(spec, host.placement.policy);
                is_home(&home.key) || is_needed
            }
            None => is_needed,
        }
    });
}
