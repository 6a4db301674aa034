//! Measures CPU time and memory of the state machines and codecs on one thread.
//!
//! Prints one line for each figure, with the name of the crate and the size of the input, and one JSON
//! object with all figures as the last line. Run it with `cargo run --release -p bv-bench`.

mod blame;
mod config;
mod dispatch;
mod ledger;
mod limit;
mod measure;
mod teams;
mod wire;

use measure::Figure;

fn main() {
    let mut figures: Vec<Figure> = Vec::new();
    figures.extend(config::measure());
    figures.extend(ledger::measure());
    figures.extend(limit::measure());
    figures.extend(teams::measure());
    figures.extend(blame::measure());
    figures.extend(dispatch::measure());
    figures.extend(wire::measure());
    for figure in &figures {
        println!("{figure}");
    }
    println!("{}", measure::to_json(&figures));
}
