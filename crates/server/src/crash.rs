//! Detection of requests that crash engines, shared by all entry hosts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use bv_blame::{Action, Blame, Event, Score};
use bv_member::GossipUpdate;
use bv_types::{BackendId, Fingerprint};
use tracing::{info, warn};

use crate::{Host, counters};

/// Blame scores from crashes in the shards of this host and from other hosts.
#[derive(Debug, Default)]
pub(crate) struct Crashes(Mutex<Blame>);

impl Crashes {
    fn lock(&self) -> MutexGuard<'_, Blame> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs and counts a lost connection to a runner with attempts in flight.
pub(crate) fn runner_connection_lost(runner: &BackendId) {
    warn!(%runner, "model: lost the connection to a runner with an attempt in flight");
    counters::runner_connection_lost();
}

/// Whether requests with this content are refused because they crash engines.
pub(crate) fn is_blocked(host: &Host, request: &Fingerprint) -> bool {
    let now = host.clock.now();
    host.crashes.lock().is_blocked(now, *request)
}

/// Whether the request was in flight at a crash and has not finished since.
pub(crate) fn is_suspect(host: &Host, request: Fingerprint) -> bool {
    let now = host.clock.now();
    host.crashes.lock().is_suspect(now, request)
}

/// Passes an event to the blame state and gossips what changed to the other hosts.
pub(crate) fn handle(host: &Host, event: Event) {
    let now = host.clock.now();
    let actions = host.crashes.lock().handle(now, event);
    for action in actions {
        host.peers.add_gossip_update(match action {
            Action::ShareScore { request, score } => {
                info!(%request, score = score.0, "blame: crash score of a request changed");
                GossipUpdate::SuspectRequest {
                    fingerprint: request,
                    score: score.0,
                }
            }
            Action::ShareBlock { request, until } => {
                warn!(%request, "blame: request crashed engines and is refused");
                GossipUpdate::BlockedRequest {
                    fingerprint: request,
                    until,
                }
            }
        });
    }
}

/// Applies the scores and blocks of another host.
pub(crate) fn apply_gossip(host: &Host, update: &GossipUpdate) {
    match *update {
        GossipUpdate::SuspectRequest { fingerprint, score } => handle(
            host,
            Event::ReceivedScore {
                request: fingerprint,
                score: Score(score),
            },
        ),
        GossipUpdate::BlockedRequest { fingerprint, until } => handle(
            host,
            Event::ReceivedBlock {
                request: fingerprint,
                until,
            },
        ),
        GossipUpdate::Config { .. } | GossipUpdate::Leaving { .. } => {}
    }
}
