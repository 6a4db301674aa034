//! `show`, `status`, `drain` and `check` of `burdockvale`, with their exit codes.

mod operator;

use std::net::SocketAddr;

use bv_config::Inventory;
use operator::{Cluster, burdockvale};

/// Guards against output that cannot be applied again, and against leaving marks that get lost.
#[tokio::test]
async fn show_status_drain() {
    let cluster = Cluster::start(2).await;
    let addrs = cluster.addrs();
    let shown = burdockvale(&["show"], &addrs).await;
    assert_eq!(shown.exit_code, 0, "{shown:?}");
    assert!(shown.stdout.starts_with("# version 1, change lab\n"));
    Inventory::parse(&shown.stdout).unwrap();

    let marked = burdockvale(&["drain", "drafting-3", "--json"], &addrs).await;
    assert_eq!(marked.exit_code, 0, "{marked:?}");
    assert_eq!(marked.json()["marked"].as_array().unwrap().len(), 2);
    let unknown = burdockvale(&["drain", "drafting-33"], &addrs).await;
    assert_eq!(unknown.exit_code, 1, "{unknown:?}");
    assert!(
        unknown
            .stderr
            .contains("drafting-33 is not in the inventory")
    );

    let status = burdockvale(&["status", "--json"], &addrs).await;
    assert_eq!(status.exit_code, 0, "{status:?}");
    for host in status.json()["hosts"].as_array().unwrap() {
        assert_eq!(host["status"]["stale"], false);
        assert_eq!(host["status"]["leaving"][0]["backend"], "drafting-3");
    }
    let table = burdockvale(&["status"], &addrs).await;
    for host in &cluster.hosts {
        let shown = table.stdout.contains(&host.spec.id) && table.stdout.contains(&host.spec.zone);
        assert!(shown, "{}", table.stdout);
    }
}

/// Guards against changed exit codes, on which scripts rely.
#[tokio::test]
async fn exit_codes() {
    let dir = std::env::temp_dir().join(format!("burdockvale-exit-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let write = |name: &str, text: &str| {
        let path = dir.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let valid = write("valid.toml", operator::INVENTORY);
    let invalid = write(
        "invalid.toml",
        "name = \"x\"\n[[zone]]\nid = \"a b\"\nregion = \"r\"\n",
    );
    let none: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let cases: [(&[&str], &[SocketAddr], i32, &str); 9] = [
        (&["check", &valid], &[], 0, ""),
        (&["check", &invalid], &[], 3, "invalid.toml:3:6"),
        (&["check", "/nonexistent.toml"], &[], 1, "/nonexistent.toml"),
        (&["check"], &[], 2, "file"),
        (&["frobnicate"], &[], 2, "frobnicate"),
        (&["show"], &[], 2, "BURDOCKVALE_HOSTS"),
        (&["status"], &[none], 1, "127.0.0.1:9"),
        (&["apply", &invalid], &[none], 3, "zone.id"),
        (
            &["apply", &valid, "--expect", "1"],
            &[none],
            1,
            "127.0.0.1:9",
        ),
    ];
    for (args, hosts, exit_code, expected_text) in cases {
        let run = burdockvale(args, hosts).await;
        assert_eq!(run.exit_code, exit_code, "{args:?}: {run:?}");
        assert!(run.stderr.contains(expected_text), "{args:?}: {run:?}");
    }
    std::fs::remove_dir_all(dir).unwrap();
}
