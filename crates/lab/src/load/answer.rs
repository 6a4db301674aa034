//! What a caller got, judged by the content of the answer.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;

use super::exchange::Answer;

const NOT_RUN: &str = "not-run";
const DONE: &str = "[DONE]";

/// What one caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer.
    Whole { first: Duration, total: Duration },
    /// "Not run" and its reason.
    NotRun(SmolStr),
    /// "Outcome unknown" and its reason.
    Unknown(SmolStr),
    /// An answer that looked complete and was not.
    Truncated,
    /// An answer to another request.
    Crossed,
    /// An answer, or a part of it, more than once.
    Twice,
    /// The connection failed after it was accepted.
    Cut,
    /// No answer in time, or no host accepted the connection.
    Lost,
}

/// Judges the answer to a model call: `tokens` words that name `nonce`.
pub(crate) fn judge_model(answer: &Answer, streamed: bool, nonce: &str, tokens: u64) -> Outcome {
    if answer.status != StatusCode::OK {
        return judge_error(answer);
    }
    let words = match streamed {
        true => stream_words(&answer.body),
        false => answer_words(&answer.body),
    };
    judge_words(answer, &words, nonce, tokens)
}

/// Judges the answer of a plain service, which echoes the key.
pub(crate) fn judge_plain(answer: &Answer, key: &str) -> Outcome {
    if answer.status != StatusCode::OK {
        return judge_error(answer);
    }
    let Ok(body) = serde_json::from_slice::<Value>(&answer.body) else {
        return Outcome::Truncated;
    };
    match body["key"].as_str() {
        _ if answer.extra => Outcome::Twice,
        Some(echo) if echo == key => whole(answer),
        _ => Outcome::Crossed,
    }
}

fn judge_error(answer: &Answer) -> Outcome {
    let body: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
    let reason = match body["error"]["reason"].as_str() {
        Some(reason) => SmolStr::new(reason),
        None => smol_str::format_smolstr!("status_{}", answer.status.as_u16()),
    };
    match answer.outcome.as_deref() {
        Some(NOT_RUN) => Outcome::NotRun(reason),
        _ => Outcome::Unknown(reason),
    }
}

fn whole(answer: &Answer) -> Outcome {
    Outcome::Whole {
        first: answer.first,
        total: answer.total,
    }
}

fn stream_words(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    text.lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .map(|data| match data {
            DONE => DONE.to_owned(),
            data => {
                let event: Value = serde_json::from_str(data).unwrap_or_default();
                let word = &event["choices"][0]["delta"]["content"];
                word.as_str().unwrap_or_default().trim_end().to_owned()
            }
        })
        .collect()
}

fn answer_words(body: &[u8]) -> Vec<String> {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let content = answer["choices"][0]["message"]["content"].as_str();
    let mut words: Vec<String> = content
        .unwrap_or_default()
        .split_whitespace()
        .map(str::to_owned)
        .collect();
    if answer["choices"][0]["finish_reason"].is_string() {
        words.push(DONE.to_owned());
    }
    words
}

fn judge_words(answer: &Answer, words: &[String], nonce: &str, tokens: u64) -> Outcome {
    let mut expected = 0;
    for word in words {
        if word == DONE {
            expected += u64::from(expected >= tokens);
            continue;
        }
        match word.rsplit_once(':') {
            Some((other, _)) if other != nonce => return Outcome::Crossed,
            Some((_, index)) => match index.parse::<u64>() {
                Ok(index) if index == expected => expected += 1,
                Ok(index) if index < expected => return Outcome::Twice,
                _ => return Outcome::Truncated,
            },
            None => return Outcome::Truncated,
        }
    }
    match expected {
        _ if answer.extra => Outcome::Twice,
        count if count == tokens + 1 => whole(answer),
        count if count > tokens + 1 => Outcome::Twice,
        _ => Outcome::Truncated,
    }
}
