//! Starts entry host processes with one plain service and sends calls to it.

pub mod raw;

use std::net::SocketAddr;
use std::time::Duration;

use bv_lab::{Deployment, HostProcess, HostSpec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// Longer than every deadline of the routes.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Header in which the plain service reads the caller's attempt.
const ATTEMPT_HEADER: &str = "x-lab-attempt";

pub const INVENTORY: &str = r#"
name = "plain"
zone_delay_ms = 1.0
zone_price_ms = 1
client_delay_ms = 1.0
device_header = "x-device"

[[zone]]
id = "zone-a"
region = "region"

[[service]]
id = "booking"

[[server]]
id = "booking-1"
service = "booking"
zone = "zone-a"
addr = "127.0.0.1:8200"

[[server]]
id = "booking-2"
service = "booking"
zone = "zone-a"
addr = "127.0.0.1:8201"

[[route]]
id = "reserve"
service = "booking"
method = "POST"
path = "/booking/reserve"
class = "urgent"
idempotent = false
identity = "json:key"
resend_window_s = 600
deadline_ms = 3000

[[route]]
id = "refund"
service = "booking"
method = "POST"
path = "/booking/refund"
class = "urgent"
idempotent = false
identity = "digest"
resend_window_s = 600
deadline_ms = 3000

[[route]]
id = "seats"
service = "booking"
method = "GET"
path = "/booking/"
class = "urgent"
idempotent = true
deadline_ms = 1500
"#;

/// Response to a call as the caller receives it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub outcome: Option<String>,
    pub body: Value,
}

impl CallerResponse {
    pub fn is_success(&self, key: &str) -> bool {
        self.status == StatusCode::OK && self.body == json!({"key": key, "done": true})
    }

    pub fn is_not_run(&self) -> bool {
        self.outcome.as_deref() == Some("not-run") && self.body["error"]["code"] == "not_run"
    }

    pub fn is_unknown(&self) -> bool {
        self.status == StatusCode::GATEWAY_TIMEOUT
            && self.outcome.as_deref() == Some("unknown")
            && self.body["error"]["code"] == "outcome_unknown"
    }
}

pub async fn start(hosts: usize) -> (Deployment, Vec<HostProcess>) {
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let mut running = Vec::new();
    for index in 0..hosts {
        let spec = HostSpec::new(index, &deployment, "planned").await.unwrap();
        running.push(HostProcess::start(spec).unwrap());
    }
    for host in &running {
        host.wait_ready().await.unwrap();
    }
    (deployment, running)
}

/// Sends a reservation through a host.
pub async fn reserve(host: SocketAddr, key: &str) -> CallerResponse {
    let body = json!({"key": key}).to_string();
    send(host, "POST", "/booking/reserve", body).await
}

/// Sends a reservation as a numbered attempt; `None` if the host closes the connection.
pub async fn try_reserve(host: SocketAddr, key: &str, attempt: u32) -> Option<CallerResponse> {
    let body = json!({"key": key}).to_string();
    let headers = [(ATTEMPT_HEADER, attempt.to_string())];
    exchange(host, "POST", "/booking/reserve", body, &headers).await
}

/// Sends a refund, which its route identifies by digest, with the device header that the balancer
/// sets.
pub async fn refund_from(host: SocketAddr, device: &str, body: String) -> CallerResponse {
    let headers = [("x-device", device.to_owned())];
    let response = exchange(host, "POST", "/booking/refund", body, &headers).await;
    response.unwrap()
}

pub async fn send(host: SocketAddr, method: &str, path: &str, body: String) -> CallerResponse {
    exchange(host, method, path, body, &[]).await.unwrap()
}

async fn exchange(
    host: SocketAddr,
    method: &str,
    path: &str,
    body: String,
    headers: &[(&str, String)],
) -> Option<CallerResponse> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{host}{path}"));
    for (name, value) in headers {
        req = req.header(*name, value);
    }
    let req = req.body(Full::new(Bytes::from(body))).unwrap();
    let exchange = async {
        let response = client.request(req).await.ok()?;
        let status = response.status();
        let outcome = response.headers().get("x-burdockvale-outcome");
        let outcome = outcome.map(|value| value.to_str().unwrap().to_owned());
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        Some(CallerResponse {
            status,
            outcome,
            body,
        })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap()
}
