//! Waiting for an engine that may be silent for a while.

use std::pin::{Pin, pin};

use bv_retry::{Silence, SilenceStep};
use bv_types::BackendId;

use super::{ModelCall, PreparedDecode};
use crate::silence::{SearchOutcome, record_search};

/// What ended the wait for an engine.
#[derive(Debug)]
pub(crate) enum Waited<T> {
    /// The engine went on or failed.
    Engine(T),
    /// Another engine is ready; the silent one is to be left before the request is sent.
    Moved(Box<PreparedDecode>),
    DeadlinePassed,
}

impl ModelCall {
    /// Waits for `reply`, the next sign of an engine. After a while of silence, another one is
    /// prepared while the request stays at the silent one; whichever is ready first is used.
    /// `failed` tells whether the engine ended the request by its reply.
    pub async fn wait_for<T>(
        &mut self,
        engine: &BackendId,
        mut silence: Silence,
        may_move: bool,
        reply: impl Future<Output = T>,
        failed: impl Fn(&T) -> bool,
    ) -> Waited<T> {
        let edge = self.edge.clone();
        let req = self.req.clone();
        let mut reply = pin!(reply);
        let mut has_searched = false;
        let (waited, outcome) = loop {
            let time = match silence.step(edge.now(), may_move) {
                SilenceStep::DeadlinePassed => {
                    break (Waited::DeadlinePassed, SearchOutcome::DeadlinePassed);
                }
                SilenceStep::Wait(time) => time,
                SilenceStep::Search => {
                    if !has_searched {
                        let length = silence.length(edge.now());
                        edge.logs.search_began(edge.now(), &req, engine, length);
                    }
                    has_searched = true;
                    match self.search(engine, reply.as_mut(), &failed).await {
                        Some(ended) => break ended,
                        None => silence.search_failed(edge.now()),
                    }
                    continue;
                }
            };
            if let Ok(reply) = tokio::time::timeout(time.duration(), &mut reply).await {
                let outcome = match failed(&reply) {
                    true => SearchOutcome::Failed,
                    false => SearchOutcome::WentOn,
                };
                break (Waited::Engine(reply), outcome);
            }
        };
        if has_searched {
            let length = silence.length(edge.now());
            record_search(&edge, &req, engine, length, outcome);
        }
        waited
    }
    /// Prepares another engine until one is ready or the silent one replies; `None` if no other one
    /// is found.
    async fn search<T>(
        &mut self,
        silent: &BackendId,
        mut reply: Pin<&mut impl Future<Output = T>>,
        failed: &impl Fn(&T) -> bool,
    ) -> Option<(Waited<T>, SearchOutcome)> {
        self.exclude(silent);
        let mark = self.retries.mark();
        let remaining = self.req.remaining(self.edge.now());
        let mut searching = self.prepare();
        let (replied, found) = tokio::select! {
            biased;
            reply = &mut reply => match failed(&reply) {
                // The search goes on without the engine.
                true => (Some(reply), (&mut searching).await.ok()),
                false => (Some(reply), None),
            },
            found = &mut searching => (None, found.ok()),
            () = tokio::time::sleep(remaining.duration()) => (None, None),
        };
        drop(searching);
        if let Some(prepared) = found {
            return Some((Waited::Moved(Box::new(prepared)), SearchOutcome::Moved));
        }
        self.retries.cancel_to(mark);
        let reply = replied?;
        let outcome = match failed(&reply) {
            true => SearchOutcome::Failed,
            false => SearchOutcome::WentOn,
        };
        Some((Waited::Engine(reply), outcome))
    }
}
