//! `burdockvale drain`: marks a backend server as leaving.

use argh::FromArgs;
use bv_types::BackendId;
use http::Method;
use serde_json::json;

use crate::client::Client;
use crate::{CliError, output};

/// Mark a backend server as leaving, so that it receives no new work.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub(super) struct Drain {
    /// id of the backend server
    #[argh(positional)]
    backend: BackendId,
    /// operator addresses of entry hosts, separated by commas
    #[argh(option)]
    hosts: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Drain {
    pub async fn run(&self) -> Result<(), CliError> {
        let client = Client::new(self.hosts.as_deref())?;
        let body = json!({"backend": self.backend.as_str()});
        let mut marked = Vec::new();
        let mut details = Vec::new();
        for host in &client.hosts {
            match client.send(Method::POST, *host, "/v1/drain", &body).await {
                Ok(answer) if answer.status.is_success() => marked.push(host.to_string()),
                Ok(answer) => details.push(format!("{host}: {}", answer.message())),
                Err(err) => details.push(format!("{host}: {}", err.detail())),
            }
        }
        if marked.is_empty() {
            return Err(CliError::RequestFailed { details });
        }
        if self.json {
            let backend = self.backend.as_str();
            output::print_json(&json!({"backend": backend, "marked": marked, "failed": details}));
            return Ok(());
        }
        output::print(&format!(
            "{} is marked as leaving at {}",
            self.backend,
            marked.join(", ")
        ));
        for detail in details {
            output::print_error(&format!("not marked at {detail}"));
        }
        Ok(())
    }
}
