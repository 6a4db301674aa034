//! Tasks that follow the tables of the store: configuration, backend servers and hosts.

use std::sync::Arc;

use bv_link::Progress;
use bv_platform::{ANSWER_TIMEOUT, DecodeError, HostRow, Rows, StoreError, Table};
use bv_roster::{Answer, Extent, FeedAnswer, Rejected, TableAnswer, store_intervals};
use bv_types::{Era, Millis, Version};
use tracing::{debug, info, warn};

use crate::answer_log::{AnswerLog, Origin, log_config, log_rejected, log_servers};
use crate::counters;
use crate::edge::Edge;
use crate::hosts::{Hosts, recent_count};
use crate::peers::log_transfer;
use crate::store_health::StoreHealth;

/// Time for which other hosts may have a newer version before the call that waits for changes is
/// made again, unless its answer is arriving: its connection may be dead.
const PEER_VERSION_GRACE: Millis = Millis(300);
/// Pause between two reads of the configuration before the operator wrote the first one.
const NO_CONFIG_PAUSE: Millis = Millis(400);
/// Time after the start of the process in which changes of the servers are read more rarely. Servers
/// that start together register one after the other, and the list of hosts does not yet say whether
/// this host reads the store itself.
const SETTLE_TIME: Millis = Millis(1_600);
/// Pause after changes of the servers in that time.
const SETTLING_PAUSE: Millis = Millis(500);
/// Time without an answer of the store after which other hosts are queried.
const PEER_QUERY_DELAY: Millis = Millis(500);
/// Time between two queries to other hosts.
pub(crate) const PEER_QUERY_INTERVAL: Millis = Millis(300);
/// Interval at which a host that does not read the store checks whether its own row is due.
const ROW_CHECK_INTERVAL: Millis = Millis(2_000);
/// First intervals between two exchanges of host rows; short, so that hosts that start together
/// find each other within the first seconds.
const FIRST_HOST_INTERVALS: [Millis; 3] = [Millis(1_200), Millis(2_800), Millis(4_000)];

/// What a call for the rows of a table brought.
struct Reading {
    answer: Answer,
    /// When the store had no newer version, by this host's clock.
    confirmed_at: Millis,
}

/// Reads the whole table, or waits for changes after a version. Completes with `None` when another
/// host provides the rows meanwhile.
async fn read(
    edge: &Edge,
    table: Table,
    after: Option<Version>,
) -> Option<Result<Reading, StoreError>> {
    let reading = async {
        match after {
            Some(version) => wait_for_changes(edge, table, version).await,
            None => {
                let began = edge.now();
                let rows = edge.store.read_all(table).await?;
                log_left_out(table, &rows);
                let mut state = edge.state();
                state.store_clock.observe(edge.now(), rows.store_time);
                state.known.cap_reported(table, (rows.era, rows.version));
                Ok(Reading {
                    answer: Answer::Read(TableAnswer {
                        era: rows.era,
                        extent: Extent::Whole,
                        rows: rows.rows,
                        has_gap: true,
                        up_to: rows.version,
                        newest_stated: rows.version,
                        confirmed_at: state.store_clock.store_time(began).unwrap_or_default(),
                    }),
                    confirmed_at: began,
                })
            }
        }
    };
    tokio::select! {
        result = reading => Some(result),
        () = edge.wait_for_reads_store(false) => None,
    }
}

/// Waits for changes of a table. The call is made again when other hosts have had a newer version
/// for [`PEER_VERSION_GRACE`].
async fn wait_for_changes(
    edge: &Edge,
    table: Table,
    after: Version,
) -> Result<Reading, StoreError> {
    loop {
        let wait = edge.change_wait(table);
        let all_read = store_intervals::all_read(edge.host_count());
        let began = edge.now();
        let progress = Progress::default();
        tokio::select! {
            result = edge.store.changes(table, after, wait, &progress) => {
                log_transfer("store", &progress);
                let page = result?;
                let (rows, now) = (page.rows, edge.now());
                log_left_out(table, &rows);
                if rows.rows.is_empty() && !rows.unreadable.is_empty() {
                    // The feed returns such a row at once until the position has passed it.
                    tokio::time::sleep(store_intervals::CHANGE_PAUSE.duration()).await;
                }
                let mut state = edge.state();
                state
                    .known
                    .cap_reported(table, (rows.era, rows.version));
                let confirmed_at = state.store_clock.answered_at(began, now, rows.store_time);
                let answer = Answer::Feed(FeedAnswer {
                    era: rows.era,
                    after,
                    rows: rows.rows,
                    newest_foreign: rows.foreign.iter().copied().max(),
                    version: rows.version,
                    truncated: page.truncated,
                    store_time: rows.store_time,
                });
                return Ok(Reading { answer, confirmed_at });
            }
            () = wait_until_left_behind(edge, table, &progress, ANSWER_TIMEOUT) => {}
            // The wait was chosen before the other hosts were known, and is too long for a reader.
            () = wait_until_reader(edge), if all_read => continue,
        }
        counters::store_call(table_name(table), false);
        info!(
            table = table_name(table),
            received = progress.bytes(),
            "store: another host knows a newer change, calling again"
        );
        record_failing(edge, table);
    }
}

/// Records that a call for a table failed, and reports it to the other hosts if it was not failing.
pub(crate) fn record_failing(edge: &Edge, table: Table) {
    let now = edge.now();
    let mut state = edge.state();
    state.set_store_failing(table_name(table), true);
    let was_reporting = state.sources.own_report(now).is_some();
    state.record_store_failure(table);
    let is_reporting = state.sources.own_report(now).is_some();
    drop(state);
    if was_reporting && !is_reporting {
        info!(
            table = table_name(table),
            "rows: no longer read from the store for other hosts"
        );
        edge.notify_sources_changed();
    }
}

/// Records that the store answered a call for a table, and reports it to the other hosts if they
/// do not know yet that this host reads the store.
fn record_answered(edge: &Edge, table: Table, confirmed_at: Millis) {
    let now = edge.now();
    let mut state = edge.state();
    // The answer may hold rows of an earlier moment than it states.
    let age = state.copy_age(now, table).unwrap_or(Millis::MAX);
    let confirmed_at = confirmed_at.min(now - age);
    let was_reporting = state.sources.own_report(now).is_some();
    state.record_store_answer(now, table, confirmed_at);
    let is_reporting = state.sources.own_report(now).is_some();
    drop(state);
    edge.rows_changed.notify_waiters();
    if is_reporting && !was_reporting {
        info!("rows: read from the store for other hosts");
        edge.notify_sources_changed();
    }
}

pub(crate) fn table_name(table: Table) -> &'static str {
    match table {
        Table::Config => "config",
        Table::Servers => "servers",
        Table::Hosts => "hosts",
        Table::Terms => "terms",
        Table::Crashes => "crashes",
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

/// Completes when other hosts have had a newer version of a table for [`PEER_VERSION_GRACE`] and the
/// answer with it is not arriving here, or has made no progress for `stall`.
pub(crate) async fn wait_until_left_behind(
    edge: &Edge,
    table: Table,
    progress: &Progress,
    stall: Millis,
) {
    wait_until_behind(edge, table).await;
    progress.stalled(stall).await;
}

/// Completes when this host reads the store for others.
async fn wait_until_reader(edge: &Edge) {
    loop {
        let sources_changed = edge.sources_changed.notified();
        let all_read = store_intervals::all_read(edge.host_count());
        if !all_read && edge.state().sources.is_reader() {
            return;
        }
        sources_changed.await;
    }
}

/// Follows the configuration.
///
/// The whole table is read at the start, when the store has lost its history, and after each failed
/// call. A store that loses its history closes the connections of waiting calls, and later calls
/// for changes do not return what changed in between. The other tables are followed the same way.
pub(crate) async fn config(edge: Arc<Edge>) {
    let mut health = StoreHealth::new(Table::Config, edge.now());
    let mut reread = true;
    loop {
        reread |= health.wait_for_turn(&edge).await;
        let after = edge.state().known.config.position().filter(|_| !reread);
        let Some(result) = read(&edge, Table::Config, after).await else {
            continue;
        };
        match result {
            Ok(reading) => {
                let age = edge.now() - reading.confirmed_at;
                let log = AnswerLog::new(Origin::Store, &reading.answer, age);
                let is_truncated = matches!(&reading.answer, Answer::Feed(feed) if feed.truncated);
                let taken = edge.state().take_config(edge.now(), reading.answer, &[]);
                let taken = match taken {
                    Ok(taken) => taken,
                    Err(Rejected::LaterEra) => {
                        log_rejected(&log, Table::Config, Rejected::LaterEra);
                        reread = true;
                        continue;
                    }
                    Err(reason) => {
                        health.record_rejected_and_pause(&edge, &log, reason).await;
                        continue;
                    }
                };
                health.record_answer(&edge, edge.now());
                // The feed returns each version whole; only the newest is needed.
                reread = is_truncated;
                record_answered(&edge, Table::Config, reading.confirmed_at);
                log_config(&edge, &taken, &log);
                if edge.state().in_force.table().is_none() {
                    tokio::time::sleep(NO_CONFIG_PAUSE.duration()).await;
                }
            }
            Err(err @ (StoreError::HistoryGone | StoreError::EraChanged { .. })) => {
                info!(error = %err, "configuration: the store has lost its history, reading the whole table");
                reread = true;
            }
            Err(err) => {
                health.record_failure_and_pause(&edge, &err).await;
                reread = true;
            }
        }
    }
}

/// Counts and logs rows of an answer of the store that are not used.
pub(crate) fn log_left_out(table: Table, rows: &Rows) {
    log_unreadable_rows(table, &rows.unreadable);
    if !rows.foreign.is_empty() {
        let count = rows.foreign.len();
        counters::foreign_rows(table_name(table), count);
        debug!(
            table = table_name(table),
            count, "rows: rows of other parts ignored"
        );
    }
}

/// Counts and logs rows that cannot be read.
pub(crate) fn log_unreadable_rows(table: Table, errors: &[DecodeError]) {
    let table = table_name(table);
    for err in errors {
        counters::unreadable_row(table);
        warn!(table, error = %err, "rows: unreadable row ignored");
    }
}

/// Follows the table of backend servers.
pub(crate) async fn servers(edge: Arc<Edge>) {
    let mut health = StoreHealth::new(Table::Servers, edge.now());
    let mut reread = true;
    loop {
        reread |= health.wait_for_turn(&edge).await;
        let after = edge.state().known.servers.position().filter(|_| !reread);
        let Some(result) = read(&edge, Table::Servers, after).await else {
            continue;
        };
        let now = edge.now();
        let reading = match result {
            Ok(reading) => reading,
            Err(err @ (StoreError::HistoryGone | StoreError::EraChanged { .. })) => {
                info!(error = %err, "servers: the store has lost its history, reading the whole table");
                reread = true;
                continue;
            }
            Err(err) => {
                health.record_failure_and_pause(&edge, &err).await;
                reread = true;
                continue;
            }
        };
        let age = now - reading.confirmed_at;
        let log = AnswerLog::new(Origin::Store, &reading.answer, age);
        let is_whole = log.is_whole();
        let ends_outage = health.is_outage(now);
        let taken = edge.state().take_servers(now, reading.answer, ends_outage);
        let taken = match taken {
            Ok(taken) => taken,
            Err(Rejected::LaterEra) => {
                log_rejected(&log, Table::Servers, Rejected::LaterEra);
                reread = true;
                continue;
            }
            Err(reason) => {
                health.record_rejected_and_pause(&edge, &log, reason).await;
                continue;
            }
        };
        health.record_answer(&edge, now);
        reread = false;
        record_answered(&edge, Table::Servers, reading.confirmed_at);
        log_servers(&edge, &taken, &log);
        let pause = match now < edge.started_at + SETTLE_TIME {
            true => SETTLING_PAUSE,
            false => store_intervals::CHANGE_PAUSE,
        };
        if taken.changed > 0 && (!is_whole || pause == SETTLING_PAUSE) {
            tokio::time::sleep(pause.duration()).await;
        }
    }
}

/// Writes this host's row and, unless another host provides them, reads those of the other hosts.
pub(crate) async fn hosts(edge: Arc<Edge>) {
    let mut health = StoreHealth::new(Table::Hosts, edge.now());
    let mut intervals = FIRST_HOST_INTERVALS.into_iter();
    let mut row_due = Millis::ZERO;
    let mut row_era = Era(0);
    loop {
        let now = edge.now();
        let store_time = edge.state().store_clock.store_time(now);
        let era = edge.state().known.era();
        if era != row_era {
            // The store may have lost the row, or have an older one.
            row_due = Millis::ZERO;
        }
        let result = match store_time {
            Some(_) if !edge.reads_store() && now < row_due => {
                let pause = ROW_CHECK_INTERVAL.min(row_due - now);
                tokio::time::sleep(pause.duration()).await;
                continue;
            }
            Some(store_time) if !edge.reads_store() => write_own_row(&edge, store_time).await,
            _ => exchange_hosts(&edge).await,
        };
        match result {
            Ok(()) => {
                health.record_answer(&edge, edge.now());
                row_era = era;
                let usual = store_intervals::row_interval(edge.host_count());
                // Hosts that start together do not write together.
                let usual = Millis(usual.0 - fastrand::u64(..=usual.0 / 5));
                row_due = edge.now() + usual;
                let interval = intervals.next().unwrap_or(usual);
                sleep_within_era(&edge, era, interval).await;
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

/// Sleeps, but ends soon after this host learns of a later era of the store.
async fn sleep_within_era(edge: &Edge, era: Era, time: Millis) {
    let until = edge.now() + time;
    loop {
        let left = until - edge.now();
        if left == Millis::ZERO || edge.state().known.era() != era {
            return;
        }
        // Hosts that learn of an era together do not write together.
        let step = Millis(fastrand::u64(
            ROW_CHECK_INTERVAL.0 / 4..=ROW_CHECK_INTERVAL.0,
        ));
        tokio::time::sleep(left.min(step).duration()).await;
    }
}

async fn write_own_row(edge: &Edge, store_time: Millis) -> Result<(), StoreError> {
    let row = HostRow {
        peer_addr: edge.settings.peer_addr(),
        zone: Some(edge.settings.zone.clone()),
        written_at: store_time,
    };
    edge.store
        .write_host(edge.settings.host.as_str(), &row)
        .await
}

async fn exchange_hosts(edge: &Edge) -> Result<(), StoreError> {
    let own = edge.own_entry();
    let before = edge.store.read_all(Table::Hosts).await?;
    // The first rounds only look for other hosts; the row is written again after half of the usual
    // interval.
    let fresh_until = store_intervals::row_interval(recent_count(&before)).0 / 2;
    let written = before
        .get(own.id.as_str())
        .and_then(|row| row.value.as_ref());
    let is_fresh = written
        .and_then(|body| HostRow::decode(body).ok())
        .is_some_and(|known| {
            let age = before.store_time.0.abs_diff(known.written_at.0);
            known.peer_addr == own.addr && age < fresh_until
        });
    if !is_fresh {
        write_own_row(edge, before.store_time).await?;
    }
    log_left_out(Table::Hosts, &before);
    let now = edge.now();
    let mut state = edge.state();
    state.store_clock.observe(now, before.store_time);
    let hosts = Hosts::read(&own, &before);
    let hosts = state.complete_hosts(now, &own, (before.era, hosts));
    state.set_hosts(now, &own, hosts);
    drop(state);
    edge.rows_changed.notify_waiters();
    edge.sources_changed.notify_waiters();
    Ok(())
}

/// Queries other hosts, one after the other, for rows while the store does not answer a host that
/// reads it.
pub(crate) async fn query_peers(edge: Arc<Edge>) {
    let mut round = fastrand::usize(..1_000);
    loop {
        tokio::time::sleep(PEER_QUERY_INTERVAL.duration()).await;
        if !edge.reads_store() {
            continue;
        }
        let now = edge.now();
        let peer = {
            let state = edge.state();
            let hosts = state.hosts.count().unwrap_or(1);
            let wait = store_intervals::change_wait(hosts, state.sources.bounds());
            let limit = wait + PEER_QUERY_DELAY;
            let is_current = state
                .table_age(now, Table::Config)
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
