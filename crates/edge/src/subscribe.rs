//! Taking over the store's rows from another host, so that this host need not read the store itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bv_link::Progress;
use bv_platform::Table;
use bv_roster::store_intervals;
use bv_types::Millis;
use tracing::info;

use crate::counters;
use crate::edge::Edge;
use crate::follow::wait_until_left_behind;
use crate::peers::{self, PeerLink, QUERY_TIMEOUT, QueryResult};

/// Shortest pause until a source is asked again.
const MIN_SOURCE_PAUSE: Millis = Millis(20);

/// How a query at a source ended.
enum Reply {
    Current {
        changed: bool,
    },
    /// The store has not confirmed the source's rows for too long.
    TooOld {
        age: Millis,
    },
    /// This host's rows became too old before the source answered.
    Late,
    /// Another host reported a newer change.
    Behind,
    /// Another source, or none, is to be asked.
    Replaced,
}

/// Follows the source that [`bv_roster::SourceChoice`] names.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut link = None;
    let received = Progress::default();
    loop {
        let sources_changed = edge.sources_changed.notified();
        let source = edge.state().sources.source(edge.now());
        let Some(peer) = source else {
            link = None;
            let pause = pause_without_source(&edge);
            let _ = tokio::time::timeout(pause.duration(), sources_changed).await;
            continue;
        };
        let reply = ask(&edge, peer, &mut link, &received).await;
        if !matches!(reply, Ok(Reply::Current { .. } | Reply::TooOld { .. })) {
            // An answer may still arrive on the connection.
            link = None;
        }
        if let Ok(Reply::Replaced) = reply {
            continue;
        }
        counters::peer_call(matches!(reply, Ok(Reply::Current { .. })));
        record(&edge, peer, &reply, received.bytes());
        edge.sources_changed.notify_waiters();
        if let Ok(Reply::Current { changed: true }) = reply {
            // Rows that are written together are passed on together.
            tokio::time::sleep(store_intervals::CHANGE_PAUSE.duration()).await;
        }
    }
}

/// Time until a source that is avoided now may be asked.
fn pause_without_source(edge: &Edge) -> Millis {
    let now = edge.now();
    let sources = &edge.state().sources;
    let until_next = sources.next_source_at().map(|at| at - now);
    let longest = sources.bounds().takeover_time();
    until_next.map_or(longest, |pause| pause.max(MIN_SOURCE_PAUSE).min(longest))
}

/// Records how a query ended after `received` bytes, except for its age, which is recorded with the answer.
fn record(edge: &Edge, peer: SocketAddr, reply: &io::Result<Reply>, received: u64) {
    let now = edge.now();
    let max_age_ms = edge.state().sources.bounds().max_age().0;
    match reply {
        Ok(Reply::Current { .. } | Reply::Replaced) => {}
        Ok(Reply::TooOld { age }) => {
            counters::source_dropped("too_old");
            info!(source = %peer, age_ms = age.0, max_age_ms, "rows: source is outdated");
        }
        Ok(Reply::Late) => {
            edge.state().sources.record_outdated(now, peer);
            count_dropped("late", received);
            info!(source = %peer, received, max_age_ms, "rows: source is too late");
        }
        Ok(Reply::Behind) => {
            edge.state().sources.record_outdated(now, peer);
            count_dropped("behind", received);
            info!(source = %peer, received, "rows: source lacks a change that another host reported");
        }
        Err(err) => {
            edge.state().sources.record_silent(now, peer);
            count_dropped("silent", received);
            info!(source = %peer, received, error = %err, "rows: source does not answer");
        }
    }
}

/// Counts a source that was left before its answer was complete.
fn count_dropped(reason: &'static str, received: u64) {
    counters::source_dropped(reason);
    if received > 0 {
        counters::row_transfer_given_up(reason);
    }
}

/// Switches the host's own reading of the store on and off.
pub(crate) async fn switch_reading(edge: Arc<Edge>) {
    loop {
        let sources_changed = edge.sources_changed.notified();
        let now = edge.now();
        let (reads_store, takeover_at, age) = {
            let sources = &edge.state().sources;
            let age = now - sources.confirmed_at();
            (sources.reads_store(now), sources.takeover_at(), age)
        };
        if edge.set_reads_store(reads_store) {
            match reads_store {
                true => {
                    counters::row_source("store");
                    info!(age_ms = age.0, "rows: read from the store");
                }
                false => {
                    counters::row_source("host");
                    edge.state().record_reading_ended();
                    edge.own_load_changed.notify_one();
                    info!(age_ms = age.0, "rows: taken from other hosts");
                }
            }
        }
        match reads_store {
            true => sources_changed.await,
            false => {
                let pause = (takeover_at - now).duration();
                let _ = tokio::time::timeout(pause, sources_changed).await;
            }
        }
    }
}

async fn ask(
    edge: &Edge,
    peer: SocketAddr,
    link: &mut Option<(SocketAddr, PeerLink)>,
    received: &Progress,
) -> io::Result<Reply> {
    let longest_wait = edge.state().sources.bounds().longest_wait();
    let asking = async {
        let (mut wait, open) = match link {
            Some((addr, open)) if *addr == peer => (longest_wait, open),
            // The first answer comes at once.
            _ => {
                let open = peers::connect(peer, received.clone()).await?;
                (Millis::ZERO, &mut link.insert((peer, open)).1)
            }
        };
        loop {
            match peers::query(edge, peer, open, wait).await? {
                QueryResult::Taken { age, changed } => return io::Result::Ok((age, changed)),
                QueryResult::OtherBase => wait = Millis::ZERO,
                QueryResult::Busy { pause } => {
                    counters::source_busy();
                    edge.state().sources.record_busy(edge.now());
                    // Hosts that were turned away together do not ask together again.
                    let pause = pause + Millis(fastrand::u64(..=pause.0));
                    tokio::time::sleep(pause.duration()).await;
                    wait = Millis::ZERO;
                }
            }
        }
    };
    let (age, changed) = tokio::select! {
        result = asking => result?,
        () = wait_until_replaced(edge, peer) => return Ok(Reply::Replaced),
        () = wait_until_late(edge, received) => return Ok(Reply::Late),
        () = wait_until_left_behind(edge, Table::Config, received, QUERY_TIMEOUT) => {
            return Ok(Reply::Behind);
        }
        () = wait_until_left_behind(edge, Table::Servers, received, QUERY_TIMEOUT) => {
            return Ok(Reply::Behind);
        }
    };
    let now = edge.now();
    let sources = &mut edge.state().sources;
    Ok(match sources.record_answer(now, peer, age) {
        true => Reply::Current { changed },
        false => Reply::TooOld { age },
    })
}

/// Completes when another source than this one is to be asked.
async fn wait_until_replaced(edge: &Edge, peer: SocketAddr) {
    loop {
        let sources_changed = edge.sources_changed.notified();
        if edge.state().sources.source(edge.now()) != Some(peer) {
            return;
        }
        sources_changed.await;
    }
}

/// Completes when this host's rows become too old and no answer is arriving.
async fn wait_until_late(edge: &Edge, received: &Progress) {
    wait_until_overdue(edge).await;
    received.stalled(QUERY_TIMEOUT).await;
}

/// Completes when this host's rows become too old. If they are already, it never does: the source
/// that is asked has the time of a query.
async fn wait_until_overdue(edge: &Edge) {
    if overdue_in(edge) == Millis::ZERO {
        return std::future::pending().await;
    }
    loop {
        match overdue_in(edge) {
            Millis::ZERO => return,
            left => tokio::time::sleep(left.duration()).await,
        }
    }
}

/// Time until this host's rows are too old.
fn overdue_in(edge: &Edge) -> Millis {
    let now = edge.now();
    let sources = &edge.state().sources;
    let last_current = sources.confirmed_at() + sources.bounds().max_age();
    last_current + Millis(1) - now
}
