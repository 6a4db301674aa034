//! One caller: sends a call, resends it while its outcome is unknown, and classifies the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fastrand::Rng;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use smol_str::SmolStr;

use super::answer::{Outcome, classify_model, classify_plain};
use super::exchange::{ExchangeError, exchange, send_without_reading};
use super::plan::Call;
use crate::Balancer;
use crate::leak_detector::LeakDetector;

/// Largest number of resends after an unknown outcome.
const MAX_RESENDS: u32 = 3;
/// Largest number of resends of a request that crashes engines.
const MAX_CRASH_RESENDS: u32 = 10;
/// Time that a caller waits beyond the call's deadline for an answer of the router itself.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Pause before a call is resent.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a request that crashes engines is resent; crashed engines have restarted by then.
const CRASH_RESEND_PAUSE: Duration = Duration::from_millis(1_200);
/// Reason with which the router refuses a request that crashes engines.
const CRASHES_ENGINES: &str = "crashes_engines";
/// Longest time until a caller that closes early closes its connection.
const MAX_EARLY_CLOSE_MS: u64 = 2_000;
/// Header by which the plain service distinguishes the attempts of one call.
pub(crate) const ATTEMPT_HEADER: &str = "x-lab-attempt";
const CHAT_PATH: &str = "/v1/chat/completions";

/// How a caller treats its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerBehavior {
    ReadsToEnd,
    ClosesEarly,
    StopsReading,
}

/// Result of one call.
#[derive(Debug)]
pub(crate) struct CallRecord {
    pub call: Call,
    pub nonce: String,
    pub behavior: CallerBehavior,
    pub outcome: Outcome,
    /// Number of attempts before the last one.
    pub resends: u32,
    /// Whether a draining host closed the connection of an attempt.
    pub cut_while_draining: bool,
}

/// One caller with one call.
pub(crate) struct Caller {
    pub call: Call,
    pub nonce: String,
    pub device: String,
    pub device_header: Option<SmolStr>,
    pub behavior: CallerBehavior,
    pub crashes_engines: bool,
    pub client_delay: Duration,
    pub balancer: Arc<Balancer>,
    pub leak_detector: Arc<LeakDetector>,
    pub rng: Rng,
}

impl Caller {
    /// Runs the call, with its resends, to its final outcome.
    pub async fn run(mut self) -> CallRecord {
        let mut record = CallRecord {
            call: self.call.clone(),
            nonce: self.nonce.clone(),
            behavior: self.behavior,
            outcome: Outcome::NoAnswer,
            resends: 0,
            cut_while_draining: false,
        };
        match self.behavior {
            CallerBehavior::ReadsToEnd => self.read_to_end(&mut record).await,
            CallerBehavior::ClosesEarly => self.close_early().await,
            CallerBehavior::StopsReading => self.stop_reading().await,
        }
        record
    }

    async fn read_to_end(&mut self, record: &mut CallRecord) {
        let start = Instant::now();
        let mut host = self.balancer.choose(&mut self.rng, None);
        loop {
            let draining = self.balancer.draining(host);
            record.outcome = self.attempt(&mut host, record.resends, start).await;
            let connection_lost = record.outcome == Outcome::ConnectionLost;
            if connection_lost && (draining || self.balancer.draining(host)) {
                record.cut_while_draining = true;
            }
            if !self.should_resend(record, start) {
                return;
            }
            record.resends += 1;
            let pause = match self.crashes_engines {
                true => CRASH_RESEND_PAUSE,
                false => RESEND_PAUSE,
            };
            tokio::time::sleep(pause).await;
            host = self.balancer.choose(&mut self.rng, Some(host));
        }
    }

    fn should_resend(&self, record: &CallRecord, start: Instant) -> bool {
        let is_unresolved = matches!(
            record.outcome,
            Outcome::Unknown(_) | Outcome::ConnectionLost | Outcome::NoAnswer
        );
        if self.crashes_engines {
            let refused_before_block =
                matches!(&record.outcome, Outcome::NotRun(reason) if reason != CRASHES_ENGINES);
            return (is_unresolved || refused_before_block) && record.resends < MAX_CRASH_RESENDS;
        }
        let allowed = match &self.call {
            Call::NonIdempotent { .. } => true,
            Call::Model { .. } => self.call.is_waiting() && start.elapsed() < self.deadline(),
            Call::Lookup { .. } => false,
        };
        is_unresolved && allowed && record.resends < MAX_RESENDS
    }

    fn deadline(&self) -> Duration {
        match &self.call {
            Call::Model { model, .. } => model.deadline.duration(),
            Call::Lookup { route } | Call::NonIdempotent { route, .. } => route.deadline.duration(),
        }
    }

    /// Sends the call once; after a refused connection it tries another host, as a balancer does.
    async fn attempt(&mut self, host: &mut usize, attempt: u32, start: Instant) -> Outcome {
        let timeout = match &self.call {
            // A waiting call that is resent keeps the deadline of its first attempt.
            Call::Model { .. } => self.deadline().saturating_sub(start.elapsed()),
            _ => self.deadline(),
        };
        tokio::time::timeout(
            timeout + ANSWER_MARGIN,
            self.send_to_any_host(host, attempt, start),
        )
        .await
        .unwrap_or(Outcome::NoAnswer)
    }

    async fn send_to_any_host(
        &mut self,
        host: &mut usize,
        attempt: u32,
        start: Instant,
    ) -> Outcome {
        loop {
            tokio::time::sleep(self.client_delay * 2).await;
            let Some(req) = self.request(attempt) else {
                return Outcome::NoAnswer;
            };
            match exchange(self.balancer.addr(*host), req, start).await {
                Ok(answer) => return self.classify(&answer),
                Err(ExchangeError::ConnectionLost) => return Outcome::ConnectionLost,
                Err(ExchangeError::Refused) => tokio::time::sleep(RESEND_PAUSE).await,
            }
            *host = self.balancer.choose(&mut self.rng, Some(*host));
        }
    }

    fn classify(&self, answer: &super::exchange::Answer) -> Outcome {
        match &self.call {
            Call::Model {
                model, streamed, ..
            } => classify_model(answer, *streamed, &self.nonce, model.max_output.0),
            Call::Lookup { .. } | Call::NonIdempotent { .. } => classify_plain(answer, &self.nonce),
        }
    }

    /// Closes the connection at a random time before or during the answer.
    async fn close_early(&mut self) {
        let host = self.balancer.choose(&mut self.rng, None);
        let Some(req) = self.request(0) else {
            return;
        };
        let close_after = Duration::from_millis(self.rng.u64(..MAX_EARLY_CLOSE_MS));
        let exchange = exchange(self.balancer.addr(host), req, Instant::now());
        let _ = tokio::time::timeout(close_after, exchange).await;
        self.leak_detector.caller_disconnected(&self.nonce);
    }

    async fn stop_reading(&mut self) {
        let host = self.balancer.choose(&mut self.rng, None);
        let addr = self.balancer.addr(host);
        let (method, path, body) = self.request_parts();
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\n");
        if let Some(name) = &self.device_header {
            head.push_str(&format!("{name}: {}\r\n", self.device));
        }
        head.push_str(&format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        ));
        send_without_reading(addr, head, body, &self.leak_detector, &self.nonce).await;
    }

    fn request(&self, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let (method, path, body) = self.request_parts();
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "burdockvale.lab")
            .header("content-type", "application/json")
            .header(ATTEMPT_HEADER, attempt.to_string());
        if let Some(name) = &self.device_header {
            req = req.header(name.as_str(), &self.device);
        }
        req.body(Full::new(Bytes::from(body))).ok()
    }

    fn request_parts(&self) -> (&str, String, String) {
        match &self.call {
            Call::Model {
                model,
                prompt,
                streamed,
            } => {
                let body = json!({
                    "model": model.id.as_str(),
                    "messages": [{"role": "user", "content": prompt}],
                    "max_tokens": model.max_output.0,
                    "stream": streamed,
                });
                ("POST", CHAT_PATH.to_owned(), body.to_string())
            }
            Call::Lookup { route } => {
                let method = route.method.as_deref().unwrap_or("GET");
                let path = format!("{}lookup?nonce={}", route.path, self.nonce);
                (method, path, String::new())
            }
            Call::NonIdempotent { route, body } => {
                let method = route.method.as_deref().unwrap_or("POST");
                (method, route.path.to_string(), body.to_string())
            }
        }
    }
}
