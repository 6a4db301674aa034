//! Calls while the table service is down, with real entry hosts.

#[allow(dead_code)]
mod plain;

use std::time::Instant;

use bv_lab::{Deployment, HostProcess, HostSpec};
use plain::{INVENTORY, reserve, send};
use tokio::net::TcpListener;

/// Runtime of the table service; shutting it down closes the listener and connections.
struct TableRuntime(Option<tokio::runtime::Runtime>);

impl TableRuntime {
    fn stop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Guards against dispatch without a claim, and against refusals of idempotent calls.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_while_table_is_down() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let mut table = TableRuntime(Some(tokio::runtime::Runtime::new().unwrap()));
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let store_addr = listener.local_addr().unwrap();
    let service = deployment.table.clone();
    table.0.as_ref().unwrap().spawn(async move {
        service
            .serve(TcpListener::from_std(listener).unwrap())
            .await;
    });
    let mut spec = HostSpec::new(0, &deployment, "planned").await.unwrap();
    spec.store_addr = store_addr;
    let host = HostProcess::start(spec).unwrap();
    host.wait_ready().await.unwrap();
    let addr = host.spec.caller_addr;
    table.stop();

    let start = Instant::now();
    let refused = reserve(addr, "a").await;
    assert!(refused.is_not_run(), "{refused:?}");
    assert_eq!(refused.body["error"]["reason"], "store_unavailable");
    // The route's deadline is 3 s; the call waits for the table until then.
    assert!(
        start.elapsed().as_millis() >= 2_900,
        "{:?}",
        start.elapsed()
    );
    let lookup = send(addr, "GET", "/booking/seats", String::new()).await;
    assert_eq!(lookup.status, 200, "{lookup:?}");
    assert_eq!(deployment.services[0].runs_of("a"), 0);

    // The table service is back at the same address: the call runs once.
    let listener = TcpListener::bind(store_addr).await.unwrap();
    tokio::spawn(deployment.table.clone().serve(listener));
    let response = reserve(addr, "a").await;
    assert!(response.is_success("a"), "{response:?}");
    assert_eq!(deployment.services[0].runs_of("a"), 1);
}
