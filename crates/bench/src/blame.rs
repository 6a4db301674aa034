//! CPU time of a request and of a crash in the state machine of `bv-blame`.

use bv_blame::{Blame, Event};
use bv_types::{BackendId, Fingerprint, Millis};

use crate::measure::{Figure, micros};

const REQUESTS: u64 = 50_000;
const IN_FLIGHT_PER_RUNNER: u64 = 20;

/// Measures starting and ending a request, and the crash of a runner with requests in flight.
pub fn measure() -> Vec<Figure> {
    let mut figures = Vec::new();
    for runners in [10, 100, 900] {
        let ids: Vec<BackendId> = (0..runners)
            .filter_map(|i| format!("r-{i}").parse().ok())
            .collect();
        let mut blame = Blame::default();
        for index in 0..runners as u64 * IN_FLIGHT_PER_RUNNER {
            start(&mut blame, &ids, index);
        }
        let request = micros(REQUESTS, |index| {
            start(&mut blame, &ids, index);
            let runner = ids[index as usize % ids.len()].clone();
            let request = fingerprint(index);
            let ended = Event::Ended {
                runner,
                request,
                completed: true,
            };
            blame.handle(Millis(index), ended)
        });
        let crash = micros(runners as u64, |index| {
            let runner = ids[index as usize].clone();
            blame.handle(Millis(index), Event::Crashed { runner })
        });
        figures.push(Figure::new(
            format!("blame request, {runners} runners"),
            request,
            "us",
        ));
        figures.push(Figure::new(
            format!("blame crash, {runners} runners"),
            crash,
            "us",
        ));
    }
    figures
}

fn fingerprint(index: u64) -> Fingerprint {
    Fingerprint::digest([index.to_le_bytes().as_slice()])
}

fn start(blame: &mut Blame, ids: &[BackendId], index: u64) {
    let runner = ids[index as usize % ids.len()].clone();
    let request = fingerprint(index);
    blame.handle(Millis(index), Event::Started { runner, request });
}
