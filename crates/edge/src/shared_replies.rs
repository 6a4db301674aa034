//! Memory of the replies to hosts that ask for the store's rows.
//!
//! After a start of all hosts, all followers of a reader ask it for all rows at the same moment, with
//! 300 hosts before 3,000 servers 75 hosts for 0.6 MB each. The rows are therefore encoded once for
//! all who lack the same ones, and the bytes of all replies that are being sent are bounded.

use std::io;
use std::sync::{Mutex, PoisonError};

use bv_platform::Row;
use bv_roster::{HostChanges, HostEntry};
use bv_types::{Millis, Version};
use bytes::{Buf, Bytes, BytesMut};
use prost::Message;
use tokio::sync::{Semaphore, SemaphorePermit};

use crate::counters::{self, ControlKind, Direction};
use crate::peers::MAX_ANSWER_BYTES;
use crate::row_messages::{HostMessage, RowsReply, ServerRow};

/// Share of the process's memory for replies that are being sent. What the other shares leave is a
/// quarter.
const REPLY_MEMORY_SHARE: f64 = 0.06;
/// Unit of the budget.
const UNIT_BYTES: usize = 1 << 10;
/// Time after which a host that was not given rows asks again.
const RETRY_PAUSE: Millis = Millis(150);

/// Fields of [`RowsReply`] that hold the configuration.
const CONFIG_FIELD: u32 = 3;
const COMPRESSED_CONFIG_FIELD: u32 = 24;

/// What an encoding holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    AllServers { revision: u64 },
    ServersAfter { revision: u64, after: Version },
    Hosts { digest: u64 },
    HostChanges { base: u64, digest: u64 },
}

/// Encodings that several replies share, and the budget of all replies.
#[derive(Debug)]
pub(crate) struct Replies {
    budget: Semaphore,
    /// Number of units in the budget.
    units: usize,
    /// The oldest first.
    encodings: Mutex<Vec<(Content, Bytes)>>,
}

/// Bytes of the budget that a reply takes until this is dropped.
#[derive(Debug)]
pub(crate) struct ReplyBytes<'a> {
    _units: SemaphorePermit<'a>,
}

impl Replies {
    /// Replies of a host with this memory limit. One of the largest size is always possible.
    pub fn new(memory_mb: f64) -> Self {
        let bytes = (memory_mb * REPLY_MEMORY_SHARE * 1e6) as usize;
        let units = bytes.max(MAX_ANSWER_BYTES + UNIT_BYTES) / UNIT_BYTES;
        Replies {
            budget: Semaphore::new(units),
            units,
            encodings: Mutex::default(),
        }
    }

    /// Takes the bytes of a reply from the budget, if it has them now and no other reply waits.
    pub fn try_admit(&self, size: usize) -> Option<ReplyBytes<'_>> {
        let units = self.budget.try_acquire_many(self.units_of(size)).ok()?;
        Some(ReplyBytes { _units: units })
    }

    /// Takes the bytes of a reply from the budget, after the replies that wait already.
    pub async fn admit(&self, size: usize, wait: Millis) -> Option<ReplyBytes<'_>> {
        let acquiring = self.budget.acquire_many(self.units_of(size));
        let units = tokio::time::timeout(wait.duration(), acquiring).await;
        Some(ReplyBytes {
            _units: units.ok()?.ok()?,
        })
    }

    fn units_of(&self, size: usize) -> u32 {
        size.div_ceil(UNIT_BYTES).min(self.units) as u32
    }

    /// All servers, encoded. `revision` changes with the rows.
    pub fn all_servers(&self, revision: u64, rows: impl FnOnce() -> Vec<Row>) -> Bytes {
        self.encoding(Content::AllServers { revision }, || {
            encode_each(rows(), |row| RowsReply {
                servers: vec![to_message(row)],
                ..RowsReply::default()
            })
        })
    }

    /// Servers that changed after a version, encoded.
    pub fn changed_servers(
        &self,
        revision: u64,
        after: Version,
        rows: impl FnOnce() -> Vec<Row>,
    ) -> Bytes {
        self.encoding(Content::ServersAfter { revision, after }, || {
            encode_each(rows(), |row| RowsReply {
                changes: vec![to_message(row)],
                ..RowsReply::default()
            })
        })
    }

    /// All live hosts, encoded.
    pub fn hosts(&self, digest: u64, hosts: impl FnOnce() -> Vec<HostMessage>) -> Bytes {
        self.encoding(Content::Hosts { digest }, || {
            encode_each(hosts(), |host| RowsReply {
                hosts: vec![host],
                ..RowsReply::default()
            })
        })
    }

    /// Changes that lead from one list of live hosts to another, encoded.
    pub fn host_changes(&self, base: u64, digest: u64, changes: &HostChanges) -> Bytes {
        let reply = || RowsReply {
            changed_hosts: changes.changed.iter().map(HostMessage::from).collect(),
            gone_hosts: changes.gone.iter().map(|id| id.to_string()).collect(),
            ..RowsReply::default()
        };
        let content = Content::HostChanges { base, digest };
        self.encoding(content, || Bytes::from(reply().encode_to_vec()))
    }

    fn encoding(&self, content: Content, encode: impl FnOnce() -> Bytes) -> Bytes {
        let encodings = self.encodings.lock();
        let mut encodings = encodings.unwrap_or_else(PoisonError::into_inner);
        if let Some((_, bytes)) = encodings.iter().find(|(known, _)| *known == content) {
            return bytes.clone();
        }
        encodings.retain(|(known, _)| !known.is_replaced_by(&content));
        let bytes = encode();
        encodings.push((content, bytes.clone()));
        let mut kept: usize = encodings.iter().map(|(_, bytes)| bytes.len()).sum();
        // Those that are kept for later queries take no more than the replies themselves.
        while kept > self.units * UNIT_BYTES && encodings.len() > 1 {
            kept -= encodings.remove(0).1.len();
        }
        bytes
    }
}

impl Content {
    /// Whether nobody needs this content once the other one is known.
    fn is_replaced_by(&self, other: &Content) -> bool {
        let ((are_servers, state), (other_are_servers, newer)) = (self.state(), other.state());
        are_servers == other_are_servers && state != newer
    }

    /// Whether it is about servers, and the state of the servers or hosts that it leads to.
    fn state(&self) -> (bool, u64) {
        match self {
            Content::AllServers { revision } | Content::ServersAfter { revision, .. } => {
                (true, *revision)
            }
            Content::Hosts { digest } | Content::HostChanges { digest, .. } => (false, *digest),
        }
    }
}

impl From<&HostEntry> for HostMessage {
    fn from(host: &HostEntry) -> Self {
        let zone = host.zone.as_ref();
        HostMessage {
            id: host.id.to_string(),
            zone: zone.map(|zone| zone.to_string()).unwrap_or_default(),
            addr: host.addr.to_string(),
        }
    }
}

/// Encodes parts of a reply one after the other; the encoding of a message is that of its parts.
fn encode_each<T>(items: Vec<T>, to_reply: impl Fn(T) -> RowsReply) -> Bytes {
    let mut buf = BytesMut::new();
    for item in items {
        // A growing buffer has room for any message.
        let _ = to_reply(item).encode(&mut buf);
    }
    // Growing doubles the buffer, which is kept for some time.
    Bytes::copy_from_slice(&buf)
}

fn to_message(row: Row) -> ServerRow {
    ServerRow {
        key: row.key.to_string(),
        value: row.value,
        version: row.version.0,
    }
}

/// A reply in parts, of which the larger ones are shared with other replies.
#[derive(Debug, Default)]
pub(crate) struct Reply {
    head: Bytes,
    has_all_servers: bool,
    /// The operator's configuration, whole.
    config: Bytes,
    /// Servers.
    pub rows: Bytes,
    /// Live hosts.
    pub hosts: Bytes,
}

impl Reply {
    /// Tells the querying host to keep its rows and to ask again. For a host that does not know this
    /// reply it is one with outdated rows.
    pub fn busy() -> Self {
        let head = RowsReply {
            age_ms: Millis::MAX.0,
            retry_after_ms: RETRY_PAUSE.0,
            ..RowsReply::default()
        };
        Reply {
            head: Bytes::from(head.encode_to_vec()),
            ..Reply::default()
        }
    }

    /// Sets the fields that are not shared. The configuration is not copied.
    pub fn set_head(&mut self, mut head: RowsReply) {
        self.has_all_servers = head.has_all_servers;
        let (field, config) = match (head.config.take(), head.config_compressed.take()) {
            (None, Some(compressed)) => (COMPRESSED_CONFIG_FIELD, compressed),
            (config, _) => (CONFIG_FIELD, config.unwrap_or_default()),
        };
        self.config = config;
        let mut buf = head.encode_to_vec();
        if !self.config.is_empty() {
            let wire_type = prost::encoding::WireType::LengthDelimited;
            prost::encoding::encode_key(field, wire_type, &mut buf);
            prost::encoding::encode_varint(self.config.len() as u64, &mut buf);
        }
        self.head = Bytes::from(buf);
    }

    /// Size of the encoded reply.
    pub fn size(&self) -> usize {
        self.head.len() + self.config.len() + self.rows.len() + self.hosts.len()
    }

    /// Counts the reply as sent; the hosts in it count as a message of their own.
    pub fn count(&self) {
        let kind = match self.has_all_servers {
            true => ControlKind::AllRows,
            false => ControlKind::ChangedRows,
        };
        let rows = self.size() - self.hosts.len();
        counters::control_message(kind, Direction::Sent, rows);
        if !self.hosts.is_empty() {
            counters::control_message(ControlKind::Hosts, Direction::Sent, self.hosts.len());
        }
    }

    /// The reply with its length before it, as the receiver's codec reads it.
    ///
    /// # Errors
    /// The reply is larger than hosts accept.
    pub fn into_frame(self) -> io::Result<impl Buf> {
        let size = self.size();
        if size > MAX_ANSWER_BYTES {
            return Err(io::Error::other(format!(
                "a reply of {size} bytes is too large"
            )));
        }
        let len = Bytes::copy_from_slice(&(size as u32).to_be_bytes());
        Ok(len
            .chain(self.head)
            .chain(self.config)
            .chain(self.rows)
            .chain(self.hosts))
    }
}
