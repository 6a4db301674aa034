//! Admission queue of one class: start-time fair queueing by team, with ageing.

use std::collections::VecDeque;

use bv_types::{AttemptId, Millis};
use smol_str::SmolStr;

use crate::Request;

/// Share of its slack after which a request goes before others, as a divisor.
const AGED_SLACK_DIVISOR: u64 = 4;

/// A queued request.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub request: Request,
    /// Virtual time at which the team's share allows the start.
    pub start_tag: u64,
    /// Last time at which a start still meets the deadlines.
    pub latest_start: Millis,
    aged_from: Millis,
}

/// Requests of one class, in the order of their start tags.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    entries: VecDeque<Entry>,
    virtual_time: u64,
    /// Finish tag of the last request of each team, sorted by team.
    finishes: Vec<(SmolStr, u64)>,
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

    /// Start tag that a new request of this team gets.
    pub fn next_tag(&self, team: &SmolStr) -> u64 {
        let finish = match self.team(team) {
            Ok(index) => self.finishes[index].1,
            Err(_) => 0,
        };
        finish.max(self.virtual_time)
    }

    /// Queues a request and charges its tokens to its team.
    pub fn push(&mut self, now: Millis, request: Request, latest_start: Millis) {
        let start_tag = self.next_tag(&request.team);
        let finish = start_tag.saturating_add(request.tokens().0.max(1));
        match self.team(&request.team) {
            Ok(index) => self.finishes[index].1 = finish,
            Err(index) => self.finishes.insert(index, (request.team.clone(), finish)),
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

    /// Positions in the order of service: aged requests by their latest start, then by start tag.
    pub fn order(&self, now: Millis, ageing: bool, most: usize) -> Vec<usize> {
        let is_aged = |entry: &Entry| ageing && entry.aged_from <= now;
        let mut aged: Vec<usize> = (0..self.entries.len())
            .filter(|index| is_aged(&self.entries[*index]))
            .collect();
        aged.sort_by_key(|index| self.entries[*index].latest_start);
        let fair = (0..self.entries.len()).filter(|index| !is_aged(&self.entries[*index]));
        aged.into_iter().chain(fair).take(most).collect()
    }

    /// Whether a request goes before others because of its deadline.
    pub fn is_aged(&self, index: usize, now: Millis) -> bool {
        self.entries[index].aged_from <= now
    }

    pub fn get(&self, index: usize) -> &Request {
        &self.entries[index].request
    }

    /// Takes out a request that starts.
    pub fn take(&mut self, index: usize) -> Option<Request> {
        let entry = self.entries.remove(index)?;
        self.virtual_time = self.virtual_time.max(entry.start_tag);
        let now = self.virtual_time;
        self.finishes.retain(|(_, finish)| *finish > now);
        Some(entry.request)
    }

    /// Takes out all requests that match; their tokens are no longer charged.
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
        if let Ok(index) = self.team(&entry.request.team) {
            let tokens = entry.request.tokens().0.max(1);
            self.finishes[index].1 = self.finishes[index].1.saturating_sub(tokens);
        }
    }

    fn team(&self, team: &SmolStr) -> Result<usize, usize> {
        self.finishes.binary_search_by(|(known, _)| known.cmp(team))
    }
}
