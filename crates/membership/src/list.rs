//! An endpoint list after parsing: its entries, and the entries that could not be read.

use std::net::SocketAddr;
use thiserror::Error;

/// Whether a node accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests it has and must get no more.
    Draining,
    /// It was removed.
    Gone,
}

/// One entry of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The node's name, which is the same at all heads.
    pub name: String,
    /// The node's address as seen from this head. None only for a node that is not ready and whose address is missing
    /// or can't be read.
    pub address: Option<SocketAddr>,
    /// Its zone; empty if the deployment has no zones.
    pub zone: String,
    /// The shard that it holds. None only for a node that is not ready and whose shard is missing or can't be read.
    pub shard: Option<u32>,
    /// Whether it accepts requests.
    pub state: NodeState,
    /// Its last start, in seconds of Unix time; 0 if unknown or long ago.
    pub started_at: f64,
}

/// An [`Entry`] whose texts are borrowed.
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

/// An endpoint list: a snapshot, or the changes up to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointList {
    /// The version that the list brings its receiver to.
    pub version: u64,
    /// Whether it names every listed node. Otherwise it contains changes only.
    pub is_snapshot: bool,
    /// The entries that could be read.
    pub entries: Vec<Entry>,
    /// The entries that could not be read in full. What was known of these nodes stays valid.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that can't be read, or can't be read in full.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("entry {index} ({}): {problem}", name.as_deref().unwrap_or("no name"))]
pub struct UnreadableEntry {
    /// Its index in the list, from 0.
    pub index: usize,
    /// The node's name, if that can be read.
    pub name: Option<String>,
    /// What is wrong with it.
    #[source]
    pub problem: EntryProblem,
}

/// What is wrong with an entry.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum EntryProblem {
    /// It names no node.
    #[error("uid is missing or no text")]
    NameMissing,
    /// It has no state.
    #[error("state is missing")]
    StateMissing,
    /// It has a state that this program doesn't know.
    #[error("unknown state {0}, taken as draining")]
    StateUnknown(serde_json::Value),
    /// A field has a value that is not valid there.
    #[error("{field}: {value}")]
    InvalidField {
        /// The field's name in the list.
        field: &'static str,
        /// Its value; null if the field is missing and must not be.
        value: serde_json::Value,
    },
    /// It is no valid JSON. Contains the parser's message.
    #[error("{0}")]
    Malformed(String),
}
