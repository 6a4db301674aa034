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
        let mut calls = self.calls.values();
        if !calls.any(|w| w.ask.priority == ask.priority && w.ask.team == ask.team) {
            self.raise_share(ask.priority, &ask.team);
        }
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
        self.calls.remove(id).map(|w| w.ask)
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
        let at = self.share(ask.priority, &ask.team);
        self.shares[at].granted += 1.0;
        Some(ask)
    }

    /// The first call in the order of those for which `may_go` holds. `work_ms` is the time of a call at a
    /// server.
    pub fn first(&self, now: Millis, work_ms: f64, may_go: impl Fn(&Ask) -> bool) -> Option<&Ask> {
        let calls = self.calls.values().map(|w| &w.ask);
        let mut first: Option<(f64, &Ask)> = None;
        for ask in calls.filter(|ask| may_go(ask)) {
            let share = self.granted(ask.priority, &ask.team);
            let is_first = first.is_none_or(|(least, other)| {
                let order = ask
                    .priority
                    .cmp(&other.priority)
                    .then(share.total_cmp(&least))
                    .then_with(|| ask.team.cmp(&other.team))
                    .then_with(|| within_team(now, work_ms, ask, other));
                order.is_lt()
            });
            if is_first {
                first = Some((share, ask));
            }
        }
        first.map(|(_, ask)| ask)
    }

    /// Number of calls that get a slot before this one, if no other arrives.
    pub fn ahead(&self, now: Millis, work_ms: f64, id: &AskId) -> usize {
        let Some(own) = self.find(id) else {
            return 0;
        };
        let mut before = 0;
        let mut in_team = 0;
        let mut others: Vec<(&Option<TeamId>, usize)> = Vec::new();
        for Waiter { ask, .. } in self.calls.values() {
            match ask.priority.cmp(&own.priority) {
                Ordering::Less => before += 1,
                Ordering::Greater => {}
                Ordering::Equal if ask.team == own.team => {
                    in_team += usize::from(within_team(now, work_ms, ask, own).is_lt());
                }
                Ordering::Equal => match others.iter_mut().find(|(team, _)| **team == ask.team) {
                    Some((_, count)) => *count += 1,
                    None => others.push((&ask.team, 1)),
                },
            }
        }
        let other_teams = others.iter().map(|(_, count)| *count.min(&(in_team + 1)));
        before + in_team + other_teams.sum::<usize>()
    }

    /// Removes the calls whose hosts ask no more.
    pub fn expire(&mut self, now: Millis) -> usize {
        let before = self.calls.len();
        self.calls.retain(|_, w| now < w.asked_at + ASK_LIFETIME);
        before - self.calls.len()
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn granted(&self, priority: u8, team: &Option<TeamId>) -> f64 {
        self.find_share(priority, team)
            .map_or(0.0, |at| self.shares[at].granted)
    }

    fn find_share(&self, priority: u8, team: &Option<TeamId>) -> Result<usize, usize> {
        self.shares
            .binary_search_by(|s| s.priority.cmp(&priority).then_with(|| s.team.cmp(team)))
    }

    fn share(&mut self, priority: u8, team: &Option<TeamId>) -> usize {
        self.find_share(priority, team).unwrap_or_else(|at| {
            let share = TeamShare {
                priority,
                team: team.clone(),
                granted: 0.0,
            };
            self.shares.insert(at, share);
            at
        })
    }

    /// Raises what counts as granted to a team that begins to wait to the least of the waiting teams, or to the
    /// most of all if none waits. Shares of teams that do not wait are forgotten when none waits.
    fn raise_share(&mut self, priority: u8, team: &Option<TeamId>) {
        let waiting = self.calls.values().filter(|w| w.ask.priority == priority);
        let least = waiting
            .map(|w| self.granted(priority, &w.ask.team))
            .min_by(f64::total_cmp);
        let Some(least) = least else {
            self.shares.retain(|share| share.priority != priority);
            return;
        };
        let at = self.share(priority, team);
        self.shares[at].granted = self.shares[at].granted.max(least);
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
