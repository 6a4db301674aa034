//! Messages with which hosts exchange the rows of the store.

use std::io;

use bv_delta::Patch;
use bv_types::Fingerprint;
use bytes::Bytes;
use prost::Message;

use crate::counters::{self, ControlKind, Direction};

/// Query for rows: states what the querying host has, so that only newer rows are sent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RowsQuery {
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    #[prost(uint64, tag = "2")]
    pub servers_version: u64,
    /// Time for which the answer may wait until there is something newer, in ms.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
    /// Whether the querying host understands `changes`.
    #[prost(bool, tag = "4")]
    pub accepts_changes: bool,
    /// Digest of the live hosts that the querying host knows.
    #[prost(uint64, tag = "5")]
    pub hosts_digest: u64,
    /// Time since the store confirmed the querying host's rows, in ms; absent if the answer need not
    /// come when it confirms them again.
    #[prost(uint64, optional, tag = "6")]
    pub age_ms: Option<u64>,
    /// Whether the querying host understands changes of the list of hosts.
    #[prost(bool, tag = "20")]
    pub accepts_host_changes: bool,
    /// Era of the versions.
    #[prost(uint64, tag = "7")]
    pub era: u64,
    /// Whether the querying host understands a compressed configuration and patches.
    #[prost(bool, tag = "21")]
    pub accepts_patches: bool,
    /// Digest of the querying host's configuration; empty if it has none.
    #[prost(bytes = "bytes", tag = "22")]
    pub config_digest: Bytes,
}

/// Row of a server.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerRow {
    #[prost(string, tag = "1")]
    pub key: String,
    /// Absent if the row was removed.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub value: Option<Bytes>,
    #[prost(uint64, tag = "3")]
    pub version: u64,
}

/// A live host.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HostMessage {
    #[prost(string, tag = "1")]
    pub id: String,
    /// Empty if unknown.
    #[prost(string, tag = "2")]
    pub zone: String,
    #[prost(string, tag = "3")]
    pub addr: String,
}

/// A difference between two configurations.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PatchMessage {
    /// Digest of the configuration that it is applied to.
    #[prost(bytes = "bytes", tag = "1")]
    pub base: Bytes,
    /// Digest of the configuration that it leads to.
    #[prost(bytes = "bytes", tag = "2")]
    pub target: Bytes,
    #[prost(bytes = "bytes", tag = "3")]
    pub encoded: Bytes,
}

impl From<&Patch> for PatchMessage {
    fn from(patch: &Patch) -> Self {
        PatchMessage {
            base: Bytes::copy_from_slice(&patch.base.0),
            target: Bytes::copy_from_slice(&patch.target.0),
            encoded: patch.encoded.clone(),
        }
    }
}

impl TryFrom<&PatchMessage> for Patch {
    type Error = io::Error;

    fn try_from(message: &PatchMessage) -> io::Result<Self> {
        let digest = |bytes: &Bytes| {
            let bytes = bytes.as_ref().try_into();
            bytes
                .map(Fingerprint)
                .map_err(|_| io::Error::other("a digest in a reply is not of 16 bytes"))
        };
        Ok(Patch {
            base: digest(&message.base)?,
            target: digest(&message.target)?,
            // The decoded bytes are a part of the reply's buffer and would keep all of it.
            encoded: Bytes::copy_from_slice(&message.encoded),
        })
    }
}

/// Rows that the querying host does not have.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct RowsReply {
    /// Newest version of the store that an answer about the configuration stated to the sender.
    #[prost(uint64, tag = "1")]
    pub config_version: u64,
    /// Time since the store confirmed the configuration and the servers, in ms.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// The operator's configuration row, if it is newer than the querying host's.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub config: Option<Bytes>,
    /// Newest version of the store that an answer about the servers stated to the sender.
    #[prost(uint64, tag = "4")]
    pub servers_version: u64,
    /// All servers, if the querying host needs them all.
    #[prost(message, repeated, tag = "5")]
    pub servers: Vec<ServerRow>,
    /// Version of the newest configuration change.
    #[prost(uint64, tag = "6")]
    pub config_changed: u64,
    /// Servers that changed since the querying host's version.
    #[prost(message, repeated, tag = "7")]
    pub changes: Vec<ServerRow>,
    /// Time for which servers whose rows are missing stay usable after an outage of the store, in
    /// ms.
    #[prost(uint64, tag = "8")]
    pub expiry_grace_ms: u64,
    /// Time of the store's clock, as the sender knows it; 0 if it does not.
    #[prost(uint64, tag = "9")]
    pub store_time_ms: u64,
    /// All live hosts, if the querying host has another list.
    #[prost(message, repeated, tag = "10")]
    pub hosts: Vec<HostMessage>,
    /// Digest of the sender's list of live hosts.
    #[prost(uint64, tag = "11")]
    pub hosts_digest: u64,
    /// How far the sender's position in each table is behind the version that was stated to it.
    #[prost(uint64, tag = "12")]
    pub config_lag: u64,
    #[prost(uint64, tag = "13")]
    pub servers_lag: u64,
    /// Whether `servers` are all servers; it may be empty then.
    #[prost(bool, tag = "14")]
    pub has_all_servers: bool,
    /// Whether `changes` may lack servers that came and went in between.
    #[prost(bool, tag = "15")]
    pub has_gap: bool,
    /// Era of the versions.
    #[prost(uint64, tag = "16")]
    pub era: u64,
    /// Time after which the querying host may ask again, in ms, if the sender had no room for its
    /// reply; all other fields say nothing then. 0 in other replies.
    #[prost(uint64, tag = "20")]
    pub retry_after_ms: u64,
    /// Digest of the list of hosts that `changed_hosts` and `gone_hosts` change; 0 if there are none.
    #[prost(uint64, tag = "21")]
    pub hosts_base: u64,
    #[prost(message, repeated, tag = "22")]
    pub changed_hosts: Vec<HostMessage>,
    /// Ids of hosts that are no longer in the list.
    #[prost(string, repeated, tag = "23")]
    pub gone_hosts: Vec<String>,
    /// In place of `config`: the same compressed, or the patches that lead to it from the querying host's
    /// configuration.
    #[prost(bytes = "bytes", optional, tag = "24")]
    pub config_compressed: Option<Bytes>,
    #[prost(message, repeated, tag = "25")]
    pub config_patches: Vec<PatchMessage>,
}

impl RowsReply {
    /// Counts this reply as received; the hosts in it count as a message of their own.
    pub fn count_received(&self) {
        let list = |host: &HostMessage| {
            1 + prost::length_delimiter_len(host.encoded_len()) + host.encoded_len()
        };
        let gone = |id: &String| 3 + id.len();
        let list: usize = self
            .hosts
            .iter()
            .chain(&self.changed_hosts)
            .map(list)
            .sum::<usize>()
            + self.gone_hosts.iter().map(gone).sum::<usize>();
        let kind = match self.has_all_servers || !self.servers.is_empty() {
            true => ControlKind::AllRows,
            false => ControlKind::ChangedRows,
        };
        counters::control_message(kind, Direction::Received, self.encoded_len() - list);
        if list > 0 {
            counters::control_message(ControlKind::Hosts, Direction::Received, list);
        }
    }
}
