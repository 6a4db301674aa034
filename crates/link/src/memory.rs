//! Memory that bytes from outside may use together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;

/// Most bytes that a connection holds beside the body: its read buffer, and a frame that was taken from
/// it.
const READ_BUFFERS_BYTES: usize = 64 << 10;

/// Memory for a body in a buffer of this capacity while it is read.
pub fn bytes_while_read(capacity: usize) -> usize {
    capacity + capacity.min(READ_BUFFERS_BYTES)
}

/// Who sends the bytes. Each sender has a part of the memory that the others cannot use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// Bodies of callers' requests.
    Caller,
    /// Answers of backend servers.
    Server,
    /// Answers of the store.
    Store,
    /// Heads of callers' requests.
    Head,
}

/// Number of bytes that each sender may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InboundLimits {
    /// Bodies of callers' requests.
    pub callers: usize,
    /// Answers of backend servers.
    pub servers: usize,
    /// Answers of the store.
    pub store: usize,
    /// Heads of callers' requests.
    pub heads: usize,
}

/// Bound of all bodies and large heads that a process holds at the same time.
///
/// A limit for each body alone does not bound the memory of many. When a part is used up, its largest
/// unfinished body is given up.
#[derive(Debug)]
pub struct InboundMemory {
    callers: Mutex<Part>,
    servers: Mutex<Part>,
    store: Mutex<Part>,
    heads: Mutex<Part>,
}

impl InboundMemory {
    /// Memory with these limits.
    pub fn new(limits: InboundLimits) -> Self {
        InboundMemory {
            callers: Mutex::new(Part::new(limits.callers)),
            servers: Mutex::new(Part::new(limits.servers)),
            store: Mutex::new(Part::new(limits.store)),
            heads: Mutex::new(Part::new(limits.heads)),
        }
    }

    /// Number of bytes that bodies of a sender use now.
    pub fn used(&self, sender: Sender) -> usize {
        self.part(sender).used
    }

    fn part(&self, sender: Sender) -> MutexGuard<'_, Part> {
        let part = match sender {
            Sender::Caller => &self.callers,
            Sender::Server => &self.servers,
            Sender::Store => &self.store,
            Sender::Head => &self.heads,
        };
        part.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Part {
    limit: usize,
    used: usize,
    next_id: u64,
    /// Sorted by id.
    bodies: Vec<HeldBody>,
}

#[derive(Debug)]
struct HeldBody {
    id: u64,
    bytes: usize,
    /// Notified when the body is given up; absent once it is complete.
    unfinished: Option<Arc<Notify>>,
}

impl Part {
    fn new(limit: usize) -> Self {
        Part {
            limit,
            used: 0,
            next_id: 0,
            bodies: Vec::new(),
        }
    }

    fn find(&self, id: u64) -> Option<usize> {
        self.bodies.binary_search_by_key(&id, |body| body.id).ok()
    }

    /// Lets a body use `bytes`; returns false if the memory does not suffice and no unfinished body is
    /// larger.
    fn resize(&mut self, id: u64, bytes: usize) -> bool {
        let Some(at) = self.find(id) else {
            return false;
        };
        let held = self.bodies[at].bytes;
        if bytes <= held {
            self.bodies[at].bytes = bytes;
            self.used -= held - bytes;
            return true;
        }
        let missing = bytes - held;
        if self.used + missing > self.limit {
            let larger = self
                .bodies
                .iter()
                .filter(|body| body.unfinished.is_some() && body.bytes > bytes)
                .max_by_key(|body| body.bytes);
            let Some(larger) = larger.map(|body| body.id) else {
                return false;
            };
            self.give_up(larger);
        }
        self.used += missing;
        if let Some(at) = self.find(id) {
            self.bodies[at].bytes += missing;
        }
        true
    }

    fn give_up(&mut self, id: u64) {
        if let Some(unfinished) = self.remove(id).and_then(|body| body.unfinished) {
            unfinished.notify_one();
        }
    }

    fn remove(&mut self, id: u64) -> Option<HeldBody> {
        let body = self.bodies.remove(self.find(id)?);
        self.used -= body.bytes;
        Some(body)
    }
}

/// The share of one body, given back on drop.
#[derive(Debug)]
pub struct Share {
    memory: Arc<InboundMemory>,
    sender: Sender,
    id: u64,
    given_up: Arc<Notify>,
}

impl Share {
    /// An empty share.
    pub fn new(memory: &Arc<InboundMemory>, sender: Sender) -> Self {
        let given_up = Arc::new(Notify::new());
        let mut part = memory.part(sender);
        let id = part.next_id;
        part.next_id += 1;
        part.bodies.push(HeldBody {
            id,
            bytes: 0,
            unfinished: Some(given_up.clone()),
        });
        drop(part);
        Share {
            memory: memory.clone(),
            sender,
            id,
            given_up,
        }
    }

    /// Changes the share to `bytes`; returns false if the memory does not suffice or the body was given
    /// up.
    pub fn resize(&self, bytes: usize) -> bool {
        self.memory.part(self.sender).resize(self.id, bytes)
    }

    /// Marks the body as one that is not given up for a smaller one; returns false if the body was given up before.
    pub fn finish(&self) -> bool {
        let mut part = self.memory.part(self.sender);
        let Some(at) = part.find(self.id) else {
            return false;
        };
        part.bodies[at].unfinished = None;
        true
    }

    /// Waits until the body is given up for a smaller one.
    pub async fn given_up(&self) {
        self.given_up.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.part(self.sender).remove(self.id);
    }
}

/// A body that was read, with its share of the memory.
pub(crate) struct SharedBody {
    pub buf: Vec<u8>,
    pub _share: Share,
}

impl AsRef<[u8]> for SharedBody {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
