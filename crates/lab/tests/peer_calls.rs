//! Calls and datagrams between entry hosts, sent by this test as a peer.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bv_lab::{CLUSTER_KEY, Deployment, HostProcess, HostSpec};
use bv_member::{GossipUpdate, Kind, Member, Message, SentGossipUpdate};
use bv_types::{Clock, Incarnation, Millis};
use bv_wire::frame::Body;
use bv_wire::{Frame, FrameCodec, GetConfig, Hello};
use common::{
    INVENTORY, NO_STORE, members, operator_get, start_hosts, start_hosts_with, wait_view,
};
use futures_util::{SinkExt, StreamExt};
use prost::Message as _;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, UdpSocket};
use tokio_util::codec::Framed;

const CONFIG_KEY: &str = "config/current";
/// Guarantee P8: a configuration is in force on 8 hosts within 2 s without faults.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Guarantee P6 allows 3 s, of which the poll of the load reports takes up to 1 s.
const MARK_LIMIT: Duration = Duration::from_secs(2);
const CALLS: u64 = 200;

fn hello(key: &str) -> Frame {
    Frame {
        id: 0,
        body: Some(Body::Hello(Hello {
            host: "tester".to_owned(),
            incarnation: 1,
            cluster_key: key.to_owned(),
        })),
    }
}

async fn connect(host: &HostProcess, key: &str) -> Framed<TcpStream, FrameCodec> {
    let stream = TcpStream::connect(host.spec.peer_addr).await.unwrap();
    let mut conn = Framed::new(stream, FrameCodec::default());
    conn.send(hello(key)).await.unwrap();
    conn
}

/// Guards against calls of hosts without the cluster key, and of connections without a hello.
#[tokio::test]
async fn wrong_key_is_refused() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 1).await;
    let mut conn = connect(&hosts[0], "another-cluster-key-0123456789").await;
    assert!(
        !matches!(conn.next().await, Some(Ok(_))),
        "no hello in return"
    );
    let stream = TcpStream::connect(hosts[0].spec.peer_addr).await.unwrap();
    let mut conn = Framed::new(stream, FrameCodec::default());
    let call = Frame {
        id: 1,
        body: Some(Body::GetConfig(GetConfig {})),
    };
    conn.send(call).await.unwrap();
    assert!(!matches!(conn.next().await, Some(Ok(_))), "no answer");
}

/// Guards against answers that carry the id of another call, and against a connection that is
/// closed because of a body of a later version.
#[tokio::test]
async fn calls_share_a_connection() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 1).await;
    let mut conn = connect(&hosts[0], CLUSTER_KEY).await;
    let first = conn.next().await.unwrap().unwrap();
    assert!(matches!(first.body, Some(Body::Hello(h)) if h.host == "host-0"));
    for id in 1..=CALLS {
        let body = Some(Body::GetConfig(GetConfig {}));
        conn.send(Frame { id, body }).await.unwrap();
    }
    let mut ids = Vec::new();
    for _ in 0..CALLS {
        let answer = conn.next().await.unwrap().unwrap();
        assert!(matches!(answer.body, Some(Body::Config(c)) if c.version == 1));
        ids.push(answer.id);
    }
    ids.sort_unstable();
    assert_eq!(ids, (1..=CALLS).collect::<Vec<_>>());
    // Id 7, and a field with number 100 that this version does not know.
    let frame = [0, 0, 0, 5, 0x08, 7, 0xa2, 0x06, 0];
    conn.get_mut().write_all(&frame).await.unwrap();
    let answer = conn.next().await.unwrap().unwrap();
    assert_eq!(answer.id, 7);
    assert!(matches!(answer.body, Some(Body::Unsupported(_))));
}

/// Guards against a configuration that hosts receive only from the table service.
#[tokio::test(flavor = "multi_thread")]
async fn configuration_spreads() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let without_store = |index, spec: &mut HostSpec| {
        if index > 0 {
            spec.store_addr = NO_STORE;
        }
    };
    let hosts = start_hosts_with(&deployment, 8, without_store).await;
    let before = operator_get(&hosts[0], "/v1/config").await;
    let document = before["document"].as_str().unwrap();
    let row = json!({"change": "test", "document": document}).to_string();
    deployment.table.put(CONFIG_KEY, 2, &row);
    let started = Instant::now();
    for host in &hosts {
        while operator_get(host, "/v1/config").await["version"] != 2 {
            let id = &host.spec.id;
            assert!(
                started.elapsed() < CONFIG_LIMIT,
                "{id} has an older version"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    println!(
        "configuration: in force on 8 hosts after {:?}",
        started.elapsed()
    );
}

fn ping_from_tester(addr: SocketAddr, gossip_updates: Vec<SentGossipUpdate>) -> Message {
    Message {
        from: Member {
            host: "tester".parse().unwrap(),
            incarnation: Incarnation(1),
            addr,
        },
        counter: 0,
        seq: 1,
        kind: Kind::Ping,
        member_updates: Vec::new(),
        view_digest: 0,
        gossip_digest: 0,
        gossip_updates,
    }
}

/// Guards against leaving marks that the receiving host does not pass on, and against datagrams
/// without the key that change a view.
#[tokio::test(flavor = "multi_thread")]
async fn marks_spread() {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let hosts = start_hosts(&deployment, 4).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    // The engine started earlier; the owner of its shard ignores marks of earlier processes.
    let incarnation = Clock::system().now().0;
    let mark = SentGossipUpdate {
        update: GossipUpdate::Leaving {
            backend: "reading-5".parse().unwrap(),
            incarnation: Incarnation(incarnation),
        },
        ttl: Millis::from_secs(60),
    };
    let message = ping_from_tester(addr, vec![mark]);
    let wrong_key = bv_wire::sign(b"another-cluster-key-0123456789", &message);
    let target = hosts[0].spec.peer_addr;
    for datagram in [
        wrong_key.encode_to_vec(),
        b"no message".to_vec(),
        vec![0; 1_200],
    ] {
        socket.send_to(&datagram, target).await.unwrap();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(members(&hosts[0]).await.len(), 4, "refused datagrams");
    let signed = bv_wire::sign(CLUSTER_KEY.as_bytes(), &message);
    socket
        .send_to(&signed.encode_to_vec(), target)
        .await
        .unwrap();
    let started = Instant::now();
    let expected: Value = json!([{"backend": "reading-5", "incarnation": incarnation}]);
    for host in &hosts {
        while operator_get(host, "/v1/status").await["leaving"] != expected {
            let id = &host.spec.id;
            assert!(
                started.elapsed() < MARK_LIMIT,
                "{id} has not received the leaving mark"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    println!("leaving mark: on 4 hosts after {:?}", started.elapsed());
    // The tester does not answer probes.
    for host in &hosts {
        wait_view(host, &[0, 1, 2, 3], Duration::from_secs(10)).await;
    }
}
