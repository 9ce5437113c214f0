//! Table of the listed nodes, one compact record per node, with a hash index by name. A node takes 72 bytes for its
//! record, the bytes of its name, and 6 to 12 bytes in the hash index.

use crate::address::CompactAddress;
use crate::change::ListedNode;
use crate::list::NodeState;
use crate::record::{ListVersion, StateRecord};
use hashbrown::HashTable;
use slab::Slab;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// Index of a node's record in the table.
pub(crate) type NodeIndex = usize;

/// A full table grows by its length divided by this: doubling would leave up to half of the memory unused.
const GROWTH_DIVISOR: usize = 8;
/// Minimum number of records by which the table grows, so that a short table is not copied for every new node.
const MIN_GROWTH: usize = 16;

/// A listed node. The fields of its [`StateRecord`] are stored individually, to avoid the padding of a nested struct.
#[derive(Debug)]
pub(crate) struct StoredNode {
    pub(crate) name: Rc<str>,
    pub(crate) address: CompactAddress,
    started_at: f64,
    received_at: f64,
    version: u64,
    epoch: u32,
    pub(crate) shard: u32,
    /// See [`ListedNode::id`].
    pub(crate) id: u32,
    pub(crate) zone: u16,
    pub(crate) state: NodeState,
    is_tentative: bool,
}

impl StoredNode {
    pub(crate) fn new(name: Rc<str>, id: u32, record: StateRecord) -> StoredNode {
        let mut node = StoredNode {
            name,
            address: CompactAddress::Unknown,
            started_at: 0.0,
            received_at: 0.0,
            version: 0,
            epoch: 0,
            shard: 0,
            id,
            zone: 0,
            state: record.state,
            is_tentative: false,
        };
        node.set_record(record);
        node
    }

    pub(crate) fn record(&self) -> StateRecord {
        StateRecord {
            state: self.state,
            started_at: self.started_at,
            version: ListVersion { epoch: self.epoch, version: self.version },
            received_at: self.received_at,
            is_tentative: self.is_tentative,
        }
    }

    pub(crate) fn set_record(&mut self, record: StateRecord) {
        self.state = record.state;
        self.started_at = record.started_at;
        self.received_at = record.received_at;
        self.epoch = record.version.epoch;
        self.version = record.version.version;
        self.is_tentative = record.is_tentative;
    }
}

impl From<&StoredNode> for ListedNode {
    fn from(node: &StoredNode) -> ListedNode {
        ListedNode {
            id: node.id,
            name: node.name.clone(),
            address: node.address.get(),
            zone: node.zone,
            shard: node.shard,
            state: node.state,
            started_at: node.started_at,
        }
    }
}

/// The listed nodes, with an index by name.
#[derive(Debug, Default)]
pub(crate) struct NodeTable {
    nodes: Slab<StoredNode>,
    /// Indices into `nodes`, hashed by the names of the nodes.
    by_name: HashTable<u32>,
    hasher: RandomState,
}

impl NodeTable {
    pub(crate) fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The highest index in use plus 1; 0 if the table is empty.
    pub(crate) fn index_bound(&self) -> usize {
        self.nodes.iter().next_back().map_or(0, |(index, _)| index + 1)
    }

    pub(crate) fn find(&self, name: &str) -> Option<NodeIndex> {
        let hash = self.hasher.hash_one(name);
        let index = self.by_name.find(hash, |index| *self.nodes[*index as usize].name == *name)?;
        Some(*index as usize)
    }

    pub(crate) fn get(&self, index: NodeIndex) -> Option<&StoredNode> {
        self.nodes.get(index)
    }

    pub(crate) fn get_mut(&mut self, index: NodeIndex) -> Option<&mut StoredNode> {
        self.nodes.get_mut(index)
    }

    /// Adds a node. The table must not contain its name yet.
    pub(crate) fn insert(&mut self, node: StoredNode) {
        if self.nodes.len() == self.nodes.capacity() {
            self.nodes.reserve_exact(self.nodes.len() / GROWTH_DIVISOR + MIN_GROWTH);
        }
        let hash = self.hasher.hash_one(&*node.name);
        let index = self.nodes.insert(node) as u32;
        let nodes = &self.nodes;
        let hasher = &self.hasher;
        self.by_name.insert_unique(hash, index, |index| hasher.hash_one(&*nodes[*index as usize].name));
    }

    pub(crate) fn remove(&mut self, name: &str) -> Option<StoredNode> {
        let hash = self.hasher.hash_one(name);
        let found = self.by_name.find_entry(hash, |index| *self.nodes[*index as usize].name == *name);
        let (index, _) = found.ok()?.remove();
        self.nodes.try_remove(index as usize)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (NodeIndex, &StoredNode)> {
        self.nodes.iter()
    }
}
