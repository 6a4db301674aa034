//! Datagrams of the membership protocol.

/// What is sent in one datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Sealed {
    /// An encoded [`Datagram`].
    #[prost(bytes = "vec", tag = "1")]
    pub content: Vec<u8>,
    /// Digest of cluster key and content.
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
    /// Number that an acknowledgement repeats.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
    /// What the message asks or answers.
    #[prost(enumeration = "DatagramKind", tag = "4")]
    pub kind: i32,
    /// Host that an indirect probe or its acknowledgement is about.
    #[prost(string, tag = "5")]
    pub target: String,
    /// Address of the target.
    #[prost(bytes = "vec", tag = "6")]
    pub target_addr: Vec<u8>,
    /// News about members.
    #[prost(message, repeated, tag = "7")]
    pub updates: Vec<PeerStatus>,
    /// Rumours.
    #[prost(message, repeated, tag = "8")]
    pub rumours: Vec<News>,
    /// Digest of all rumours that the sender holds.
    #[prost(fixed64, tag = "9")]
    pub rumour_digest: u64,
    /// Digest of the sender's view.
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
    /// Carries news only.
    Gossip = 3,
    /// The sender leaves.
    Leave = 4,
}

/// A process of an entry host.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Peer {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// IP address of 4 or 16 bytes and port of 2 bytes, in network order.
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
}

/// News about a member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerStatus {
    /// Entry host id.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Start of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Address, as in [`Peer`].
    #[prost(bytes = "vec", tag = "3")]
    pub addr: Vec<u8>,
    /// Refutation counter.
    #[prost(uint32, tag = "4")]
    pub counter: u32,
    /// 0 alive, 1 suspect, 2 dead, 3 left.
    #[prost(uint32, tag = "5")]
    pub status: u32,
}

/// A rumour.
#[derive(Clone, PartialEq, prost::Message)]
pub struct News {
    /// Time until it expires, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub ttl_ms: u64,
    /// Content.
    #[prost(oneof = "news::Body", tags = "2, 3, 4, 5")]
    pub body: Option<news::Body>,
}

/// Contents of a [`News`].
pub mod news {
    /// The content of a rumour.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Configuration in force at the sender.
        #[prost(message, tag = "2")]
        Config(ConfigNews),
        /// Leaving mark of a backend server.
        #[prost(message, tag = "3")]
        Leaving(LeavingNews),
        /// Suspected request.
        #[prost(message, tag = "4")]
        Suspect(SuspectNews),
        /// Refused request.
        #[prost(message, tag = "5")]
        Convicted(ConvictedNews),
    }

    /// Configuration in force at the sender.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct ConfigNews {
        /// Version.
        #[prost(uint64, tag = "1")]
        pub version: u64,
        /// Digest of the document, 16 bytes.
        #[prost(bytes = "vec", tag = "2")]
        pub digest: Vec<u8>,
        /// Time since it was confirmed by the table service, in milliseconds.
        #[prost(uint64, tag = "3")]
        pub age_ms: u64,
    }

    /// Leaving mark of a backend server.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct LeavingNews {
        /// Backend server id.
        #[prost(string, tag = "1")]
        pub backend: String,
        /// Its process.
        #[prost(uint64, tag = "2")]
        pub incarnation: u64,
    }

    /// A request that was in flight when an engine crashed.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct SuspectNews {
        /// Fingerprint, 16 bytes.
        #[prost(bytes = "vec", tag = "1")]
        pub fingerprint: Vec<u8>,
        /// Number of crashes held against it.
        #[prost(uint32, tag = "2")]
        pub score: u32,
    }

    /// A request that is refused until the rumour expires.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct ConvictedNews {
        /// Fingerprint, 16 bytes.
        #[prost(bytes = "vec", tag = "1")]
        pub fingerprint: Vec<u8>,
    }
}
