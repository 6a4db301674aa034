//! Answers of a shard's owner that come late; this test is the owner.

mod common;
#[allow(dead_code)]
mod model;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bv_lab::{CLUSTER_KEY, Deployment, HostProcess};
use bv_member::{Kind, Member, Message, rendezvous};
use bv_types::{Incarnation, Refusal};
use bv_wire::frame::Body;
use bv_wire::{Deny, Done, Frame, FrameCodec, Grant, Hello, Unsupported};
use common::{operator_get, start_hosts};
use futures_util::{SinkExt, StreamExt};
use model::{chat, deployment};
use prost::Message as _;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio_util::codec::Framed;

const SHARD: &[u8] = b"reading/0";
const OUTPUT_TOKENS: u64 = 20;
/// Longer than a host waits for the answer to its last call.
const QUIET_PERIOD: Duration = Duration::from_millis(800);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Behaviour {
    GrantsLate(Duration),
    /// Answers the report of a finished prefill late.
    StartsLate(Duration),
    /// Refuses the first call for an attempt late, and grants the second.
    RefusesFirst(Duration),
}

#[derive(Debug, Default)]
struct Calls {
    /// Attempt of each reservation, in order of arrival.
    reserved: Vec<String>,
    /// Attempts that are granted and not released.
    open: Vec<String>,
    released: Vec<String>,
    adopted: usize,
}

struct Owner {
    id: String,
    behaviour: Behaviour,
    /// Prefill and decode engine of each grant.
    pair: [String; 2],
    calls: Mutex<Calls>,
}

impl Owner {
    /// Joins the view of the host as the owner of its only shard.
    async fn start(deployment: &Deployment, host: &HostProcess, behaviour: Behaviour) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let owner = Arc::new(Owner {
            id: first_in_rank(addr),
            behaviour,
            pair: pair(deployment),
            calls: Mutex::default(),
        });
        tokio::spawn(owner.clone().accept(listener));
        let ping = Message {
            from: member(&owner.id, addr),
            counter: 0,
            seq: 1,
            kind: Kind::Ping,
            member_updates: Vec::new(),
            view_digest: 0,
            gossip_digest: 0,
            gossip_updates: Vec::new(),
        };
        let signed = bv_wire::sign(CLUSTER_KEY.as_bytes(), &ping).encode_to_vec();
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.send_to(&signed, host.spec.peer_addr).await.unwrap();
        while operator_get(host, "/v1/status").await["members"]
            .as_array()
            .is_none_or(|members| members.len() < 2)
        {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        owner
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut conn = Framed::new(stream, FrameCodec::default());
        let hello = Hello {
            host: self.id.clone(),
            incarnation: 1,
            cluster_key: CLUSTER_KEY.to_owned(),
        };
        let _ = conn.next().await;
        let body = Some(Body::Hello(hello));
        conn.send(Frame { id: 0, body }).await.unwrap();
        let (mut sink, mut calls) = conn.split();
        let (tx, mut rx) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(frame) = rx.recv().await {
                let _ = sink.send(frame).await;
            }
        });
        while let Some(Ok(frame)) = calls.next().await {
            let (delay, body) = self.answer(frame.body.unwrap());
            let (tx, id) = (tx.clone(), frame.id);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let _ = tx.send(Frame {
                    id,
                    body: Some(body),
                });
            });
        }
    }

    fn answer(&self, call: Body) -> (Duration, Body) {
        let mut calls = self.calls.lock().unwrap();
        let (reserve_delay, start_delay) = match self.behaviour {
            Behaviour::GrantsLate(delay) | Behaviour::RefusesFirst(delay) => {
                (delay, Duration::ZERO)
            }
            Behaviour::StartsLate(delay) => (Duration::ZERO, delay),
        };
        match call {
            Body::Reserve(reserve) => {
                let is_first = !calls.reserved.contains(&reserve.attempt);
                calls.reserved.push(reserve.attempt.clone());
                if is_first && matches!(self.behaviour, Behaviour::RefusesFirst(_)) {
                    let deny = Deny {
                        reason: Refusal::FirstTokenTooLate.code().to_owned(),
                        load_percent: 100,
                    };
                    return (reserve_delay, Body::Deny(deny));
                }
                if !calls.open.contains(&reserve.attempt) {
                    calls.open.push(reserve.attempt);
                }
                let [prefill, decode] = self.pair.clone();
                let grant = Grant {
                    prefill,
                    decode,
                    prefill_ms: 2_000,
                    first_token_ms: 4_000,
                    load_percent: 100,
                    slot_ready: false,
                };
                (reserve_delay, Body::Grant(grant))
            }
            Body::PrefillDone(_) => (start_delay, Body::Done(Done {})),
            Body::Release(release) => {
                calls.open.retain(|attempt| *attempt != release.attempt);
                calls.released.push(release.attempt);
                (Duration::ZERO, Body::Done(Done {}))
            }
            Body::Adopt(_) => {
                calls.adopted += 1;
                (Duration::ZERO, Body::Done(Done {}))
            }
            _ => (Duration::ZERO, Body::Unsupported(Unsupported {})),
        }
    }
}

fn member(id: &str, addr: SocketAddr) -> Member {
    Member {
        host: id.parse().unwrap(),
        incarnation: Incarnation(1),
        addr,
    }
}

/// A host id that ranks before `host-0` as owner of the shard.
fn first_in_rank(addr: SocketAddr) -> String {
    let ranks_first = |id: &String| {
        let members = [member("host-0", addr), member(id, addr)];
        rendezvous(SHARD, &members)[0].host.as_str() == id.as_str()
    };
    let mut ids = (0..).map(|index| format!("owner-{index}"));
    ids.find(ranks_first).unwrap()
}

fn pair(deployment: &Deployment) -> [String; 2] {
    use bv_config::EngineRole::{Decode, Prefill};
    [Prefill, Decode].map(|role| {
        let mut runners = deployment.inventory.runners.iter();
        runners.find(|r| r.role == role).unwrap().id.to_string()
    })
}

/// The call must need one attempt with one grant, which is released.
async fn one_grant(behaviour: Behaviour) {
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    let owner = Owner::start(&deployment, &hosts[0], behaviour).await;
    let answer = chat(hosts[0].spec.caller_addr, "n1-1", OUTPUT_TOKENS, true).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    let calls = owner.calls.lock().unwrap();
    let mut attempts = calls.reserved.clone();
    attempts.dedup();
    assert_eq!(attempts.len(), 1, "{behaviour:?}: {calls:?}");
    assert_eq!(calls.adopted, 0, "{behaviour:?}: placed without the owner");
    assert!(calls.open.is_empty(), "{behaviour:?}: {calls:?}");
    assert!(
        answer.is_complete_stream("n1-1", OUTPUT_TOKENS),
        "{behaviour:?}: {answer:?}"
    );
}

/// Guards against late grants that are discarded, after which the same slots are granted again.
#[tokio::test(flavor = "multi_thread")]
async fn late_grants_are_used() {
    let late = |delay_ms| one_grant(Behaviour::GrantsLate(Duration::from_millis(delay_ms)));
    tokio::join!(late(200), late(300), late(400));
}

/// Guards against a finished prefill that is evicted because each late answer is discarded.
#[tokio::test(flavor = "multi_thread")]
async fn late_starts_are_used() {
    let late = |delay_ms| one_grant(Behaviour::StartsLate(Duration::from_millis(delay_ms)));
    tokio::join!(late(200), late(300), late(400));
}

/// Guards against a grant that the owner keeps because a repeated call got it after the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn grant_after_refusal_is_returned() {
    let delay = Duration::from_millis(250);
    let deployment = deployment().await;
    let hosts = start_hosts(&deployment, 1).await;
    let owner = Owner::start(&deployment, &hosts[0], Behaviour::RefusesFirst(delay)).await;
    let answer = chat(hosts[0].spec.caller_addr, "n1-1", OUTPUT_TOKENS, true).await;
    tokio::time::sleep(QUIET_PERIOD).await;
    let calls = owner.calls.lock().unwrap();
    assert!(!answer.head.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert_eq!(calls.reserved.len(), 2, "{calls:?}");
    assert!(calls.open.is_empty(), "{calls:?}");
    assert_eq!(calls.released.len(), 1, "{calls:?}");
}
