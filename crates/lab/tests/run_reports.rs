//! Median, range and files of several runs.

use std::process::Command;

use bv_lab::{MedianAndRange, Report, RunCollection};
use serde_json::{Value, json};

fn run(policy: &str, load: u64, in_time: u64) -> Value {
    let report = Report {
        requests: 10,
        in_time,
        prefill_tokens: 100,
        imported_tokens: 90,
        ..Report::default()
    };
    let mut value = report.to_json();
    value["run"] = json!({"policy": policy, "load": load});
    value
}

/// Guards against a median or range over runs of another policy or load.
#[test]
fn grouped_points() {
    let mut collection = RunCollection::default();
    for (policy, load, in_time) in [
        ("planned", 100, 9),
        ("least-loaded", 100, 4),
        ("planned", 70, 10),
        ("planned", 100, 5),
        ("planned", 100, 8),
    ] {
        collection.add(run(policy, load, in_time));
    }
    let points = collection.points();
    let keys: Vec<_> = points
        .iter()
        .map(|p| (p.policy.as_str(), p.load, p.runs))
        .collect();
    assert_eq!(
        keys,
        [
            ("least-loaded", 100, 1),
            ("planned", 70, 1),
            ("planned", 100, 3)
        ]
    );
    let expected = MedianAndRange {
        median: 0.8,
        low: 0.5,
        high: 0.9,
    };
    assert_eq!(points[2].goodput_ratio, expected);
    assert!((points[2].wasted_prefill_ratio.median - 0.1).abs() < 1e-9);
}

/// Guards against an earlier report that is refused or changed when it is read again.
#[test]
fn earlier_report() {
    let mut collection = RunCollection::default();
    collection.add(run("planned", 100, 9));
    let text = json!({"points": collection.points()}).to_string();
    let path = std::env::temp_dir().join(format!("bv-report-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let mut again = RunCollection::default();
    again.add(run("planned", 70, 10));
    again.read(&path).unwrap();
    let _ = std::fs::remove_file(&path);
    let loads: Vec<u64> = again.points().iter().map(|point| point.load).collect();
    assert_eq!(loads, [70, 100]);
    assert_eq!(again.points()[1], collection.points()[0]);
}

/// Guards against a report field that disappears from the last line of a run.
#[test]
fn report_fields() {
    let value = Report::default().to_json();
    for name in [
        "requests",
        "answered_whole",
        "refused_not_run",
        "outcome_unknown",
        "lost",
        "goodput_ratio",
        "urgent_in_time_ratio",
        "wasted_prefill_ratio",
        "double_runs",
        "ran_after_not_run",
        "crossed_answers",
        "truncated_answers",
        "answered_twice",
        "held_after_gone",
        "cut_by_shutdown",
        "config_reverts",
        "accepted_waiting_lost",
        "violations",
        "refusals",
        "retries",
    ] {
        assert!(!value[name].is_null(), "{name}");
    }
}

/// Guards against a violated guarantee that is not counted as a violation, and against other
/// outcomes that are.
#[test]
fn counted_violations() {
    let violating = Report {
        double_runs: 1,
        ran_after_not_run: 1,
        crossed_answers: 1,
        truncated_answers: 1,
        answered_twice: 1,
        held_after_gone: 1,
        cut_by_shutdown: 1,
        config_reverts: 1,
        config_late: 1,
        config_replaced: 1,
        operator_races_broken: 1,
        work_after_leaving: 1,
        ..Report::default()
    };
    assert_eq!(violating.violations(), 12);
    let without_violations = Report {
        refused_not_run: 5,
        outcome_unknown: 5,
        lost: 5,
        ..Report::default()
    };
    assert_eq!(without_violations.violations(), 0);
}

/// Guards against a program that cannot read its own output.
#[test]
fn written_files() {
    let dir = std::env::temp_dir().join(format!("bv-lab-report-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let input = dir.join("run.txt");
    let text = format!("requests 10\n{}\n", run("planned", 70, 9));
    std::fs::write(&input, text).unwrap();
    let status = Command::new(env!("CARGO_BIN_EXE_burdockvale-lab"))
        .args(["report", "--read", input.to_str().unwrap()])
        .args(["--out", dir.to_str().unwrap()])
        .status()
        .unwrap();
    assert!(status.success());
    let json = std::fs::read_to_string(dir.join("report.json")).unwrap();
    let json: Value = serde_json::from_str(&json).unwrap();
    assert_eq!(json["points"][0]["goodput_ratio"]["median"], 0.9);
    let svg = std::fs::read_to_string(dir.join("report.svg")).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("planned"));
    std::fs::remove_dir_all(&dir).unwrap();
}
