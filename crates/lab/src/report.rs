//! The report of a run.

use serde_json::json;

/// What one caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer; `in_time` if it met both latency targets.
    Whole { in_time: bool },
    /// "Not run".
    NotRun,
    /// "Outcome unknown".
    Unknown,
    /// An answer that looked complete and was not.
    Truncated,
    /// The connection failed or the deadline passed.
    Lost,
}

/// Counts taken at the callers and stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests offered.
    pub requests: u64,
    /// Whole answers.
    pub answered_whole: u64,
    /// Whole answers that met both latency targets.
    pub in_time: u64,
    /// Requests told "not run".
    pub refused_not_run: u64,
    /// Requests told "outcome unknown".
    pub outcome_unknown: u64,
    /// Answers that looked complete and were not.
    pub truncated_answers: u64,
    /// Requests without an answer.
    pub lost: u64,
    /// Runs of a non-idempotent key beyond the first.
    pub double_runs: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens whose KV cache reached a decode.
    pub imported_tokens: u64,
}

impl Report {
    pub(crate) fn add(&mut self, outcome: Outcome) {
        self.requests += 1;
        match outcome {
            Outcome::Whole { in_time } => {
                self.answered_whole += 1;
                self.in_time += u64::from(in_time);
            }
            Outcome::NotRun => self.refused_not_run += 1,
            Outcome::Unknown => self.outcome_unknown += 1,
            Outcome::Truncated => self.truncated_answers += 1,
            Outcome::Lost => self.lost += 1,
        }
    }

    /// Sum of the broken promises.
    pub fn violations(&self) -> u64 {
        self.double_runs + self.truncated_answers
    }

    /// Share of the offered requests answered whole within both latency targets.
    pub fn goodput_ratio(&self) -> f64 {
        ratio(self.in_time, self.requests)
    }

    /// Share of the prompt tokens whose result reached no decode.
    pub fn wasted_prefill_ratio(&self) -> f64 {
        let wasted = self.prefill_tokens.saturating_sub(self.imported_tokens);
        ratio(wasted, self.prefill_tokens)
    }

    /// Lines for people.
    pub fn summary(&self) -> String {
        format!(
            "requests {}\nanswered whole {}\nnot run {}\noutcome unknown {}\nlost {}\n\
             goodput {:.3}\nwasted prefill {:.3}",
            self.requests,
            self.answered_whole,
            self.refused_not_run,
            self.outcome_unknown,
            self.lost,
            self.goodput_ratio(),
            self.wasted_prefill_ratio(),
        )
    }

    /// One JSON object on one line.
    pub fn json(&self) -> String {
        json!({
            "requests": self.requests,
            "answered_whole": self.answered_whole,
            "refused_not_run": self.refused_not_run,
            "outcome_unknown": self.outcome_unknown,
            "lost": self.lost,
            "goodput_ratio": self.goodput_ratio(),
            "wasted_prefill_ratio": self.wasted_prefill_ratio(),
            "double_runs": self.double_runs,
            "truncated_answers": self.truncated_answers,
            "violations": self.violations(),
        })
        .to_string()
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    part as f64 / whole as f64
}
