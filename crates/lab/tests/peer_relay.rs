//! The relay between entry hosts.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bv_lab::{Deployment, HostSpec, Relay, RelayFaults};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");
const DATAGRAMS: usize = 1_000;
const QUIET_PERIOD: Duration = Duration::from_millis(500);
/// The delay between two zones is 4.5 ms, varied by up to a fifth.
const LEAST_DELAY: Duration = Duration::from_micros(3_600);

struct Hosts {
    specs: Vec<HostSpec>,
    sockets: Vec<UdpSocket>,
    relay: Arc<Relay>,
}

async fn start() -> Hosts {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let mut specs = Vec::new();
    let mut sockets = Vec::new();
    for index in 0..2 {
        let spec = HostSpec::new(index, &deployment, "planned").await.unwrap();
        sockets.push(UdpSocket::bind(spec.peer_addr).await.unwrap());
        specs.push(spec);
    }
    let relay = Relay::start(&specs, deployment.zones.clone())
        .await
        .unwrap();
    Hosts {
        specs,
        sockets,
        relay,
    }
}

impl Hosts {
    /// Sends datagrams from one host to the other and returns those that arrive, in order of
    /// arrival.
    async fn send(&self, from: usize, to: usize) -> Vec<u32> {
        let receive = async {
            let mut arrived = Vec::new();
            let mut buf = [0; 4];
            while let Ok(received) =
                tokio::time::timeout(QUIET_PERIOD, self.sockets[to].recv_from(&mut buf)).await
            {
                // An answer to the source address must pass through the relay too.
                assert_eq!(received.unwrap().1, self.relay.addr(from));
                arrived.push(u32::from_be_bytes(buf));
            }
            arrived
        };
        let send = async {
            for index in 0..DATAGRAMS as u32 {
                let to = self.relay.addr(to);
                self.sockets[from]
                    .send_to(&index.to_be_bytes(), to)
                    .await
                    .unwrap();
                tokio::time::sleep(Duration::from_micros(200)).await;
            }
        };
        tokio::join!(receive, send).0
    }

    /// Time for a connection from host 0 to host 1 and one byte there and back; `None` if it
    /// takes more than a second.
    async fn echo(&self) -> Option<Duration> {
        let listener = TcpListener::bind(self.specs[1].peer_addr).await.unwrap();
        let serve = async {
            let (mut stream, source) = listener.accept().await.unwrap();
            assert_eq!(source.ip(), self.specs[0].bind_ip);
            let byte = stream.read_u8().await.unwrap();
            stream.write_u8(byte).await.unwrap();
            // Keeps the connection until the other end has read.
            let _ = stream.read_u8().await;
        };
        let start = Instant::now();
        let call = async {
            let socket = TcpSocket::new_v4().unwrap();
            let local = SocketAddr::new(self.specs[0].bind_ip, 0);
            socket.bind(local).unwrap();
            let mut stream = socket.connect(self.relay.addr(1)).await.unwrap();
            stream.write_u8(7).await.unwrap();
            assert_eq!(stream.read_u8().await.unwrap(), 7);
        };
        let both = async {
            tokio::select! {
                () = call => start.elapsed(),
                () = async { serve.await; std::future::pending().await } => unreachable!(),
            }
        };
        tokio::time::timeout(Duration::from_secs(1), both)
            .await
            .ok()
    }
}

/// Guards against loss, repeats or reordering without a fault, and against faults without effect.
#[tokio::test]
async fn lossy_datagrams() {
    let hosts = start().await;
    let clean = hosts.send(0, 1).await;
    assert_eq!(clean.len(), DATAGRAMS);
    hosts.relay.set_faults(RelayFaults {
        loss: 0.2,
        duplicates: 0.1,
        reordered: 0.1,
        ..RelayFaults::default()
    });
    let lossy = hosts.send(0, 1).await;
    let mut distinct = lossy.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!((700..900).contains(&distinct.len()), "{}", distinct.len());
    assert!(lossy.len() > distinct.len() + 30, "{}", lossy.len());
    assert!(lossy.windows(2).any(|pair| pair[0] > pair[1]));
}

/// Guards against a one-way partition that blocks both directions or does not end.
#[tokio::test]
async fn partition_one_way() {
    let hosts = start().await;
    assert!(hosts.echo().await.unwrap() >= LEAST_DELAY * 2);
    hosts.relay.partition(0, 1);
    assert_eq!(hosts.send(0, 1).await.len(), 0);
    assert_eq!(hosts.send(1, 0).await.len(), DATAGRAMS);
    assert_eq!(hosts.echo().await, None);
    hosts.relay.heal(0, 1);
    assert_eq!(hosts.send(0, 1).await.len(), DATAGRAMS);
    assert!(hosts.echo().await.is_some());
}
