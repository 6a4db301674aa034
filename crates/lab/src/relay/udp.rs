//! UDP datagrams through the relay.

use std::sync::Arc;
use std::time::Duration;

use super::Relay;

const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Additional delay of a reordered datagram.
const REORDER_DELAY: Duration = Duration::from_millis(30);
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Forwards datagrams sent to one host's public address.
pub(super) async fn forward(relay: Arc<Relay>, to: usize) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, source)) = relay.endpoints[to].udp.recv_from(&mut buf).await else {
            // After a datagram to a host that has ended, the next receive on the socket fails.
            tokio::time::sleep(ERROR_PAUSE).await;
            continue;
        };
        let Some(from) = relay
            .endpoints
            .iter()
            .position(|endpoint| endpoint.host_addr == source)
        else {
            continue;
        };
        let faults = relay.faults();
        if relay.is_partitioned(from, to) || fastrand::f64() < faults.loss {
            continue;
        }
        let copies = 1 + usize::from(fastrand::f64() < faults.duplicates);
        for _ in 0..copies {
            let mut delay = relay.delay(from, to);
            if fastrand::f64() < faults.reordered {
                delay += REORDER_DELAY;
            }
            let (relay, data) = (relay.clone(), buf[..len].to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // Sent from the sender's public address, so that answers also use the relay.
                let socket = &relay.endpoints[from].udp;
                let _ = socket.send_to(&data, relay.endpoints[to].host_addr).await;
            });
        }
    }
}
