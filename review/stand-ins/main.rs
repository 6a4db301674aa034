//! Stand-ins and scenarios of the review; needs nothing but the standard library.
//!
//! Usage: `review-stand-ins SCENARIO FOLDER`, in the root of the repository after the build of the
//! deploy file. Writes `record.txt` into the folder. With `TROUBLE=0` in the environment the scenario
//! runs without its disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.

mod client;
mod foreign_service;
mod host;
mod http;
mod json;
mod large_bodies;
mod record;
mod refused_move;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

use foreign_service::Trouble;

/// How a scenario ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = args.as_slice() else {
        eprintln!("usage: review-stand-ins SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let folder = Path::new(folder);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let verdict = match scenario.as_str() {
        "large-bodies" => large_bodies::run(folder, trouble),
        "missing-fields" => foreign_service::run(folder, &[Trouble::MissingFields], trouble),
        "other-part" => {
            let troubles = [Trouble::EntryInOtherPart, Trouble::DraftInOtherPart];
            foreign_service::run(folder, &troubles, trouble)
        }
        "refused-move" => refused_move::run(folder, trouble),
        _ => Verdict::CouldNotRun,
    };
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::CouldNotRun => ExitCode::from(2),
    }
}
