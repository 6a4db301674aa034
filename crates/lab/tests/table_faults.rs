//! Resent calls while the table, the plain service and a host fail at once.

#[allow(dead_code)]
mod plain;

use std::time::Duration;

use bv_lab::HostProcess;
use bv_lab::stand_in::{ServiceFault, StoreFault};
use fastrand::Rng;
use plain::{Seen, start, try_reserve};
use tokio::task::JoinSet;

const KEYS: usize = 150;
const ATTEMPTS: u32 = 4;
const HOSTS: usize = 3;
/// Share of table calls hit by each fault, in thousandths.
const TABLE_FAULTS: u32 = 120;
const SERVICE_FAULTS: u32 = 50;

/// Guards against a second run, a run after "not run" and a false stored answer, with real
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
        table.set_fault(fault, TABLE_FAULTS);
    }
    service.set_fault(ServiceFault::CutAfterRun, SERVICE_FAULTS);
    let addrs: Vec<_> = hosts.iter().map(|host| host.spec.caller_addr).collect();
    let mut calls = JoinSet::new();
    for index in 0..KEYS {
        let addrs = addrs.clone();
        calls.spawn(async move {
            let mut rng = Rng::with_seed(index as u64);
            tokio::time::sleep(Duration::from_millis(rng.u64(..4_000))).await;
            let key = format!("key-{index}");
            let mut seen: Vec<Option<Seen>> = Vec::new();
            for attempt in 0..ATTEMPTS {
                let host = addrs[rng.usize(..HOSTS)];
                seen.push(try_reserve(host, &key, attempt).await);
            }
            (key, seen)
        });
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let killed = hosts.remove(0);
    let spec = killed.spec.clone();
    drop(killed);
    let _restarted = HostProcess::start(spec).unwrap();

    let mut counts = [0; 4];
    while let Some(call) = calls.join_next().await {
        let (key, seen) = call.unwrap();
        let ran = service.attempts_of(&key);
        assert!(ran.len() <= 1, "{key} ran under attempts {ran:?}");
        for (attempt, seen) in seen.iter().enumerate() {
            let kind = match seen {
                None => 0,
                Some(seen) if seen.is_not_run() => 1,
                Some(seen) if seen.is_unknown() => 2,
                Some(_) => 3,
            };
            counts[kind] += 1;
            if kind == 1 {
                assert!(
                    !ran.contains(&(attempt as u32)),
                    "{key} ran after \"not run\""
                );
            }
            if kind == 3 {
                let seen = seen.as_ref().unwrap();
                assert!(seen.is_answer(&key), "{key}: {seen:?}");
                assert_eq!(ran.len(), 1, "{key} was answered without a run");
            }
        }
    }
    let [lost, not_run, unknown, answered] = counts;
    println!("lost {lost}, not run {not_run}, unknown {unknown}, answered {answered}");
    assert!(answered > 0, "nothing was answered");
}
