//! CPU time of a request and of a crash in the state machines of `bv-blame`.

use bv_blame::{Blame, Content, CrashId, CrashWatch, Event, RunEnd};
use bv_types::{BackendId, Fingerprint, Millis};

use crate::measure::{Figure, micros};

const REQUESTS: u64 = 50_000;
const IN_FLIGHT_PER_RUNNER: u64 = 20;
/// Crashes that a host knows of on a hard day.
const KNOWN_CRASHES: u64 = 40;
/// Headers of a usual request.
const HEADER_BYTES: usize = 120;

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
    figures.extend(measure_watch());
    figures
}

/// Measures a request's digests, and its admission, run and end at a host in calm and after crashes.
fn measure_watch() -> Vec<Figure> {
    let headers = [b'h'; HEADER_BYTES];
    let content = |index: u64| {
        let own = index.to_le_bytes();
        let request = [b"GET".as_slice(), b"a.example", b"/path", own.as_slice()];
        Content::new(std::iter::empty(), request).with_caller([b"10.0.0.1".as_slice(), &headers])
    };
    let digests = micros(REQUESTS, content);
    let mut figures = vec![Figure::new("blame digests of a request", digests, "us")];
    for crashes in [0, KNOWN_CRASHES] {
        let mut watch = CrashWatch::new(1);
        let process = |index| CrashId(u64::MAX - index);
        for index in 0..crashes {
            let now = Millis(index * 500);
            let runs = (0..IN_FLIGHT_PER_RUNNER).map(|n| content(u64::MAX - n - index * 100));
            let runs: Vec<_> = runs.map(|c| watch.begin(process(index), c, None)).collect();
            for run in runs {
                watch.lose(now, run);
            }
            watch.confirm(now, process(index), true);
        }
        let contents: Vec<Content> = (0..REQUESTS).map(content).collect();
        let now = Millis(crashes * 500);
        let request = micros(REQUESTS, |index| {
            let content = &contents[index as usize];
            let is_free = watch.admission(now, content, None) == bv_blame::Admission::Free;
            let run = watch.begin(CrashId(index % 100), content.clone(), None);
            watch.end(now, run, RunEnd::Completed);
            is_free
        });
        figures.push(Figure::new(
            format!("blame watched request, {crashes} crashes"),
            request,
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
