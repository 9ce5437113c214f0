//! The listed nodes: one dense record for each, found by its name through an index of slot numbers. A node takes 72
//! bytes here, its name, and six to twelve bytes of the index.

use crate::address::CompactAddress;
use crate::record::{Number, Record};
use crate::wire::State;
use hashbrown::HashTable;
use slab::Slab;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

/// Where a listed node's record stands.
pub(crate) type Slot = usize;

/// The record grows by this part of its length at a time: doubling would leave half of it unused.
const GROWTH: usize = 8;
const LEAST_GROWTH: usize = 16;

/// A listed node. The fields of [`Record`] are kept apart, so that they pack.
#[derive(Debug)]
pub(crate) struct ListedNode {
    pub(crate) name: Rc<str>,
    pub(crate) address: CompactAddress,
    boot: f64,
    received: f64,
    version: u64,
    epoch: u32,
    pub(crate) shard: u32,
    /// The node's number in this process.
    pub(crate) id: u32,
    pub(crate) zone: u16,
    pub(crate) state: State,
    uncertain: bool,
}

impl ListedNode {
    pub(crate) fn new(name: Rc<str>, id: u32, record: Record) -> ListedNode {
        let mut node = ListedNode {
            name,
            address: CompactAddress::Unknown,
            boot: 0.0,
            received: 0.0,
            version: 0,
            epoch: 0,
            shard: 0,
            id,
            zone: 0,
            state: record.state,
            uncertain: false,
        };
        node.set_record(record);
        node
    }

    pub(crate) fn record(&self) -> Record {
        Record {
            state: self.state,
            boot: self.boot,
            number: Number { epoch: self.epoch, version: self.version },
            received: self.received,
            uncertain: self.uncertain,
        }
    }

    pub(crate) fn set_record(&mut self, record: Record) {
        (self.state, self.boot, self.received) = (record.state, record.boot, record.received);
        (self.epoch, self.version) = (record.number.epoch, record.number.version);
        self.uncertain = record.uncertain;
    }
}

/// All listed nodes.
#[derive(Debug, Default)]
pub(crate) struct ListedNodes {
    slots: Slab<ListedNode>,
    index: HashTable<u32>,
    hasher: RandomState,
}

impl ListedNodes {
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// One past the highest slot in use.
    pub(crate) fn slot_bound(&self) -> usize {
        self.slots.iter().next_back().map_or(0, |(slot, _)| slot + 1)
    }

    pub(crate) fn find(&self, name: &str) -> Option<Slot> {
        let hash = self.hasher.hash_one(name);
        self.index.find(hash, |slot| *self.slots[*slot as usize].name == *name).map(|slot| *slot as usize)
    }

    pub(crate) fn get(&self, slot: Slot) -> Option<&ListedNode> {
        self.slots.get(slot)
    }

    pub(crate) fn get_mut(&mut self, slot: Slot) -> Option<&mut ListedNode> {
        self.slots.get_mut(slot)
    }

    /// Adds a node whose name is not listed yet.
    pub(crate) fn insert(&mut self, node: ListedNode) {
        if self.slots.len() == self.slots.capacity() {
            self.slots.reserve_exact(self.slots.len() / GROWTH + LEAST_GROWTH);
        }
        let hash = self.hasher.hash_one(&*node.name);
        let slot = self.slots.insert(node) as u32;
        let (slots, hasher) = (&self.slots, &self.hasher);
        self.index.insert_unique(hash, slot, |slot| hasher.hash_one(&*slots[*slot as usize].name));
    }

    pub(crate) fn remove(&mut self, name: &str) -> Option<ListedNode> {
        let hash = self.hasher.hash_one(name);
        let found = self.index.find_entry(hash, |slot| *self.slots[*slot as usize].name == *name);
        let (slot, _) = found.ok()?.remove();
        self.slots.try_remove(slot as usize)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &ListedNode)> {
        self.slots.iter()
    }
}
