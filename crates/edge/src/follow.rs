//! Tasks that follow the tables of the store: configuration, backend servers and hosts.

use std::sync::Arc;

use bv_platform::{HostRow, Rows, StoreError, Table};
use bv_roster::store_intervals;
use bv_route::ApplyResult;
use bv_types::{Millis, Version};
use tracing::{info, warn};

use crate::counters;
use crate::edge::Edge;
use crate::hosts::Hosts;

/// Time for which other hosts may have a newer version before the call that waits for changes is
/// made again: its connection may be dead.
const PEER_VERSION_GRACE: Millis = Millis(300);
/// Minimum pause after a failed call. A random extra of up to the same time keeps hosts from
/// calling at once.
const FAILURE_PAUSE: Millis = Millis(120);
/// Time without an answer of the store after which other hosts are queried.
const PEER_QUERY_DELAY: Millis = Millis(500);
/// Time between two queries to other hosts.
const PEER_QUERY_INTERVAL: Millis = Millis(300);
/// Minimum time without an answer of the store that counts as an outage. Rows may have expired
/// during it, so their servers get a grace period when the store answers again.
const OUTAGE_THRESHOLD: Millis = Millis(1_500);
/// First intervals between two exchanges of host rows; short, so that hosts that start together
/// find each other within the first seconds.
const FIRST_HOST_INTERVALS: [Millis; 3] = [Millis(1_500), Millis(2_500), Millis(4_000)];

/// Health of the store calls for one table.
#[derive(Debug)]
struct StoreHealth {
    table: &'static str,
    failing_since: Option<Millis>,
    last_answer: Millis,
}

impl StoreHealth {
    fn new(table: &'static str, now: Millis) -> Self {
        StoreHealth {
            table,
            failing_since: None,
            last_answer: now,
        }
    }

    /// Records an answer; returns true if it ends an outage.
    fn record_answer(&mut self, edge: &Edge, now: Millis) -> bool {
        edge.state().set_store_failing(self.table, false);
        counters::store_call(self.table, true);
        let was_failing = self.failing_since.take();
        if let Some(since) = was_failing {
            let down_ms = (now - since).0;
            info!(table = self.table, down_ms, "store: answers again");
        }
        let since_last_answer = now - self.last_answer;
        self.last_answer = now;
        was_failing.is_some() && since_last_answer >= OUTAGE_THRESHOLD
    }

    /// Records an answer whose rows are older than those already known, and pauses.
    async fn record_outdated_and_pause(&mut self, rows: &Rows) {
        counters::store_call(self.table, false);
        warn!(
            table = self.table,
            version = rows.version.0,
            "store: rows are outdated"
        );
        pause_after_failure().await;
    }

    /// Records a failed call, and pauses.
    async fn record_failure_and_pause(&mut self, edge: &Edge, err: &StoreError) {
        let now = edge.now();
        edge.state().set_store_failing(self.table, true);
        counters::store_call(self.table, false);
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            warn!(table = self.table, error = %err, "store: call failed");
        }
        pause_after_failure().await;
    }
}

async fn pause_after_failure() {
    let pause = FAILURE_PAUSE.0 + fastrand::u64(..=FAILURE_PAUSE.0);
    tokio::time::sleep(Millis(pause).duration()).await;
}

/// Waits for changes of a table. The call is made again when other hosts have had a newer version
/// for [`PEER_VERSION_GRACE`].
async fn wait_for_changes(edge: &Edge, table: Table, after: Version) -> Result<Rows, StoreError> {
    loop {
        let wait = store_intervals::change_wait(edge.host_count());
        tokio::select! {
            result = edge.store.changes(table, after, wait) => return result,
            () = wait_until_behind(edge, table) => {}
        }
        counters::store_call(table_name(table), false);
        info!(
            table = table_name(table),
            "store: another host knows a newer change, calling again"
        );
        edge.state().set_store_failing(table_name(table), true);
    }
}

fn table_name(table: Table) -> &'static str {
    match table {
        Table::Config => "config",
        Table::Servers => "servers",
        Table::Hosts => "hosts",
        Table::Terms => "terms",
    }
}

/// Completes when other hosts have had a newer version of a table for [`PEER_VERSION_GRACE`].
async fn wait_until_behind(edge: &Edge, table: Table) {
    loop {
        let reported = edge.newer_version_reported.notified();
        if edge.state().known.is_behind(table) {
            tokio::time::sleep(PEER_VERSION_GRACE.duration()).await;
            if edge.state().known.is_behind(table) {
                return;
            }
        } else {
            reported.await;
        }
    }
}

/// Whether rows are older than the version already known.
fn is_outdated(known: Option<Version>, rows: &Rows) -> bool {
    known.is_some_and(|known| rows.version < known)
}

/// Follows the configuration.
///
/// The whole table is read at the start, when the store has lost its history, and after each failed
/// call. A store that loses its history closes the connections of waiting calls, and later calls
/// for changes do not return what changed in between. The other tables are followed the same way.
pub(crate) async fn config(edge: Arc<Edge>) {
    let mut health = StoreHealth::new("config", edge.now());
    let mut reread = true;
    loop {
        let after = edge.state().known.config_read_up_to.filter(|_| !reread);
        let began = edge.now();
        let result = match after {
            Some(version) => wait_for_changes(&edge, Table::Config, version).await,
            None => edge.store.read_all(Table::Config).await,
        };
        let now = edge.now();
        match result {
            Ok(rows) if is_outdated(edge.state().known.config_read_up_to, &rows) => {
                health.record_outdated_and_pause(&rows).await;
            }
            Ok(rows) => {
                health.record_answer(&edge, now);
                reread = false;
                // The store had no newer version when it answered, so the time at which the call
                // began is a safe confirmation time.
                let applied = edge.state().apply_config(began, &rows);
                match applied {
                    Ok(result) => log_applied_config(&edge, result, "store"),
                    Err(err) => {
                        counters::unreadable_row("config");
                        warn!(error = %err, "configuration: unreadable row ignored");
                    }
                }
                if edge.state().in_force.table().is_none() {
                    tokio::time::sleep(FAILURE_PAUSE.duration()).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                info!("configuration: the store has lost its history, reading the whole table");
                reread = true;
            }
            Err(err) => {
                health.record_failure_and_pause(&edge, &err).await;
                reread = true;
            }
        }
    }
}

/// Logs a configuration that came into force.
pub(crate) fn log_applied_config(edge: &Edge, result: ApplyResult, source: &'static str) {
    if result != ApplyResult::Applied {
        return;
    }
    let state = edge.state();
    if let Some(table) = state.in_force.table() {
        counters::config_version(table.version().0);
        info!(
            version = table.version().0,
            routes = table.len(),
            source,
            "configuration: in force"
        );
    }
}

/// Follows the table of backend servers.
pub(crate) async fn servers(edge: Arc<Edge>) {
    let mut health = StoreHealth::new("servers", edge.now());
    let mut reread = true;
    loop {
        let after = edge.state().known.servers_read_up_to.filter(|_| !reread);
        let result = match after {
            Some(version) => wait_for_changes(&edge, Table::Servers, version).await,
            None => edge.store.read_all(Table::Servers).await,
        };
        let now = edge.now();
        let rows = match result {
            Ok(rows) => rows,
            Err(StoreError::HistoryGone) => {
                info!("servers: the store has lost its history, reading the whole table");
                reread = true;
                continue;
            }
            Err(err) => {
                health.record_failure_and_pause(&edge, &err).await;
                reread = true;
                continue;
            }
        };
        if is_outdated(edge.state().known.servers_read_up_to, &rows) {
            health.record_outdated_and_pause(&rows).await;
            continue;
        }
        if health.record_answer(&edge, now) {
            edge.state().roster.store_recovered(now);
        }
        let mut errors = Vec::new();
        {
            let mut state = edge.state();
            if after.is_none() {
                errors = state.replace_servers(now, &rows);
                reread = false;
            } else {
                for row in &rows.rows {
                    match state.change_server(now, row) {
                        Ok(bv_roster::RowEffect::Unchanged | bv_roster::RowEffect::Stale) => {}
                        Ok(outcome) => info!(
                            server = %row.key,
                            version = row.version.0,
                            outcome = ?outcome,
                            "servers: changed"
                        ),
                        Err(err) => errors.push(err),
                    }
                }
                state.known.servers_read_up_to = Some(rows.version);
                state.forget(now);
            }
            counters::servers(state.roster.usable_count(now));
        }
        for err in errors {
            counters::unreadable_row("servers");
            warn!(error = %err, "servers: unreadable row ignored");
        }
        if after.is_some() && !rows.rows.is_empty() {
            let pause = store_intervals::change_pause(edge.host_count());
            tokio::time::sleep(pause.duration()).await;
        }
    }
}

/// Writes this host's row and reads those of the other hosts.
pub(crate) async fn hosts(edge: Arc<Edge>, peer_addr: std::net::SocketAddr) {
    let mut health = StoreHealth::new("hosts", edge.now());
    let mut intervals = FIRST_HOST_INTERVALS.into_iter();
    loop {
        match exchange_hosts(&edge, peer_addr).await {
            Ok(()) => {
                health.record_answer(&edge, edge.now());
                let usual = store_intervals::row_interval(edge.host_count());
                let interval = intervals.next().unwrap_or(usual);
                tokio::time::sleep(interval.duration()).await;
            }
            Err(err) => {
                health.record_failure_and_pause(&edge, &err).await;
                // Hosts change rarely, so a failing store is called less often for them than for
                // the other tables.
                tokio::time::sleep(PEER_QUERY_DELAY.duration()).await;
            }
        }
    }
}

async fn exchange_hosts(edge: &Edge, peer_addr: std::net::SocketAddr) -> Result<(), StoreError> {
    let own = &edge.settings.host;
    let before = edge.store.read_all(Table::Hosts).await?;
    let row = HostRow {
        peer_addr,
        written_at: before.store_time,
    };
    // The first rounds only look for other hosts; the row is written again after half of the usual
    // interval.
    let fresh_until = store_intervals::row_interval(before.rows.len()).0 / 2;
    let written = before.get(own.as_str()).and_then(|row| row.value.as_ref());
    let is_fresh = written
        .and_then(|body| HostRow::decode(body).ok())
        .is_some_and(|known| {
            known.peer_addr == peer_addr && (before.store_time - known.written_at).0 < fresh_until
        });
    if !is_fresh {
        edge.store.write_host(own.as_str(), &row).await?;
    }
    let hosts = Hosts::read(own, &before);
    let mut state = edge.state();
    if hosts.count() != state.hosts.count() {
        info!(count = hosts.count(), "hosts: changed");
    }
    state.fleet.expect_peers(hosts.others().len());
    state.hosts = hosts;
    Ok(())
}

/// Queries other hosts for rows while the store does not answer this host.
pub(crate) async fn query_peers(edge: Arc<Edge>) {
    let mut round = fastrand::usize(..1_000);
    loop {
        tokio::time::sleep(PEER_QUERY_INTERVAL.duration()).await;
        let now = edge.now();
        let peer = {
            let state = edge.state();
            let hosts = state.hosts.count().unwrap_or(1);
            let limit = store_intervals::change_wait(hosts) + PEER_QUERY_DELAY;
            let is_current = state
                .in_force
                .time_since_confirmed(now)
                .is_some_and(|age| age < limit);
            let is_failing = state.is_store_failing();
            if is_current && !is_failing {
                continue;
            }
            round += 1;
            state.hosts.peer(round)
        };
        let Some(peer) = peer else { continue };
        match crate::peers::fetch(&edge, peer).await {
            Ok(()) => counters::peer_call(true),
            Err(err) => {
                counters::peer_call(false);
                tracing::debug!(peer = %peer, error = %err, "peer: query failed");
            }
        }
    }
}
