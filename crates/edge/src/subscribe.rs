//! Taking over the store's rows from a reader, so that this host need not read the store itself.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bv_platform::Table;
use bv_roster::{Source, store_intervals};
use bv_types::Millis;
use tracing::info;

use crate::counters;
use crate::edge::Edge;
use crate::follow::wait_until_behind;
use crate::peers::{self, PeerLink};

/// Wait of a query at a reader. A reader that stops responding is noticed after it.
const QUERY_WAIT: Millis = Millis(1_000);
/// Interval at which a host that reads the store checks whether it should.
const SOURCE_CHECK: Millis = Millis(250);

/// How a query at a source ended.
enum Reply {
    Current {
        changed: bool,
    },
    /// The store has not confirmed the source's rows for too long.
    TooOld {
        age: Millis,
        max_age: Millis,
    },
    /// Another host reported a newer change.
    Behind,
}

/// Follows the source that [`bv_roster::SourceChoice`] names, and switches the host's own reading of
/// the store on and off.
pub(crate) async fn follow(edge: Arc<Edge>) {
    let mut link = None;
    loop {
        let source = edge.state().sources.current(edge.now());
        let Source::Host(peer) = source else {
            link = None;
            read_store(&edge, "no other host");
            tokio::time::sleep(SOURCE_CHECK.duration()).await;
            continue;
        };
        let reply = ask(&edge, peer, &mut link).await;
        let now = edge.now();
        counters::peer_call(matches!(reply, Ok(Reply::Current { .. })));
        let reason = match reply {
            Ok(Reply::Current { changed }) => {
                if edge.set_reads_store(false) {
                    counters::row_source("host");
                    info!(source = %peer, "rows: taken from another host");
                }
                if changed {
                    // Rows that are written together are passed on together.
                    tokio::time::sleep(store_intervals::CHANGE_PAUSE.duration()).await;
                }
                continue;
            }
            Ok(Reply::TooOld { age, max_age }) => {
                counters::source_dropped("too_old");
                info!(
                    source = %peer,
                    age_ms = age.0,
                    max_age_ms = max_age.0,
                    "rows: source is outdated"
                );
                "the source is outdated".to_owned()
            }
            Ok(Reply::Behind) => {
                edge.state().sources.record_outdated(now, peer);
                counters::source_dropped("behind");
                info!(source = %peer, "rows: source lacks a change that another host reported");
                "the source lacks a change".to_owned()
            }
            Err(err) => {
                link = None;
                edge.state().sources.record_silent(now, peer);
                counters::source_dropped("silent");
                info!(source = %peer, error = %err, "rows: source does not answer");
                format!("the source does not answer: {err}")
            }
        };
        let reads_store = edge.state().sources.reads_store(now);
        if reads_store {
            read_store(&edge, &reason);
        }
    }
}

/// Makes the host read the store itself until a source answers.
fn read_store(edge: &Edge, reason: &str) {
    if edge.set_reads_store(true) {
        counters::row_source("store");
        info!(reason, "rows: read from the store");
    }
}

async fn ask(
    edge: &Edge,
    peer: SocketAddr,
    link: &mut Option<(SocketAddr, PeerLink)>,
) -> io::Result<Reply> {
    let (_, open) = match link {
        Some(open) if open.0 == peer => open,
        _ => link.insert((peer, peers::connect(peer).await?)),
    };
    // The first answer comes at once, so that a host that reads the store stops doing so.
    let wait = match edge.reads_store() {
        true => Millis::ZERO,
        false => QUERY_WAIT,
    };
    let result = tokio::select! {
        result = peers::query(edge, peer, open, wait) => result?,
        () = wait_until_behind(edge, Table::Config) => return Ok(drop_link(link)),
        () = wait_until_behind(edge, Table::Servers) => return Ok(drop_link(link)),
    };
    let now = edge.now();
    let sources = &mut edge.state().sources;
    Ok(match sources.record_answer(now, peer, result.age) {
        true => Reply::Current {
            changed: result.changed,
        },
        false => Reply::TooOld {
            age: result.age,
            max_age: sources.max_age(),
        },
    })
}

/// Closes a connection on which an answer may still arrive.
fn drop_link(link: &mut Option<(SocketAddr, PeerLink)>) -> Reply {
    *link = None;
    Reply::Behind
}
