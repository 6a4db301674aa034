//! `burdockvale apply` against real entry hosts.

mod operator;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use bv_lab::stand_in::StoreFault;
use operator::{Cluster, burdockvale};

/// Guarantee P8: a change is in force on 8 hosts within 2 s without faults.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// Guarantee P8: a change is in force within 17 s with a host that cannot reach the store.
const FAULT_LIMIT: Duration = Duration::from_secs(17);
/// Nothing listens on the discard port.
const NO_STORE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// Guards against concurrent changes of the same version of which more than one is reported as
/// applied.
#[tokio::test]
async fn racing_operators() {
    const OPERATORS: usize = 8;
    let cluster = Cluster::start(3).await;
    let addrs = cluster.addrs();
    let mut racing = tokio::task::JoinSet::new();
    for index in 0..OPERATORS {
        let file = cluster.document(&format!("operator-{index}"));
        let change = format!("change-{index}");
        let host = addrs[index % addrs.len()];
        racing.spawn(async move {
            let args = [
                "apply", &file, "--expect", "1", "--change", &change, "--json",
            ];
            (change.clone(), burdockvale(&args, &[host]).await)
        });
    }
    let runs = racing.join_all().await;
    let winners: Vec<_> = runs.iter().filter(|(_, run)| run.exit_code == 0).collect();
    let losers = runs.iter().filter(|(_, run)| run.exit_code == 4).count();
    assert_eq!((winners.len(), losers), (1, OPERATORS - 1), "{runs:?}");
    assert_eq!(cluster.stored(), (2, winners[0].0.clone()));
    let (_, loser) = runs.iter().find(|(_, run)| run.exit_code == 4).unwrap();
    assert!(loser.stderr.contains("\"current\":2"), "{loser:?}");
}

/// Applies `rounds` changes, each with `--wait`, and returns the longest time.
async fn apply_rounds(cluster: &Cluster, rounds: u64) -> Duration {
    let addrs = cluster.addrs();
    let mut longest = Duration::ZERO;
    for round in 1..=rounds {
        let file = cluster.document(&format!("round-{round}"));
        let began = Instant::now();
        let run = burdockvale(&["apply", &file, "--wait"], &addrs).await;
        longest = longest.max(began.elapsed());
        assert_eq!(run.exit_code, 0, "{run:?}");
        let status = burdockvale(&["status", "--json"], &addrs).await.json();
        for host in status["hosts"].as_array().unwrap() {
            assert_eq!(host["status"]["version"], 1 + round, "{status}");
        }
    }
    println!(
        "in force at {} hosts after at most {longest:?}",
        addrs.len()
    );
    longest
}

/// Guards against a change that is reported as in force on all hosts before it is, and against one
/// that takes longer than guaranteed.
#[tokio::test]
async fn waits_for_all_hosts() {
    let cluster = Cluster::start(8).await;
    assert!(apply_rounds(&cluster, 5).await < IN_FORCE_LIMIT);
}

/// Guards against a host that takes its configuration only from the store.
#[tokio::test]
async fn host_cut_off_from_the_store() {
    let cluster = Cluster::start_with(3, |index, spec| {
        if index == 0 {
            spec.store_addr = NO_STORE;
        }
    })
    .await;
    assert!(apply_rounds(&cluster, 3).await < FAULT_LIMIT);
    // Longer than the time after which a configuration is stale unless peers confirm it.
    tokio::time::sleep(FAULT_LIMIT).await;
    let status = burdockvale(&["status", "--json"], &cluster.addrs())
        .await
        .json();
    for host in status["hosts"].as_array().unwrap() {
        assert_eq!(host["status"]["stale"], false, "{status}");
    }
}

/// Guards against changes that get lost or take too long when each call of the store is slow and
/// many time out.
#[tokio::test]
async fn slow_store() {
    let cluster = Cluster::start(3).await;
    cluster.deployment.table.set_fault(StoreFault::Slow, 1_000);
    assert!(apply_rounds(&cluster, 3).await < FAULT_LIMIT);
    assert_eq!(cluster.stored().0, 4);
}

/// Guards against `--wait` that does not name the hosts without the new version.
#[tokio::test]
async fn wait_lists_missing_hosts() {
    let mut cluster = Cluster::start(3).await;
    let addrs = cluster.addrs();
    // Dropping the process kills it.
    drop(cluster.hosts.pop());
    let file = cluster.document("missing");
    let args = ["apply", &file, "--wait", "--wait-s", "3"];
    let run = burdockvale(&args, &addrs).await;
    assert_eq!(run.exit_code, 5, "{run:?}");
    assert!(run.stderr.contains(&addrs[2].to_string()), "{run:?}");
    assert!(!run.stderr.contains(&addrs[0].to_string()), "{run:?}");
    assert_eq!(cluster.stored().0, 2);
}

/// Guards against a change that is reported as applied while the store is down, and against hosts
/// that are not ready during the outage.
#[tokio::test]
async fn store_down() {
    let cluster = Cluster::start(3).await;
    let addrs = cluster.addrs();
    let gate = cluster.deployment.table.gate();
    gate.close();
    gate.disconnect_all();
    let file = cluster.document("down");
    let run = burdockvale(&["apply", &file], &addrs).await;
    assert_eq!(run.exit_code, 1, "{run:?}");
    let status = burdockvale(&["status", "--json"], &addrs).await.json();
    for host in status["hosts"].as_array().unwrap() {
        assert_eq!(host["status"]["version"], 1, "{status}");
        assert_eq!(host["status"]["ready"], true, "{status}");
    }
    gate.open();
    let run = burdockvale(&["apply", &file, "--expect", "1", "--wait"], &addrs).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    assert_eq!(cluster.stored().0, 2);
}

/// Guards against a change that is applied twice because its answer was lost.
#[tokio::test]
async fn lost_answers() {
    const CHANGES: u64 = 4;
    const ATTEMPTS: usize = 6;
    let cluster = Cluster::start(3).await;
    let addrs = cluster.addrs();
    cluster
        .deployment
        .table
        .set_fault(StoreFault::LoseAnswer, 300);
    for index in 1..=CHANGES {
        let file = cluster.document(&format!("lost-{index}"));
        let expected = index.to_string();
        let change = format!("change-{index}");
        let args = ["apply", &file, "--expect", &expected, "--change", &change];
        let mut exits = Vec::new();
        for _ in 0..ATTEMPTS {
            let run = burdockvale(&args, &addrs).await;
            exits.push(run.exit_code);
            if run.exit_code == 0 {
                break;
            }
        }
        assert_eq!(exits.last(), Some(&0), "{exits:?}");
        assert_eq!(cluster.stored(), (index + 1, change));
    }
}

/// Guards against an older copy of the row that stays in the store after a restore.
#[tokio::test]
async fn older_copy_is_repaired() {
    let cluster = Cluster::start(3).await;
    let addrs = cluster.addrs();
    let old = cluster.deployment.table.row("config/current").unwrap();
    for name in ["first", "second"] {
        let file = cluster.document(name);
        let run = burdockvale(&["apply", &file, "--wait"], &addrs).await;
        assert_eq!(run.exit_code, 0, "{run:?}");
    }
    let newest = cluster.stored();
    assert_eq!(newest.0, 3);
    cluster
        .deployment
        .table
        .put("config/current", old.0, &old.1);
    tokio::time::sleep(IN_FORCE_LIMIT).await;
    assert_eq!(cluster.stored(), newest);
}
