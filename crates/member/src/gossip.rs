//! Rumours and how long they spread.

use crate::member::short_digest;
use bv_types::{BackendId, Fingerprint, Incarnation, Millis, Version};

/// How long a leaving mark or a suspect spreads; receivers keep their own record of it.
const SPREAD_FOR: Millis = Millis::from_secs(600);
/// Rumours are sent again at most once in this time to hosts that hold others.
const REPEAT_PERIOD: Millis = Millis(500);
/// Unknown rumours with less time left are ignored, so that expired ones do not return from
/// hosts that heard of them a little later.
const MIN_TTL: Millis = Millis::from_secs(2);
/// Difference in remaining time above which a rumour was announced anew.
const RENEWED: Millis = Millis::from_secs(5);
/// Added to the age of a confirmation for each hop. Transit time is not known; without this,
/// hosts that pass one confirmation back and forth would make it look ever newer.
const HOP_AGE: Millis = Millis(1_000);
/// Rumours held at a time; the one that expires first makes room.
const MAX_HELD: usize = 1_024;

/// News that is not about members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rumour {
    /// The configuration in force at the sender.
    Config {
        /// Its version.
        version: Version,
        /// Digest of the document.
        digest: Fingerprint,
        /// Time since the version was confirmed by the table service.
        age: Millis,
    },
    /// A backend server leaves.
    Leaving {
        /// The backend server.
        backend: BackendId,
        /// Its process.
        incarnation: Incarnation,
    },
    /// A request was in flight when an engine crashed.
    Suspect {
        /// The request.
        fingerprint: Fingerprint,
        /// Number of crashes held against it.
        score: u32,
    },
    /// A request is refused because it crashes engines.
    Convicted {
        /// The request.
        fingerprint: Fingerprint,
        /// End of the refusal, by the clock of the host that reads this.
        until: Millis,
    },
}

/// A rumour in a message. Clocks of hosts are not compared: `ttl` is relative, and replaces the
/// `until` of a conviction at the receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SentRumour {
    /// The rumour.
    pub rumour: Rumour,
    /// Time until it expires.
    pub ttl: Millis,
}

/// What a rumour is about; newer rumours about the same replace older ones.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Leaving(BackendId),
    Suspect(Fingerprint),
    Convicted(Fingerprint),
}

#[derive(Debug)]
struct Held {
    topic: Topic,
    rumour: Rumour,
    /// Digest of the content without its times, which differ between hosts.
    digest: u64,
    expires: Millis,
    sends: u32,
}

#[derive(Debug, Clone, Copy)]
struct OwnConfig {
    version: Version,
    digest: Fingerprint,
    confirmed: Millis,
}

/// Rumours of one host, sorted by topic, and its own configuration.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    held: Vec<Held>,
    /// Sum of the digests of all held rumours.
    digest: u64,
    next_repeat: Millis,
    config: Option<OwnConfig>,
}

impl Rumours {
    /// Takes a rumour of this host; true if it is news.
    pub fn add(&mut self, now: Millis, rumour: Rumour, sends: u32) -> bool {
        if let Rumour::Config {
            version,
            digest,
            age,
        } = rumour
        {
            return self.set_config(version, digest, now - age);
        }
        let ttl = match &rumour {
            Rumour::Convicted { until, .. } => *until - now,
            _ => SPREAD_FOR,
        };
        self.merge(now, rumour, ttl, sends).is_some()
    }

    /// Takes a rumour of another host; returns it with local times if it is news.
    pub fn receive(&mut self, now: Millis, sent: SentRumour, sends: u32) -> Option<Rumour> {
        match sent.rumour {
            Rumour::Config {
                version,
                digest,
                age,
            } => self
                .hear_config(version, digest, now - age - HOP_AGE)
                .then_some(sent.rumour),
            rumour => self.merge(now, rumour, sent.ttl, sends),
        }
    }

    fn set_config(&mut self, version: Version, digest: Fingerprint, confirmed: Millis) -> bool {
        let next = OwnConfig {
            version,
            digest,
            confirmed,
        };
        let Some(own) = &mut self.config else {
            self.config = Some(next);
            return true;
        };
        if version < own.version {
            return false;
        }
        let changed = (own.version, own.digest) != (version, digest);
        let confirmed = match changed {
            true => confirmed,
            false => confirmed.max(own.confirmed),
        };
        *own = OwnConfig { confirmed, ..next };
        changed
    }

    /// Whether another host's configuration is newer, differs, or was confirmed later. A later
    /// confirmation of this host's version is passed on.
    fn hear_config(&mut self, version: Version, digest: Fingerprint, confirmed: Millis) -> bool {
        let Some(own) = &mut self.config else {
            return true;
        };
        if version != own.version {
            return version > own.version;
        }
        if digest != own.digest {
            return true;
        }
        let later = confirmed > own.confirmed;
        own.confirmed = own.confirmed.max(confirmed);
        later
    }

    fn merge(&mut self, now: Millis, rumour: Rumour, ttl: Millis, sends: u32) -> Option<Rumour> {
        let expires = now + ttl.min(Millis::from_secs(86_400));
        let (topic, rumour) = match rumour {
            Rumour::Config { .. } => return None,
            Rumour::Leaving { ref backend, .. } => (Topic::Leaving(backend.clone()), rumour),
            Rumour::Suspect { fingerprint, .. } => (Topic::Suspect(fingerprint), rumour),
            Rumour::Convicted { fingerprint, .. } => {
                let until = expires;
                let rumour = Rumour::Convicted { fingerprint, until };
                (Topic::Convicted(fingerprint), rumour)
            }
        };
        let next = Held {
            digest: digest(&rumour),
            topic,
            rumour: rumour.clone(),
            expires,
            sends,
        };
        match self.held.binary_search_by(|h| h.topic.cmp(&next.topic)) {
            Ok(at) if supersedes(&next, &self.held[at]) => self.held[at] = next,
            Ok(_) => return None,
            Err(_) if ttl < MIN_TTL => return None,
            Err(at) => {
                self.held.insert(at, next);
                self.make_room();
            }
        }
        self.sum_up();
        Some(rumour)
    }

    fn make_room(&mut self) {
        if self.held.len() <= MAX_HELD {
            return;
        }
        let first = self
            .held
            .iter()
            .enumerate()
            .min_by_key(|(_, held)| held.expires)
            .map(|(at, _)| at);
        if let Some(at) = first {
            self.held.remove(at);
        }
    }

    /// Forgets expired rumours.
    pub fn expire(&mut self, now: Millis) {
        let before = self.held.len();
        self.held.retain(|held| held.expires > now);
        if self.held.len() != before {
            self.sum_up();
        }
    }

    fn sum_up(&mut self) {
        let digests = self.held.iter().map(|held| held.digest);
        self.digest = digests.fold(0, u64::wrapping_add);
    }

    /// Digest of all rumours; equal on hosts that hold the same.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Sends all rumours once more if another host holds others, because transmissions were lost.
    pub fn compare(&mut self, now: Millis, digest: u64) {
        if digest == self.digest || now < self.next_repeat {
            return;
        }
        self.next_repeat = now + REPEAT_PERIOD;
        self.refresh(1);
    }

    /// Sends all rumours again, because a member joined.
    pub fn refresh(&mut self, sends: u32) {
        for held in &mut self.held {
            held.sends = held.sends.max(sends);
        }
    }

    /// This host's configuration as a rumour.
    pub fn config(&self, now: Millis) -> Option<SentRumour> {
        self.config.map(|own| SentRumour {
            rumour: Rumour::Config {
                version: own.version,
                digest: own.digest,
                age: now - own.confirmed,
            },
            ttl: Millis::ZERO,
        })
    }

    /// Takes rumours of at most `room` bytes in all for one message, the least sent first.
    pub fn take(&mut self, now: Millis, mut room: usize) -> Vec<SentRumour> {
        let mut due: Vec<usize> = (0..self.held.len())
            .filter(|at| self.held[*at].sends > 0)
            .collect();
        due.sort_by_key(|at| std::cmp::Reverse(self.held[*at].sends));
        let mut taken = Vec::new();
        for at in due {
            let held = &mut self.held[at];
            let sent = SentRumour {
                rumour: held.rumour.clone(),
                ttl: held.expires - now,
            };
            if sent.max_bytes() > room {
                break;
            }
            room -= sent.max_bytes();
            held.sends -= 1;
            taken.push(sent);
        }
        taken
    }
}

fn digest(rumour: &Rumour) -> u64 {
    let (kind, name, number) = match rumour {
        Rumour::Config {
            digest, version, ..
        } => (0, digest.0.as_slice(), version.0),
        Rumour::Leaving {
            backend,
            incarnation,
        } => (1, backend.as_str().as_bytes(), incarnation.0),
        Rumour::Suspect { fingerprint, score } => (2, &fingerprint.0[..], u64::from(*score)),
        Rumour::Convicted { fingerprint, .. } => (3, &fingerprint.0[..], 0),
    };
    short_digest([&[kind][..], name, &number.to_le_bytes()])
}

fn supersedes(next: &Held, held: &Held) -> bool {
    let renewed = next.expires > held.expires + RENEWED;
    match (&next.rumour, &held.rumour) {
        (
            Rumour::Leaving { incarnation, .. },
            Rumour::Leaving {
                incarnation: known, ..
            },
        ) => incarnation > known || (incarnation == known && renewed),
        (Rumour::Suspect { score, .. }, Rumour::Suspect { score: known, .. }) => {
            score > known || (score == known && renewed)
        }
        _ => renewed,
    }
}
