//! Guards against a host that misses a change because another host sends it only what it believes
//! to be new.

use std::collections::BTreeMap;

use bv_roster::{Row, RowLog, RowsSince};
use bv_types::Version;

fn row(key: &str, value: Option<&str>, version: u64) -> Row {
    Row {
        key: key.into(),
        value: value.map(|text| text.to_owned().into()),
        version: Version(version),
    }
}

fn keys(rows: &[Row]) -> Vec<&str> {
    rows.iter().map(|row| row.key.as_str()).collect()
}

#[test]
fn only_newer_rows() {
    let mut log = RowLog::default();
    log.replace([row("a", Some("1"), 3), row("b", Some("1"), 5)], Version(6));
    log.change(row("a", Some("2"), 8));
    log.change(row("b", None, 9));
    let RowsSince::Changes(rows) = log.since(Version(8)) else {
        panic!("the changes after a known version are known one by one");
    };
    assert_eq!(keys(&rows), ["b"]);
    assert_eq!(rows[0].value, None);
    assert_eq!(log.newest_change(), Version(9));
    assert_eq!(log.since(Version(9)), RowsSince::Changes(Vec::new()));
}

#[test]
fn unknown_past_needs_all() {
    let mut log = RowLog::default();
    log.replace([row("a", Some("1"), 3)], Version(6));
    // Rows that were removed before the first read are not known.
    assert!(matches!(log.since(Version(5)), RowsSince::All(rows) if keys(&rows) == ["a"]));
}

#[test]
fn missing_row_is_a_removal() {
    let mut log = RowLog::default();
    log.replace([row("a", Some("1"), 3), row("b", Some("1"), 4)], Version(6));
    log.replace([row("a", Some("1"), 3)], Version(20));
    let RowsSince::Changes(rows) = log.since(Version(6)) else {
        panic!("the changes after the first read are known");
    };
    assert_eq!((keys(&rows), &rows[0].value), (vec!["b"], &None));
}

#[test]
fn outdated_row_is_ignored() {
    let mut log = RowLog::default();
    log.replace([row("a", Some("1"), 3)], Version(3));
    log.change(row("a", Some("2"), 8));
    log.change(row("a", Some("1"), 3));
    assert_eq!(log.present().next().unwrap().1.as_ref(), b"2");
}

#[test]
fn removed_rows_are_bounded() {
    let mut log = RowLog::default();
    log.replace([row("kept", Some("1"), 1)], Version(1));
    for n in 0..10_000_u64 {
        let key = format!("i-{n}");
        log.change(row(&key, Some("1"), 2 + 2 * n));
        log.change(row(&key, None, 3 + 2 * n));
    }
    let RowsSince::Changes(rows) = log.since(Version(19_990)) else {
        panic!("the latest changes are known one by one");
    };
    assert!(rows.len() < 10);
    assert!(matches!(log.since(Version(1)), RowsSince::All(rows) if keys(&rows) == ["kept"]));
}

/// Plays a table with random changes, a reader that follows it and now and then reads it whole, and
/// hosts that take the changes from the reader at random times: each host must end with the rows of
/// the table, whatever was lost on the way.
#[test]
fn hosts_agree_with_the_table() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut table: BTreeMap<String, Row> = BTreeMap::new();
        let mut version = 1;
        let mut reader = RowLog::default();
        let mut read_up_to = Version(0);
        let mut hosts = vec![(BTreeMap::<String, Row>::new(), Version(0)); 4];
        for step in 0..400 {
            let key = format!("i-{}", rng.u8(..12));
            version += rng.u64(1..4);
            match rng.bool() {
                true => table.insert(key.clone(), row(&key, Some(&step.to_string()), version)),
                false => table.insert(key.clone(), row(&key, None, version)),
            };
            if rng.u8(..4) == 0 {
                continue;
            }
            // A whole read shows no removed rows; a feed shows all changes after a version.
            if read_up_to == Version(0) || rng.u8(..20) == 0 {
                let present = table.values().filter(|row| row.value.is_some());
                reader.replace(present.cloned(), Version(version));
            } else {
                for row in table.values().filter(|row| row.version > read_up_to) {
                    reader.change(row.clone());
                }
            }
            read_up_to = Version(version);
            for (rows, known) in &mut hosts {
                if rng.bool() {
                    take_over(&reader, read_up_to, rows, known);
                }
            }
        }
        for row in table.values().filter(|row| row.version > read_up_to) {
            reader.change(row.clone());
        }
        for (rows, known) in &mut hosts {
            take_over(&reader, Version(version), rows, known);
            let expected: Vec<&Row> = table.values().filter(|row| row.value.is_some()).collect();
            let found: Vec<&Row> = rows.values().filter(|row| row.value.is_some()).collect();
            assert_eq!(found, expected, "seed {seed}");
        }
    }
}

fn take_over(
    reader: &RowLog,
    read_up_to: Version,
    rows: &mut BTreeMap<String, Row>,
    known: &mut Version,
) {
    let changed = match reader.since(*known) {
        RowsSince::All(all) => {
            rows.clear();
            all
        }
        RowsSince::Changes(changes) => changes,
    };
    for row in changed {
        rows.insert(row.key.to_string(), row);
    }
    *known = read_up_to;
}
