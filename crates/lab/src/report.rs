//! Report of a run.

use serde::Serialize;
use serde_json::{Value, json};
use smol_str::SmolStr;

/// Counters by name, sorted by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally(Vec<(SmolStr, u64)>);

impl Tally {
    /// Adds to the count of a name.
    pub fn add(&mut self, name: &str, count: u64) {
        match self
            .0
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
        {
            Ok(index) => self.0[index].1 += count,
            Err(index) => self.0.insert(index, (name.into(), count)),
        }
    }

    /// Adds all counts of another tally.
    pub fn merge(&mut self, other: &Tally) {
        for (name, count) in &other.0 {
            self.add(name, *count);
        }
    }

    /// The count of a name.
    pub fn get(&self, name: &str) -> u64 {
        self.0
            .binary_search_by(|(known, _)| known.as_str().cmp(name))
            .map_or(0, |index| self.0[index].1)
    }

    /// Sum over all names.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|(_, count)| count).sum()
    }
}

impl Serialize for Tally {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().map(|(name, count)| (name, count)))
    }
}

/// Counts measured at the callers and stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent, without those whose caller closed early or stopped reading.
    pub requests: u64,
    /// Requests answered completely.
    pub answered_whole: u64,
    /// Complete answers within both latency targets, or within the deadline for plain services.
    pub in_time: u64,
    /// Model calls among the requests.
    pub model_requests: u64,
    /// Model calls answered completely within both latency targets.
    pub model_in_time: u64,
    /// Requests whose final answer was "not run".
    pub refused_not_run: u64,
    /// Requests whose final answer was "outcome unknown".
    pub outcome_unknown: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Calls of urgent models and urgent idempotent routes.
    pub urgent: u64,
    /// Urgent calls answered completely before their deadline.
    pub urgent_in_time: u64,
    /// Requests whose caller closed early.
    pub callers_gone: u64,
    /// Requests whose caller stopped reading.
    pub callers_silent: u64,
    /// Requests sent again by their caller.
    pub resends: u64,
    /// Prompt tokens computed, without those found in the prefix cache.
    pub prefill_tokens: u64,
    /// Computed prompt tokens whose KV cache was imported for decode.
    pub imported_tokens: u64,
    /// Executions of a non-idempotent key after the first.
    pub double_runs: u64,
    /// Non-idempotent attempts that ran although their caller received "not run".
    pub ran_after_not_run: u64,
    /// Keys that ran under an earlier attempt and whose final answer was "not run".
    pub ran_under_earlier_attempt: u64,
    /// Answers that contain the nonce or key of another request.
    pub crossed_answers: u64,
    /// Incomplete answers that were delivered as complete.
    pub truncated_answers: u64,
    /// Requests that received an answer or a part of it twice.
    pub answered_twice: u64,
    /// Attempts that still held engine memory 12 s after their caller disconnected or their entry
    /// host stopped.
    pub held_after_gone: u64,
    /// Longest observed time for which an attempt held engine memory after its caller disconnected
    /// or its entry host stopped, in ms.
    pub held_longest_ms: u64,
    /// Requests whose connection was closed by an entry host that was draining after SIGTERM.
    pub cut_by_shutdown: u64,
    /// Times an entry host reported a lower configuration version than before.
    pub config_reverts: u64,
    /// Accepted configurations that a running entry host did not report within 17 s.
    pub config_late: u64,
    /// Accepted configurations for which a host reported the same version with a different change.
    pub config_replaced: u64,
    /// Longest time until every running entry host reported an accepted configuration, in ms.
    pub config_in_force_ms: u64,
    /// Races of two operators in which both changes to the same version were accepted.
    pub operator_races_broken: u64,
    /// Attempts started at a leaving backend server more than 3 s after it set its leaving mark.
    pub work_after_leaving: u64,
    /// Longest time from a leaving mark to new work at that engine, in ms.
    pub leaving_longest_ms: u64,
    /// Calls of waiting models that ended without a complete answer and without "not run".
    pub accepted_waiting_lost: u64,
    /// Engine crashes, from faults and from requests.
    pub engine_crashes: u64,
    /// Engine crashes caused by a request; after 3 the router refuses the request.
    pub request_crashes: u64,
    /// Reads of the table service in its busiest second.
    pub store_reads_per_s: u64,
    /// Rows written to the table service in its busiest second.
    pub store_writes_per_s: u64,
    /// Refused requests by the reason in their answer.
    pub refusals: Tally,
    /// Requests with unknown outcome by the reason in their answer.
    pub unknowns: Tally,
    /// Retries by reason, from the entry hosts' own counter
    /// `burdockvale_retries_total`; all other fields are counted at the callers and stand-ins.
    pub retries: Tally,
}

impl Report {
    /// Number of violated guarantees.
    pub fn violations(&self) -> u64 {
        self.double_runs
            + self.ran_after_not_run
            + self.crossed_answers
            + self.truncated_answers
            + self.answered_twice
            + self.held_after_gone
            + self.cut_by_shutdown
            + self.config_reverts
            + self.config_late
            + self.config_replaced
            + self.operator_races_broken
            + self.work_after_leaving
    }

    /// Share of the requests answered completely within both latency targets.
    pub fn goodput_ratio(&self) -> f64 {
        ratio(self.in_time, self.requests, 0.0)
    }

    /// Share of the model calls answered completely within both latency targets.
    pub fn model_goodput_ratio(&self) -> f64 {
        ratio(self.model_in_time, self.model_requests, 0.0)
    }

    /// Share of the urgent calls answered completely before their deadline.
    pub fn urgent_in_time_ratio(&self) -> f64 {
        ratio(self.urgent_in_time, self.urgent, 1.0)
    }

    /// Share of the computed prompt tokens whose KV cache was not imported for decode.
    pub fn wasted_prefill_ratio(&self) -> f64 {
        let wasted = self.prefill_tokens.saturating_sub(self.imported_tokens);
        ratio(wasted, self.prefill_tokens, 0.0)
    }

    /// Human-readable summary, one value per line.
    pub fn summary(&self) -> String {
        format!(
            "requests {}\nanswered whole {}\nnot run {}\noutcome unknown {}\nlost {}\n\
             goodput {:.3}\nurgent in time {:.4}\nwasted prefill {:.3}\nviolations {}",
            self.requests,
            self.answered_whole,
            self.refused_not_run,
            self.outcome_unknown,
            self.lost,
            self.goodput_ratio(),
            self.urgent_in_time_ratio(),
            self.wasted_prefill_ratio(),
            self.violations(),
        )
    }

    /// JSON object with all fields and the values computed from them.
    pub fn to_json(&self) -> Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        value["goodput_ratio"] = json!(self.goodput_ratio());
        value["model_goodput_ratio"] = json!(self.model_goodput_ratio());
        value["urgent_in_time_ratio"] = json!(self.urgent_in_time_ratio());
        value["wasted_prefill_ratio"] = json!(self.wasted_prefill_ratio());
        value["violations"] = json!(self.violations());
        value
    }
}

fn ratio(part: u64, whole: u64, empty: f64) -> f64 {
    match whole {
        0 => empty,
        whole => part as f64 / whole as f64,
    }
}
