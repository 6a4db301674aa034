//! Runs the gossip membership over UDP.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bv_member::{Action, Event, GossipUpdate, Membership, Message};
use bv_types::{Fingerprint, HostId, Incarnation, Millis};
use bv_wire::{DatagramCodec, SignedDatagram};
use futures_util::{SinkExt, StreamExt};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::udp::UdpFramed;
use tracing::{debug, info, warn};

use super::PeerEvent;
use crate::conf::Advert;
use crate::{Host, counters};

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Ages above this come from a host whose configuration was never confirmed; a hop adds to the age.
const NEVER_CONFIRMED: Millis = Millis(u64::MAX / 2);

/// Takes part in the membership until the process ends.
pub(crate) async fn run_gossip(host: Arc<Host>, socket: UdpSocket) {
    let Some(input) = host.peers.take_input() else {
        return;
    };
    let this = host.peers.this.clone();
    if this.addr.ip().is_unspecified() {
        warn!(addr = %this.addr, "peers: others cannot reach this host; set --peer-advertise");
    }
    let seeds = host.settings.seeds.clone();
    let membership = Membership::new(this, seeds, random_seed(&host), host.clock.now());
    let gossip = Gossip {
        framed: UdpFramed::new(socket, DatagramCodec::default()),
        membership,
        superseded: false,
        host,
    };
    gossip.run(input).await;
}

fn random_seed(host: &Host) -> u64 {
    let chosen = match host.settings.random_seed {
        0 => host.incarnation.0,
        seed => seed,
    };
    let id = host.settings.host_id.as_str().as_bytes();
    let digest = Fingerprint::digest([&chosen.to_le_bytes()[..], id]);
    u64::from_le_bytes(digest.0[..8].try_into().unwrap_or_default())
}

struct Gossip {
    framed: UdpFramed<DatagramCodec<SignedDatagram>>,
    membership: Membership,
    /// A newer process with this host's id has been reported.
    superseded: bool,
    host: Arc<Host>,
}

impl Gossip {
    async fn run(mut self, mut input: mpsc::UnboundedReceiver<Event>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = tick.tick() => Some(Event::Tick),
                event = input.recv() => event,
                received = self.framed.next() => self.verify_datagram(received),
            };
            self.advertise_config().await;
            if let Some(event) = event {
                self.handle(event).await;
            }
        }
    }

    /// Verifies a datagram and returns its message; invalid datagrams are dropped and counted.
    fn verify_datagram<E: fmt::Display>(
        &self,
        received: Option<Result<(SignedDatagram, SocketAddr), E>>,
    ) -> Option<Event> {
        let (signed, from) = match received? {
            Ok(received) => received,
            Err(err) => {
                counters::datagram_dropped("malformed");
                debug!(%err, "peers: datagram dropped");
                return None;
            }
        };
        let key = self.host.settings.cluster_key.expose().as_bytes();
        match bv_wire::verify(key, &signed) {
            Ok(message) => Some(Event::Packet(message)),
            Err(err) => {
                counters::datagram_dropped(err.reason());
                debug!(%from, %err, "peers: datagram dropped");
                None
            }
        }
    }

    /// Advertises the configuration in force with the age of its confirmation.
    async fn advertise_config(&mut self) {
        let Some(advert) = self.host.conf.advert() else {
            return;
        };
        let update = GossipUpdate::Config {
            version: advert.version,
            digest: advert.digest,
            age: advert.age.unwrap_or(Millis::MAX),
        };
        self.handle(Event::AddGossipUpdate(update)).await;
    }

    async fn handle(&mut self, event: Event) {
        let now = self.host.clock.now();
        for action in self.membership.handle(now, event) {
            match action {
                Action::Send { to, message } => self.send(to, &message).await,
                Action::Joined(member) => {
                    info!(host = %member.host, incarnation = %member.incarnation, "peers: joined");
                    self.announce("joined", PeerEvent::Joined(member));
                }
                Action::Suspected(member) => {
                    debug!(host = %member.host, "peers: suspected");
                    counters::member_event("suspected");
                }
                Action::Dead(member) => {
                    info!(host = %member.host, incarnation = %member.incarnation, "peers: dead");
                    self.host.peers.disconnect(&member);
                    self.announce("dead", PeerEvent::Dead(member));
                }
                Action::Left(member) => {
                    info!(host = %member.host, incarnation = %member.incarnation, "peers: left");
                    self.announce("left", PeerEvent::Left(member));
                }
                Action::GossipUpdate { from, update } => {
                    self.handle_config_advert(&from, &update);
                    self.host
                        .peers
                        .announce(PeerEvent::GossipUpdate { from, update });
                }
                Action::DeclaredDead { by } => {
                    warn!(%by, "peers: this host had been declared dead");
                    self.announce("declared_dead", PeerEvent::DeclaredDead { by });
                }
                Action::Superseded { by } => self.on_superseded(by),
            }
        }
    }

    /// Passes on a peer's configuration summary; the task of the configuration fetches newer
    /// versions.
    fn handle_config_advert(&self, from: &HostId, update: &GossipUpdate) {
        let GossipUpdate::Config {
            version,
            digest,
            age,
        } = update
        else {
            return;
        };
        let advert = Advert {
            version: *version,
            digest: *digest,
            age: (*age < NEVER_CONFIRMED).then_some(*age),
        };
        self.host.conf.handle_advert(from.clone(), advert);
    }

    /// Updates the view first, so that receivers of the event find it.
    fn announce(&self, kind: &'static str, event: PeerEvent) {
        counters::member_event(kind);
        let view = self.membership.alive();
        counters::members(view.len());
        self.host.peers.set_view(view);
        self.host.peers.announce(event);
    }

    fn on_superseded(&mut self, by: Incarnation) {
        if !self.superseded {
            warn!(incarnation = %by, "peers: a newer process has the id of this host");
        }
        self.superseded = true;
    }

    async fn send(&mut self, to: SocketAddr, message: &Message) {
        let key = self.host.settings.cluster_key.expose().as_bytes();
        let signed = bv_wire::sign(key, message);
        if let Err(err) = self.framed.send((signed, to)).await {
            debug!(%to, %err, "peers: sending a datagram failed");
        }
    }
}
