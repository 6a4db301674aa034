//! Faults that can be injected into a run, by name.

mod injector;
mod operators;
mod schedule;
mod soak;

use std::str::FromStr;

use serde::Serialize;

pub use injector::FaultInjector;
pub use schedule::{FaultEvent, run_schedule};
pub use soak::soak_schedule;

macro_rules! faults {
    ($($variant:ident = $name:literal, $help:literal;)*) => {
        /// A fault that a run can contain.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Fault {
            $(#[doc = $help] $variant,)*
        }

        impl Fault {
            /// All faults in declaration order.
            pub const ALL: &'static [Fault] = &[$(Fault::$variant,)*];

            /// Name on the command line and in reports.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Fault::$variant => $name,)*
                }
            }

            /// One-line description.
            pub const fn help(self) -> &'static str {
                match self {
                    $(Fault::$variant => $help,)*
                }
            }
        }

        /// Names and descriptions of all faults, for `run --help`.
        pub(crate) const FAULT_NOTE: &str = concat!(
            "Faults:",
            $("\n    ", $name, ": ", $help,)*
        );
    };
}

faults! {
    KillHost = "kill-host", "an entry host is killed and later restarted";
    PauseHost = "pause-host", "an entry host is stopped with SIGSTOP and later continued";
    RestartHost = "restart-host", "an entry host is killed and restarted at once";
    DrainHost = "drain-host", "an entry host is drained with SIGTERM and restarted";
    ReplaceAll = "replace-all", "every entry host is drained and restarted, half at a time";
    KillEngine = "kill-engine", "an engine crashes and later restarts";
    SlowEngine = "slow-engine", "an engine takes five times as long";
    CrashRequest = "crash-request", "a request crashes every engine that runs it and is resent";
    StallTransfer = "stall-transfer", "a tenth of the KV cache transfers stall for 20 s";
    LoseCancel = "lose-cancel", "half of the cancels are lost";
    CrossedAnswers = "crossed-answers", "a tenth of the engine answers belong to another attempt";
    TruncatedAnswers = "truncated-answers", "a tenth of the answers are truncated";
    LateAnswers = "late-answers", "a fifth of the engine answers start 1 to 3 s late";
    RepeatedAnswers = "repeated-answers", "a fifth of the engine streams send events twice";
    ServiceDown = "service-down", "a server of a plain service refuses connections";
    ServiceSlow = "service-slow", "a third of the plain calls take 0.5 to 3 s";
    ServiceCuts = "service-cuts", "a tenth of the plain calls run and lose their connection";
    StoreDown = "store-down", "the table service does not answer";
    StoreSlow = "store-slow", "the table service answers 0.2 to 1.5 s later";
    StoreLostAnswers = "store-lost-answers", "a third of the table answers are lost after the write";
    StoreOldCopy = "store-old-copy", "an old copy of the configuration row is restored";
    CallerGone = "caller-gone", "a fifth of the model callers close early";
    CallerSilent = "caller-silent", "a tenth of the model callers stop reading";
    OperatorRace = "operator-race", "two operators change the same version at once";
    LeavingBackend = "leaving-backend", "an engine sets its leaving mark and is replaced when idle";
    ZoneLoss = "zone-loss", "hosts, engines and servers of a zone stop and later restart";
    PeerLoss = "peer-loss", "5% of the datagrams between hosts are lost, some duplicated or late";
    PeerDelay = "peer-delay", "traffic between hosts is delayed by up to 300 ms";
    OneSidedCut = "one-sided-cut", "one host's traffic to another is lost, but not the reverse";
    StaleLoad = "stale-load", "load reports of engines are 2 s old";
    FreshHostStoreDown = "fresh-host-store-down", "a host is restarted while the store is down";
}

impl Serialize for Fault {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name())
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Fault::ALL.iter().find(|fault| fault.name() == text);
        found.copied().ok_or_else(|| {
            format!("{text:?} is not the name of a fault; `run --help` lists the names")
        })
    }
}
