//! Generated words of one attempt, read by one connection or by its resume.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Time after a lost connection in which a stream may be resumed.
pub(crate) const RESUME_TIME: Duration = Duration::from_secs(1);

/// A running or just finished generation.
#[derive(Debug)]
pub(crate) struct Generation {
    pub attempt: String,
    pub nonce: String,
    pub prompt_tokens: u64,
    /// Words of the whole answer.
    pub output: u64,
    /// Words generated so far; closed when the generation ends early.
    pub made: watch::Sender<u64>,
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
            made: watch::Sender::new(0),
            cancel,
            readers: AtomicUsize::new(0),
        }
    }

    /// The word at an index; it names the request.
    pub fn word(&self, index: u64) -> String {
        format!("{}:{index} ", self.nonce)
    }

    /// A reader that starts at a word. When the last reader is gone for `patience`, the
    /// generation is cancelled.
    pub fn read(self: &Arc<Self>, from: u64, patience: Duration) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        Reader {
            generation: self.clone(),
            made: self.made.subscribe(),
            next: from,
            patience,
        }
    }
}

/// Reads the words of a generation.
#[derive(Debug)]
pub(crate) struct Reader {
    pub generation: Arc<Generation>,
    made: watch::Receiver<u64>,
    next: u64,
    patience: Duration,
}

impl Reader {
    /// The next index, once its word is generated; `None` at the end or when cancelled.
    pub async fn next(&mut self) -> Option<u64> {
        let index = self.next;
        if index >= self.generation.output {
            return None;
        }
        let cancel = self.generation.cancel.clone();
        tokio::select! {
            biased;
            made = self.made.wait_for(|made| *made > index) => {
                made.ok()?;
            }
            () = cancel.cancelled() => return None,
        }
        self.next += 1;
        Some(index)
    }

    /// Whether every word was read.
    pub fn is_whole(&self) -> bool {
        self.next >= self.generation.output
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let generation = self.generation.clone();
        let last = generation.readers.fetch_sub(1, Ordering::Relaxed) == 1;
        if !last || *generation.made.borrow() >= generation.output {
            return;
        }
        let patience = self.patience;
        tokio::spawn(async move {
            tokio::time::sleep(patience).await;
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
