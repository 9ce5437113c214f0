//! The names of removed nodes, with the records by which they were removed: an older list must not bring one of them
//! back. The latest removals are remembered; the oldest are forgotten first.
//!
//! A snapshot says of every departed name that it lacks that the node is still gone by the snapshot's version. That is
//! noted once for all of them rather than name by name: a record from before the snapshot is read as if the snapshot had
//! renewed it.

use crate::record::{ListVersion, StateRecord};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Debug)]
struct DepartedNode {
    record: StateRecord,
    /// The number of snapshots that were counted when the record was last written.
    written_at_snapshot: u64,
    /// Its place in the order of removals.
    sequence: u64,
}

/// The last snapshot.
#[derive(Clone, Copy, Debug, Default)]
struct LastSnapshot {
    /// The number of snapshots up to this one.
    count: u64,
    version: ListVersion,
    received_at: f64,
}

/// The names of removed nodes.
#[derive(Debug, Default)]
pub(crate) struct DepartedNodes {
    nodes: HashMap<Rc<str>, DepartedNode>,
    /// The names by sequence number, oldest removal first.
    order: BTreeMap<u64, Rc<str>>,
    next_sequence: u64,
    last_snapshot: LastSnapshot,
}

impl DepartedNodes {
    /// The record of a departed name.
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

    /// Notes that a departed name is in the snapshot for which [`Self::begin_snapshot`] is called next, so that the
    /// snapshot does not renew the name's record.
    pub(crate) fn exempt_from_next_snapshot(&mut self, name: &str) {
        if let Some(record) = self.get(name) {
            self.write(name, record, self.last_snapshot.count + 1);
        }
    }

    /// Renews all records but those exempt from this snapshot.
    pub(crate) fn begin_snapshot(&mut self, version: ListVersion, received_at: f64) {
        let count = self.last_snapshot.count + 1;
        self.last_snapshot = LastSnapshot { count, version, received_at };
    }

    /// Replaces the record of a departed name.
    pub(crate) fn update(&mut self, name: &str, record: StateRecord) {
        self.write(name, record, self.last_snapshot.count);
    }

    fn write(&mut self, name: &str, record: StateRecord, snapshot: u64) {
        if let Some(node) = self.nodes.get_mut(name) {
            node.record = record;
            node.written_at_snapshot = snapshot;
        }
    }

    /// Adds a name, and forgets the oldest of more than `capacity` names.
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

    /// Removes a name that is listed again.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Rc<str>> {
        let node = self.nodes.remove(name)?;
        self.order.remove(&node.sequence)
    }
}
