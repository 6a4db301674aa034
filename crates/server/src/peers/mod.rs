//! Calls between entry hosts, and the view of which hosts are live.

mod answer;
mod config;
mod error;
mod link;
mod listener;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock, Weak};

use bv_member::Member;
use bv_types::{HostId, Incarnation, Millis};
use bv_wire::frame::Body;
use tracing::debug;

use crate::{Host, Settings};

pub(crate) use answer::answer;
pub(crate) use error::{PeerCause, PeerError, PeerStep};
pub(crate) use link::Link;
pub(crate) use listener::serve;

const SEED_POLL: Millis = Millis(1_000);

/// A connection that is opened by the first call to its peer.
#[derive(Default)]
struct Slot(tokio::sync::Mutex<Option<Link>>);

/// Other entry hosts.
pub(crate) struct Peers {
    this: Member,
    host: OnceLock<Weak<Host>>,
    view: RwLock<Vec<Member>>,
    slots: Mutex<Vec<(HostId, Arc<Slot>)>>,
}

impl Peers {
    /// A view that holds only this host.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let this = Member {
            host: settings.host_id.clone(),
            incarnation,
            addr: advertised(settings),
        };
        Peers {
            view: RwLock::new(vec![this.clone()]),
            this,
            host: OnceLock::new(),
            slots: Mutex::default(),
        }
    }

    /// Gives calls to this host itself access to its state.
    pub fn attach(&self, host: &Arc<Host>) {
        let _ = self.host.set(Arc::downgrade(host));
    }

    /// Live entry hosts, sorted by id, this one included.
    pub fn alive(&self) -> Vec<Member> {
        self.view
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Calls a live peer, or this host itself without a connection.
    ///
    /// # Errors
    /// Names the peer and the step that failed. After a failure in [`PeerStep::Answer`] the peer
    /// may have acted on the call.
    pub async fn call(
        &self,
        peer: &HostId,
        body: Body,
        timeout: Millis,
    ) -> Result<Body, PeerError> {
        let mut step = PeerStep::Find;
        let exchange = self.exchange(peer, body, &mut step);
        let cause = match tokio::time::timeout(timeout.duration(), exchange).await {
            Ok(Ok(body)) => return Ok(body),
            Ok(Err(cause)) => cause,
            Err(_) => PeerCause::Timeout(timeout),
        };
        Err(PeerError {
            peer: peer.clone(),
            step,
            cause,
        })
    }

    async fn exchange(
        &self,
        peer: &HostId,
        body: Body,
        step: &mut PeerStep,
    ) -> Result<Body, PeerCause> {
        if *peer == self.this.host {
            *step = PeerStep::Answer;
            let host = self.host.get().and_then(Weak::upgrade);
            let host = host.ok_or(PeerCause::Closed)?;
            return Ok(answer(&host, peer, self.this.incarnation, body).await);
        }
        let member = self.find(peer).ok_or(PeerCause::NotAlive)?;
        let link = self.link(&member, step).await?;
        *step = PeerStep::Answer;
        link.call(body).await
    }

    fn find(&self, peer: &HostId) -> Option<Member> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        let at = view.binary_search_by(|m| m.host.cmp(peer)).ok()?;
        Some(view[at].clone())
    }

    /// The open connection to a member, or a new one.
    async fn link(&self, member: &Member, step: &mut PeerStep) -> Result<Link, PeerCause> {
        let slot = self.slot(&member.host);
        let mut open = slot.0.lock().await;
        if let Some(link) = &*open
            && link.is_open()
            && link.peer.incarnation >= member.incarnation
        {
            return Ok(link.clone());
        }
        *step = PeerStep::Connect;
        let host = self.host.get().and_then(Weak::upgrade);
        let host = host.ok_or(PeerCause::Closed)?;
        let link = Link::open(&host.settings, self.this.incarnation, member.addr, step).await?;
        if link.peer.host != member.host {
            return Err(PeerCause::OtherHost(link.peer.host.clone()));
        }
        *open = Some(link.clone());
        Ok(link)
    }

    fn slot(&self, peer: &HostId) -> Arc<Slot> {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        match slots.binary_search_by(|(host, _)| host.cmp(peer)) {
            Ok(at) => slots[at].1.clone(),
            Err(at) => {
                slots.insert(at, (peer.clone(), Arc::default()));
                slots[at].1.clone()
            }
        }
    }

    fn add(&self, member: Member) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        match view.binary_search_by(|m| m.host.cmp(&member.host)) {
            Ok(at) => view[at] = member,
            Err(at) => view.insert(at, member),
        }
    }

    fn remove(&self, peer: &HostId) {
        let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
        view.retain(|m| m.host != *peer);
    }
}

/// Address under which others reach this host.
fn advertised(settings: &Settings) -> SocketAddr {
    let mut addr = settings.peer_advertise.unwrap_or(settings.peer_addr);
    if addr.ip().is_unspecified()
        && let Some(ip) = settings.bind_ip
    {
        addr.set_ip(ip);
    }
    addr
}

/// Adds seeds that answer a hello and removes those whose connection closed.
pub(crate) async fn follow_seeds(host: Arc<Host>) {
    let mut links: Vec<(SocketAddr, Option<Link>)> =
        host.settings.seeds.iter().map(|s| (*s, None)).collect();
    loop {
        for (addr, link) in &mut links {
            if link.as_ref().is_some_and(Link::is_open) {
                continue;
            }
            if let Some(closed) = link.take() {
                host.peers.remove(&closed.peer.host);
            }
            let mut step = PeerStep::Connect;
            let open = Link::open(&host.settings, host.incarnation, *addr, &mut step);
            match tokio::time::timeout(SEED_POLL.duration(), open).await {
                Ok(Ok(opened)) if opened.peer.host != host.settings.host_id => {
                    host.peers.add(Member {
                        host: opened.peer.host.clone(),
                        incarnation: opened.peer.incarnation,
                        addr: *addr,
                    });
                    *link = Some(opened);
                }
                Ok(Ok(_)) => {}
                Ok(Err(cause)) => debug!(%addr, %step, %cause, "peers: seed does not answer"),
                Err(_) => debug!(%addr, %step, "peers: seed does not answer in time"),
            }
        }
        config::fetch_first(&host).await;
        tokio::time::sleep(SEED_POLL.duration()).await;
    }
}
