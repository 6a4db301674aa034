//! Calls between entry hosts, and the view of which hosts are live.

mod answer;
mod error;
mod event;
mod gossip;
mod link;
mod listener;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError, RwLock, Weak};

use bv_member::{Event, GossipUpdate, Member};
use bv_types::{HostId, Incarnation, Millis};
use bv_wire::frame::Body;
use tokio::sync::{broadcast, mpsc};

use crate::{Host, Settings};

pub(crate) use answer::answer;
pub(crate) use error::{PeerCause, PeerError, PeerStep};
pub(crate) use event::PeerEvent;
pub(crate) use gossip::run_gossip;
pub(crate) use link::Link;
pub(crate) use listener::serve;

/// Events that a slow receiver may lag behind before it loses the oldest.
const EVENT_CAPACITY: usize = 1_024;
/// Time for announcing the departure to the other hosts.
const LEAVE_TIME: Millis = Millis(500);

/// A connection that is opened by the first call to its peer.
#[derive(Default)]
struct Slot(tokio::sync::Mutex<Option<Link>>);

/// Other entry hosts.
pub(crate) struct Peers {
    this: Member,
    host: OnceLock<Weak<Host>>,
    view: RwLock<Vec<Member>>,
    slots: Mutex<Vec<(HostId, Arc<Slot>)>>,
    /// Input of the membership.
    input_tx: mpsc::UnboundedSender<Event>,
    /// Receiver of the input, taken when the membership starts.
    input_rx: Mutex<Option<mpsc::UnboundedReceiver<Event>>>,
    events: broadcast::Sender<PeerEvent>,
}

impl Peers {
    /// A view that holds only this host.
    pub fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let this = Member {
            host: settings.host_id.clone(),
            incarnation,
            addr: advertised_addr(settings),
        };
        let (input_tx, input_rx) = mpsc::unbounded_channel();
        Peers {
            input_tx,
            input_rx: Mutex::new(Some(input_rx)),
            events: broadcast::Sender::new(EVENT_CAPACITY),
            view: RwLock::new(vec![this.clone()]),
            this,
            host: OnceLock::new(),
            slots: Mutex::default(),
        }
    }

    /// Sets the host, which answers calls to itself and whose settings are used to open
    /// connections.
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

    /// Subscribes to events of members and gossip.
    pub fn subscribe(&self) -> broadcast::Receiver<PeerEvent> {
        self.events.subscribe()
    }

    /// Gossips an update of this host.
    pub fn add_gossip_update(&self, update: GossipUpdate) {
        // The membership runs until the process ends, so it receives the update.
        let _ = self.input_tx.send(Event::AddGossipUpdate(update));
    }

    /// Announces that this host leaves.
    pub async fn leave(&self) {
        let _ = self.input_tx.send(Event::Leave);
        tokio::time::sleep(LEAVE_TIME.duration()).await;
    }

    fn take_input(&self) -> Option<mpsc::UnboundedReceiver<Event>> {
        self.input_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    fn announce(&self, event: PeerEvent) {
        // Sending fails only if nobody has subscribed.
        let _ = self.events.send(event);
    }

    fn set_view(&self, view: Vec<Member>) {
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    /// Closes the connection to a dead process, so that calls to it fail at once.
    fn disconnect(&self, member: &Member) {
        let slot = self.slot(&member.host);
        // A locked slot means that a connection is being opened, which checks the incarnation
        // again.
        if let Ok(mut open) = slot.0.try_lock()
            && let Some(link) = &*open
            && link.peer.incarnation <= member.incarnation
        {
            link.close();
            *open = None;
        }
    }
}

/// Address under which others reach this host.
fn advertised_addr(settings: &Settings) -> SocketAddr {
    let mut addr = settings.peer_advertise.unwrap_or(settings.peer_addr);
    if addr.ip().is_unspecified()
        && let Some(ip) = settings.bind_ip
    {
        addr.set_ip(ip);
    }
    addr
}
