//! One caller: sends a call, sends it again when its outcome is open, and judges the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fastrand::Rng;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use smol_str::SmolStr;

use super::answer::{Outcome, judge_model, judge_plain};
use super::exchange::{Failure, exchange, go_silent};
use super::plan::Call;
use crate::Balancer;
use crate::leak_detector::LeakDetector;

/// Times a call is sent again after an open outcome.
const MAX_RESENDS: u32 = 3;
/// Times a request that crashes engines is sent again.
const MAX_CRASH_RESENDS: u32 = 10;
/// Time a caller waits beyond the call's deadline for the router's own answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Pause before a call is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a request that crashes engines is sent again; crashed engines are back by then.
const CRASH_RESEND_PAUSE: Duration = Duration::from_millis(1_200);
/// Reason by which the router refuses a request that crashes engines.
const CONVICTED: &str = "crashes_engines";
/// Longest time until a caller that closes early does so.
const GONE_AFTER_MS: u64 = 2_000;
/// Header by which the plain service tells the attempts of one call apart.
pub(crate) const ATTEMPT_HEADER: &str = "x-lab-attempt";
const CHAT_PATH: &str = "/v1/chat/completions";

/// How long a caller stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stay {
    ToTheEnd,
    ClosesEarly,
    GoesSilent,
}

/// What became of one call.
#[derive(Debug)]
pub(crate) struct Record {
    pub call: Call,
    pub nonce: String,
    pub stay: Stay,
    pub outcome: Outcome,
    /// Attempts sent before the last one.
    pub resends: u32,
    /// Whether an attempt was cut by a host that was draining.
    pub cut_while_draining: bool,
}

/// One caller with one call.
pub(crate) struct Caller {
    pub call: Call,
    pub nonce: String,
    pub device: String,
    pub device_header: Option<SmolStr>,
    pub stay: Stay,
    pub crashes_engines: bool,
    pub client_delay: Duration,
    pub balancer: Arc<Balancer>,
    pub leak_detector: Arc<LeakDetector>,
    pub rng: Rng,
}

impl Caller {
    /// Runs the call to its last word.
    pub async fn run(mut self) -> Record {
        let mut record = Record {
            call: self.call.clone(),
            nonce: self.nonce.clone(),
            stay: self.stay,
            outcome: Outcome::Lost,
            resends: 0,
            cut_while_draining: false,
        };
        match self.stay {
            Stay::ToTheEnd => self.stay_to_the_end(&mut record).await,
            Stay::ClosesEarly => self.close_early().await,
            Stay::GoesSilent => self.be_silent().await,
        }
        record
    }

    async fn stay_to_the_end(&mut self, record: &mut Record) {
        let start = Instant::now();
        let mut host = self.balancer.choose(&mut self.rng, None);
        loop {
            let draining = self.balancer.draining(host);
            record.outcome = self.attempt(&mut host, record.resends, start).await;
            let cut = record.outcome == Outcome::Cut;
            if cut && (draining || self.balancer.draining(host)) {
                record.cut_while_draining = true;
            }
            if !self.sends_again(record, start) {
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

    fn sends_again(&self, record: &Record, start: Instant) -> bool {
        let open = matches!(
            record.outcome,
            Outcome::Unknown(_) | Outcome::Cut | Outcome::Lost
        );
        if self.crashes_engines {
            let refused = matches!(&record.outcome, Outcome::NotRun(reason) if reason != CONVICTED);
            return (open || refused) && record.resends < MAX_CRASH_RESENDS;
        }
        let allowed = match &self.call {
            Call::Once { .. } => true,
            Call::Model { .. } => self.call.is_waiting() && start.elapsed() < self.deadline(),
            Call::Lookup { .. } => false,
        };
        open && allowed && record.resends < MAX_RESENDS
    }

    fn deadline(&self) -> Duration {
        match &self.call {
            Call::Model { model, .. } => model.deadline.duration(),
            Call::Lookup { route } | Call::Once { route, .. } => route.deadline.duration(),
        }
    }

    /// Sends the call once; a refused connection is offered to another host, as a balancer does.
    async fn attempt(&mut self, host: &mut usize, attempt: u32, start: Instant) -> Outcome {
        let limit = match &self.call {
            // A waiting call that is sent again keeps its first deadline.
            Call::Model { .. } => self.deadline().saturating_sub(start.elapsed()),
            _ => self.deadline(),
        };
        tokio::time::timeout(limit + ANSWER_MARGIN, self.offer(host, attempt, start))
            .await
            .unwrap_or(Outcome::Lost)
    }

    async fn offer(&mut self, host: &mut usize, attempt: u32, start: Instant) -> Outcome {
        loop {
            tokio::time::sleep(self.client_delay * 2).await;
            let Some(req) = self.request(attempt) else {
                return Outcome::Lost;
            };
            match exchange(self.balancer.addr(*host), req, start).await {
                Ok(answer) => return self.judge(&answer),
                Err(Failure::Cut) => return Outcome::Cut,
                Err(Failure::Refused) => tokio::time::sleep(RESEND_PAUSE).await,
            }
            *host = self.balancer.choose(&mut self.rng, Some(*host));
        }
    }

    fn judge(&self, answer: &super::exchange::Answer) -> Outcome {
        match &self.call {
            Call::Model {
                model, streamed, ..
            } => judge_model(answer, *streamed, &self.nonce, model.max_output.0),
            Call::Lookup { .. } | Call::Once { .. } => judge_plain(answer, &self.nonce),
        }
    }

    /// Closes the connection at a random time, before the answer or within it.
    async fn close_early(&mut self) {
        let host = self.balancer.choose(&mut self.rng, None);
        let Some(req) = self.request(0) else {
            return;
        };
        let stay = Duration::from_millis(self.rng.u64(..GONE_AFTER_MS));
        let exchange = exchange(self.balancer.addr(host), req, Instant::now());
        let _ = tokio::time::timeout(stay, exchange).await;
        self.leak_detector.caller_disconnected(&self.nonce);
    }

    async fn be_silent(&mut self) {
        let host = self.balancer.choose(&mut self.rng, None);
        let addr = self.balancer.addr(host);
        let (method, path, body) = self.parts();
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {addr}\r\n");
        if let Some(name) = &self.device_header {
            head.push_str(&format!("{name}: {}\r\n", self.device));
        }
        head.push_str(&format!(
            "content-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        ));
        go_silent(addr, head, body, &self.leak_detector, &self.nonce).await;
    }

    fn request(&self, attempt: u32) -> Option<Request<Full<Bytes>>> {
        let (method, path, body) = self.parts();
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

    fn parts(&self) -> (&str, String, String) {
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
            Call::Once { route, body } => {
                let method = route.method.as_deref().unwrap_or("POST");
                (method, route.path.to_string(), body.to_string())
            }
        }
    }
}
