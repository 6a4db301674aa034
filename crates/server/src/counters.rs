//! Metrics of the entry host.

use bv_types::{Refusal, RetryReason};
use metrics::{counter, describe_counter, describe_gauge, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const REFUSED: &str = "burdockvale_refused_total";
const RETRIES: &str = "burdockvale_retries_total";
const OUTCOME_UNKNOWN: &str = "burdockvale_outcome_unknown_total";
const ANSWERS_DROPPED: &str = "burdockvale_answers_dropped_total";
const TRANSACTIONS: &str = "burdockvale_transactions_total";
const TRANSACTION_ROWS: &str = "burdockvale_transaction_rows_total";
const MEMBERS: &str = "burdockvale_members";
const MEMBER_EVENTS: &str = "burdockvale_member_events_total";
const DATAGRAMS_DROPPED: &str = "burdockvale_datagrams_dropped_total";
// The name and the help text of this metric are stable and keep earlier terms.
const LOCAL_PLACEMENTS: &str = "burdockvale_blind_placement_total";
// Counts lost connections, not confirmed crashes; the metric's name is stable.
const ENGINE_CRASHES: &str = "burdockvale_engine_crashes_total";
const CONFIG_VERSION: &str = "burdockvale_config_version";
const CONFIG_STALE: &str = "burdockvale_config_stale";
const LEASE_CHANGES: &str = "burdockvale_lease_changes_total";
const ORDERS: &str = "burdockvale_orders_total";
const CONFIG_REPAIRS: &str = "burdockvale_config_repairs_total";
const CONFIG_DIVERGED: &str = "burdockvale_config_diverged_total";
const OPERATOR_REFUSED: &str = "burdockvale_operator_refused_total";
const CONFIG_REFUSED: &str = "burdockvale_config_refused_total";

/// Installs the recorder, with every refusal and retry reason at 0.
pub(crate) fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A second host in the same process shares the recorder that is already installed.
    let _ = metrics::set_global_recorder(recorder);
    describe_counter!(REFUSED, "Requests refused as not run, by reason.");
    describe_counter!(RETRIES, "Attempts and messages repeated, by reason.");
    describe_counter!(
        OUTCOME_UNKNOWN,
        "Requests whose outcome is unknown, by reason."
    );
    describe_counter!(
        ANSWERS_DROPPED,
        "Answers dropped as late or crossed, by reason."
    );
    describe_gauge!(CONFIG_VERSION, "Version of the configuration in force.");
    describe_gauge!(CONFIG_STALE, "1 while the configuration is not confirmed.");
    describe_counter!(
        CONFIG_REPAIRS,
        "Older copies in the store that were written over."
    );
    describe_counter!(
        CONFIG_DIVERGED,
        "Documents with equal version and different content."
    );
    describe_counter!(CONFIG_REFUSED, "Configuration rows that cannot be read.");
    describe_counter!(
        OPERATOR_REFUSED,
        "Operators' requests without the right key."
    );
    for name in [
        CONFIG_REPAIRS,
        CONFIG_DIVERGED,
        CONFIG_REFUSED,
        OPERATOR_REFUSED,
    ] {
        counter!(name).absolute(0);
    }
    config_stale(true);
    describe_counter!(TRANSACTIONS, "Transactions sent by the ledger.");
    describe_counter!(TRANSACTION_ROWS, "Rows in the ledger's transactions.");
    describe_counter!(LOCAL_PLACEMENTS, "Model calls placed without a home.");
    describe_counter!(
        ENGINE_CRASHES,
        "Connections lost to runners with attempts in flight."
    );
    counter!(LOCAL_PLACEMENTS).absolute(0);
    counter!(ENGINE_CRASHES).absolute(0);
    for reason in Refusal::ALL {
        counter!(REFUSED, "reason" => reason.code()).absolute(0);
    }
    for reason in RetryReason::ALL {
        counter!(RETRIES, "reason" => reason.code()).absolute(0);
    }
    handle
}

pub(crate) fn refused(reason: Refusal) {
    counter!(REFUSED, "reason" => reason.code()).increment(1);
}

pub(crate) fn retried(reason: RetryReason) {
    counter!(RETRIES, "reason" => reason.code()).increment(1);
}

pub(crate) fn outcome_unknown(reason: &'static str) {
    counter!(OUTCOME_UNKNOWN, "reason" => reason).increment(1);
}

pub(crate) fn answer_dropped(reason: &'static str) {
    counter!(ANSWERS_DROPPED, "reason" => reason).increment(1);
}

pub(crate) fn transaction(rows: usize) {
    counter!(TRANSACTIONS).increment(1);
    counter!(TRANSACTION_ROWS).increment(rows as u64);
}

pub(crate) fn local_placement() {
    counter!(LOCAL_PLACEMENTS).increment(1);
}

pub(crate) fn runner_connection_lost() {
    counter!(ENGINE_CRASHES).increment(1);
}

pub(crate) fn config_version(version: u64) {
    gauge!(CONFIG_VERSION).set(version as f64);
}

pub(crate) fn config_stale(stale: bool) {
    gauge!(CONFIG_STALE).set(f64::from(u8::from(stale)));
}

pub(crate) fn config_repaired() {
    counter!(CONFIG_REPAIRS).increment(1);
}

pub(crate) fn config_diverged() {
    counter!(CONFIG_DIVERGED).increment(1);
}

pub(crate) fn config_refused() {
    counter!(CONFIG_REFUSED).increment(1);
}

pub(crate) fn operator_refused() {
    counter!(OPERATOR_REFUSED).increment(1);
}

pub(crate) fn members(count: usize) {
    gauge!(MEMBERS).set(count as f64);
}

pub(crate) fn member_event(kind: &'static str) {
    counter!(MEMBER_EVENTS, "kind" => kind).increment(1);
}

pub(crate) fn datagram_dropped(reason: &'static str) {
    counter!(DATAGRAMS_DROPPED, "reason" => reason).increment(1);
}

pub(crate) fn lease_changed(change: &'static str) {
    counter!(LEASE_CHANGES, "change" => change).increment(1);
}

pub(crate) fn order_ended(result: &'static str) {
    counter!(ORDERS, "result" => result).increment(1);
}
