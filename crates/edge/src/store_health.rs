//! Health of the calls that follow the tables of the store.

use bv_platform::{StoreError, Table};
use bv_roster::{Rejected, store_intervals};
use bv_types::Millis;
use tracing::{info, warn};

use crate::answer_log::{AnswerLog, log_rejected};
use crate::counters;
use crate::edge::Edge;
use crate::follow::{record_failing, table_name};

/// Minimum time without an answer of the store that counts as an outage. Rows may have expired
/// during it, so their servers get a grace period when the store answers again.
const OUTAGE_THRESHOLD: Millis = Millis(1_500);

/// Health of the store calls for one table.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    table: Table,
    failing_since: Option<Millis>,
    /// Failed calls since the last answer.
    failures: u32,
    last_answer: Millis,
}

impl StoreHealth {
    pub fn new(table: Table, now: Millis) -> Self {
        StoreHealth {
            table,
            failing_since: None,
            failures: 0,
            last_answer: now,
        }
    }

    fn name(&self) -> &'static str {
        table_name(self.table)
    }

    /// Waits until this host reads the store itself. Returns true if it did not before; the time
    /// without calls is no outage then.
    pub async fn wait_for_turn(&mut self, edge: &Edge) -> bool {
        if edge.reads_store() {
            return false;
        }
        edge.state().set_store_failing(self.name(), false);
        edge.wait_for_reads_store(true).await;
        *self = StoreHealth::new(self.table, edge.now());
        true
    }

    /// Whether an answer now ends an outage.
    pub fn is_outage(&self, now: Millis) -> bool {
        self.failing_since.is_some() && now - self.last_answer >= OUTAGE_THRESHOLD
    }

    /// Records an answer.
    pub fn record_answer(&mut self, edge: &Edge, now: Millis) {
        edge.state().set_store_failing(self.name(), false);
        counters::store_call(self.name(), true);
        self.failures = 0;
        if let Some(since) = self.failing_since.take() {
            let down_ms = (now - since).0;
            info!(table = self.name(), down_ms, "store: answers again");
        }
        self.last_answer = now;
    }

    /// Records an answer that does not continue the rows already known, and pauses.
    pub async fn record_rejected_and_pause(
        &mut self,
        edge: &Edge,
        answer: &AnswerLog,
        reason: Rejected,
    ) {
        counters::store_call(self.name(), false);
        log_rejected(answer, self.table, reason);
        self.pause_after_failure(edge).await;
    }

    /// Records a failed call, and pauses.
    pub async fn record_failure_and_pause(&mut self, edge: &Edge, err: &StoreError) {
        let now = edge.now();
        record_failing(edge, self.table);
        counters::store_call(self.name(), false);
        if self.failing_since.is_none() {
            self.failing_since = Some(now);
            warn!(table = self.name(), error = %err, "store: call failed");
        }
        self.pause_after_failure(edge).await;
    }

    /// Pauses; a random extra of up to the same time keeps hosts from calling at once.
    async fn pause_after_failure(&mut self, edge: &Edge) {
        self.failures = self.failures.saturating_add(1);
        let is_reader = edge.state().sources.is_reader();
        let pause = store_intervals::failure_pause(is_reader, self.failures);
        let pause = Millis(pause.0 + fastrand::u64(..=pause.0));
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            () = edge.wait_for_reads_store(false) => {}
        }
    }
}
