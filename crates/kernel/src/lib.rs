//! Registry of plug-ins.
//!
//! A plug-in registers itself with `inventory::submit!`; programs look it up by kind and name.
//!
//! ```
//! use bv_kernel::{Plugin, PluginKind};
//!
//! bv_kernel::inventory::submit! {
//!     Plugin::new(PluginKind::CallerProtocol, "echo", "Answers with the request.")
//! }
//! assert!(bv_kernel::find(PluginKind::CallerProtocol, "echo").is_some());
//! ```

pub use inventory;

/// Extension point that a plug-in implements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PluginKind {
    /// A protocol used by callers.
    CallerProtocol,
    /// A protocol used by backend servers.
    BackendProtocol,
    /// An adapter for the platform's table service.
    Store,
    /// A placement policy.
    Policy,
}

/// A registered plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Plugin {
    /// Extension point that it implements.
    pub kind: PluginKind,
    /// Name under which settings refer to it.
    pub name: &'static str,
    /// One-line description for `--help`.
    pub summary: &'static str,
}

impl Plugin {
    /// Creates the description of a plug-in.
    pub const fn new(kind: PluginKind, name: &'static str, summary: &'static str) -> Self {
        Plugin {
            kind,
            name,
            summary,
        }
    }
}

inventory::collect!(Plugin);

/// All plug-ins of a kind, sorted by name.
pub fn plugins(kind: PluginKind) -> Vec<&'static Plugin> {
    let mut matching: Vec<_> = inventory::iter::<Plugin>
        .into_iter()
        .filter(|plugin| plugin.kind == kind)
        .collect();
    matching.sort();
    matching
}

/// The plug-in of this kind and name, or `None` if none is registered.
pub fn find(kind: PluginKind, name: &str) -> Option<&'static Plugin> {
    plugins(kind).into_iter().find(|plugin| plugin.name == name)
}
