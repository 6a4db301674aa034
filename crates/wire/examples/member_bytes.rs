//! Network traffic, false removals and detection times of simulated members.
//!
//! `cargo run --release -p bv-wire --example member_bytes` prints, for several numbers of members:
//!
//! - the datagrams and bytes per second of one member, including 28 bytes of IP and UDP headers for
//!   each datagram,
//! - an upper bound of its CPU time, which includes the simulated network but not the digests of the
//!   datagrams.
//!
//! It then prints the false removals among 8 members in 100 simulated hours at 5% loss, and the times
//! until a killed member is removed.

use std::time::Instant;

#[path = "../../member/tests/common/mod.rs"]
mod common;

use bv_member::Message;
use common::{Faults, Net};
use prost::Message as _;

const IP_UDP_HEADER_BYTES: u64 = 28;
const KEY: &[u8] = b"cluster-key-0123456789";
const MEMBER_COUNTS: [usize; 4] = [8, 32, 128, 350];
const MEASURED_SECONDS: u64 = 60;
const SIMULATED_HOURS: u64 = 100;
const KILL_RUNS: u64 = 1_000;

fn datagram_bytes(message: &Message) -> u64 {
    bv_wire::sign(KEY, message).encoded_len() as u64 + IP_UDP_HEADER_BYTES
}

fn lossy() -> Faults {
    Faults {
        loss: 0.05,
        delay: 4,
        jitter: 40,
        spike: 0.02,
        spike_ms: 600,
        ..Faults::default()
    }
}

fn print_traffic(count: usize, name: &str, faults: Faults) {
    let mut net = Net::new(count, 3, 50, 1);
    let started = net.now;
    while !net.wrong_views().is_empty() {
        net.run(100);
    }
    let converged = net.now - started;
    // Updates about the start are still repeated for some time; they would distort the figures.
    net.run(300_000);
    net.faults = faults;
    let start = Instant::now();
    net.run(MEASURED_SECONDS * 1_000);
    let micros = start.elapsed().as_secs_f64() * 1e6 / MEASURED_SECONDS as f64 / count as f64;
    net.size = datagram_bytes;
    let before: u64 = net.nodes.iter().map(|n| n.sent).sum();
    net.run(MEASURED_SECONDS * 1_000);
    let per_member = |sum: u64| sum as f64 / MEASURED_SECONDS as f64 / count as f64;
    let datagrams = net.nodes.iter().map(|n| n.sent).sum::<u64>() - before;
    let sent = net.nodes.iter().map(|n| n.sent_bytes);
    let largest = sent.clone().max().unwrap_or_default() as f64 / MEASURED_SECONDS as f64;
    let received = net.nodes.iter().map(|n| n.received_bytes).sum();
    println!(
        "{count:4} members, {name:5}: {:5.1} datagrams/s sent, {:5.0} B/s sent (largest {largest:.0}), \
         {:5.0} B/s received, {micros:.0} us CPU time/s; all views agree {converged} after a simultaneous start",
        per_member(datagrams),
        per_member(sent.sum()),
        per_member(received),
    );
}

fn print_false_removals() {
    let mut net = Net::new(8, 2, 50, 21);
    net.run(20_000);
    net.faults = lossy();
    net.log.clear();
    net.run(SIMULATED_HOURS * 3_600_000);
    let removals: usize = (0..8).map(|at| net.removals(at)).sum();
    println!("8 members, 5% loss, {SIMULATED_HOURS} h: {removals} false removals");
}

fn print_detection_times(name: &str, faults: &Faults) {
    let mut times: Vec<u64> = (0..KILL_RUNS)
        .map(|seed| {
            let mut net = Net::new(8, 2, 50, seed);
            net.run(20_000 + seed * 37 % 5_000);
            net.faults = faults.clone();
            net.run(2_000);
            net.kill(5);
            let killed = net.now;
            while !net.wrong_views().is_empty() {
                net.run(50);
            }
            (net.now - killed).0
        })
        .collect();
    times.sort_unstable();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "8 members, {name}: all views remove a killed member after {} ms (median), {} ms (99%), {} ms (largest of {KILL_RUNS})",
        percentile(0.5),
        percentile(0.99),
        percentile(1.0)
    );
}

fn main() {
    for count in MEMBER_COUNTS {
        print_traffic(
            count,
            "quiet",
            Faults {
                delay: 1,
                ..Faults::default()
            },
        );
        print_traffic(count, "lossy", lossy());
    }
    print_false_removals();
    print_detection_times(
        "quiet",
        &Faults {
            delay: 1,
            ..Faults::default()
        },
    );
    print_detection_times("lossy", &lossy());
}
