//! Backend servers that are marked as leaving by operators, load reports or other entry hosts.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_drain::{LeavingMark, LeavingMarks};
use bv_member::GossipUpdate;
use bv_types::{BackendId, Incarnation};
use tokio::sync::broadcast::error::RecvError;
use tracing::{info, warn};

use crate::Host;
use crate::peers::PeerEvent;

/// Marks shared by the parts of the host.
#[derive(Debug, Default)]
pub(crate) struct Leaving(Mutex<LeavingMarks>);

impl Leaving {
    /// The marks.
    pub fn lock(&self) -> MutexGuard<'_, LeavingMarks> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Host {
    /// Marks a process of a backend server as leaving and gossips the mark.
    pub fn mark_leaving(&self, backend: &BackendId, incarnation: Incarnation) {
        if self.leaving.lock().mark(backend, incarnation) {
            self.gossip_leaving(LeavingMark {
                backend: backend.clone(),
                incarnation,
            });
        }
    }

    /// Marks the current process of a backend server as leaving, even if none of its load reports
    /// has been seen, and gossips the mark; true if the mark is new. For sources that know no
    /// incarnations.
    pub fn mark_current_leaving(&self, backend: &BackendId) -> bool {
        let mark = self.leaving.lock().mark_current(backend, self.clock.now());
        let is_new = mark.is_some();
        if let Some(mark) = mark {
            self.gossip_leaving(mark);
        }
        is_new
    }

    /// Handles the load report of a backend server: a report that it is leaving sets the mark and
    /// gossips it, a higher incarnation ends it.
    pub(crate) fn observe_backend(
        &self,
        backend: &BackendId,
        incarnation: Incarnation,
        leaving: bool,
    ) {
        let ended = self.leaving.lock().observe(backend, incarnation);
        if ended {
            info!(%backend, %incarnation, "drain: the backend server has restarted");
            self.apply_leaving();
        }
        if leaving {
            self.mark_leaving(backend, incarnation);
        }
    }

    /// Passes the marks on to the choice of servers of plain services.
    fn apply_leaving(&self) {
        let marks = self.leaving.lock().leaving();
        self.set_leaving(marks.into_iter().map(|mark| mark.backend).collect());
    }

    fn gossip_leaving(&self, mark: LeavingMark) {
        self.apply_leaving();
        info!(
            backend = %mark.backend,
            incarnation = %mark.incarnation,
            "drain: the backend server is leaving"
        );
        self.peers.add_gossip_update(GossipUpdate::Leaving {
            backend: mark.backend,
            incarnation: mark.incarnation,
        });
    }
}

/// Applies leaving marks from gossip until the process ends.
pub(crate) async fn run(host: Arc<Host>) {
    let mut events = host.peers.subscribe();
    loop {
        match events.recv().await {
            Ok(PeerEvent::GossipUpdate {
                update:
                    GossipUpdate::Leaving {
                        backend,
                        incarnation,
                    },
                ..
            }) => {
                host.leaving.lock().mark(&backend, incarnation);
                host.apply_leaving();
            }
            Ok(_) => {}
            Err(RecvError::Lagged(missed)) => warn!(missed, "drain: peer events missed"),
            Err(RecvError::Closed) => return,
        }
    }
}
