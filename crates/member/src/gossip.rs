//! Gossip updates, which are about anything but the membership, and how long they are sent.

use crate::member::short_digest;
use bv_types::{BackendId, Fingerprint, Incarnation, Millis, Version};

/// Time for which a leaving mark or a suspect is gossiped; receivers keep their own record of it.
const GOSSIP_TTL: Millis = Millis::from_secs(600);
/// Minimum time between two resends of all updates, which the differing digest of another host
/// causes.
const RESEND_PERIOD: Millis = Millis(500);
/// Unknown updates with less time left are ignored, so that an expired update does not come back
/// from a host that received it a little later.
const MIN_NEW_TTL: Millis = Millis::from_secs(2);
/// An update counts as issued again by its source if it expires later than the stored one by more
/// than this.
const RENEWAL_THRESHOLD: Millis = Millis::from_secs(5);
/// Added to the age of a confirmation for each hop. The transit time is not known; without this
/// allowance, hosts that pass one confirmation back and forth would make it look ever newer.
const HOP_AGE: Millis = Millis(1_000);
/// Updates stored at a time; above this limit the one that expires first is dropped.
const MAX_UPDATES: usize = 1_024;

/// A gossiped update of anything but the membership: configuration, leaving backend servers,
/// suspect requests and blocked requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipUpdate {
    /// The configuration in force at the sender.
    Config {
        /// Its version.
        version: Version,
        /// Digest of the document.
        digest: Fingerprint,
        /// Time since the table service confirmed the version.
        age: Millis,
    },
    /// A backend server is shutting down.
    Leaving {
        /// The backend server.
        backend: BackendId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// A request was in flight when an engine crashed.
    SuspectRequest {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of crashes that it may have caused.
        score: u32,
    },
    /// A request is blocked because it crashes engines.
    BlockedRequest {
        /// The request.
        fingerprint: Fingerprint,
        /// End of the block, by the local clock.
        until: Millis,
    },
}

/// A gossip update in a message. Hosts do not compare clocks: `ttl` is relative, and at the
/// receiver it replaces the `until` of a blocked request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentGossipUpdate {
    /// The update.
    pub update: GossipUpdate,
    /// Time until it expires.
    pub ttl: Millis,
}

/// Subject of an update; a newer update replaces an older one with the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Leaving(BackendId),
    SuspectRequest(Fingerprint),
    BlockedRequest(Fingerprint),
}

#[derive(Debug)]
struct StoredUpdate {
    subject: Subject,
    update: GossipUpdate,
    /// Digest of the content without its times, because these differ between hosts.
    digest: u64,
    expires_at: Millis,
    sends_left: u32,
}

#[derive(Debug, Clone, Copy)]
struct OwnConfig {
    version: Version,
    digest: Fingerprint,
    confirmed_at: Millis,
}

/// Gossip updates of one host, sorted by subject, and the host's own configuration.
#[derive(Debug, Default)]
pub(crate) struct GossipStore {
    updates: Vec<StoredUpdate>,
    /// Sum of the digests of all stored updates.
    digest: u64,
    next_resend_at: Millis,
    config: Option<OwnConfig>,
}

impl GossipStore {
    /// Adds an update of this host; returns whether it is new.
    pub fn add(&mut self, now: Millis, update: GossipUpdate, sends_left: u32) -> bool {
        if let GossipUpdate::Config {
            version,
            digest,
            age,
        } = update
        {
            return self.set_config(version, digest, now - age);
        }
        let ttl = match &update {
            GossipUpdate::BlockedRequest { until, .. } => *until - now,
            _ => GOSSIP_TTL,
        };
        self.merge(now, update, ttl, sends_left).is_some()
    }

    /// Adds an update from another host; returns it with local times if it is new.
    pub fn receive(
        &mut self,
        now: Millis,
        sent: SentGossipUpdate,
        sends_left: u32,
    ) -> Option<GossipUpdate> {
        match sent.update {
            GossipUpdate::Config {
                version,
                digest,
                age,
            } => self
                .receive_config(version, digest, now - age - HOP_AGE)
                .then_some(sent.update),
            update => self.merge(now, update, sent.ttl, sends_left),
        }
    }

    fn set_config(&mut self, version: Version, digest: Fingerprint, confirmed_at: Millis) -> bool {
        let next = OwnConfig {
            version,
            digest,
            confirmed_at,
        };
        let Some(own) = &mut self.config else {
            self.config = Some(next);
            return true;
        };
        if version < own.version {
            return false;
        }
        let changed = (own.version, own.digest) != (version, digest);
        let confirmed_at = match changed {
            true => confirmed_at,
            false => confirmed_at.max(own.confirmed_at),
        };
        *own = OwnConfig {
            confirmed_at,
            ..next
        };
        changed
    }

    /// Returns whether another host's configuration is newer, differs, or was confirmed later.
    /// Adopts a later confirmation of this host's own version, so that it is passed on.
    fn receive_config(
        &mut self,
        version: Version,
        digest: Fingerprint,
        confirmed_at: Millis,
    ) -> bool {
        let Some(own) = &mut self.config else {
            return true;
        };
        if version != own.version {
            return version > own.version;
        }
        if digest != own.digest {
            return true;
        }
        let is_later = confirmed_at > own.confirmed_at;
        own.confirmed_at = own.confirmed_at.max(confirmed_at);
        is_later
    }

    fn merge(
        &mut self,
        now: Millis,
        update: GossipUpdate,
        ttl: Millis,
        sends_left: u32,
    ) -> Option<GossipUpdate> {
        // Limits a received time to live to one day.
        let expires_at = now + ttl.min(Millis::from_secs(86_400));
        let (subject, update) = match update {
            GossipUpdate::Config { .. } => return None,
            GossipUpdate::Leaving { ref backend, .. } => {
                (Subject::Leaving(backend.clone()), update)
            }
            GossipUpdate::SuspectRequest { fingerprint, .. } => {
                (Subject::SuspectRequest(fingerprint), update)
            }
            GossipUpdate::BlockedRequest { fingerprint, .. } => {
                let until = expires_at;
                let update = GossipUpdate::BlockedRequest { fingerprint, until };
                (Subject::BlockedRequest(fingerprint), update)
            }
        };
        let next = StoredUpdate {
            digest: content_digest(&update),
            subject,
            update: update.clone(),
            expires_at,
            sends_left,
        };
        match self
            .updates
            .binary_search_by(|s| s.subject.cmp(&next.subject))
        {
            Ok(at) if supersedes(&next, &self.updates[at]) => self.updates[at] = next,
            Ok(_) => return None,
            Err(_) if ttl < MIN_NEW_TTL => return None,
            Err(at) => {
                self.updates.insert(at, next);
                self.drop_over_limit();
            }
        }
        self.recompute_digest();
        Some(update)
    }

    fn drop_over_limit(&mut self) {
        if self.updates.len() <= MAX_UPDATES {
            return;
        }
        let earliest = self
            .updates
            .iter()
            .enumerate()
            .min_by_key(|(_, stored)| stored.expires_at)
            .map(|(at, _)| at);
        if let Some(at) = earliest {
            self.updates.remove(at);
        }
    }

    /// Removes expired updates.
    pub fn expire(&mut self, now: Millis) {
        let before = self.updates.len();
        self.updates.retain(|stored| stored.expires_at > now);
        if self.updates.len() != before {
            self.recompute_digest();
        }
    }

    fn recompute_digest(&mut self) {
        let digests = self.updates.iter().map(|stored| stored.digest);
        self.digest = digests.fold(0, u64::wrapping_add);
    }

    /// Digest of all updates; equal on hosts that hold the same ones.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Schedules all updates once more if another host holds different ones, because transmissions
    /// were lost.
    pub fn compare_digest(&mut self, now: Millis, digest: u64) {
        if digest == self.digest || now < self.next_resend_at {
            return;
        }
        self.next_resend_at = now + RESEND_PERIOD;
        self.resend_all(1);
    }

    /// Schedules all updates for at least this many transmissions, because a member joined.
    pub fn resend_all(&mut self, sends_left: u32) {
        for stored in &mut self.updates {
            stored.sends_left = stored.sends_left.max(sends_left);
        }
    }

    /// This host's configuration as a gossip update.
    pub fn config(&self, now: Millis) -> Option<SentGossipUpdate> {
        self.config.map(|own| SentGossipUpdate {
            update: GossipUpdate::Config {
                version: own.version,
                digest: own.digest,
                age: now - own.confirmed_at,
            },
            ttl: Millis::ZERO,
        })
    }

    /// Takes updates for one message, the least sent first, of at most `bytes_left` bytes in all.
    pub fn take_due(&mut self, now: Millis, mut bytes_left: usize) -> Vec<SentGossipUpdate> {
        let mut due: Vec<usize> = (0..self.updates.len())
            .filter(|at| self.updates[*at].sends_left > 0)
            .collect();
        due.sort_by_key(|at| std::cmp::Reverse(self.updates[*at].sends_left));
        let mut taken = Vec::new();
        for at in due {
            let stored = &mut self.updates[at];
            let sent = SentGossipUpdate {
                update: stored.update.clone(),
                ttl: stored.expires_at - now,
            };
            if sent.max_bytes() > bytes_left {
                break;
            }
            bytes_left -= sent.max_bytes();
            stored.sends_left -= 1;
            taken.push(sent);
        }
        taken
    }
}

fn content_digest(update: &GossipUpdate) -> u64 {
    let (kind, name, number) = match update {
        GossipUpdate::Config {
            digest, version, ..
        } => (0, digest.0.as_slice(), version.0),
        GossipUpdate::Leaving {
            backend,
            incarnation,
        } => (1, backend.as_str().as_bytes(), incarnation.0),
        GossipUpdate::SuspectRequest { fingerprint, score } => {
            (2, &fingerprint.0[..], u64::from(*score))
        }
        GossipUpdate::BlockedRequest { fingerprint, .. } => (3, &fingerprint.0[..], 0),
    };
    short_digest([&[kind][..], name, &number.to_le_bytes()])
}

fn supersedes(next: &StoredUpdate, stored: &StoredUpdate) -> bool {
    let is_renewed = next.expires_at > stored.expires_at + RENEWAL_THRESHOLD;
    match (&next.update, &stored.update) {
        (
            GossipUpdate::Leaving { incarnation, .. },
            GossipUpdate::Leaving {
                incarnation: known, ..
            },
        ) => incarnation > known || (incarnation == known && is_renewed),
        (
            GossipUpdate::SuspectRequest { score, .. },
            GossipUpdate::SuspectRequest { score: known, .. },
        ) => score > known || (score == known && is_renewed),
        _ => is_renewed,
    }
}
