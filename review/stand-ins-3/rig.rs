//! Stand-ins for the scripts of the third review, around the project's own programs as separate processes.
//!
//! `rig SCENARIO RECORD` plays a scenario on loopback addresses and writes what was sent, answered and run to
//! RECORD. With `TROUBLE=0` in the environment it leaves out the disruption. Exit codes: 0 the rule held,
//! 1 it was broken, 2 the case could not run.

mod http;
mod json;
mod quota;
mod memory;
mod parts;
mod recover;
mod store;
mod target;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, record] = args.as_slice() else {
        eprintln!("usage: rig SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = match scenario.as_str() {
        "memory" => memory::play(has_trouble),
        "quota" => quota::play(has_trouble),
        "target" => target::play(has_trouble),
        "recover" => recover::play(has_trouble),
        other => Err(format!("unknown scenario {other}")),
    };
    let (text, code) = match played {
        Ok(outcome) => (outcome.record, u8::from(outcome.is_broken)),
        Err(err) => (format!("could not run: {err}\n"), 2),
    };
    print!("{}", text.lines().take(40).map(|line| format!("{line}\n")).collect::<String>());
    if let Err(err) = std::fs::write(record, text) {
        eprintln!("{record}: {err}");
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}

/// What a scenario showed.
pub struct Outcome {
    pub record: String,
    pub is_broken: bool,
}
