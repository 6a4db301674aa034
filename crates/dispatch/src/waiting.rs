//! One order of the waiting calls of all hosts.

use std::cmp::Ordering;

use bv_types::{HostId, Millis, TeamId};

use crate::ask::{Ask, AskId};

/// Time without a new ask after which a call no longer waits: its host asks every 70 ms, so three asks
/// may be lost.
const ASK_LIFETIME: Millis = Millis(300);

#[derive(Debug, Clone)]
struct Waiter {
    ask: Ask,
    asked_at: Millis,
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
    calls: Vec<Waiter>,
    shares: Vec<TeamShare>,
}

impl Waiting {
    /// Adds a call, or renews it.
    pub fn put(&mut self, now: Millis, ask: Ask) {
        if let Some(known) = self.calls.iter_mut().find(|w| w.ask.id == ask.id) {
            let arrived = known.ask.arrived.min(ask.arrived);
            known.ask = Ask { arrived, ..ask };
            known.asked_at = now;
            return;
        }
        let is_team_waiting = self
            .calls
            .iter()
            .any(|w| w.ask.priority == ask.priority && w.ask.team == ask.team);
        if !is_team_waiting {
            self.raise_share(ask.priority, &ask.team);
        }
        self.calls.push(Waiter { ask, asked_at: now });
    }

    /// Removes a call; returns whether it waited.
    pub fn remove(&mut self, id: &AskId) -> Option<Ask> {
        let at = self.calls.iter().position(|w| w.ask.id == *id)?;
        Some(self.calls.swap_remove(at).ask)
    }

    /// Removes a call that is granted a slot, and charges its team.
    pub fn grant(&mut self, id: &AskId) -> Option<Ask> {
        let ask = self.remove(id)?;
        let at = self.share(ask.priority, &ask.team);
        self.shares[at].granted += 1.0;
        Some(ask)
    }

    /// The calls in their order. `work_ms` is the time of a call at a server.
    pub fn order(&self, now: Millis, work_ms: f64) -> Vec<&Ask> {
        let mut ranked: Vec<(f64, &Ask)> = self
            .calls
            .iter()
            .map(|w| (self.granted(w.ask.priority, &w.ask.team), &w.ask))
            .collect();
        ranked.sort_by(|(a_share, a), (b_share, b)| {
            a.priority
                .cmp(&b.priority)
                .then(a_share.total_cmp(b_share))
                .then_with(|| a.team.cmp(&b.team))
                .then_with(|| within_team(now, work_ms, a, b))
        });
        ranked.into_iter().map(|(_, ask)| ask).collect()
    }

    /// Number of calls that get a slot before this one, if no other arrives.
    pub fn ahead(&self, now: Millis, work_ms: f64, id: &AskId) -> usize {
        let Some(own) = self.calls.iter().find(|w| w.ask.id == *id) else {
            return 0;
        };
        let own = &own.ask;
        let mut before = 0;
        let mut in_team = 0;
        let mut others: Vec<(&Option<TeamId>, usize)> = Vec::new();
        for Waiter { ask, .. } in &self.calls {
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
        self.calls.retain(|w| now < w.asked_at + ASK_LIFETIME);
        before - self.calls.len()
    }

    /// The waiting calls, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Ask> {
        self.calls.iter().map(|w| &w.ask)
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Number of waiting calls of a host.
    pub fn of_host(&self, host: &HostId) -> usize {
        self.iter().filter(|ask| ask.id.host == *host).count()
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
        let waiting = self.calls.iter().filter(|w| w.ask.priority == priority);
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
