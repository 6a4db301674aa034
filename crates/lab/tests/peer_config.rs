//! An entry host without the table service takes its configuration from a peer.

mod common;

use bv_lab::{Deployment, HostProcess, HostSpec};
use common::{INVENTORY, NO_STORE};

/// Guards against a restarted host that does not become ready while the store is down.
#[tokio::test]
async fn configuration_from_seed() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let spec = HostSpec::new(0, &deployment, "planned").await.unwrap();
    let seed = spec.peer_addr;
    let first = HostProcess::start(spec).unwrap();
    first.wait_ready().await.unwrap();
    let mut spec = HostSpec::new(1, &deployment, "planned").await.unwrap();
    spec.store_addr = NO_STORE;
    spec.seeds = vec![seed];
    let second = HostProcess::start(spec).unwrap();
    second.wait_ready().await.unwrap();
}
