//! The configuration of an entry host: runs the actions of [`Versions`].

mod row;
mod task;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bv_config::{Action, Document, Event, Inventory, Notice, Outcome, Readiness, Versions};
use bv_store::Row;
use bv_types::{Clock, Fingerprint, HostId, Millis, Version};
use bv_wire::Config;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot, watch};
use tracing::{info, warn};

use crate::counters;

pub(crate) use row::ConfigRow;
pub(crate) use task::run;

/// Key of the configuration row.
pub(crate) const CONFIG_KEY: &str = "config/current";
/// Largest row of the table, in bytes.
pub(crate) const MAX_ROW_BYTES: usize = 400_000;
/// Space for the ids of earlier changes in the row, in bytes: 16 entries of at most 120 bytes.
pub(crate) const EARLIER_CHANGES_BYTES: usize = 2_000;

/// A configuration in force.
#[derive(Debug, Clone)]
pub(crate) struct CurrentConfig {
    pub version: Version,
    pub row: Arc<ConfigRow>,
    pub inventory: Arc<Inventory>,
}

/// Summary of a host's configuration, which it gossips to the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Advert {
    /// Version in force.
    pub version: Version,
    /// Digest of the document.
    pub digest: Fingerprint,
    /// Time since it was confirmed by the store; `None` if never.
    pub age: Option<Millis>,
}

/// The configuration in force, and the state machine that decides it.
#[derive(Debug)]
pub(crate) struct Conf {
    in_force: watch::Sender<Option<CurrentConfig>>,
    clock: Clock,
    state: Mutex<State>,
    actions: mpsc::UnboundedSender<Action>,
    /// Receiver of `actions`, taken by [`run`].
    action_queue: Mutex<Option<mpsc::UnboundedReceiver<Action>>>,
}

#[derive(Debug)]
struct State {
    versions: Versions,
    /// Operators' requests that wait for the outcome of a change.
    waiting: Vec<(SmolStr, oneshot::Sender<Outcome>)>,
    parsed: Option<ParsedDocument>,
    /// Version of the last malformed row, so that it is logged only once.
    malformed: Option<Version>,
}

/// The last parsed document, so that it is not parsed again at each poll.
#[derive(Debug)]
struct ParsedDocument {
    digest: Fingerprint,
    inventory: Option<Arc<Inventory>>,
}

impl Conf {
    /// Starts without a configuration; `has_seeds` if the settings name other entry hosts.
    pub fn new(clock: Clock, has_seeds: bool) -> Self {
        let (actions, action_queue) = mpsc::unbounded_channel();
        Conf {
            in_force: watch::Sender::new(None),
            clock,
            state: Mutex::new(State {
                versions: Versions::new(has_seeds),
                waiting: Vec::new(),
                parsed: None,
                malformed: None,
            }),
            actions,
            action_queue: Mutex::new(Some(action_queue)),
        }
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<CurrentConfig> {
        self.in_force.borrow().clone()
    }

    /// Summary that this host gossips; `None` without a configuration.
    pub fn advert(&self) -> Option<Advert> {
        let state = self.lock();
        let document = state.versions.current()?;
        Some(Advert {
            version: document.version,
            digest: document.digest(),
            age: state.versions.age(self.clock.now()),
        })
    }

    /// Handles the summary that a peer gossiped; a newer version is fetched from that peer.
    pub fn handle_advert(&self, peer: HostId, advert: Advert) {
        self.handle(Event::Advertised {
            peer,
            version: advert.version,
            digest: advert.digest,
            age: advert.age,
        });
    }

    /// The answer to a peer that requests the configuration.
    pub fn answer(&self) -> Config {
        let state = self.lock();
        let age = state.versions.age(self.clock.now());
        match state.versions.current() {
            Some(document) => row::to_wire(document, age.map(|age| age.0)),
            None => Config::default(),
        }
    }

    /// Whether this host should receive work.
    pub fn readiness(&self) -> Readiness {
        self.lock().versions.readiness(self.clock.now())
    }

    /// Time since the configuration was confirmed, and whether it is stale.
    pub fn freshness(&self) -> (Option<Millis>, bool) {
        let now = self.clock.now();
        let state = self.lock();
        (state.versions.age(now), state.versions.is_stale(now))
    }

    /// Replaces the configuration if `expected` is current; `text` must be a valid document.
    pub async fn apply(&self, change: SmolStr, expected: Version, text: Arc<str>) -> Outcome {
        let (tx, rx) = oneshot::channel();
        self.lock().waiting.push((change.clone(), tx));
        self.handle(Event::Apply {
            change,
            expected,
            text,
        });
        rx.await.unwrap_or(Outcome::Unknown)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an event. Documents in it must parse as an inventory; others are not put in force.
    fn handle(&self, event: Event) {
        let now = self.clock.now();
        let mut state = self.lock();
        for action in state.versions.handle(now, event) {
            match action {
                Action::PutInForce(document) => self.put_in_force(&mut state, &document),
                Action::Reply { change, outcome } => reply(&mut state, &change, outcome),
                Action::Notice(notice) => log_notice(notice),
                // The receiver lives as long as the process.
                other => drop(self.actions.send(other)),
            }
        }
        counters::config_stale(state.versions.is_stale(now));
    }

    fn put_in_force(&self, state: &mut State, document: &Document) {
        let Some(inventory) = state.parse(document) else {
            return;
        };
        self.in_force.send_replace(Some(CurrentConfig {
            version: document.version,
            row: Arc::new(ConfigRow::from_document(document)),
            inventory,
        }));
        counters::config_version(document.version.0);
        info!(version = %document.version, change = %document.change, "conf: in force");
    }

    /// The document in a row if it can be put in force.
    fn read_row(&self, row: &Row) -> Option<Document> {
        match row::from_row(row) {
            Ok(document) => self.validated(document),
            Err(err) => {
                let mut state = self.lock();
                if state.malformed.replace(row.version) != Some(row.version) {
                    counters::config_refused();
                    warn!(version = %row.version, %err, "conf: the configuration row is malformed");
                }
                None
            }
        }
    }

    /// Returns the document if its inventory parses.
    fn validated(&self, document: Document) -> Option<Document> {
        let parses = self.lock().parse(&document).is_some();
        parses.then_some(document)
    }
}

impl State {
    fn parse(&mut self, document: &Document) -> Option<Arc<Inventory>> {
        let digest = document.digest();
        if let Some(parsed) = &self.parsed
            && parsed.digest == digest
        {
            return parsed.inventory.clone();
        }
        let inventory = match Inventory::parse(&document.text) {
            Ok(inventory) => Some(Arc::new(inventory)),
            Err(err) => {
                counters::config_refused();
                let (line, column) = err.position();
                warn!(
                    version = %document.version,
                    line,
                    column,
                    %err,
                    "conf: the configuration document is invalid and is refused"
                );
                None
            }
        };
        self.parsed = Some(ParsedDocument {
            digest,
            inventory: inventory.clone(),
        });
        inventory
    }
}

fn reply(state: &mut State, change: &str, outcome: Outcome) {
    info!(change, ?outcome, "conf: change decided");
    let waiting = std::mem::take(&mut state.waiting);
    for (waiting_for, tx) in waiting {
        match waiting_for == change {
            // Sending fails if the operator disconnected, who then repeats the request with the
            // same change id.
            true => drop(tx.send(outcome)),
            false => state.waiting.push((waiting_for, tx)),
        }
    }
}

fn log_notice(notice: Notice) {
    match notice {
        Notice::StoreUnavailable => warn!("conf: the table service does not answer"),
        Notice::StoreAvailable => info!("conf: the table service answers again"),
        Notice::Stale => warn!("conf: the configuration is not confirmed"),
        Notice::Fresh => info!("conf: the configuration is confirmed"),
        Notice::Repair { stored, own } => {
            counters::config_repaired();
            warn!(%stored, %own, "conf: writing the newer version back to the table service");
        }
        Notice::Diverged { version } => {
            counters::config_diverged();
            warn!(%version, "conf: two documents have the same version; the store's is used");
        }
    }
}
