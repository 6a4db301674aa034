//! Exchange of what hosts know about crashes of engines through the store.

use std::sync::Arc;

use bv_blame::{ExchangeStep, ExchangeView, Report, StoreExchange};
use bv_platform::{CrashRow, StoreError, Table};
use bv_types::{Era, Millis};
use tracing::debug;

use crate::counters;
use crate::edge::Edge;
use crate::follow::{log_left_out, log_unreadable_rows, table_name};

/// Interval at which the next call is decided.
const STEP_INTERVAL: Millis = Millis(200);

/// Writes this host's row and reads those of the other hosts where the hosts cannot hear each other,
/// and once at the start.
pub(crate) async fn exchange(edge: Arc<Edge>) {
    let mut exchange = StoreExchange::default();
    let mut written_era = Era(0);
    loop {
        let now = edge.now();
        let era = edge.state().known.era();
        if era != written_era {
            written_era = era;
            exchange.record_restoration();
        }
        let view = view(&edge);
        let result = match exchange.step(now, view) {
            ExchangeStep::Wait => {
                tokio::time::sleep(STEP_INTERVAL.duration()).await;
                continue;
            }
            ExchangeStep::Read => {
                let result = read(&edge).await;
                if result.is_ok() {
                    exchange.record_read(now);
                }
                result
            }
            ExchangeStep::Write => {
                let result = write(&edge).await;
                if result.is_ok() {
                    exchange.record_write(now, view.own_crashes);
                }
                result
            }
        };
        counters::store_call(table_name(Table::Crashes), result.is_ok());
        if let Err(err) = result {
            debug!(error = %err, "crash: exchange through the store failed");
            exchange.record_failure(edge.now());
        }
    }
}

fn view(edge: &Edge) -> ExchangeView {
    let now = edge.now();
    let state = edge.state();
    ExchangeView {
        missing_peers: state.fleet.missing_peers(),
        last_loss_at: state.crashes.last_loss_at(),
        own_crashes: state.crashes.own_crashes(),
        has_suspects: state.crashes.has_suspects(now),
    }
}

async fn read(edge: &Edge) -> Result<(), StoreError> {
    let rows = edge.store.read_all(Table::Crashes).await?;
    log_left_out(Table::Crashes, &rows);
    let now = edge.now();
    let mut state = edge.state();
    for row in &rows.rows {
        let Some(body) = row.value.as_ref() else {
            continue;
        };
        match CrashRow::decode(body) {
            Ok(written) => state
                .crashes
                .receive(now, &written.report_at(rows.store_time)),
            Err(err) => log_unreadable_rows(Table::Crashes, &[err]),
        }
    }
    drop(state);
    edge.update_blocks(now);
    Ok(())
}

async fn write(edge: &Edge) -> Result<(), StoreError> {
    let now = edge.now();
    let row = {
        let mut state = edge.state();
        let Some(written_at) = state.store_clock.store_time(now) else {
            return Ok(());
        };
        let mut report = state.crashes.report(now);
        let blocks = state.crashes.report_blocks(now);
        report.crashes.extend(blocks.crashes);
        CrashRow {
            written_at,
            report: Report {
                survivals: Vec::new(),
                ..report
            },
        }
    };
    let host = edge.settings.host.as_str();
    edge.store.write_crashes(host, &row).await
}
