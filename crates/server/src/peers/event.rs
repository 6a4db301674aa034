//! What other entry hosts do and tell.

use bv_member::{Member, Rumour};
use bv_types::HostId;

/// An event of the membership; the view has changed when it is received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerEvent {
    /// A process of an entry host is live, for the first time or again.
    Joined(Member),
    /// A process is dead, or a newer one has replaced it.
    Dead(Member),
    /// A process has said that it leaves.
    Left(Member),
    /// A rumour is news.
    Rumour {
        /// Who told it.
        from: HostId,
        /// The rumour, with times by the local clock.
        rumour: Rumour,
    },
    /// Another host had declared this process dead, and others have acted on it.
    DeclaredDead {
        /// Who said so.
        by: HostId,
    },
}
