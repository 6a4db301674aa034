//! The plain service stand-in and its faults.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bv_lab::stand_in::{Gate, PlainService, ServiceFault};
use hyper::StatusCode;
use support::{get, listen, post};

/// Guards against runs that are not counted, or are counted for another attempt.
#[tokio::test]
async fn counted_runs() {
    let service = Arc::new(PlainService::default());
    let (listener, addr) = listen().await;
    tokio::spawn(service.clone().serve(listener));
    for attempt in ["0", "2"] {
        let headers = [("x-lab-attempt", attempt)];
        let body = r#"{"key":"k1"}"#.to_owned();
        let (status, body) = post(addr, "/reserve", &headers, body).await.unwrap();
        assert_eq!(status, StatusCode::OK);
        assert!(body.contains("\"key\":\"k1\""), "{body}");
    }
    let (_, echo) = get(addr, "/lookup?nonce=n7").await.unwrap();
    assert_eq!(echo["key"], "n7");
    assert_eq!(service.attempts_of("k1"), [0, 2]);
    assert_eq!((service.runs_of("k1"), service.runs_of("k2")), (2, 0));
    assert_eq!(service.double_runs(), 1);
}

/// Guards against a fault that closes the connection before the call runs, and a truncated answer
/// that looks complete.
#[tokio::test]
async fn cut_connections() {
    for fault in [ServiceFault::DisconnectAfterRun, ServiceFault::Truncated] {
        let service = Arc::new(PlainService::default());
        let (listener, addr) = listen().await;
        tokio::spawn(service.clone().serve(listener));
        service.set_fault(fault, 1_000);
        let answer = post(addr, "/reserve", &[], r#"{"key":"k1"}"#.to_owned()).await;
        assert_eq!(answer, None, "{fault:?}");
        assert_eq!(service.runs_of("k1"), 1, "{fault:?}");
    }
}

/// Guards against a refused call that ran.
#[tokio::test]
async fn refused_connections() {
    let service = Arc::new(PlainService::default());
    let gate = Arc::new(Gate::default());
    let (listener, addr) = listen().await;
    tokio::spawn(service.clone().serve_with_gate(listener, gate.clone()));
    gate.close();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let body = r#"{"key":"k1"}"#.to_owned();
    assert_eq!(post(addr, "/reserve", &[], body.clone()).await, None);
    assert_eq!(service.runs_of("k1"), 0);
    gate.open();
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert!(post(addr, "/reserve", &[], body).await.is_some());
}
