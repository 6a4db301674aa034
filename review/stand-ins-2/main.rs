//! Stand-ins and cases of the review. `bv-review CASE RECORD` runs a case from the root of the repository
//! and exits with 1 if its rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment it leaves the disruption out.

mod crowd;
mod http;
mod json;
mod old_version;
mod short_grace;
mod status_101;
mod store;
mod system;

use system::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: bv-review CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&path);
    record.add(format!("case {case}, disruption: {has_trouble}"));
    // A step that panics leaves the case undecided; all processes are ended on the way.
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "status-101" => status_101::run(&record, has_trouble),
        "crowd" => crowd::run(&record, has_trouble),
        "old-version" => old_version::run(&record, has_trouble),
        "short-grace" => short_grace::run(&record, has_trouble),
        other => Outcome::NotRun(format!("no case {other}")),
    });
    let outcome = outcome.unwrap_or_else(|_| Outcome::NotRun("a step failed".into()));
    let code = match outcome {
        Outcome::Held => {
            record.add("the rule held");
            0
        }
        Outcome::Broken => {
            record.add("the rule was broken");
            1
        }
        Outcome::NotRun(reason) => {
            record.add(format!("the case could not run: {reason}"));
            2
        }
    };
    std::process::exit(code);
}
