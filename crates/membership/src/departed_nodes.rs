//! The removed nodes and the records of their removal: an older list must not add a removed node again. The number of
//! records is limited; the oldest removals are forgotten first.
//!
//! A snapshot confirms that each removed node that it does not contain was still gone at the snapshot's version. The
//! confirmation is stored once instead of in each record: a record that was written before the snapshot is read with
//! the snapshot's version.

use crate::record::{ListVersion, StateRecord};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Debug)]
struct DepartedNode {
    record: StateRecord,
    /// The value of [`LastSnapshot::count`] when the record was last written.
    written_at_snapshot: u64,
    /// The key of the node in [`DepartedNodes::order`].
    sequence: u64,
}

/// The last snapshot, which confirms earlier removals.
#[derive(Clone, Copy, Debug, Default)]
struct LastSnapshot {
    /// The number of snapshots so far, including this one.
    count: u64,
    version: ListVersion,
    received_at: f64,
}

/// The removed nodes, in the order of their removal.
#[derive(Debug, Default)]
pub(crate) struct DepartedNodes {
    nodes: HashMap<Rc<str>, DepartedNode>,
    /// The names by sequence number, with the oldest removal first.
    order: BTreeMap<u64, Rc<str>>,
    next_sequence: u64,
    last_snapshot: LastSnapshot,
}

impl DepartedNodes {
    /// The record of a removed node; `None` if no removal of this name is known.
    pub(crate) fn get(&self, name: &str) -> Option<StateRecord> {
        self.nodes.get(name).map(|node| self.current_record(node))
    }

    fn current_record(&self, node: &DepartedNode) -> StateRecord {
        if node.written_at_snapshot >= self.last_snapshot.count {
            return node.record;
        }
        StateRecord {
            version: self.last_snapshot.version,
            received_at: self.last_snapshot.received_at,
            is_tentative: false,
            ..node.record
        }
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.nodes.contains_key(name)
    }

    /// Excludes a removed node from the confirmation by the snapshot for which [`Self::begin_snapshot`] is called next,
    /// because the snapshot contains the node.
    pub(crate) fn exempt_from_next_snapshot(&mut self, name: &str) {
        if let Some(record) = self.get(name) {
            self.write(name, record, self.last_snapshot.count + 1);
        }
    }

    /// Confirms all records with the snapshot, except for those excluded by [`Self::exempt_from_next_snapshot`].
    pub(crate) fn begin_snapshot(&mut self, version: ListVersion, received_at: f64) {
        let count = self.last_snapshot.count + 1;
        self.last_snapshot = LastSnapshot { count, version, received_at };
    }

    /// Replaces the record of a removed node.
    pub(crate) fn update(&mut self, name: &str, record: StateRecord) {
        self.write(name, record, self.last_snapshot.count);
    }

    fn write(&mut self, name: &str, record: StateRecord, snapshot: u64) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.record = record;
            node.written_at_snapshot = snapshot;
        }
    }

    /// Adds a removed node. If there are more than `capacity`, forgets the oldest removals.
    pub(crate) fn insert(&mut self, name: Rc<str>, record: StateRecord, capacity: usize) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let written_at_snapshot = self.last_snapshot.count;
        self.nodes.insert(name.clone(), DepartedNode { record, written_at_snapshot, sequence });
        self.order.insert(sequence, name);
        while self.order.len() > capacity {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.nodes.remove(&oldest);
        }
    }

    /// Deletes the record of a node that is listed again, and returns its name.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Rc<str>> {
        let node = self.nodes.remove(name)?;
        self.order.remove(&node.sequence)
    }
}
