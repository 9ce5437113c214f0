//! Where the nodes are and whether they take work: one compact record for each, found by the node's number.

use super::NodeAddress;
use crate::scheduler::{NodeId, NodeState};
use flaxgap_membership::address::CompactAddress;
use hashbrown::HashTable;
use slab::Slab;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The records grow by this part of their length at a time: doubling would leave half of the room unused.
const GROWTH: usize = 8;
const LEAST_GROWTH: usize = 16;
/// Moments are kept in steps of this length, which wrap after 497 days: they are shown and nothing else.
const STEP: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct Record {
    node: NodeId,
    name: Rc<str>,
    address: CompactAddress,
    /// When the node got the state and the address that it has.
    since: u32,
    state: NodeState,
}

impl Record {
    fn holds(&self, place: &NodeAddress) -> bool {
        self.state == place.state && self.name == place.name && self.address.get() == Some(place.address)
    }
}

/// The places of all listed nodes.
#[derive(Debug)]
pub(super) struct Places {
    slots: Slab<Record>,
    index: HashTable<u32>,
    hasher: RandomState,
    began: Instant,
}

impl Default for Places {
    fn default() -> Places {
        let (slots, index, hasher) = Default::default();
        Places { slots, index, hasher, began: Instant::now() }
    }
}

impl Places {
    fn find(&self, node: NodeId) -> Option<usize> {
        let found =
            self.index.find(self.hasher.hash_one(node), |slot| self.slots[*slot as usize].node == node);
        found.map(|slot| *slot as usize)
    }

    fn record(&self, node: NodeId) -> Option<&Record> {
        self.slots.get(self.find(node)?)
    }

    fn steps(&self) -> u32 {
        (self.began.elapsed().as_millis() / STEP.as_millis()) as u32
    }

    /// A node's place, and for how long it has had the state and the address that it has.
    pub(super) fn get(&self, node: &NodeId) -> Option<(NodeAddress, Duration)> {
        let record = self.record(*node)?;
        let place =
            NodeAddress { name: record.name.clone(), address: record.address.get()?, state: record.state };
        Some((place, STEP * self.steps().wrapping_sub(record.since)))
    }

    /// Where a node is.
    pub(super) fn address(&self, node: NodeId) -> Option<SocketAddr> {
        self.record(node)?.address.get()
    }

    /// Where a node that takes work is.
    pub(super) fn ready(&self, node: NodeId) -> Option<SocketAddr> {
        self.record(node).filter(|record| record.state == NodeState::Ready)?.address.get()
    }

    /// Notes a node's place.
    pub(super) fn insert(&mut self, node: NodeId, place: NodeAddress) {
        let since = self.steps();
        let Some(slot) = self.find(node) else { return self.append(node, place, since) };
        if let Some(record) = self.slots.get_mut(slot).filter(|record| !record.holds(&place)) {
            let NodeAddress { name, address, state } = place;
            *record = Record { node, name, address: Some(address).into(), since, state };
        }
    }

    fn append(&mut self, node: NodeId, place: NodeAddress, since: u32) {
        if self.slots.len() == self.slots.capacity() {
            self.slots.reserve_exact(self.slots.len() / GROWTH + LEAST_GROWTH);
        }
        let NodeAddress { name, address, state } = place;
        let slot = self.slots.insert(Record { node, name, address: Some(address).into(), since, state });
        let (hash, slots, hasher) = (self.hasher.hash_one(node), &self.slots, &self.hasher);
        self.index.insert_unique(hash, slot as u32, |slot| hasher.hash_one(slots[*slot as usize].node));
    }

    /// Forgets a node.
    pub(super) fn remove(&mut self, node: NodeId) {
        let hash = self.hasher.hash_one(node);
        let found = self.index.find_entry(hash, |slot| self.slots[*slot as usize].node == node);
        let Ok(entry) = found else { return };
        let (slot, _) = entry.remove();
        self.slots.try_remove(slot as usize);
    }
}
