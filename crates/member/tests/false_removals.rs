//! False removals of live members over simulated hours, and detection time of dead ones.

mod common;

use common::{Faults, Net};

const HOSTS: usize = 8;
const TICK_MS: u64 = 50;
const HOURS: u64 = 3;
/// Target of the design page: less than one removal an hour.
const MAX_REMOVALS: u64 = HOURS - 1;
const DETECTION_MS: u64 = 8_000;

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

/// Guards against false removals at 5% loss with varying delay.
#[test]
fn few_false_removals_with_loss() {
    let mut net = Net::new(HOSTS, 2, TICK_MS, 11);
    net.run(20_000);
    net.faults = lossy();
    net.log.clear();
    net.run(HOURS * 3_600_000);
    let removals: usize = (0..HOSTS).map(|at| net.removals(at)).sum();
    println!("removals in {HOURS} h: {removals}");
    assert!(removals as u64 <= MAX_REMOVALS, "{removals} removals");
}

/// Guards against slow detection, with and without loss: every view must drop the dead member in
/// time.
#[test]
fn detection_in_time() {
    for (name, faults) in [("quiet", Faults::default()), ("loss", lossy())] {
        let mut times = Vec::new();
        for seed in 0..100 {
            let mut net = Net::new(HOSTS, 2, TICK_MS, seed);
            net.run(20_000 + seed * 37);
            assert_eq!(net.wrong_views(), [0; 0], "before the kill, seed {seed}");
            net.faults = faults.clone();
            net.run(2_000);
            net.kill(5);
            let killed = net.now;
            while !net.wrong_views().is_empty() {
                net.run(50);
                assert!(net.now < killed + bv_types::Millis(60_000), "seed {seed}");
            }
            times.push((net.now - killed).0);
        }
        times.sort_unstable();
        println!(
            "{name}: detection median {} ms, largest {} ms",
            times[50], times[99]
        );
        assert!(times[99] <= DETECTION_MS, "{name}: {} ms", times[99]);
    }
}
