//! Splitting of an event stream into whole events.

use std::sync::Arc;

use bv_link::{InboundMemory, Sender, Share, bytes_while_read};
use bytes::{Bytes, BytesMut};

/// Largest event, and most bytes without a numbered event; more of them end the stream with an error.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// Bytes of an incomplete event that need no share of the memory; usual events are shorter.
const UNSHARED_BYTES: usize = 4 << 10;

/// Complete events taken from the front of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Events {
    pub bytes: Bytes,
    /// Ids of the events that have one, in order.
    pub ids: Vec<u64>,
    /// Whether an event has no id.
    pub has_unnumbered: bool,
    /// Whether the last event has no id.
    pub ends_unnumbered: bool,
}

impl Events {
    fn parse(bytes: Bytes) -> Self {
        let mut ids = Vec::new();
        let mut has_unnumbered = false;
        let mut ends_unnumbered = false;
        let mut has_fields = false;
        let mut id = None;
        for line in bytes.split(|b| *b == b'\n') {
            match line.strip_suffix(b"\r").unwrap_or(line) {
                [] => {
                    if let Some(id) = id.take() {
                        ids.push(id);
                        ends_unnumbered = false;
                    } else if has_fields {
                        has_unnumbered = true;
                        ends_unnumbered = true;
                    }
                    has_fields = false;
                }
                // A comment.
                [b':', ..] => {}
                field => {
                    has_fields = true;
                    id = event_id(field).or(id);
                }
            }
        }
        Events {
            bytes,
            ids,
            has_unnumbered,
            ends_unnumbered,
        }
    }
}

/// Buffers the part of a stream that is not a complete event yet.
#[derive(Debug)]
pub(crate) struct EventReader {
    buf: BytesMut,
    memory: Arc<InboundMemory>,
    /// Share of a long incomplete event. The event belongs to an answer in progress, so it is not given
    /// up for a smaller one.
    share: Option<Share>,
    has_no_memory: bool,
    /// Bytes taken since the last event with an id.
    unnumbered_bytes: usize,
}

impl EventReader {
    pub fn new(memory: &Arc<InboundMemory>) -> Self {
        EventReader {
            buf: BytesMut::new(),
            memory: memory.clone(),
            share: None,
            has_no_memory: false,
            unnumbered_bytes: 0,
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes all complete events.
    pub fn take(&mut self) -> Option<Events> {
        let events = self.take_complete();
        self.update_share();
        events
    }

    fn update_share(&mut self) {
        if self.buf.len() <= UNSHARED_BYTES {
            self.share = None;
            return;
        }
        let share = self.share.get_or_insert_with(|| {
            let share = Share::new(&self.memory, Sender::Server);
            share.finish();
            share
        });
        self.has_no_memory |= !share.resize(bytes_while_read(self.buf.capacity()));
    }

    fn take_complete(&mut self) -> Option<Events> {
        let end = last_event_end(&self.buf)?;
        let events = Events::parse(self.buf.split_to(end).freeze());
        self.unnumbered_bytes = match events.ids.is_empty() {
            true => self.unnumbered_bytes + events.bytes.len(),
            false => 0,
        };
        Some(events)
    }

    /// Whether an incomplete event is buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Whether the incomplete event, or the comments and events without an id since the last numbered
    /// one, exceed the allowed size or the memory.
    pub fn is_overlong(&self) -> bool {
        self.has_no_memory
            || self.buf.len() > MAX_EVENT_BYTES
            || self.unnumbered_bytes > MAX_EVENT_BYTES
    }

    /// Discards an incomplete event.
    pub fn clear(&mut self) {
        self.buf.clear();
        self.share = None;
        self.has_no_memory = false;
        self.unnumbered_bytes = 0;
    }
}

/// Position after the last empty line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let is_line_end = |at: usize| buf[at] == b'\n';
    (1..buf.len()).rev().find_map(|at| {
        let ends_line = is_line_end(at);
        let is_empty_line = ends_line
            && (is_line_end(at - 1) || (at >= 2 && buf[at - 1] == b'\r' && is_line_end(at - 2)));
        is_empty_line.then_some(at + 1)
    })
}

fn event_id(line: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
    text.trim().parse().ok()
}
