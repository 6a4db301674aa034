//! CPU time and memory of parsing and validating a configuration.

use std::fmt::Write;

use bv_config::Inventory;

use crate::measure::{Figure, held_bytes, micros};

const MODELS: usize = 33;
const DEVICES_PER_TEAM: usize = 2;
const PARSES: u64 = 5;

/// Measures documents of several sizes, up to that of the planned deployment.
pub fn measure() -> Vec<Figure> {
    let sizes = [(10, 100), (100, 1_000), (900, 6_700)];
    let mut figures = Vec::new();
    for (runners, teams) in sizes {
        let text = document(runners, teams);
        let figure_name = |value| format!("config {value}, {runners} runners, {teams} teams");
        let time = micros(PARSES, |_| Inventory::parse(&text));
        let (inventory, bytes) = held_bytes(|| Inventory::parse(&text));
        drop(inventory);
        figures.push(Figure::new(
            figure_name("document"),
            text.len() as f64 / 1e3,
            "KB",
        ));
        figures.push(Figure::new(figure_name("parse"), time / 1e3, "ms"));
        figures.push(Figure::new(figure_name("memory"), bytes / 1e6, "MB"));
    }
    figures
}

fn document(runners: usize, teams: usize) -> String {
    let mut text = String::from("name = \"planned\"\n");
    for zone in 0..8 {
        let region = zone / 4;
        let _ = writeln!(
            text,
            "[[zone]]\nid = \"zone-{zone}\"\nregion = \"region-{region}\""
        );
    }
    for model in 0..MODELS {
        let _ = writeln!(
            text,
            "[[pool]]\nid = \"pool-{model}\"\nslots = 20\npieces = 60\n\
             prefill_tokens_per_s = 12000.0\ntoken_gap_ms = 20.0\nlink_bytes_per_s = 2.5e9\n\
             kv_bytes_per_token = 50000\neviction_ms = 800\n\
             [[model]]\nid = \"model-{model}\"\npool = \"pool-{model}\"\nclass = \"waiting\"\n\
             first_token_ms = 1100\ntoken_gap_ms = 71\ndeadline_ms = 30000"
        );
    }
    for runner in 0..runners {
        let (pool, zone) = (runner % MODELS, runner % 8);
        let role = if runner % 3 == 0 { "prefill" } else { "decode" };
        let _ = writeln!(
            text,
            "[[runner]]\nid = \"runner-{runner}\"\npool = \"pool-{pool}\"\nrole = \"{role}\"\n\
             zone = \"zone-{zone}\"\naddr = \"10.1.{}.{}:8000\"",
            runner / 200,
            runner % 200
        );
    }
    for team in 0..teams {
        let _ = writeln!(text, "[[team]]\nid = \"team-{team}\"\nrequests_per_s = 5.0");
        for device in 0..DEVICES_PER_TEAM {
            let _ = writeln!(
                text,
                "[[device]]\nid = \"d-{team}-{device}\"\nteam = \"team-{team}\""
            );
        }
    }
    text
}
