//! Generated words of one attempt, read by its connection or by the connection that resumes it.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time after a lost connection in which a stream can be resumed.
pub(crate) const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// A running or recently finished generation.
#[derive(Debug)]
pub(crate) struct Generation {
    pub attempt: String,
    pub nonce: String,
    pub prompt_tokens: u64,
    /// Number of words of the complete answer.
    pub output: u64,
    /// Number of words generated so far.
    pub generated: watch::Sender<u64>,
    pub cancel: CancellationToken,
    readers: AtomicUsize,
}

impl Generation {
    pub fn new(
        attempt: String,
        nonce: String,
        prompt_tokens: u64,
        output: u64,
        cancel: CancellationToken,
    ) -> Self {
        Generation {
            attempt,
            nonce,
            prompt_tokens,
            output,
            generated: watch::Sender::new(0),
            cancel,
            readers: AtomicUsize::new(0),
        }
    }

    /// The word at an index; it contains the nonce of the request.
    pub fn word(&self, index: u64) -> String {
        format!("{}:{index} ", self.nonce)
    }

    /// A reader that starts at the word with index `from`. The generation is cancelled when it has
    /// had no reader for `resume_timeout` after the last one was dropped.
    pub fn read(self: &Arc<Self>, from: u64, resume_timeout: Duration) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        Reader {
            generation: self.clone(),
            generated: self.generated.subscribe(),
            next: from,
            resume_timeout,
        }
    }
}

/// Reads the words of a generation.
#[derive(Debug)]
pub(crate) struct Reader {
    pub generation: Arc<Generation>,
    generated: watch::Receiver<u64>,
    next: u64,
    resume_timeout: Duration,
}

impl Reader {
    /// Waits until the next word is generated and returns its index; `None` at the end or if the
    /// generation is cancelled.
    pub async fn next(&mut self) -> Option<u64> {
        let index = self.next;
        if index >= self.generation.output {
            return None;
        }
        let cancel = self.generation.cancel.clone();
        tokio::select! {
            biased;
            generated = self.generated.wait_for(|generated| *generated > index) => {
                generated.ok()?;
            }
            () = cancel.cancelled() => return None,
        }
        self.next += 1;
        Some(index)
    }

    /// Whether every word was read.
    pub fn is_complete(&self) -> bool {
        self.next >= self.generation.output
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let generation = self.generation.clone();
        let last = generation.readers.fetch_sub(1, Ordering::Relaxed) == 1;
        if !last || *generation.generated.borrow() >= generation.output {
            return;
        }
        let resume_timeout = self.resume_timeout;
        tokio::spawn(async move {
            tokio::time::sleep(resume_timeout).await;
            if generation.readers.load(Ordering::Relaxed) == 0 {
                generation.cancel.cancel();
            }
        });
    }
}

/// Generations that can be resumed.
#[derive(Debug, Default)]
pub(crate) struct Generations(Mutex<Vec<Arc<Generation>>>);

impl Generations {
    fn lock(&self) -> MutexGuard<'_, Vec<Arc<Generation>>> {
        self.0.lock().unwrap_or_else(|err| err.into_inner())
    }

    pub fn add(&self, generation: Arc<Generation>) {
        self.lock().push(generation);
    }

    /// The generation of an attempt, unless it was cancelled.
    pub fn find(&self, attempt: &str) -> Option<Arc<Generation>> {
        let generations = self.lock();
        let found = generations.iter().find(|g| g.attempt == attempt)?;
        (!found.cancel.is_cancelled()).then(|| found.clone())
    }

    pub fn remove(&self, attempt: &str) {
        self.lock()
            .retain(|generation| generation.attempt != attempt);
    }

    pub fn clear(&self) {
        self.lock().clear();
    }
}
