//! Classifies the answer that a caller received by its content.

use std::time::Duration;

use hyper::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;

use super::exchange::Answer;

const NOT_RUN: &str = "not-run";
/// Last event of a stream; also stands for the end of an unstreamed answer.
const DONE: &str = "[DONE]";

/// Outcome of one call for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A complete answer.
    Complete {
        time_to_first_byte: Duration,
        total_time: Duration,
    },
    /// Answered "not run" with this reason.
    NotRun(SmolStr),
    /// Answered "outcome unknown" with this reason.
    Unknown(SmolStr),
    /// An incomplete answer that was delivered as complete.
    Truncated,
    /// The answer to another request.
    Crossed,
    /// The answer, or a part of it, arrived more than once.
    Duplicated,
    /// The connection failed after it was accepted.
    ConnectionLost,
    /// No answer in time, or no host accepted the connection.
    NoAnswer,
}

/// Classifies the answer to a model call; it must consist of `tokens` words that contain `nonce`.
pub(crate) fn classify_model(answer: &Answer, streamed: bool, nonce: &str, tokens: u64) -> Outcome {
    if answer.status != StatusCode::OK {
        return classify_error(answer);
    }
    let words = match streamed {
        true => stream_words(&answer.body),
        false => answer_words(&answer.body),
    };
    classify_words(answer, &words, nonce, tokens)
}

/// Classifies the answer of a plain service, which must contain the key of the call.
pub(crate) fn classify_plain(answer: &Answer, key: &str) -> Outcome {
    if answer.status != StatusCode::OK {
        return classify_error(answer);
    }
    let Ok(body) = serde_json::from_slice::<Value>(&answer.body) else {
        return Outcome::Truncated;
    };
    match body["key"].as_str() {
        _ if answer.has_extra_bytes => Outcome::Duplicated,
        Some(echo) if echo == key => complete(answer),
        _ => Outcome::Crossed,
    }
}

fn classify_error(answer: &Answer) -> Outcome {
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

fn complete(answer: &Answer) -> Outcome {
    Outcome::Complete {
        time_to_first_byte: answer.time_to_first_byte,
        total_time: answer.total_time,
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

fn classify_words(answer: &Answer, words: &[String], nonce: &str, tokens: u64) -> Outcome {
    let mut next_index = 0;
    for word in words {
        if word == DONE {
            // The end marker counts as one more word, but only after all words.
            next_index += u64::from(next_index >= tokens);
            continue;
        }
        match word.rsplit_once(':') {
            Some((other, _)) if other != nonce => return Outcome::Crossed,
            Some((_, index)) => match index.parse::<u64>() {
                Ok(index) if index == next_index => next_index += 1,
                Ok(index) if index < next_index => return Outcome::Duplicated,
                _ => return Outcome::Truncated,
            },
            None => return Outcome::Truncated,
        }
    }
    match next_index {
        _ if answer.has_extra_bytes => Outcome::Duplicated,
        count if count == tokens + 1 => complete(answer),
        count if count > tokens + 1 => Outcome::Duplicated,
        _ => Outcome::Truncated,
    }
}
