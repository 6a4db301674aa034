//! Admission queue of one class: start-time fair queueing by team, with ageing.

use std::collections::VecDeque;

use bv_types::{AttemptId, Millis};
use smol_str::SmolStr;

use crate::Request;

/// A request is aged, and goes before others, once its remaining slack is its initial slack divided
/// by this number.
const AGED_SLACK_DIVISOR: u64 = 4;

/// A queued request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub request: Request,
    /// Virtual time from which the team's fair share allows the start.
    pub start_tag: u64,
    /// Latest time at which a start still meets the deadlines.
    pub latest_start: Millis,
    aged_from: Millis,
}

/// Requests of one class, in the order of their start tags.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    entries: VecDeque<Entry>,
    virtual_time: u64,
    /// Finish tag of the last request of each team, sorted by team.
    finish_tags: Vec<(SmolStr, u64)>,
}

impl ClassQueue {
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    pub fn contains(&self, attempt: &AttemptId) -> bool {
        self.entries.iter().any(|e| e.request.attempt == *attempt)
    }

    /// Start tag of the next request of a team.
    pub fn next_start_tag(&self, team: &SmolStr) -> u64 {
        let finish = match self.team_position(team) {
            Ok(index) => self.finish_tags[index].1,
            Err(_) => 0,
        };
        finish.max(self.virtual_time)
    }

    /// Queues a request and charges its tokens to its team.
    pub fn push(&mut self, now: Millis, request: Request, latest_start: Millis) {
        let start_tag = self.next_start_tag(&request.team);
        let finish = start_tag.saturating_add(request.tokens().0.max(1));
        match self.team_position(&request.team) {
            Ok(index) => self.finish_tags[index].1 = finish,
            Err(index) => self
                .finish_tags
                .insert(index, (request.team.clone(), finish)),
        }
        let slack = Millis((latest_start - now).0 / AGED_SLACK_DIVISOR);
        let index = self.entries.partition_point(|e| e.start_tag <= start_tag);
        let entry = Entry {
            request,
            start_tag,
            latest_start,
            aged_from: latest_start - slack,
        };
        self.entries.insert(index, entry);
    }

    /// Up to `max` positions in the order of service: aged requests by latest start, then the
    /// others by start tag.
    pub fn order(&self, now: Millis, ageing: bool, max: usize) -> Vec<usize> {
        let is_aged = |entry: &Entry| ageing && entry.aged_from <= now;
        let mut aged: Vec<usize> = (0..self.entries.len())
            .filter(|index| is_aged(&self.entries[*index]))
            .collect();
        aged.sort_by_key(|index| self.entries[*index].latest_start);
        let fair = (0..self.entries.len()).filter(|index| !is_aged(&self.entries[*index]));
        aged.into_iter().chain(fair).take(max).collect()
    }

    /// Whether a request goes before others because its latest start is near.
    pub fn is_aged(&self, index: usize, now: Millis) -> bool {
        self.entries[index].aged_from <= now
    }

    pub fn get(&self, index: usize) -> &Request {
        &self.entries[index].request
    }

    /// Removes a request that starts, and advances the virtual time.
    pub fn take(&mut self, index: usize) -> Option<Request> {
        let entry = self.entries.remove(index)?;
        self.virtual_time = self.virtual_time.max(entry.start_tag);
        let virtual_time = self.virtual_time;
        self.finish_tags
            .retain(|(_, finish)| *finish > virtual_time);
        Some(entry.request)
    }

    /// Removes all requests that match and refunds their tokens to their teams.
    pub fn remove_if(&mut self, mut matches: impl FnMut(&Entry) -> bool) -> Vec<Request> {
        let mut removed = Vec::new();
        let mut index = 0;
        while index < self.entries.len() {
            if matches(&self.entries[index]) {
                removed.extend(self.entries.remove(index));
            } else {
                index += 1;
            }
        }
        removed
            .into_iter()
            .map(|entry: Entry| {
                self.refund(&entry);
                entry.request
            })
            .collect()
    }

    fn refund(&mut self, entry: &Entry) {
        if let Ok(index) = self.team_position(&entry.request.team) {
            let tokens = entry.request.tokens().0.max(1);
            self.finish_tags[index].1 = self.finish_tags[index].1.saturating_sub(tokens);
        }
    }

    fn team_position(&self, team: &SmolStr) -> Result<usize, usize> {
        self.finish_tags
            .binary_search_by(|(entry, _)| entry.cmp(team))
    }
}
