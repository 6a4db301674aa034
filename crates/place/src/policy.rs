//! Placement policies by name.

use bv_kernel::{Plugin, PluginKind};

/// How a shard chooses runners and admits requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Grants the runners in turn, without queue or admission check.
    RoundRobin,
    /// Grants the least loaded runners by their last reports, without queue or admission check.
    LeastLoaded,
    /// Grants by predicted times, with decode reservations and an admission queue.
    Planned,
}

impl Policy {
    /// The registered policy of this name.
    ///
    /// ```
    /// assert_eq!(bv_place::Policy::find("planned"), Some(bv_place::Policy::Planned));
    /// assert_eq!(bv_place::Policy::find("other"), None);
    /// ```
    pub fn find(name: &str) -> Option<Policy> {
        let plugin = bv_kernel::find(PluginKind::Policy, name)?;
        [Policy::RoundRobin, Policy::LeastLoaded, Policy::Planned]
            .into_iter()
            .find(|policy| policy.name() == plugin.name)
    }

    /// Name in settings.
    pub const fn name(self) -> &'static str {
        match self {
            Policy::RoundRobin => "round-robin",
            Policy::LeastLoaded => "least-loaded",
            Policy::Planned => "planned",
        }
    }
}

bv_kernel::inventory::submit! {
    Plugin::new(PluginKind::Policy, "round-robin", "Runners in turn, without queue or admission.")
}
bv_kernel::inventory::submit! {
    Plugin::new(PluginKind::Policy, "least-loaded", "Least loaded by reports, without queue or admission.")
}
bv_kernel::inventory::submit! {
    Plugin::new(PluginKind::Policy, "planned", "Predictions, decode reservations and an admission queue.")
}
