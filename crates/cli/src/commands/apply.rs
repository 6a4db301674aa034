//! `burdockvale apply`: replaces the configuration.

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use bv_config::KEPT_CHANGES;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::{check, read_file, show, status};
use crate::client::{Answer, CallError, Client};
use crate::{CliError, output};

const DEFAULT_WAIT_S: u64 = 20;
/// Total time for the attempts at all entry hosts.
const ATTEMPTS_TIMEOUT: Duration = Duration::from_secs(40);
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Replace the configuration, unless it was changed in the meantime.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct Apply {
    /// configuration document in TOML
    #[argh(positional)]
    file: PathBuf,
    /// version that the change replaces (default: the current one); 0 if there is none
    #[argh(option)]
    expect: Option<u64>,
    /// id of the change (default: a new one); to repeat a change whose outcome is unknown, give its id
    /// and the same --expect
    #[argh(option)]
    change: Option<String>,
    /// wait until all given entry hosts confirm the version
    #[argh(switch)]
    wait: bool,
    /// longest time to wait in seconds (default 20)
    #[argh(option, default = "DEFAULT_WAIT_S")]
    wait_s: u64,
    /// operator addresses of entry hosts, separated by commas
    #[argh(option)]
    hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Result of one attempt at one entry host.
enum Attempt {
    /// The change was made as this version.
    Accepted(u64),
    /// The change was rejected; no further entry host is tried.
    Failed(CliError),
    /// This attempt did not write the change.
    NotWritten(String),
    /// This attempt may have written the change.
    MaybeWritten(String),
}

impl Apply {
    pub async fn run(&self) -> Result<(), CliError> {
        let document = read_file(&self.file)?;
        check::parse(&self.file, &document)?;
        let client = Client::new(self.hosts.as_deref())?;
        let expected = match (self.expect, &self.change) {
            (Some(expected), _) => expected,
            (None, None) => current_version(&client).await?,
            (None, Some(_)) => {
                return Err(CliError::Usage {
                    message: "--change is given without --expect".to_owned(),
                    help: "use the same --expect as in the first attempt".to_owned(),
                });
            }
        };
        let change = self.change.clone().unwrap_or_else(new_change_id);
        // The earlier run that the change id comes from may have written the change.
        let maybe_written = self.change.is_some();
        let body = json!({"expected": expected, "change": change, "document": document});
        let version = submit(&client, &body, expected, &change, maybe_written).await?;
        if self.wait {
            wait_until_confirmed(&client, version, Duration::from_secs(self.wait_s)).await?;
        }
        self.print_result(version, &change);
        Ok(())
    }

    fn print_result(&self, version: u64, change: &str) {
        if self.json {
            let in_force_everywhere = self.wait;
            output::print_json(&json!({
                "version": version,
                "change": change,
                "in_force_everywhere": in_force_everywhere,
            }));
            return;
        }
        output::print(&match self.wait {
            true => format!("version {version} is in force at all given entry hosts"),
            false => format!("version {version} is accepted (change {change})"),
        });
    }
}

/// Version in force at the first entry host that has a configuration; 0 if none has one and at
/// least one reports that.
async fn current_version(client: &Client) -> Result<u64, CliError> {
    match show::fetch_current_config(client).await {
        Ok(config) => Ok(config["version"].as_u64().unwrap_or(0)),
        Err(err) => {
            for host in &client.hosts {
                if let Ok(answer) = client.get(*host, "/v1/config").await
                    && answer.code() == "no_configuration"
                {
                    return Ok(0);
                }
            }
            Err(err)
        }
    }
}

/// Sends the change to one entry host after the other, under the same change id, until the outcome
/// is known.
async fn submit(
    client: &Client,
    body: &Value,
    expected: u64,
    change: &str,
    mut maybe_written: bool,
) -> Result<u64, CliError> {
    let deadline = Instant::now() + ATTEMPTS_TIMEOUT;
    let mut details = Vec::new();
    // If no attempt can have written the change, one round over the entry hosts suffices to know
    // that none of them can make it.
    let mut rounds = 0;
    while Instant::now() < deadline && (rounds == 0 || maybe_written) {
        details.clear();
        for host in &client.hosts {
            let answer = client.send(Method::PUT, *host, "/v1/config", body).await;
            match classify_answer(&host.to_string(), answer, expected) {
                Attempt::Accepted(version) => return Ok(version),
                Attempt::Failed(CliError::Conflict { current, .. })
                    if maybe_written && current > expected + KEPT_CHANGES as u64 =>
                {
                    details.push(format!("{host}: version {current} is current"));
                    return Err(outcome_unknown(change, expected, &details));
                }
                Attempt::Failed(err) => return Err(err),
                Attempt::NotWritten(detail) => details.push(format!("{host}: {detail}")),
                Attempt::MaybeWritten(detail) => {
                    maybe_written = true;
                    details.push(format!("{host}: {detail}"));
                }
            }
            if Instant::now() >= deadline {
                break;
            }
        }
        rounds += 1;
        if maybe_written {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }
    match maybe_written {
        true => Err(outcome_unknown(change, expected, &details)),
        false => Err(CliError::RequestFailed { details }),
    }
}

fn outcome_unknown(change: &str, expected: u64, details: &[String]) -> CliError {
    CliError::OutcomeUnknown {
        change: change.to_owned(),
        expected,
        detail: details.join("; "),
    }
}

fn classify_answer(host: &str, answer: Result<Answer, CallError>, expected: u64) -> Attempt {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::NotSent(detail)) => return Attempt::NotWritten(detail),
        Err(CallError::Unanswered(detail)) => return Attempt::MaybeWritten(detail),
    };
    let error = &answer.body["error"];
    match answer.status {
        StatusCode::OK => match answer.body["version"].as_u64() {
            Some(version) => Attempt::Accepted(version),
            None => Attempt::MaybeWritten("the answer is malformed".to_owned()),
        },
        StatusCode::CONFLICT => Attempt::Failed(CliError::Conflict {
            expected,
            current: error["current"].as_u64().unwrap_or(0),
        }),
        StatusCode::UNPROCESSABLE_ENTITY => Attempt::Failed(CliError::RefusedDocument {
            host: host.to_owned(),
            message: answer.message(),
            line: error["line"].as_u64().unwrap_or(0),
            column: error["column"].as_u64().unwrap_or(0),
        }),
        StatusCode::SERVICE_UNAVAILABLE if answer.code() == "not_written" => {
            Attempt::NotWritten(answer.message())
        }
        status if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT => {
            Attempt::NotWritten(answer.message())
        }
        _ => Attempt::MaybeWritten(answer.message()),
    }
}

/// Waits until every entry host has the version or a later one and has confirmed it.
async fn wait_until_confirmed(
    client: &Client,
    version: u64,
    timeout: Duration,
) -> Result<(), CliError> {
    let deadline = Instant::now() + timeout;
    loop {
        let states = status::fetch_all(client).await;
        let unconfirmed: Vec<String> = states
            .iter()
            .filter_map(|(host, state)| {
                unconfirmed_reason(state, version).map(|reason| format!("{host}: {reason}"))
            })
            .collect();
        if unconfirmed.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CliError::NotConfirmedEverywhere {
                version,
                unconfirmed,
            });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Why an entry host does not count as having the version; `None` if it does.
fn unconfirmed_reason(state: &Result<Value, String>, version: u64) -> Option<String> {
    let state = match state {
        Ok(state) => state,
        Err(detail) => return Some(detail.clone()),
    };
    match state["version"].as_u64().unwrap_or(0) {
        older if older < version => Some(format!("version {older}")),
        _ if state["stale"] == true => Some("not confirmed by the table service".to_owned()),
        _ => None,
    }
}

/// A unique change id, from the time and a random number.
fn new_change_id() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // The hasher's keys are random for each process.
    let random = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), now);
    format!("cli-{}-{random:016x}", now.as_millis())
}
