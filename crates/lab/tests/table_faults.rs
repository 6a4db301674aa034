//! Resent calls while the table, the plain service and a host fail at once.

#[allow(dead_code)]
mod plain;

use std::time::Duration;

use bv_lab::HostProcess;
use bv_lab::stand_in::{ServiceFault, StoreFault};
use fastrand::Rng;
use plain::{CallerResponse, start, try_reserve};
use tokio::task::JoinSet;

const KEYS: usize = 150;
const ATTEMPTS: u32 = 4;
const HOSTS: usize = 3;
/// Shares of the calls that a fault affects, in thousandths.
const TABLE_FAULT_PERMILLE: u32 = 120;
const SERVICE_FAULT_PERMILLE: u32 = 50;

/// Guards against a second run, a run after "not run" and a wrong stored answer, with real
/// processes. Each key is sent up to 4 times through random hosts, one of which is killed.
#[tokio::test(flavor = "multi_thread")]
async fn no_second_run() {
    let (deployment, mut hosts) = start(HOSTS).await;
    let service = deployment.services[0].clone();
    let table = deployment.table.clone();
    for fault in [
        StoreFault::LoseAnswer,
        StoreFault::Unavailable,
        StoreFault::Slow,
    ] {
        table.set_fault(fault, TABLE_FAULT_PERMILLE);
    }
    service.set_fault(ServiceFault::DisconnectAfterRun, SERVICE_FAULT_PERMILLE);
    let addrs: Vec<_> = hosts.iter().map(|host| host.spec.caller_addr).collect();
    let mut calls = JoinSet::new();
    for index in 0..KEYS {
        let addrs = addrs.clone();
        calls.spawn(async move {
            let mut rng = Rng::with_seed(index as u64);
            tokio::time::sleep(Duration::from_millis(rng.u64(..4_000))).await;
            let key = format!("key-{index}");
            let mut responses: Vec<Option<CallerResponse>> = Vec::new();
            for attempt in 0..ATTEMPTS {
                let host = addrs[rng.usize(..HOSTS)];
                responses.push(try_reserve(host, &key, attempt).await);
            }
            (key, responses)
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let killed = hosts.remove(0);
    let spec = killed.spec.clone();
    drop(killed);
    let _restarted = HostProcess::start(spec).unwrap();

    let mut outcome_counts = [0; 4];
    while let Some(call) = calls.join_next().await {
        let (key, responses) = call.unwrap();
        let run_attempts = service.attempts_of(&key);
        assert!(
            run_attempts.len() <= 1,
            "{key} ran under attempts {run_attempts:?}"
        );
        for (attempt, response) in responses.iter().enumerate() {
            let outcome = match response {
                None => 0,
                Some(response) if response.is_not_run() => 1,
                Some(response) if response.is_unknown() => 2,
                Some(_) => 3,
            };
            outcome_counts[outcome] += 1;
            if outcome == 1 {
                assert!(
                    !run_attempts.contains(&(attempt as u32)),
                    "{key} ran after \"not run\""
                );
            }
            if outcome == 3 {
                let response = response.as_ref().unwrap();
                assert!(response.is_success(&key), "{key}: {response:?}");
                assert_eq!(run_attempts.len(), 1, "{key} was answered but did not run");
            }
        }
    }
    let [lost, not_run, unknown, answered] = outcome_counts;
    println!("lost {lost}, not run {not_run}, unknown {unknown}, answered {answered}");
    assert!(answered > 0, "no call was answered");
}
