//! When a host exchanges what it knows of crashes through the store.
//!
//! Hosts tell each other of crashes directly. The store serves hosts that cannot hear each other, and
//! keeps the evidence while all hosts start again.

use bv_types::Millis;

/// Interval of the calls that read what other hosts wrote, while some of them are not heard.
pub const READ_INTERVAL: Millis = Millis(1_000);
/// Pause after a failed call.
pub const FAILURE_PAUSE: Millis = Millis(2_000);
/// Shortest time between two writes.
pub const WRITE_INTERVAL: Millis = Millis(500);
/// Time after a lost run for which crashes are expected.
pub const ALERT_TIME: Millis = Millis(30_000);

/// What the decision depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExchangeView {
    /// Live hosts according to the store that are not heard.
    pub missing_peers: usize,
    /// When this host last lost the connection of a run.
    pub last_loss_at: Option<Millis>,
    /// Number of reports of crashes that this host saw itself.
    pub own_crashes: u64,
    /// Whether a content is blocked, or suspected of so many crashes that it is sent one at a time.
    pub has_suspects: bool,
}

/// Next call of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeStep {
    /// Read what all hosts wrote.
    Read,
    /// Write what this host knows.
    Write,
    /// Nothing to do now.
    Wait,
}

/// Decides on the calls of one host.
#[derive(Debug, Default)]
pub struct StoreExchange {
    /// When the rows were read; none before the first time.
    read_at: Option<Millis>,
    written_at: Option<Millis>,
    /// Number of reports of own crashes that were written.
    written_crashes: u64,
    paused_until: Millis,
}

impl StoreExchange {
    /// The next call.
    pub fn step(&self, now: Millis, view: ExchangeView) -> ExchangeStep {
        if now < self.paused_until {
            return ExchangeStep::Wait;
        }
        let Some(read_at) = self.read_at else {
            return ExchangeStep::Read;
        };
        let has_news = view.own_crashes != self.written_crashes;
        let may_write = self.written_at.is_none_or(|at| now >= at + WRITE_INTERVAL);
        // Without a suspect and with all hosts heard, nobody needs the row.
        if has_news && may_write && (view.has_suspects || view.missing_peers > 0) {
            return ExchangeStep::Write;
        }
        let is_alert = view.last_loss_at.is_some_and(|at| now < at + ALERT_TIME);
        match view.missing_peers > 0 && is_alert && now >= read_at + READ_INTERVAL {
            true => ExchangeStep::Read,
            false => ExchangeStep::Wait,
        }
    }

    /// Records that the rows were read at `now`.
    pub fn record_read(&mut self, now: Millis) {
        self.read_at = Some(now);
    }

    /// Records that this host wrote what it knew when it had seen `own_crashes`.
    pub fn record_write(&mut self, now: Millis, own_crashes: u64) {
        self.written_at = Some(now);
        self.written_crashes = own_crashes;
    }

    /// Records that the store was restored from an older copy, which may lack what this host wrote.
    pub fn record_restoration(&mut self) {
        self.written_crashes = 0;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Millis) {
        self.paused_until = now + FAILURE_PAUSE;
    }
}
