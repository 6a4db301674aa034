//! Metrics of the entry host.

use bv_types::{Refusal, RetryReason};
use metrics::{counter, describe_counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const REFUSED: &str = "burdockvale_refused_total";
const RETRIES: &str = "burdockvale_retries_total";
const UNKNOWN: &str = "burdockvale_outcome_unknown_total";
const DROPPED: &str = "burdockvale_answers_dropped_total";
const TRANSACTIONS: &str = "burdockvale_transactions_total";
const TRANSACTION_ROWS: &str = "burdockvale_transaction_rows_total";
const CONFIG_VERSION: &str = "burdockvale_config_version";

/// Installs the recorder, with every refusal and retry reason at 0.
pub(crate) fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A second host in the same process shares the recorder that is already installed.
    let _ = metrics::set_global_recorder(recorder);
    describe_counter!(REFUSED, "Requests refused as not run, by reason.");
    describe_counter!(RETRIES, "Attempts and messages repeated, by reason.");
    describe_counter!(UNKNOWN, "Requests whose outcome is unknown, by reason.");
    describe_counter!(DROPPED, "Answers dropped as late or crossed, by reason.");
    describe_counter!(TRANSACTIONS, "Transactions sent by the ledger.");
    describe_counter!(TRANSACTION_ROWS, "Rows in the ledger's transactions.");
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

pub(crate) fn unknown(reason: &'static str) {
    counter!(UNKNOWN, "reason" => reason).increment(1);
}

pub(crate) fn dropped(reason: &'static str) {
    counter!(DROPPED, "reason" => reason).increment(1);
}

pub(crate) fn transaction(rows: usize) {
    counter!(TRANSACTIONS).increment(1);
    counter!(TRANSACTION_ROWS).increment(rows as u64);
}

pub(crate) fn config_version(version: u64) {
    gauge!(CONFIG_VERSION).set(version as f64);
}
