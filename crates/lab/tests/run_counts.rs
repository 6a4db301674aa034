//! Counts of a run against hosts that violate guarantees on purpose.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::{Request, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use bv_lab::{Balancer, CallerFaults, Deployment, LeakDetector, Load, LoadSettings, Report};
use support::{listen, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const INVENTORY: &str = include_str!("../../../examples/co-operative.toml");

#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// Runs a call twice and answers.
    DoubleRun,
    /// Runs a call and answers "not run".
    NotRunAfterRun,
    /// Runs a call and answers "outcome unknown", and "not run" to its resends.
    NotRunOnResend,
}

#[derive(Clone)]
struct Host {
    mode: Mode,
    service: SocketAddr,
}

async fn answer(State(host): State<Host>, req: Request) -> Response {
    let attempt = req.headers().get("x-lab-attempt").cloned().unwrap();
    let path = req.uri().path().to_owned();
    let body = axum::body::to_bytes(req.into_body(), 1 << 20)
        .await
        .unwrap();
    let body = String::from_utf8_lossy(&body).into_owned();
    if !body.contains("\"key\"") {
        return refuse("not-run", StatusCode::SERVICE_UNAVAILABLE);
    }
    let attempt = attempt.to_str().unwrap();
    let run = async || {
        let headers = [("x-lab-attempt", attempt)];
        post(host.service, &path, &headers, body.clone())
            .await
            .unwrap()
            .1
    };
    match host.mode {
        Mode::DoubleRun => {
            run().await;
            run().await.into_response()
        }
        Mode::NotRunAfterRun => {
            run().await;
            refuse("not-run", StatusCode::SERVICE_UNAVAILABLE)
        }
        Mode::NotRunOnResend if attempt == "0" => {
            run().await;
            refuse("unknown", StatusCode::GATEWAY_TIMEOUT)
        }
        Mode::NotRunOnResend => refuse("not-run", StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn refuse(outcome: &'static str, status: StatusCode) -> Response {
    (status, [("x-burdockvale-outcome", outcome)], "{}").into_response()
}

async fn run_load(balancer: Balancer, deployment: &Deployment) -> Report {
    let faults = CallerFaults::default();
    faults.close_early_permille.store(0, Ordering::Relaxed);
    faults.stop_reading_permille.store(0, Ordering::Relaxed);
    let load = Load::new(LoadSettings {
        seed: 1,
        seconds: 1,
        load_percent: 100,
        burst_lookups_per_s: 0,
        balancer: Arc::new(balancer),
        leak_detector: Arc::new(LeakDetector::default()),
        faults: Arc::new(faults),
    });
    let result = load.run(&deployment.inventory).await;
    deployment.add_stand_in_counts(result)
}

/// Guards against second runs and runs after "not run" that are not counted.
#[tokio::test]
async fn broken_runs() {
    for mode in [Mode::DoubleRun, Mode::NotRunAfterRun, Mode::NotRunOnResend] {
        let deployment = Deployment::start(INVENTORY).await.unwrap();
        let (listener, addr) = listen().await;
        let host = Host {
            mode,
            service: deployment.inventory.servers[0].addr,
        };
        let router = Router::new().fallback(answer).with_state(host);
        tokio::spawn(async move { axum::serve(listener, router).await });
        let report = run_load(Balancer::new([addr]), &deployment).await;
        let counts = (
            report.double_runs > 5,
            report.ran_after_not_run > 5,
            report.ran_under_earlier_attempt > 5,
        );
        let expected = match mode {
            Mode::DoubleRun => (true, false, false),
            Mode::NotRunAfterRun => (false, true, false),
            Mode::NotRunOnResend => (false, false, true),
        };
        assert_eq!(counts, expected, "{mode:?}: {}", report.to_json());
        assert_eq!(report.violations() > 0, mode != Mode::NotRunOnResend);
    }
}

/// A host that answers each connection with these bytes and closes it.
async fn raw_host(bytes: &'static str) -> SocketAddr {
    let (listener, addr) = listen().await;
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = vec![0; 64 << 10];
                let _ = stream.read(&mut buf).await;
                let _ = stream.write_all(bytes.as_bytes()).await;
            });
        }
    });
    addr
}

/// Guards against a second answer on a connection that is not detected.
#[tokio::test]
async fn second_answer() {
    const TWO_ANSWERS: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}\
                       HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let balancer = Balancer::new([raw_host(TWO_ANSWERS).await]);
    let report = run_load(balancer, &deployment).await;
    // The content of a model answer is checked too, so such an answer may be counted there instead.
    assert!(report.answered_twice > 20, "{}", report.to_json());
}

/// Guards against requests cut by a draining host that are counted only as lost, and other cut
/// requests that are counted as cut by a shutdown.
#[tokio::test]
async fn cut_while_draining() {
    const TRUNCATED_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{";
    for draining in [true, false] {
        let deployment = Deployment::start(INVENTORY).await.unwrap();
        let balancer = Balancer::new([raw_host(TRUNCATED_ANSWER).await]);
        balancer.set_draining(0, draining);
        let report = run_load(balancer, &deployment).await;
        assert_eq!(report.lost, report.requests, "{}", report.to_json());
        let expected = if draining { report.requests } else { 0 };
        assert_eq!(report.cut_by_shutdown, expected);
    }
}
