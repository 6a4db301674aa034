//! Backend servers that refuse or drop connections or return invalid responses, with real entry
//! hosts.

#[allow(dead_code)]
mod plain;

use plain::raw::{RawServer, refusing_addr, set_servers};
use plain::{reserve, send, start};

/// Guards against "not run" after something was sent, and against a retry of a non-idempotent
/// call. An idempotent call is retried at the other server; when both fail, its outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn connection_lost() {
    let (deployment, hosts) = start(2).await;
    let server = RawServer::start(Vec::new()).await;
    set_servers(&deployment, &[server.addr, server.addr]).await;
    for (round, host) in [&hosts[0], &hosts[1], &hosts[0]].into_iter().enumerate() {
        let response = reserve(host.spec.caller_addr, "a").await;
        assert!(response.is_unknown(), "round {round}: {response:?}");
        assert_eq!(server.requests(), 1, "round {round}");
    }
    let lookup = send(
        hosts[0].spec.caller_addr,
        "GET",
        "/booking/seats",
        String::new(),
    )
    .await;
    assert!(lookup.is_unknown(), "{lookup:?}");
    assert_eq!(server.requests(), 3, "the lookup is tried at both servers");
}

/// Guards against an outcome that is unknown although nothing was sent, and against a key that
/// stays claimed.
#[tokio::test(flavor = "multi_thread")]
async fn connection_refused() {
    let (deployment, hosts) = start(2).await;
    let healthy: Vec<_> = deployment
        .inventory
        .servers
        .iter()
        .map(|s| s.addr)
        .collect();
    let refusing = [refusing_addr().await, refusing_addr().await];
    set_servers(&deployment, &refusing).await;
    let response = reserve(hosts[0].spec.caller_addr, "a").await;
    assert!(response.is_not_run(), "{response:?}");
    assert_eq!(response.body["error"]["reason"], "connect_refused");

    let (version, body) = deployment.table.row("config/current").unwrap();
    let body = body.replace(&refusing[1].to_string(), &healthy[1].to_string());
    deployment.table.put("config/current", version + 1, &body);
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    for host in &hosts {
        let response = reserve(host.spec.caller_addr, "a").await;
        assert!(response.is_success("a"), "{response:?}");
    }
    assert_eq!(deployment.services[0].runs_of("a"), 1);
}

/// Guards against a truncated or missing stored answer that looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn large_answer() {
    let (deployment, hosts) = start(2).await;
    let body = "x".repeat(100_000);
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    let server = RawServer::start((head + &body).into_bytes()).await;
    set_servers(&deployment, &[server.addr, server.addr]).await;
    let first = reserve(hosts[0].spec.caller_addr, "a").await;
    assert_eq!(first.status, 200, "{first:?}");
    let again = reserve(hosts[1].spec.caller_addr, "a").await;
    assert!(again.is_unknown(), "{again:?}");
    assert_eq!(again.body["error"]["reason"], "answer_too_large");
    assert_eq!(server.requests(), 1);
}

/// Guards against a truncated answer that is passed on, and against an outcome header of a backend
/// server that reaches the caller.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_and_forged_header() {
    let (deployment, hosts) = start(1).await;
    let addr = hosts[0].spec.caller_addr;
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort".to_vec();
    let server = RawServer::start(cut).await;
    set_servers(&deployment, &[server.addr, server.addr]).await;
    let response = reserve(addr, "a").await;
    assert!(response.is_unknown(), "{response:?}");

    let (version, body) = deployment.table.row("config/current").unwrap();
    let claims_not_run = b"HTTP/1.1 200 OK\r\nx-burdockvale-outcome: not-run\r\n\
        content-length: 2\r\n\r\n{}";
    let other = RawServer::start(claims_not_run.to_vec()).await;
    let body = body.replace(&server.addr.to_string(), &other.addr.to_string());
    deployment.table.put("config/current", version + 1, &body);
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    let response = reserve(addr, "b").await;
    assert_eq!((response.status.as_u16(), response.outcome), (200, None));
}

/// Guards against refusals while only one of two servers is down.
#[tokio::test(flavor = "multi_thread")]
async fn one_server_down() {
    let (deployment, hosts) = start(1).await;
    let addr = hosts[0].spec.caller_addr;
    let healthy = deployment.inventory.servers[1].addr;
    set_servers(&deployment, &[refusing_addr().await, healthy]).await;
    for round in 0..40 {
        let lookup = send(addr, "GET", "/booking/seats", String::new()).await;
        assert_eq!(lookup.status, 200, "round {round}: {lookup:?}");
        let key = format!("key-{round}");
        let response = reserve(addr, &key).await;
        assert!(response.is_success(&key), "round {round}: {response:?}");
        assert_eq!(deployment.services[0].runs_of(&key), 1);
    }
}
