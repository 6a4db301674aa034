//! One short run with real entry hosts for each family of faults.

use std::path::PathBuf;

use bv_lab::{Fault, Report, RunSettings, measure};

/// Low enough that no request waits, because these runs check guarantees and not speed.
const LOAD_PERCENT: u32 = 15;

async fn run(seed: u64, faults: &[Fault]) -> Report {
    let root = env!("CARGO_MANIFEST_DIR");
    let settings = RunSettings {
        seed,
        seconds: 6,
        hosts: 2,
        policy: "planned".to_owned(),
        inventory: PathBuf::from(root).join("../../examples/co-operative.toml"),
        load: LOAD_PERCENT,
        burst: 0,
        faults: faults.to_vec(),
    };
    let report = measure(&settings).await.unwrap();
    let text = settings.report_json(&report).to_string();
    assert!(report.requests > 20, "{text}");
    assert!(report.answered_whole > 0, "{text}");
    assert_eq!(report.violations(), 0, "{text}");
    report
}

/// Guards against guarantees that are violated without any fault.
#[tokio::test]
async fn without_faults() {
    let report = run(1, &[]).await;
    assert_eq!(
        report.lost + report.outcome_unknown,
        0,
        "{}",
        report.summary()
    );
    assert!(report.wasted_prefill_ratio() < 0.01, "{}", report.summary());
}

/// Guards against guarantees violated by entry hosts that are killed, paused or restarted.
#[tokio::test]
async fn host_faults() {
    run(2, &[Fault::KillHost, Fault::PauseHost, Fault::RestartHost]).await;
}

/// Guards against requests cut by a graceful shutdown.
#[tokio::test]
async fn drained_hosts() {
    run(3, &[Fault::DrainHost]).await;
}

/// Guards against guarantees violated by engines that crash, are slow, lose cancels or report stale
/// load, and by a request that crashes engines.
#[tokio::test]
async fn engine_faults() {
    let faults = [
        Fault::KillEngine,
        Fault::SlowEngine,
        Fault::LoseCancel,
        Fault::StaleLoad,
        Fault::CrashRequest,
    ];
    run(4, &faults).await;
}

/// Guards against crossed, truncated, late or repeated answers that reach a caller.
#[tokio::test]
async fn answer_faults() {
    let faults = [
        Fault::CrossedAnswers,
        Fault::TruncatedAnswers,
        Fault::LateAnswers,
        Fault::RepeatedAnswers,
    ];
    run(5, &faults).await;
}

/// Guards against calls that run twice, or after "not run", when the table service fails.
#[tokio::test]
async fn store_faults() {
    let faults = [
        Fault::StoreDown,
        Fault::StoreSlow,
        Fault::StoreLostAnswers,
        Fault::FreshHostStoreDown,
    ];
    run(6, &faults).await;
}

/// Guards against calls that run twice when plain services fail.
#[tokio::test]
async fn service_faults() {
    run(
        7,
        &[Fault::ServiceDown, Fault::ServiceSlow, Fault::ServiceCuts],
    )
    .await;
}

/// Guards against engine memory held for callers that disconnect or stop reading.
#[tokio::test]
async fn caller_faults() {
    let report = run(8, &[Fault::CallerGone, Fault::CallerSilent]).await;
    assert!(report.callers_gone + report.callers_silent > 0);
}

/// Guards against a configuration that reverts, or two that are accepted as the same version.
#[tokio::test]
async fn config_faults() {
    let report = run(9, &[Fault::OperatorRace, Fault::StoreOldCopy]).await;
    assert!(report.config_in_force_ms > 0, "{}", report.summary());
}

/// Guards against guarantees violated by faults of the network between hosts.
#[tokio::test]
async fn peer_faults() {
    run(10, &[Fault::PeerLoss, Fault::PeerDelay, Fault::OneSidedCut]).await;
}

/// Guards against guarantees violated by the loss of a zone or by a leaving engine.
#[tokio::test]
async fn zone_faults() {
    run(11, &[Fault::ZoneLoss, Fault::LeavingBackend]).await;
}
