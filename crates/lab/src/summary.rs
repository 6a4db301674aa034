//! Summary of several runs by policy and load, with median and range.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::LabError;

/// Median and range of a value over the runs of one policy at one load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct MedianAndRange {
    /// Median; the mean of the two middle values if their number is even.
    pub median: f64,
    /// Smallest value.
    pub low: f64,
    /// Largest value.
    pub high: f64,
}

impl MedianAndRange {
    /// Median and range of the values; all zero if there are none.
    pub fn of(values: impl IntoIterator<Item = f64>) -> Self {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let (Some(low), Some(high)) = (values.first(), values.last()) else {
            return MedianAndRange::default();
        };
        MedianAndRange {
            median: (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0,
            low: *low,
            high: *high,
        }
    }
}

/// Summary of the runs of one policy at one load.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DataPoint {
    /// Placement policy.
    pub policy: String,
    /// Offered load in percent.
    pub load: u64,
    /// Number of runs.
    pub runs: usize,
    /// Share of requests answered within both latency targets.
    pub goodput_ratio: MedianAndRange,
    /// Share of model calls answered within both latency targets.
    pub model_goodput_ratio: MedianAndRange,
    /// Share of urgent calls answered before their deadline.
    pub urgent_in_time_ratio: MedianAndRange,
    /// Share of computed prompt tokens whose KV cache was not imported for decode.
    pub wasted_prefill_ratio: MedianAndRange,
    /// Violated guarantees over all runs.
    pub violations: u64,
}

/// Runs as printed by `burdockvale-lab run`, and data points of earlier reports.
#[derive(Debug, Clone, Default)]
pub struct RunCollection {
    runs: Vec<Value>,
    earlier_points: Vec<DataPoint>,
}

impl RunCollection {
    /// Adds one run.
    pub fn add(&mut self, run: Value) {
        self.runs.push(run);
    }

    /// Adds the run or the report whose JSON object is the last line of a file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or contains no result of a run.
    pub fn read(&mut self, path: &Path) -> Result<(), LabError> {
        let text = std::fs::read_to_string(path).map_err(|source| LabError::Read {
            path: path.to_owned(),
            source,
        })?;
        let no_run = |detail| LabError::NoRun {
            path: path.to_owned(),
            detail,
        };
        let last = text.lines().rev().find(|line| !line.trim().is_empty());
        let run: Value = serde_json::from_str(last.unwrap_or_default())
            .map_err(|_| no_run("the last line is not JSON"))?;
        if let Ok(points) = Vec::<DataPoint>::deserialize(&run["points"]) {
            self.earlier_points.extend(points);
            return Ok(());
        }
        if !run["run"]["policy"].is_string() || !run["run"]["load"].is_u64() {
            return Err(no_run(
                "the JSON object has no field `run` with `policy` and `load`",
            ));
        }
        self.add(run);
        Ok(())
    }

    /// One data point for each policy and load, sorted; those of earlier reports are unchanged.
    pub fn points(&self) -> Vec<DataPoint> {
        let key = |run: &Value| {
            let policy = run["run"]["policy"].as_str().unwrap_or_default().to_owned();
            (policy, run["run"]["load"].as_u64().unwrap_or_default())
        };
        let mut keys: Vec<(String, u64)> = self.runs.iter().map(key).collect();
        keys.sort();
        keys.dedup();
        let point = |(policy, load): (String, u64)| {
            let runs: Vec<&Value> = self
                .runs
                .iter()
                .filter(|run| key(run) == (policy.clone(), load))
                .collect();
            let median_and_range =
                |name: &str| MedianAndRange::of(runs.iter().filter_map(|run| run[name].as_f64()));
            DataPoint {
                runs: runs.len(),
                goodput_ratio: median_and_range("goodput_ratio"),
                model_goodput_ratio: median_and_range("model_goodput_ratio"),
                urgent_in_time_ratio: median_and_range("urgent_in_time_ratio"),
                wasted_prefill_ratio: median_and_range("wasted_prefill_ratio"),
                violations: runs
                    .iter()
                    .filter_map(|run| run["violations"].as_u64())
                    .sum(),
                policy,
                load,
            }
        };
        let mut points: Vec<DataPoint> = keys.into_iter().map(point).collect();
        points.extend(self.earlier_points.iter().cloned());
        points.sort_by(|a, b| (&a.policy, a.load).cmp(&(&b.policy, b.load)));
        points
    }
}
