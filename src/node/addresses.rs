//! Table of the nodes' addresses and states: a compact record for each listed node, indexed by the node's id.

use crate::scheduler::{NodeId, NodeState};
use flaxgap_membership::address::CompactAddress;
use hashbrown::HashTable;
use slab::Slab;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The table's capacity grows by its length divided by this number: doubling would leave up to half of the memory
/// unused.
const GROWTH_DIVISOR: usize = 8;
/// Minimum number of records by which the capacity grows.
const MIN_GROWTH: usize = 16;
/// Resolution of the timestamps in records. The tick count wraps after 497 days; it is used only in log lines.
const TICK: Duration = Duration::from_millis(10);

/// A node's address and state, as of the latest update from discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// The node's name, identical at all heads.
    pub name: Rc<str>,
    /// Address of the node's HTTP server.
    pub address: SocketAddr,
    /// The node's state; only a ready node accepts requests.
    pub state: NodeState,
}

/// A node's address and state, and for how long they have been unchanged.
pub(super) struct AddressStatus {
    pub(super) address: NodeAddress,
    /// Time since the node's name, address or state last changed. Updates from discovery that repeat them don't count.
    pub(super) unchanged_for: Duration,
}

#[derive(Debug)]
struct AddressRecord {
    node: NodeId,
    name: Rc<str>,
    address: CompactAddress,
    /// When the node's name, address or state last changed, in ticks since the table's creation.
    changed_at: u32,
    state: NodeState,
}

impl AddressRecord {
    fn new(node: NodeId, address: NodeAddress, changed_at: u32) -> AddressRecord {
        let NodeAddress { name, address, state } = address;
        AddressRecord { node, name, address: Some(address).into(), changed_at, state }
    }

    fn matches(&self, address: &NodeAddress) -> bool {
        self.state == address.state
            && self.name == address.name
            && self.address.get() == Some(address.address)
    }
}

/// Version of the endpoint list from which the addresses were taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListStamp {
    pub(super) version: u64,
    /// When the version was applied to the table.
    pub(super) applied_at: Instant,
}

/// The addresses of all listed nodes.
#[derive(Debug)]
pub(super) struct AddressTable {
    list: ListStamp,
    records: Slab<AddressRecord>,
    /// Indices into `records`, hashed by the node's id.
    index: HashTable<u32>,
    hasher: RandomState,
    created_at: Instant,
}

impl Default for AddressTable {
    fn default() -> AddressTable {
        AddressTable {
            list: ListStamp { version: 0, applied_at: Instant::now() },
            records: Slab::default(),
            index: HashTable::default(),
            hasher: RandomState::default(),
            created_at: Instant::now(),
        }
    }
}

impl AddressTable {
    fn find(&self, node: NodeId) -> Option<usize> {
        let hash = self.hasher.hash_one(node);
        let found = self.index.find(hash, |index| self.records[*index as usize].node == node);
        found.map(|index| *index as usize)
    }

    fn record(&self, node: NodeId) -> Option<&AddressRecord> {
        self.records.get(self.find(node)?)
    }

    fn ticks(&self) -> u32 {
        (self.created_at.elapsed().as_millis() / TICK.as_millis()) as u32
    }

    /// A node's address and state, and for how long they have been unchanged.
    pub(super) fn status(&self, node: NodeId) -> Option<AddressStatus> {
        let record = self.record(node)?;
        let address =
            NodeAddress { name: record.name.clone(), address: record.address.get()?, state: record.state };
        let unchanged_for = TICK * self.ticks().wrapping_sub(record.changed_at);
        Some(AddressStatus { address, unchanged_for })
    }

    /// A node's address.
    pub(super) fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.record(node)?.address.get()
    }

    /// A node's address, if the node accepts requests.
    pub(super) fn ready_address(&self, node: NodeId) -> Option<SocketAddr> {
        let record = self.record(node)?;
        if record.state == NodeState::Ready { record.address.get() } else { None }
    }

    /// Sets a node's address and state.
    pub(super) fn insert(&mut self, node: NodeId, address: NodeAddress) {
        let now = self.ticks();
        match self.find(node) {
            None => self.append(AddressRecord::new(node, address, now)),
            Some(index) => {
                let record = &mut self.records[index];
                if !record.matches(&address) {
                    *record = AddressRecord::new(node, address, now);
                }
            }
        }
    }

    fn append(&mut self, record: AddressRecord) {
        if self.records.len() == self.records.capacity() {
            self.records.reserve_exact(self.records.len() / GROWTH_DIVISOR + MIN_GROWTH);
        }
        let hash = self.hasher.hash_one(record.node);
        let index = self.records.insert(record) as u32;
        let rehash = |index: &u32| self.hasher.hash_one(self.records[*index as usize].node);
        self.index.insert_unique(hash, index, rehash);
    }

    /// Records the version of the endpoint list that has been applied.
    pub(super) fn set_list_version(&mut self, version: u64) {
        if self.list.version != version {
            self.list = ListStamp { version, applied_at: Instant::now() };
        }
    }

    /// Version of the endpoint list that was applied last.
    pub(super) fn list(&self) -> ListStamp {
        self.list
    }

    /// Removes a node.
    pub(super) fn remove(&mut self, node: NodeId) {
        let hash = self.hasher.hash_one(node);
        let found = self.index.find_entry(hash, |index| self.records[*index as usize].node == node);
        let Ok(entry) = found else { return };
        let (index, _) = entry.remove();
        self.records.try_remove(index as usize);
    }
}
