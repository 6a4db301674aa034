//! What a run counts, against hosts that break promises on purpose.

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
    Twice,
    /// Runs a call and says "not run".
    RunsAndDenies,
    /// Runs a call and says "outcome unknown", and "not run" to its resends.
    DeniesResends,
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
        Mode::Twice => {
            run().await;
            run().await.into_response()
        }
        Mode::RunsAndDenies => {
            run().await;
            refuse("not-run", StatusCode::SERVICE_UNAVAILABLE)
        }
        Mode::DeniesResends if attempt == "0" => {
            run().await;
            refuse("unknown", StatusCode::GATEWAY_TIMEOUT)
        }
        Mode::DeniesResends => refuse("not-run", StatusCode::SERVICE_UNAVAILABLE),
    }
}

fn refuse(outcome: &'static str, status: StatusCode) -> Response {
    (status, [("x-burdockvale-outcome", outcome)], "{}").into_response()
}

async fn offer(balancer: Balancer, deployment: &Deployment) -> Report {
    let faults = CallerFaults::default();
    faults.disconnecting_permille.store(0, Ordering::Relaxed);
    faults.silent_permille.store(0, Ordering::Relaxed);
    let load = Load::new(LoadSettings {
        seed: 1,
        seconds: 1,
        percent: 100,
        burst: 0,
        balancer: Arc::new(balancer),
        leak_detector: Arc::new(LeakDetector::default()),
        faults: Arc::new(faults),
    });
    let offered = load.run(&deployment.inventory).await;
    deployment.report(offered)
}

/// Guards against second runs and runs after "not run" that are not counted.
#[tokio::test]
async fn broken_runs() {
    for mode in [Mode::Twice, Mode::RunsAndDenies, Mode::DeniesResends] {
        let deployment = Deployment::start(INVENTORY).await.unwrap();
        let (listener, addr) = listen().await;
        let host = Host {
            mode,
            service: deployment.inventory.servers[0].addr,
        };
        let router = Router::new().fallback(answer).with_state(host);
        tokio::spawn(async move { axum::serve(listener, router).await });
        let report = offer(Balancer::new([addr]), &deployment).await;
        let counts = (
            report.double_runs > 5,
            report.ran_after_not_run > 5,
            report.ran_under_earlier_attempt > 5,
        );
        let expected = match mode {
            Mode::Twice => (true, false, false),
            Mode::RunsAndDenies => (false, true, false),
            Mode::DeniesResends => (false, false, true),
        };
        assert_eq!(counts, expected, "{mode:?}: {}", report.value());
        assert_eq!(report.violations() > 0, mode != Mode::DeniesResends);
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

/// Guards against a second answer on a connection that goes unseen.
#[tokio::test]
async fn second_answer() {
    const TWO: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}\
                       HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
    let deployment = Deployment::start(INVENTORY).await.unwrap();
    let balancer = Balancer::new([raw_host(TWO).await]);
    let report = offer(balancer, &deployment).await;
    // The content of a model answer is judged as well, so either count may hold it.
    assert!(report.answered_twice > 20, "{}", report.value());
}

/// Guards against requests cut by a draining host that count as lost only, and other cuts that
/// count as cut by a shutdown.
#[tokio::test]
async fn cut_while_draining() {
    const HALF: &str = "HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{";
    for draining in [true, false] {
        let deployment = Deployment::start(INVENTORY).await.unwrap();
        let balancer = Balancer::new([raw_host(HALF).await]);
        balancer.set_draining(0, draining);
        let report = offer(balancer, &deployment).await;
        assert_eq!(report.lost, report.requests, "{}", report.value());
        let expected = if draining { report.requests } else { 0 };
        assert_eq!(report.cut_by_shutdown, expected);
    }
}
