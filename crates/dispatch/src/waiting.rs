//! One order of the waiting calls of all hosts.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use bv_types::{Millis, TeamId};

use crate::ask::{Ask, AskId};

/// Time without a new ask after which a call no longer waits: its host asks every 70 ms, so three asks
/// may be lost.
const ASK_LIFETIME: Millis = Millis(300);
/// Time for which a predicted wait is used again. To predict it takes as long as there are calls.
const PREDICTION_LIFETIME: Millis = Millis(250);

#[derive(Debug, Clone)]
struct Waiter {
    ask: Ask,
    asked_at: Millis,
    /// Predicted time of its slot, and when that was predicted.
    predicted: Option<(Millis, Millis)>,
}

/// What a team was granted at one priority. Teams with more wait for those with less.
#[derive(Debug, Clone)]
struct TeamShare {
    priority: u8,
    team: Option<TeamId>,
    granted: f64,
    /// Number of its waiting calls.
    waiting: usize,
}

impl TeamShare {
    fn has(&self, ask: &Ask) -> bool {
        self.priority == ask.priority && self.team == ask.team
    }

    /// Order in which teams with waiting calls get the next slot.
    fn order(&self, other: &TeamShare) -> Ordering {
        self.priority
            .cmp(&other.priority)
            .then(self.granted.total_cmp(&other.granted))
            .then_with(|| self.team.cmp(&other.team))
    }
}

/// Waiting calls of all hosts.
///
/// The more urgent go first. Among teams of one priority, the one that was granted least goes first, where a
/// team that did not wait counts as granted as much as the last one, so that unused capacity is lent and not
/// saved up. Within a team, calls that can still be on time go before those that are late, otherwise the order
/// is that of arrival.
#[derive(Debug, Default)]
pub struct Waiting {
    calls: BTreeMap<AskId, Waiter>,
    shares: Vec<TeamShare>,
}

impl Waiting {
    /// Adds a call, or renews it; returns whether it is new.
    pub fn put(&mut self, now: Millis, ask: Ask) -> bool {
        if let Some(known) = self.calls.get_mut(&ask.id) {
            let arrived = known.ask.arrived.min(ask.arrived);
            known.ask = Ask { arrived, ..ask };
            known.asked_at = now;
            return false;
        }
        let share = self.share_of(&ask);
        self.shares[share].waiting += 1;
        let waiter = Waiter {
            ask,
            asked_at: now,
            predicted: None,
        };
        self.calls.insert(waiter.ask.id.clone(), waiter);
        true
    }

    /// A waiting call.
    pub fn find(&self, id: &AskId) -> Option<&Ask> {
        self.calls.get(id).map(|w| &w.ask)
    }

    /// Removes a call; returns it if it waited.
    pub fn remove(&mut self, id: &AskId) -> Option<Ask> {
        let ask = self.calls.remove(id)?.ask;
        if let Ok(at) = self.find_share(ask.priority, &ask.team) {
            self.shares[at].waiting -= 1;
        }
        Some(ask)
    }

    /// The predicted time of a call's slot, if it was predicted a short time ago.
    pub fn predicted(&self, now: Millis, id: &AskId) -> Option<Millis> {
        let (slot_at, at) = self.calls.get(id)?.predicted?;
        (now < at + PREDICTION_LIFETIME).then_some(slot_at)
    }

    /// Records the predicted time of a call's slot.
    pub fn set_predicted(&mut self, now: Millis, id: &AskId, slot_at: Millis) {
        if let Some(known) = self.calls.get_mut(id) {
            known.predicted = Some((slot_at, now));
        }
    }

    /// Removes a call that is granted a slot, and charges its team.
    pub fn grant(&mut self, id: &AskId) -> Option<Ask> {
        let ask = self.remove(id)?;
        if let Ok(at) = self.find_share(ask.priority, &ask.team) {
            self.shares[at].granted += 1.0;
        }
        Some(ask)
    }

    /// The first call in the order of those for which `may_go` holds. `work_ms` is the time of a call at a
    /// server.
    pub fn first(&self, now: Millis, work_ms: f64, may_go: impl Fn(&Ask) -> bool) -> Option<&Ask> {
        let first_of = |share: &TeamShare| {
            let calls = self.calls.values().map(|w| &w.ask);
            calls
                .filter(|ask| share.has(ask) && may_go(ask))
                .min_by(|a, b| within_team(now, work_ms, a, b))
        };
        let waiting = || self.shares.iter().filter(|share| share.waiting > 0);
        let first = waiting().min_by(|a, b| a.order(b)).and_then(first_of);
        if first.is_some() {
            return first;
        }
        let mut shares: Vec<&TeamShare> = waiting().collect();
        shares.sort_by(|a, b| a.order(b));
        shares.into_iter().find_map(first_of)
    }

    /// Number of calls that get a slot before this one, if no other arrives.
    pub fn ahead(&self, now: Millis, work_ms: f64, id: &AskId) -> usize {
        let Some(own) = self.find(id) else {
            return 0;
        };
        let calls = self.calls.values().map(|w| &w.ask);
        let in_team = calls.filter(|ask| ask.priority == own.priority && ask.team == own.team);
        let in_team = in_team
            .filter(|ask| within_team(now, work_ms, ask, own).is_lt())
            .count();
        let others = self.shares.iter().filter(|share| !share.has(own));
        let others = others.map(|share| match share.priority.cmp(&own.priority) {
            Ordering::Less => share.waiting,
            Ordering::Equal => share.waiting.min(in_team + 1),
            Ordering::Greater => 0,
        });
        in_team + others.sum::<usize>()
    }

    /// Removes the calls whose hosts ask no more.
    pub fn expire(&mut self, now: Millis) -> usize {
        let is_gone = |w: &&Waiter| now >= w.asked_at + ASK_LIFETIME;
        let gone = self.calls.values().filter(is_gone);
        let gone: Vec<AskId> = gone.map(|w| w.ask.id.clone()).collect();
        gone.iter().filter_map(|id| self.remove(id)).count()
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn find_share(&self, priority: u8, team: &Option<TeamId>) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|s| s.priority.cmp(&priority).then_with(|| s.team.cmp(team)))
    }

    /// The share of a call's team. For a team that begins to wait, what counts as granted is raised to the
    /// least of the waiting teams; when none waits, the shares of the priority begin anew.
    fn share_of(&mut self, ask: &Ask) -> usize {
        let waiting = self
            .shares
            .iter()
            .filter(|share| share.priority == ask.priority && share.waiting > 0);
        let least = waiting.map(|share| share.granted).min_by(f64::total_cmp);
        if least.is_none() {
            self.shares.retain(|share| share.priority != ask.priority);
        }
        let least = least.unwrap_or(0.0);
        match self.find_share(ask.priority, &ask.team) {
            Ok(at) if self.shares[at].waiting > 0 => at,
            Ok(at) => {
                self.shares[at].granted = self.shares[at].granted.max(least);
                at
            }
            Err(at) => {
                let share = TeamShare {
                    priority: ask.priority,
                    team: ask.team.clone(),
                    granted: least,
                    waiting: 0,
                };
                self.shares.insert(at, share);
                at
            }
        }
    }
}

/// Order of two calls of one team.
fn within_team(now: Millis, work_ms: f64, a: &Ask, b: &Ask) -> Ordering {
    let is_late = |ask: &Ask| now + Millis(work_ms as u64) > ask.on_time_until;
    is_late(a)
        .cmp(&is_late(b))
        .then(a.arrived.cmp(&b.arrived))
        .then_with(|| a.id.cmp(&b.id))
}
