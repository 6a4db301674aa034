//! Events about other entry hosts and from them.

use bv_member::{GossipUpdate, Member};
use bv_types::HostId;

/// An event of the membership; subscribers receive it after the view has been updated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PeerEvent {
    /// A process of an entry host is live, for the first time or again.
    Joined(Member),
    /// A process is dead, or a newer one has replaced it.
    Dead(Member),
    /// A process has announced that it leaves.
    Left(Member),
    /// A gossip update that is new to this host.
    GossipUpdate {
        /// Host that sent the update.
        from: HostId,
        /// The update, with times by the local clock.
        update: GossipUpdate,
    },
    /// Another host had declared this process dead, and others have acted on it.
    DeclaredDead {
        /// Host that reported it.
        by: HostId,
    },
}
