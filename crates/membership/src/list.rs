//! A parsed endpoint list: its entries, and the problems of entries that are invalid.

use std::net::SocketAddr;
use thiserror::Error;

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts requests.
    Ready,
    /// The node completes its current requests and must not be sent new ones.
    Draining,
    /// The node was removed.
    Gone,
}

/// The entry of one node in a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The node's name, which is the same on all heads.
    pub name: String,
    /// The address at which this head reaches the node. `None` only for a node that is not ready and whose address is
    /// missing or invalid.
    pub address: Option<SocketAddr>,
    /// The name of the zone; empty if the deployment has no zones.
    pub zone: String,
    /// The shard that the node stores. `None` only for a node that is not ready and whose shard is missing or invalid.
    pub shard: Option<u32>,
    /// Whether the node accepts requests.
    pub state: NodeState,
    /// When the node last started, in seconds of Unix time; 0 if unknown or long ago.
    pub started_at: f64,
}

/// An [`Entry`] with borrowed strings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryRef<'a> {
    /// See [`Entry::name`].
    pub name: &'a str,
    /// See [`Entry::address`].
    pub address: Option<SocketAddr>,
    /// See [`Entry::zone`].
    pub zone: &'a str,
    /// See [`Entry::shard`].
    pub shard: Option<u32>,
    /// See [`Entry::state`].
    pub state: NodeState,
    /// See [`Entry::started_at`].
    pub started_at: f64,
}

impl<'a> From<&'a Entry> for EntryRef<'a> {
    fn from(entry: &'a Entry) -> EntryRef<'a> {
        EntryRef {
            name: &entry.name,
            address: entry.address,
            zone: &entry.zone,
            shard: entry.shard,
            state: entry.state,
            started_at: entry.started_at,
        }
    }
}

impl From<EntryRef<'_>> for Entry {
    fn from(entry: EntryRef<'_>) -> Entry {
        Entry {
            name: entry.name.into(),
            address: entry.address,
            zone: entry.zone.into(),
            shard: entry.shard,
            state: entry.state,
            started_at: entry.started_at,
        }
    }
}

/// An endpoint list: a snapshot, or the changes that lead to its version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version that a receiver has reached after it has applied the list.
    pub version: u64,
    /// Whether the list contains every listed node. Otherwise it contains only changes.
    pub is_snapshot: bool,
    /// The usable entries.
    pub entries: Vec<Entry>,
    /// The problems of entries with invalid fields. The known values of these fields stay valid.
    pub unreadable: Vec<UnreadableEntry>,
}

/// A problem of an entry that is invalid as a whole or in one of its fields.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("entry {index} ({}): {problem}", name.as_deref().unwrap_or("no name"))]
pub struct UnreadableEntry {
    /// The index of the entry in the list, from 0.
    pub index: usize,
    /// The node's name, if it is valid.
    pub name: Option<String>,
    /// Why the entry or the field is invalid.
    #[source]
    pub problem: EntryProblem,
}

/// Why an entry or one of its fields is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EntryProblem {
    /// The entry has no valid node name.
    #[error("uid is missing, empty or not a string")]
    NameMissing,
    /// The entry has no state.
    #[error("state is missing")]
    StateMissing,
    /// The entry has an unknown state, for example one of a later protocol version.
    #[error("unknown state {0}, treated as draining")]
    StateUnknown(serde_json::Value),
    /// A field has an invalid value.
    #[error("invalid {field}: {value}")]
    InvalidField {
        /// The field's name in the JSON object.
        field: &'static str,
        /// The field's value; null if the field is required and missing.
        value: serde_json::Value,
    },
    /// The entry is not valid JSON. Contains the parser's error message.
    #[error("{0}")]
    Malformed(String),
}
