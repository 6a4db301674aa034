//! Group commit: batches the writes of one host into transactions.

use std::collections::VecDeque;

use bv_types::Millis;

use crate::{RowWrite, StoreAnswer, StoreOpId, StoredRow};

/// Largest number of rows in one transaction.
pub const MAX_TRANSACTION_ROWS: usize = 100;
/// Largest total size of the rows of one transaction, in bytes.
/// The table's published limit is 4 MB; the rest is left for keys and framing.
pub const MAX_TRANSACTION_BYTES: usize = 3_500_000;
const MIN_INTERVAL: Millis = Millis(10);
/// Transactions per second that the table allows for all committers (entry hosts) together.
const TRANSACTIONS_PER_SEC: u64 = 200;

/// Time between the starts of two transactions of one committer.
///
/// ```
/// use bv_ledger::commit_interval;
/// use bv_types::Millis;
/// assert_eq!(commit_interval(1), Millis(10));
/// assert_eq!(commit_interval(8), Millis(40));
/// assert_eq!(commit_interval(16), Millis(80));
/// ```
pub fn commit_interval(committers: usize) -> Millis {
    let millis = (committers as u64 * 1_000).div_ceil(TRANSACTIONS_PER_SEC);
    Millis(millis).max(MIN_INTERVAL)
}

/// Result of one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TransactionResult {
    /// Every write took effect.
    Committed,
    /// No write took effect; one entry for each write.
    Refused(Vec<RowResult>),
    /// No write took effect and none will.
    Unavailable,
    /// The writes may have taken effect or may still do so.
    Unanswered,
}

/// Result of one write of a refused transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowResult {
    /// The precondition of this write was met; another write caused the refusal.
    PreconditionMet,
    /// The precondition was not met; the current row, or none.
    Conflict(Option<StoredRow>),
}

#[derive(Debug)]
struct QueuedWrite {
    op: StoreOpId,
    write: RowWrite,
}

/// Batches writes into transactions, with at most one in flight.
#[derive(Debug)]
pub struct GroupCommit {
    interval: Millis,
    next_at: Millis,
    queue: VecDeque<QueuedWrite>,
    in_flight: Vec<QueuedWrite>,
}

impl GroupCommit {
    /// Creates an empty queue; see [`commit_interval`] for the interval.
    pub fn new(interval: Millis) -> Self {
        GroupCommit {
            interval,
            next_at: Millis::ZERO,
            queue: VecDeque::new(),
            in_flight: Vec::new(),
        }
    }

    /// Changes the time between the starts of two transactions.
    pub fn set_interval(&mut self, interval: Millis) {
        self.interval = interval;
    }

    /// Queues a write.
    pub fn push(&mut self, op: StoreOpId, write: RowWrite) {
        self.queue.push_back(QueuedWrite { op, write });
    }

    /// Removes a write that is not in flight. Returns whether it was removed, in which case it has
    /// not taken effect and will not.
    pub fn withdraw(&mut self, op: StoreOpId) -> bool {
        let position = self.queue.iter().position(|item| item.op == op);
        position
            .and_then(|index| self.queue.remove(index))
            .is_some()
    }

    /// Time from which [`GroupCommit::next`] returns a transaction; none while one is in flight or
    /// the queue is empty.
    pub fn wake_at(&self) -> Option<Millis> {
        let idle = self.in_flight.is_empty() && !self.queue.is_empty();
        idle.then_some(self.next_at)
    }

    /// Starts the next transaction if it is due. Its writes have distinct keys.
    pub fn next(&mut self, now: Millis) -> Option<Vec<RowWrite>> {
        if self.wake_at()? > now {
            return None;
        }
        self.next_at = now + self.interval;
        let mut bytes = 0;
        let mut rest = VecDeque::new();
        let mut keys = Vec::new();
        let mut full = false;
        for item in self.queue.drain(..) {
            bytes += item.write.body.len();
            full |= self.in_flight.len() == MAX_TRANSACTION_ROWS;
            full |= bytes > MAX_TRANSACTION_BYTES && !self.in_flight.is_empty();
            let position = keys.binary_search(&item.write.key);
            match position {
                Err(index) if !full => {
                    keys.insert(index, item.write.key.clone());
                    self.in_flight.push(item);
                }
                _ => rest.push_back(item),
            }
        }
        self.queue = rest;
        Some(self.in_flight.iter().map(|i| i.write.clone()).collect())
    }

    /// Ends the transaction in flight. Returns an answer for each write whose result is known and
    /// none for each unanswered write. Writes that were refused only because of other writes are
    /// queued again.
    pub fn finish(&mut self, result: TransactionResult) -> Vec<(StoreOpId, Option<StoreAnswer>)> {
        let items = std::mem::take(&mut self.in_flight);
        let answer_all = |answer: Option<StoreAnswer>| {
            let ops = items.iter().map(|item| item.op);
            ops.map(|op| (op, answer.clone())).collect()
        };
        let rows = match result {
            TransactionResult::Committed => return answer_all(Some(StoreAnswer::Written)),
            TransactionResult::Unavailable => return answer_all(Some(StoreAnswer::NotWritten)),
            TransactionResult::Unanswered => return answer_all(None),
            // A result whose number of rows differs from the number of writes cannot be matched to
            // them, so every write counts as unanswered.
            TransactionResult::Refused(rows) if rows.len() != items.len() => {
                return answer_all(None);
            }
            TransactionResult::Refused(rows) => rows,
        };
        let mut answers = Vec::new();
        let mut resend = VecDeque::new();
        for (item, row) in items.into_iter().zip(rows) {
            match row {
                RowResult::PreconditionMet => resend.push_back(item),
                RowResult::Conflict(row) => {
                    answers.push((item.op, Some(StoreAnswer::Conflict(row))));
                }
            }
        }
        resend.append(&mut self.queue);
        self.queue = resend;
        answers
    }
}
