//! Batching, limits and results of the group commit.

use bv_ledger::{
    CallId, GroupCommit, MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ROWS, Precondition, RowResult,
    RowWrite, StoreAnswer, StoreOpId, TransactionResult, commit_interval,
};
use bv_types::{Millis, Version};

fn op_id(call: u64) -> StoreOpId {
    StoreOpId {
        call: CallId(call),
        number: 1,
    }
}

fn write(key: &str, size: usize) -> RowWrite {
    RowWrite {
        key: key.into(),
        version: Version(1),
        body: "x".repeat(size),
        precondition: Precondition::Absent,
        expires: Millis(1),
    }
}

fn queue(keys: &[&str]) -> GroupCommit {
    let mut commit = GroupCommit::new(Millis(40));
    for (index, key) in keys.iter().enumerate() {
        commit.push(op_id(index as u64), write(key, 1));
    }
    commit
}

fn keys(writes: Option<Vec<RowWrite>>) -> Vec<String> {
    let writes = writes.unwrap_or_default();
    writes.iter().map(|write| write.key.to_string()).collect()
}

/// Guards against a second transaction in flight and against one before the interval has passed.
#[test]
fn one_in_flight() {
    let mut commit = queue(&["a"]);
    assert_eq!(keys(commit.next(Millis(100))), ["a"]);
    commit.push(op_id(7), write("b", 1));
    assert_eq!(commit.wake_at(), None);
    assert_eq!(commit.next(Millis(500)), None);
    commit.finish(TransactionResult::Committed);
    assert_eq!(commit.wake_at(), Some(Millis(140)));
    assert_eq!(commit.next(Millis(139)), None);
    assert_eq!(keys(commit.next(Millis(140))), ["b"]);
    commit.finish(TransactionResult::Committed);
    assert_eq!(commit.wake_at(), None);
}

/// Guards against transactions that the table refuses for their size or for a repeated key.
#[test]
fn transaction_limits() {
    let mut commit = GroupCommit::new(Millis(40));
    for call in 0..250 {
        commit.push(op_id(call), write(&format!("key-{call}"), 1));
    }
    let mut sizes = Vec::new();
    for round in 0..3 {
        sizes.push(commit.next(Millis(round * 40)).unwrap().len());
        commit.finish(TransactionResult::Committed);
    }
    assert_eq!(sizes, [MAX_TRANSACTION_ROWS, MAX_TRANSACTION_ROWS, 50]);

    let mut commit = GroupCommit::new(Millis(40));
    for call in 0..3 {
        let body = MAX_TRANSACTION_BYTES / 2;
        commit.push(op_id(call), write(&format!("key-{call}"), body));
    }
    assert_eq!(commit.next(Millis(0)).unwrap().len(), 2);

    let mut commit = queue(&["a", "b", "a", "a"]);
    for (round, expected) in [vec!["a", "b"], vec!["a"], vec!["a"]]
        .into_iter()
        .enumerate()
    {
        assert_eq!(keys(commit.next(Millis(round as u64 * 40))), expected);
        commit.finish(TransactionResult::Committed);
    }
}

/// Guards against reporting a result for an unanswered write, and against a lost or repeated write.
#[test]
fn transaction_results_reach_writes() {
    let conflict = || RowResult::Conflict(None);
    let conflicted = Some(StoreAnswer::Conflict(None));
    let cases = [
        (
            TransactionResult::Committed,
            vec![Some(StoreAnswer::Written); 3],
            vec![],
        ),
        (
            TransactionResult::Unavailable,
            vec![Some(StoreAnswer::NotWritten); 3],
            vec![],
        ),
        (TransactionResult::Unanswered, vec![None; 3], vec![]),
        (
            TransactionResult::Refused(vec![
                RowResult::PreconditionMet,
                conflict(),
                RowResult::PreconditionMet,
            ]),
            vec![conflicted.clone()],
            vec!["a", "c"],
        ),
        (
            TransactionResult::Refused(vec![conflict(), conflict(), conflict()]),
            vec![conflicted; 3],
            vec![],
        ),
        (
            TransactionResult::Refused(vec![
                RowResult::PreconditionMet,
                RowResult::PreconditionMet,
                RowResult::PreconditionMet,
            ]),
            vec![],
            vec!["a", "b", "c"],
        ),
        (
            TransactionResult::Refused(vec![conflict()]),
            vec![None; 3],
            vec![],
        ),
    ];
    for (result, expected, again) in cases {
        let mut commit = queue(&["a", "b", "c"]);
        commit.next(Millis(0)).unwrap();
        let name = format!("{result:?}");
        let answers: Vec<_> = commit.finish(result).into_iter().map(|(_, a)| a).collect();
        assert_eq!(answers, expected, "{name}");
        assert_eq!(keys(commit.next(Millis(40))), again, "{name}");
    }
}

/// Guards against sending a withdrawn write, and against withdrawing one that is in flight.
#[test]
fn withdrawn_write() {
    let mut commit = queue(&["a", "b"]);
    assert!(commit.withdraw(op_id(0)));
    assert!(!commit.withdraw(op_id(0)));
    assert_eq!(keys(commit.next(Millis(0))), ["b"]);
    assert!(!commit.withdraw(op_id(1)));
    assert_eq!(
        commit.finish(TransactionResult::Unanswered),
        [(op_id(1), None)]
    );
}

/// Guards against more transactions per second than the table allows for all committers.
#[test]
fn commit_interval_limits_total_rate() {
    for (committers, interval) in [(0, 10), (1, 10), (2, 10), (6, 30), (8, 40), (16, 80)] {
        assert_eq!(
            commit_interval(committers),
            Millis(interval),
            "{committers} committers"
        );
    }
}
