//! A list without heap allocations for its entries: all names and zones are stored in one string.

use crate::list::{EndpointList, Entry, EntryRef, NodeState, UnreadableEntry};
use std::net::SocketAddr;
use std::ops::Range;

/// An [`EndpointList`] in a form that takes less memory.
#[derive(Clone, Debug, Default)]
pub struct CompactList {
    /// See [`EndpointList::version`].
    pub version: u64,
    /// See [`EndpointList::is_snapshot`].
    pub is_snapshot: bool,
    /// See [`EndpointList::unreadable`].
    pub unreadable: Vec<UnreadableEntry>,
    /// All names and zones, concatenated.
    text: String,
    entries: Vec<CompactEntry>,
}

#[derive(Clone, Debug)]
struct CompactEntry {
    name: Range<usize>,
    zone: Range<usize>,
    address: Option<SocketAddr>,
    shard: Option<u32>,
    state: NodeState,
    started_at: f64,
}

impl CompactList {
    /// Creates a list without entries that can hold `capacity` entries without reallocating.
    pub(crate) fn with_capacity(version: u64, is_snapshot: bool, capacity: usize) -> CompactList {
        let mut list = CompactList { version, is_snapshot, ..CompactList::default() };
        list.entries.reserve_exact(capacity);
        list
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: EntryRef<'_>) {
        let name = self.append_text(entry.name);
        let zone = match self.last_zone() {
            // Successive nodes are often in the same zone: their entries share its name.
            Some(last) if self.text[last.clone()] == *entry.zone => last,
            _ => self.append_text(entry.zone),
        };
        self.entries.push(CompactEntry {
            name,
            zone,
            address: entry.address,
            shard: entry.shard,
            state: entry.state,
            started_at: entry.started_at,
        });
    }

    fn last_zone(&self) -> Option<Range<usize>> {
        self.entries.last().map(|entry| entry.zone.clone())
    }

    fn append_text(&mut self, text: &str) -> Range<usize> {
        let start = self.text.len();
        self.text.push_str(text);
        start..self.text.len()
    }

    /// The number of usable entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the list has no usable entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The usable entries, in the order of the list.
    pub fn entries(&self) -> impl Iterator<Item = EntryRef<'_>> {
        self.entries.iter().map(|entry| EntryRef {
            name: &self.text[entry.name.clone()],
            address: entry.address,
            zone: &self.text[entry.zone.clone()],
            shard: entry.shard,
            state: entry.state,
            started_at: entry.started_at,
        })
    }

    /// The names of all nodes in the list, including those of unreadable entries.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let readable = self.entries.iter().map(|entry| &self.text[entry.name.clone()]);
        let unreadable = self.unreadable.iter().filter_map(|entry| entry.name.as_deref());
        readable.chain(unreadable)
    }
}

impl From<EndpointList> for CompactList {
    fn from(list: EndpointList) -> CompactList {
        let mut compact = CompactList::with_capacity(list.version, list.is_snapshot, 0);
        for entry in &list.entries {
            compact.push(entry.into());
        }
        compact.unreadable = list.unreadable;
        compact
    }
}

impl From<CompactList> for EndpointList {
    fn from(list: CompactList) -> EndpointList {
        EndpointList {
            version: list.version,
            is_snapshot: list.is_snapshot,
            entries: list.entries().map(Entry::from).collect(),
            unreadable: list.unreadable,
        }
    }
}
