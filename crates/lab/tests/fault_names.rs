//! Names and times of the faults.

use std::collections::BTreeSet;
use std::time::Duration;

use bv_lab::commands::Lab;
use bv_lab::{Fault, run_schedule};

/// Guards against a fault that cannot be found in the help or given on the command line.
#[test]
fn listed_faults() {
    let help = Lab::parse(&["run", "--help"]).unwrap_err().output;
    let mut names = BTreeSet::new();
    for fault in Fault::ALL {
        let line = format!("    {}: {}", fault.name(), fault.help());
        assert!(help.lines().any(|known| known == line), "{line}");
        assert_eq!(fault.name().parse::<Fault>().unwrap(), *fault);
        names.insert(fault.name());
    }
    assert_eq!(names.len(), Fault::ALL.len());
    assert!("kill-hosts".parse::<Fault>().is_err());
}

/// Guards against a fault that is not undone within the run, and runs that cannot be repeated.
#[test]
fn fixed_schedule() {
    let faults: Vec<Fault> = Fault::ALL.iter().chain(Fault::ALL).copied().collect();
    for seed in 0..50 {
        let events = run_schedule(seed, 20, &faults);
        assert_eq!(events, run_schedule(seed, 20, &faults));
        assert_eq!(events.len(), faults.len());
        for event in &events {
            assert!(
                event.start + event.duration < Duration::from_secs(20),
                "{event:?}"
            );
        }
        let twice: Vec<_> = events
            .iter()
            .filter(|e| e.fault == Fault::KillHost)
            .collect();
        assert!(twice[0].start < twice[1].start);
    }
}
