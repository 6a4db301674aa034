//! Datagrams of the membership protocol.

/// A datagram as it is sent: encoded content and its message authentication code.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SignedDatagram {
    /// An encoded [`Datagram`].
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// Message authentication code of the content: a digest keyed with the cluster key, 16 bytes.
    #[prost(bytes = "vec", tag = "2")]
    pub digest: Vec<u8>,
}

/// One message of the membership protocol.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Datagram {
    /// Sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<Peer>,
    /// Refutation counter of the sender.
    #[prost(uint32, tag = "2")]
    pub counter: u32,
    /// Sequence number of a probe; its acknowledgement carries the same number.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// Kind of the message.
    #[prost(enumeration = "DatagramKind", tag = "4")]
    pub kind: i32,
    /// Host that an indirect probe or its acknowledgement refers to.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Address of the target.
    #[prost(bytes = "vec", tag = "6")]
    pub target_addr: Vec<u8>,
    /// Membership updates.
    #[prost(message, repeated, tag = "7")]
    pub updates: Vec<PeerStatus>,
    /// Gossip updates about matters other than membership.
    #[prost(message, repeated, tag = "8")]
    pub rumours: Vec<GossipEntry>,
    /// Digest of all gossip updates that the sender holds.
    #[prost(fixed64, tag = "9")]
    pub rumour_digest: u64,
    /// Digest of the sender's view of the membership.
    #[prost(fixed64, tag = "10")]
    pub view_digest: u64,
}

/// Kinds of a [`Datagram`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum DatagramKind {
    /// Asks for an acknowledgement.
    Ping = 0,
    /// Acknowledges a ping.
    Ack = 1,
    /// Asks the receiver to ping the target.
    PingReq = 2,
    /// Carries updates only.
    Gossip = 3,
    /// The sender is leaving the membership.
    Leave = 4,
}

/// A process of an entry host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Peer {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// IP address of 4 or 16 bytes and port of 2 bytes, in network order.
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
}

/// State of a member as the sender knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerStatus {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Incarnation of its process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address, as in [`Peer`].
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
    /// Refutation counter of the member.
    #[prost(uint32, tag = "4")]
    pub counter: u32,
    /// 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "5")]
    pub status: u32,
}

/// A gossip update, repeated between entry hosts until it expires.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GossipEntry {
    /// Time until it expires, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub ttl_ms: u64,
    /// Content.
    #[prost(oneof = "news::Body", tags = "2, 3, 4, 5")]
    pub body: Option<news::Body>,
}

/// Contents of a [`GossipEntry`].
pub mod news {
    /// The content of a gossip update.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Configuration in force at the sender.
        #[prost(message, tag = "2")]
        Config(ConfigEntry),
        /// A backend server that is leaving.
        #[prost(message, tag = "3")]
        Leaving(LeavingEntry),
        /// A request suspected of crashing engines.
        #[prost(message, tag = "4")]
        Suspect(SuspectEntry),
        /// A request that is refused because it has crashed engines.
        #[prost(message, tag = "5")]
        Blocked(BlockedEntry),
    }

    /// Configuration in force at the sender.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct ConfigEntry {
        /// Version.
        #[prost(uint64, tag = "1")]
        pub version: u64,
        /// Digest of the document, 16 bytes.
        #[prost(bytes = "vec", tag = "2")]
        pub digest: Vec<u8>,
        /// Time since the table service confirmed it, in milliseconds.
        #[prost(uint64, tag = "3")]
        pub age_ms: u64,
    }

    /// A backend server that is leaving and takes no new work.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct LeavingEntry {
        /// Backend server id.
        #[prost(string, tag = "1")]
        pub backend: String,
        /// Incarnation of its process.
        #[prost(uint64, tag = "2")]
        pub incarnation: u64,
    }

    /// A request that was in flight when an engine crashed.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct SuspectEntry {
        /// Fingerprint of the request, 16 bytes.
        #[prost(bytes = "vec", tag = "1")]
        pub fingerprint: Vec<u8>,
        /// Number of crashes attributed to it.
        #[prost(uint32, tag = "2")]
        pub score: u32,
    }

    /// A request that is refused until the gossip update expires.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct BlockedEntry {
        /// Fingerprint of the request, 16 bytes.
        #[prost(bytes = "vec", tag = "1")]
        pub fingerprint: Vec<u8>,
    }
}
