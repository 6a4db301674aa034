//! Registry of plug-ins.
//!
//! A plug-in registers itself with `inventory::submit!`; the programs look it up by kind and name.
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

/// What a plug-in extends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PluginKind {
    /// A protocol spoken by callers.
    CallerProtocol,
    /// A protocol spoken by backend servers.
    BackendProtocol,
    /// An adapter for the platform's table service.
    Store,
    /// A placement policy.
    Policy,
}

/// A registered plug-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Plugin {
    /// What it extends.
    pub kind: PluginKind,
    /// Name in settings.
    pub name: &'static str,
    /// One line for `--help`.
    pub summary: &'static str,
}

impl Plugin {
    /// Describes a plug-in.
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
    let mut found: Vec<_> = inventory::iter::<Plugin>
        .into_iter()
        .filter(|plugin| plugin.kind == kind)
        .collect();
    found.sort();
    found
}

/// The plug-in of this kind and name.
pub fn find(kind: PluginKind, name: &str) -> Option<&'static Plugin> {
    plugins(kind).into_iter().find(|plugin| plugin.name == name)
}
