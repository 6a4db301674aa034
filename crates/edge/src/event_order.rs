//! Order of the events that a caller gets from one server after another.

use crate::events::Events;

/// Why events must not be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderError {
    /// An event was forwarded before.
    Repeated,
    /// The events between two ids are missing.
    Missing,
    /// An event of a server that resumes the stream has no id.
    Unnumbered,
}

impl OrderError {
    /// Reason code for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            OrderError::Repeated => "event_out_of_order",
            OrderError::Missing => "event_missing",
            OrderError::Unnumbered => "event_without_id",
        }
    }
}

/// Checks that a stream has each event once. The first server decides how its events are numbered;
/// a server that resumes the stream has to continue with the next id.
#[derive(Debug, Default)]
pub(crate) struct EventOrder {
    /// Whether the present server resumes the stream.
    is_resumed: bool,
    /// Whether the present server has sent an event.
    has_events: bool,
    /// Whether the ids of the first server have gaps, so that a missing event cannot be detected.
    has_gaps: bool,
    /// Whether the present server may have no event left to send.
    may_be_empty: bool,
    /// Whether the last forwarded event has no id after which the stream could be resumed.
    ends_unnumbered: bool,
}

impl EventOrder {
    /// Begins with the events of the first server. `is_end_marked` says that its answer marks its end; a
    /// stream without events is complete only then.
    pub fn begin(is_end_marked: bool) -> Self {
        EventOrder {
            may_be_empty: is_end_marked,
            ..EventOrder::default()
        }
    }

    /// Begins with the events of a server that resumes the stream. `may_be_empty` says that its answer
    /// is certain to be an event stream whose end is marked.
    pub fn begin_resumed(&mut self, may_be_empty: bool) {
        self.is_resumed = true;
        self.may_be_empty = may_be_empty;
        self.has_events = false;
    }

    /// Whether another server can continue after the last forwarded event.
    pub fn can_resume(&self) -> bool {
        !self.ends_unnumbered
    }

    /// Whether the stream may be complete where the present server ends it. A server that resumes a
    /// stream may have no event left if the one before was left between the last event and the end.
    pub fn may_end(&self) -> bool {
        self.has_events || self.may_be_empty
    }

    /// Checks events that follow the one with the id `last`; returns the id of the last event.
    ///
    /// # Errors
    /// An event is repeated or missing, or cannot be checked.
    pub fn check(&mut self, last: Option<u64>, events: &Events) -> Result<Option<u64>, OrderError> {
        if self.is_resumed && events.has_unnumbered {
            return Err(OrderError::Unnumbered);
        }
        let mut last = last;
        for id in &events.ids {
            if last.is_some_and(|last| *id <= last) {
                return Err(OrderError::Repeated);
            }
            // A stream from its begin may start with 0 or 1.
            let is_next = *id - last.unwrap_or(0) <= 1;
            if !is_next && self.is_resumed && last.is_some() && !self.has_gaps {
                return Err(OrderError::Missing);
            }
            self.has_gaps |= !is_next;
            last = Some(*id);
        }
        self.has_events |= events.has_unnumbered || !events.ids.is_empty();
        if self.has_events {
            self.ends_unnumbered = events.ends_unnumbered;
        }
        Ok(last)
    }
}
