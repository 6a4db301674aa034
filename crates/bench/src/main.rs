//! Measures processor time and memory of the decision parts on one thread.
//!
//! Each line names the part, the size and the figure; the last line is one JSON object. Run it
//! with `cargo run --release -p bv-bench`.

mod blame;
mod config;
mod ledger;
mod limit;
mod measure;
mod wire;

use measure::Figure;

fn main() {
    let mut figures: Vec<Figure> = Vec::new();
    figures.extend(config::measure());
    figures.extend(ledger::measure());
    figures.extend(limit::measure());
    figures.extend(blame::measure());
    figures.extend(wire::measure());
    for figure in &figures {
        println!("{figure}");
    }
    println!("{}", measure::to_json(&figures));
}
