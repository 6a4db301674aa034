//! Waiting for an engine that may be silent for a while.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::task::Poll;

use bv_retry::{OVERLAP, Silence, SilenceStep};
use bv_types::{BackendId, Clock, Millis};
use tokio::sync::watch;

use super::{ModelCall, OpenedStream, PreparedDecode};
use crate::answer::Failure;
use crate::silence::{SearchOutcome, record_search};

/// What ended the wait for an engine.
#[derive(Debug)]
pub(crate) enum Waited<T, N> {
    /// The engine went on or failed.
    Engine(T),
    /// Another engine takes over.
    Moved(N),
    /// The connection to the engine was closed, and no other one took over.
    Lost(Failure),
    DeadlinePassed,
}

/// A search for another engine.
pub(crate) type Search<N> = for<'a> fn(&'a mut ModelCall) -> SearchFuture<'a, N>;

/// Result of a search for another engine.
pub(crate) type SearchFuture<'a, N> = Pin<Box<dyn Future<Output = Result<N, Failure>> + Send + 'a>>;

/// What came first while another engine was sought.
enum First<T, N> {
    Reply(T),
    Search(Result<N, Failure>),
    OverlapEnd,
    DeadlinePassed,
}

/// Completes once an offer has been open for [`OVERLAP`].
async fn overlap_end(mut offered_at: watch::Receiver<Option<Millis>>, clock: &Clock) {
    loop {
        let offered = *offered_at.borrow_and_update();
        let changed = match offered {
            Some(at) => {
                let left = at + OVERLAP - clock.now();
                tokio::time::timeout(left.duration(), offered_at.changed()).await
            }
            None => Ok(offered_at.changed().await),
        };
        match changed {
            Ok(Ok(())) => {}
            // The call has ended.
            Ok(Err(_)) => return std::future::pending().await,
            Err(_) => return,
        }
    }
}

impl ModelCall {
    /// Searches for a decode engine, with a prefilled prompt if one is needed.
    pub fn search_prepared(&mut self) -> SearchFuture<'_, PreparedDecode> {
        self.prepare()
    }

    /// Searches for an engine that accepts the request.
    pub fn search_opened(&mut self) -> SearchFuture<'_, OpenedStream> {
        Box::pin(async move {
            let opened = self.open().await?;
            // The silent engine may still succeed where this one failed.
            if !opened.answer.response.status().is_server_error() {
                return Ok(opened);
            }
            opened.end_with_error();
            Err(Failure::AnswerLost)
        })
    }

    /// Waits for `reply`, the next sign of an engine. After a while of silence, another engine is
    /// sought while the request stays at the silent one.
    ///
    /// An engine to which the request was sent may run it, so a reply of the silent one is not used
    /// until the other one has refused. The silent one is left when the other one accepts, or after
    /// [`OVERLAP`]: then `reply` is dropped and `leave` called, which closes the connection.
    /// While the silence needs a way back, the search holds the retries for it, or finds nothing.
    ///
    /// `failed` tells whether the engine ended the request by its reply.
    #[expect(clippy::too_many_arguments)]
    pub async fn wait_for<T, N>(
        &mut self,
        engine: &BackendId,
        mut silence: Silence,
        mut may_move: bool,
        reply: impl Future<Output = T>,
        failed: impl Fn(&T) -> bool,
        search: Search<N>,
        leave: impl FnOnce(),
    ) -> Waited<T, N> {
        let edge = self.edge.clone();
        let req = self.req.clone();
        let mut reply = pin!(Some(reply));
        let mut has_searched = false;
        let offered_at = self.offered_at.subscribe();
        self.offered_at.send_replace(None);
        // A search for an engine that continues a stream may itself wait for a silent one.
        let keeps_return = self.retries.keeps_return();
        let (waited, outcome) = loop {
            let mut replying = poll_fn(|cx| match reply.as_mut().as_pin_mut() {
                Some(reply) if offered_at.borrow().is_none() => reply.poll(cx),
                _ => Poll::Pending,
            });
            match silence.step(edge.now(), may_move) {
                SilenceStep::DeadlinePassed => {
                    break (Waited::DeadlinePassed, SearchOutcome::DeadlinePassed);
                }
                SilenceStep::Wait(time) => {
                    if let Ok(reply) = tokio::time::timeout(time.duration(), replying).await {
                        let outcome = match failed(&reply) {
                            true => SearchOutcome::Failed,
                            false => SearchOutcome::WentOn,
                        };
                        break (Waited::Engine(reply), outcome);
                    }
                    continue;
                }
                SilenceStep::Search => {}
            }
            if !has_searched {
                let length = silence.length(edge.now());
                edge.logs.search_began(edge.now(), &req, engine, length);
            }
            has_searched = true;
            self.exclude(engine);
            let needs_return = silence.needs_return(edge.now());
            self.retries.keep_return(keeps_return || needs_return);
            let runs_before = self.runs;
            let deadline = tokio::time::Instant::now() + req.remaining(edge.now()).duration();
            let mut searching = search(self);
            let first = tokio::select! {
                biased;
                reply = &mut replying => First::Reply(reply),
                found = &mut searching => First::Search(found),
                () = overlap_end(offered_at.clone(), &edge.clock) => First::OverlapEnd,
                () = tokio::time::sleep_until(deadline) => First::DeadlinePassed,
            };
            match first {
                // The search goes on without the engine.
                First::Reply(reply) if failed(&reply) => match searching.await {
                    Ok(next) => break (Waited::Moved(next), SearchOutcome::Moved),
                    Err(_) => break (Waited::Engine(reply), SearchOutcome::Failed),
                },
                First::Reply(reply) => break (Waited::Engine(reply), SearchOutcome::WentOn),
                First::Search(Ok(next)) => break (Waited::Moved(next), SearchOutcome::Moved),
                First::Search(Err(_)) => {
                    drop(searching);
                    silence.search_failed(edge.now());
                    may_move = self.runs == runs_before || self.may_run_again();
                }
                First::OverlapEnd => {
                    reply.set(None);
                    leave();
                    let found = tokio::time::timeout_at(deadline, searching).await;
                    let found = match found {
                        Ok(Err(_)) if self.may_run_again() => {
                            // The engine that was left may still take the request again.
                            self.tried.retain(|id| id != engine);
                            self.retries.keep_return(keeps_return);
                            tokio::time::timeout_at(deadline, search(self)).await
                        }
                        found => found,
                    };
                    break match found {
                        Ok(Ok(next)) => (Waited::Moved(next), SearchOutcome::Left),
                        Ok(Err(failure)) => (Waited::Lost(failure), SearchOutcome::Failed),
                        Err(_) => (Waited::DeadlinePassed, SearchOutcome::DeadlinePassed),
                    };
                }
                First::DeadlinePassed => {
                    break (Waited::DeadlinePassed, SearchOutcome::DeadlinePassed);
                }
            }
        };
        if has_searched {
            self.retries.keep_return(keeps_return);
            if silence.has_return() {
                self.retries.release();
            }
            let length = silence.length(edge.now());
            record_search(&edge, &req, engine, length, outcome);
        }
        waited
    }
}
