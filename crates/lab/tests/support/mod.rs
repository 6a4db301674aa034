//! HTTP calls for the contract tests.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::net::TcpListener;

pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a POST request and returns the status and body of the response; `None` if the connection
/// was refused or closed early.
pub async fn post(
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<(StatusCode, String)> {
    send("POST", addr, path, headers, body).await
}

pub async fn get(addr: SocketAddr, path: &str) -> Option<(StatusCode, Value)> {
    let (status, body) = send("GET", addr, path, &[], String::new()).await?;
    Some((status, serde_json::from_str(&body).unwrap_or_default()))
}

async fn send(
    method: &str,
    addr: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Option<(StatusCode, String)> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::new(Bytes::from(body))).unwrap();
    let exchange = async {
        let response = client.request(req).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, String::from_utf8_lossy(&body).into_owned()))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.unwrap()
}

pub async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}
