//! The names that left, with the records by which they did: an older list must not bring one of them back. The latest
//! departures are remembered; the oldest are forgotten first.
//!
//! A whole list says of every departed name that it lacks that it is still gone by that list's version. That is noted
//! once for all of them, not name by name: a record from before that list is read as if it had been renewed by it.

use crate::record::{Number, Record};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

#[derive(Debug)]
struct Departed {
    record: Record,
    /// The whole lists counted when the record was last written.
    snapshot: u64,
    /// Its place in the order of departures.
    sequence: u64,
}

/// The last whole list.
#[derive(Clone, Copy, Debug, Default)]
struct Snapshot {
    count: u64,
    number: Number,
    received: f64,
}

/// The names that left.
#[derive(Debug, Default)]
pub(crate) struct DepartedNodes {
    records: HashMap<Rc<str>, Departed>,
    order: BTreeMap<u64, Rc<str>>,
    next: u64,
    snapshot: Snapshot,
}

impl DepartedNodes {
    /// The record of a departed name.
    pub(crate) fn get(&self, name: &str) -> Option<Record> {
        self.records.get(name).map(|departed| self.present(departed))
    }

    fn present(&self, departed: &Departed) -> Record {
        if departed.snapshot >= self.snapshot.count {
            return departed.record;
        }
        let Snapshot { number, received, .. } = self.snapshot;
        Record { number, received, uncertain: false, ..departed.record }
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    /// A departed name stands in the whole list for which [`Self::begin_snapshot`] is called next: that list does not
    /// renew its record.
    pub(crate) fn exempt_from_next_snapshot(&mut self, name: &str) {
        let Some(record) = self.get(name) else { return };
        let snapshot = self.snapshot.count + 1;
        if let Some(departed) = self.records.get_mut(name) {
            (departed.record, departed.snapshot) = (record, snapshot);
        }
    }

    /// A whole list renews all records but those exempt from it.
    pub(crate) fn begin_snapshot(&mut self, number: Number, received: f64) {
        self.snapshot = Snapshot { count: self.snapshot.count + 1, number, received };
    }

    /// Renews the record of a departed name.
    pub(crate) fn update(&mut self, name: &str, record: Record) {
        let snapshot = self.snapshot.count;
        if let Some(departed) = self.records.get_mut(name) {
            (departed.record, departed.snapshot) = (record, snapshot);
        }
    }

    /// A name departs; the oldest of more than `most` are forgotten.
    pub(crate) fn insert(&mut self, name: Rc<str>, record: Record, most: usize) {
        let (sequence, snapshot) = (self.next, self.snapshot.count);
        self.next += 1;
        self.records.insert(name.clone(), Departed { record, snapshot, sequence });
        self.order.insert(sequence, name);
        while self.order.len() > most {
            let Some((_, oldest)) = self.order.pop_first() else { return };
            self.records.remove(&oldest);
        }
    }

    /// A departed name is listed again.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Rc<str>> {
        let departed = self.records.remove(name)?;
        self.order.remove(&departed.sequence)
    }
}
