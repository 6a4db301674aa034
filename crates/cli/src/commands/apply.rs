//! `burdockvale apply`: replaces the configuration.

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use argh::FromArgs;
use bv_config::KEPT_CHANGES;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::{check, read, show, status};
use crate::client::{Answer, CallError, Client};
use crate::{CliError, output};

const DEFAULT_WAIT_S: u64 = 20;
/// Time for attempts at all entry hosts together.
const ATTEMPTS_LIMIT: Duration = Duration::from_secs(40);
const RETRY_PAUSE: Duration = Duration::from_millis(500);
const WAIT_POLL: Duration = Duration::from_millis(200);

/// Replace the configuration, unless another change came first.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(super) struct Apply {
    /// document in TOML
    #[argh(positional)]
    file: PathBuf,
    /// version that the change replaces (default: the current one); 0 if there is none
    #[argh(option)]
    expect: Option<u64>,
    /// id of the change, to ask again about one whose outcome was unknown
    #[argh(option)]
    change: Option<String>,
    /// wait until every entry host given confirms the version
    #[argh(switch)]
    wait: bool,
    /// longest time to wait in seconds (default 20)
    #[argh(option, default = "DEFAULT_WAIT_S")]
    wait_s: u64,
    /// operators' addresses of entry hosts, separated by commas
    #[argh(option)]
    hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// What one attempt at one entry host means.
enum Attempt {
    Accepted(u64),
    Failed(CliError),
    /// Nothing was written by this attempt.
    NotDone(String),
    /// The change may have been written.
    InDoubt(String),
}

impl Apply {
    pub async fn run(&self) -> Result<(), CliError> {
        let document = read(&self.file)?;
        check::parse(&self.file, &document)?;
        let client = Client::new(self.hosts.as_deref())?;
        let expected = match (self.expect, &self.change) {
            (Some(expected), _) => expected,
            (None, None) => current_version(&client).await?,
            (None, Some(_)) => {
                return Err(CliError::Usage {
                    what: "--change is given without --expect".to_owned(),
                    help: "give the same --expect as with the first attempt".to_owned(),
                });
            }
        };
        let change = self.change.clone().unwrap_or_else(new_change);
        // With a change id from an earlier run, that run may have written it.
        let in_doubt = self.change.is_some();
        let body = json!({"expected": expected, "change": change, "document": document});
        let version = submit(&client, &body, expected, &change, in_doubt).await?;
        if self.wait {
            wait(&client, version, Duration::from_secs(self.wait_s)).await?;
        }
        self.tell(version, &change);
        Ok(())
    }

    fn tell(&self, version: u64, change: &str) {
        if self.json {
            let hosts = self.wait;
            output::print_json(&json!({
                "version": version,
                "change": change,
                "in_force_everywhere": hosts,
            }));
            return;
        }
        output::print(&match self.wait {
            true => format!("version {version} is in force at every entry host given"),
            false => format!("version {version} is accepted (change {change})"),
        });
    }
}

/// Version in force at the first entry host that answers; 0 if it has none.
async fn current_version(client: &Client) -> Result<u64, CliError> {
    match show::current(client).await {
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

/// Tries the entry hosts in turn with the same change id until the outcome is known.
async fn submit(
    client: &Client,
    body: &Value,
    expected: u64,
    change: &str,
    mut in_doubt: bool,
) -> Result<u64, CliError> {
    let until = Instant::now() + ATTEMPTS_LIMIT;
    let mut details = Vec::new();
    // Without doubt, one round over the entry hosts is enough to know that none can do it.
    let mut rounds = 0;
    while Instant::now() < until && (rounds == 0 || in_doubt) {
        details.clear();
        for host in &client.hosts {
            let answer = client.send(Method::PUT, *host, "/v1/config", body).await;
            match attempt(&host.to_string(), answer, expected) {
                Attempt::Accepted(version) => return Ok(version),
                Attempt::Failed(CliError::Conflict { current, .. })
                    if in_doubt && current > expected + KEPT_CHANGES as u64 =>
                {
                    details.push(format!("{host}: version {current} is current"));
                    return Err(unknown(change, expected, &details));
                }
                Attempt::Failed(err) => return Err(err),
                Attempt::NotDone(detail) => details.push(format!("{host}: {detail}")),
                Attempt::InDoubt(detail) => {
                    in_doubt = true;
                    details.push(format!("{host}: {detail}"));
                }
            }
            if Instant::now() >= until {
                break;
            }
        }
        rounds += 1;
        if in_doubt {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    match in_doubt {
        true => Err(unknown(change, expected, &details)),
        false => Err(CliError::NoHost { details }),
    }
}

fn unknown(change: &str, expected: u64, details: &[String]) -> CliError {
    CliError::OutcomeUnknown {
        change: change.to_owned(),
        expected,
        detail: details.join("; "),
    }
}

fn attempt(host: &str, answer: Result<Answer, CallError>, expected: u64) -> Attempt {
    let answer = match answer {
        Ok(answer) => answer,
        Err(CallError::NotSent(detail)) => return Attempt::NotDone(detail),
        Err(CallError::Unanswered(detail)) => return Attempt::InDoubt(detail),
    };
    let error = &answer.body["error"];
    match answer.status {
        StatusCode::OK => match answer.body["version"].as_u64() {
            Some(version) => Attempt::Accepted(version),
            None => Attempt::InDoubt("the answer is malformed".to_owned()),
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
            Attempt::NotDone(answer.message())
        }
        status if status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT => {
            Attempt::NotDone(answer.message())
        }
        _ => Attempt::InDoubt(answer.message()),
    }
}

/// Waits until every entry host has the version or a later one and has confirmed it.
async fn wait(client: &Client, version: u64, limit: Duration) -> Result<(), CliError> {
    let until = Instant::now() + limit;
    loop {
        let states = status::all(client).await;
        let missing: Vec<String> = states
            .iter()
            .filter_map(|(host, state)| {
                lag(state, version).map(|reason| format!("{host}: {reason}"))
            })
            .collect();
        if missing.is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(CliError::NotEverywhere { version, missing });
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

/// Why an entry host does not count as having the version; `None` if it has it.
fn lag(state: &Result<Value, String>, version: u64) -> Option<String> {
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

/// A change id that no other operator uses: the time and the process.
fn new_change() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // The hasher's keys are random for each process.
    let random = std::hash::BuildHasher::hash_one(&std::hash::RandomState::new(), now);
    format!("cli-{}-{random:016x}", now.as_millis())
}
