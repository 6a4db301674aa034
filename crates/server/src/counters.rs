//! Metrics of the entry host.

use bv_types::{Refusal, RetryReason};
use metrics::{counter, describe_counter, gauge};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const REFUSED: &str = "burdockvale_refused_total";
const RETRIES: &str = "burdockvale_retries_total";
const UNKNOWN: &str = "burdockvale_outcome_unknown_total";
const DROPPED: &str = "burdockvale_answers_dropped_total";
const MEMBERS: &str = "burdockvale_members";
const MEMBER_EVENTS: &str = "burdockvale_member_events_total";
const DATAGRAMS_DROPPED: &str = "burdockvale_datagrams_dropped_total";
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

pub(crate) fn config_version(version: u64) {
    gauge!(CONFIG_VERSION).set(version as f64);
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
