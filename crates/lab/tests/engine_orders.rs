//! Role orders reach real engines under a lease, and the next lease holder uses a higher fencing
//! token.

mod operator;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use operator::{Cluster, burdockvale};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The lease is taken after 10 s without a row, and the first order may wait for 4 s more; the
/// rest is for a busy machine.
const FIRST_ORDER_LIMIT: Duration = Duration::from_secs(25);
/// The holder is removed after 8 s, the lease is taken after 10 s, and the first order may wait for
/// 4 s.
const NEXT_HOLDER_LIMIT: Duration = Duration::from_secs(35);

/// Reads what an engine reports about the orders that it accepted.
async fn order_state(addr: SocketAddr) -> Value {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let request = "GET /order HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    let (_, body) = answer.split_once("\r\n\r\n").unwrap();
    serde_json::from_str(body).unwrap()
}

/// Applies the inventory with another role for `drafting-3` and waits until the engine has it;
/// returns the fencing token of the order.
async fn change_role(cluster: &Cluster, addrs: &[SocketAddr], role: &str, limit: Duration) -> u64 {
    let file = cluster.document(role);
    let text = std::fs::read_to_string(&file).unwrap();
    let (before, entry) = text.split_once("id = \"drafting-3\"").unwrap();
    let other = if role == "decode" {
        "prefill"
    } else {
        "decode"
    };
    let entry = entry.replacen(
        &format!("role = \"{other}\""),
        &format!("role = \"{role}\""),
        1,
    );
    std::fs::write(&file, format!("{before}id = \"drafting-3\"{entry}")).unwrap();
    let run = burdockvale(&["apply", &file], addrs).await;
    assert_eq!(run.exit_code, 0, "{run:?}");
    let id = "drafting-3".parse().unwrap();
    let engine = cluster.deployment.inventory.runner(&id).unwrap().addr;
    let began = Instant::now();
    loop {
        let state = order_state(engine).await;
        if state["role"] == role {
            println!("{role} after {:?}", began.elapsed());
            return state["fence"].as_u64().unwrap();
        }
        assert!(began.elapsed() < limit, "{state}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against orders without a lease and against a next holder with the same fencing token.
#[tokio::test]
async fn next_holder_has_a_higher_fence() {
    let mut cluster = Cluster::start(2).await;
    let addrs = cluster.addrs();
    let first = change_role(&cluster, &addrs, "decode", FIRST_ORDER_LIMIT).await;
    let (_, row) = cluster.deployment.table.row("lease/drafting").unwrap();
    let row: Value = serde_json::from_str(&row).unwrap();
    assert_eq!(row["fence"], first);
    let holder = row["holder"]["host"].as_str().unwrap();
    let index = cluster.hosts.iter().position(|host| host.spec.id == holder);
    // Dropping the process kills it.
    drop(cluster.hosts.remove(index.unwrap()));
    let addrs = cluster.addrs();
    let second = change_role(&cluster, &addrs, "prefill", NEXT_HOLDER_LIMIT).await;
    assert!(second > first, "{second} after {first}");
}
