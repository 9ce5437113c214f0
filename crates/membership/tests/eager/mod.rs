//! Reference implementation of the rules of [`flaxgap_membership`]: one table of full records, each complete list visits all
//! of them, nothing is ever dropped, and every entry that is applied is a change.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, REWIND_AFTER_S};
use std::collections::{HashMap, HashSet};

/// Since when a source is behind the known list.
#[derive(Debug, Default)]
pub struct EagerSource {
    behind_since: Option<f64>,
}

impl EagerSource {
    fn has_rewound(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= REWIND_AFTER_S)
    }
}

/// The version of a record: how often the numbering had been restarted before it, then the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListVersion {
    epoch: u32,
    version: u64,
}

impl ListVersion {
    /// Whether this record is known to be newer. Versions from before and after a restart can't be compared,
    /// unless the later numbering has passed the end of the earlier one.
    fn is_newer_than(self, other: ListVersion) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this record is known to be older.
    fn is_older_than(self, other: ListVersion) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// The record of a node that is in force: its state and last start, the version of that record, and when it was received.
#[derive(Clone, Copy, Debug)]
struct StateRecord {
    state: NodeState,
    started_at: f64,
    version: ListVersion,
    received_at: f64,
    /// The node was reported as leaving by a list older than `version`, which is that of the newer list that had it ready.
    is_tentative: bool,
}

impl StateRecord {
    /// The record that replaces another one.
    fn replacing(
        known: Option<&StateRecord>,
        state: NodeState,
        started_at: f64,
        version: ListVersion,
        received_at: f64,
    ) -> StateRecord {
        let fresh = StateRecord { state, started_at, version, received_at, is_tentative: false };
        let Some(known) = known.filter(|_| state != NodeState::Ready) else { return fresh };
        // A drain may lack the start of the node, and one from an older list does not change what ends it.
        let (started_at, older) = (started_at.max(known.started_at), version.is_older_than(known.version));
        let is_tentative = older && (known.is_tentative || known.state == NodeState::Ready);
        StateRecord {
            started_at,
            is_tentative,
            version: if older { known.version } else { version },
            ..fresh
        }
    }

    /// Whether an entry replaces this record of the same node. The one place that decides between two records.
    fn is_superseded_by(&self, entry: &Entry, version: ListVersion) -> bool {
        // A start later than that of this record is new in any list, unless an older list can't know of it.
        let restarted = entry.started_at > self.started_at
            && (!version.is_older_than(self.version) || entry.started_at > self.received_at);
        match (entry.state, self.state) {
            _ if restarted => true,
            (NodeState::Ready, NodeState::Ready) => !version.is_older_than(self.version),
            (NodeState::Ready, _) => {
                version.is_newer_than(self.version)
                    || self.is_tentative && !version.is_older_than(self.version)
            }
            (NodeState::Draining, NodeState::Gone) => !version.is_older_than(self.version),
            // A drain counts from any source, except that of an incarnation known to be earlier.
            (_, _) => {
                !(version.is_older_than(self.version)
                    && entry.started_at < self.started_at
                    && entry.started_at > 0.0)
            }
        }
    }
}

/// The records in force after all lists that were received.
#[derive(Debug, Default)]
pub struct EagerMembership {
    records: HashMap<String, StateRecord>,
    /// The newest version received.
    newest: ListVersion,
    /// Version of the last complete list: a name that it lacked was gone by then, if it had ever been listed.
    last_snapshot: Option<ListVersion>,
}

impl EagerMembership {
    /// Applies a list. Returns its changes: first the nodes that a complete list lacks, then those of its entries in order.
    pub fn apply(&mut self, list: EndpointList, source: &mut EagerSource, now: f64) -> Vec<EntryChange> {
        if list.is_snapshot && list.version < self.newest.version && source.has_rewound(now) {
            self.newest = ListVersion { epoch: self.newest.epoch + 1, version: list.version };
            self.last_snapshot = None;
        }
        let version = ListVersion { epoch: self.newest.epoch, version: list.version };
        source.behind_since =
            source.behind_since.or(Some(now)).filter(|_| version.is_older_than(self.newest));
        let mut changes = Vec::new();
        // Only a list that is not behind says that nodes which it lacks are gone.
        if list.is_snapshot && source.behind_since.is_none() {
            for name in self.missing_from(&list) {
                changes.extend(self.mark_gone(name, version, now));
            }
            self.last_snapshot = Some(version);
            self.newest = version;
        }
        for entry in list.entries {
            changes.extend(self.apply_entry(entry, version, now));
        }
        self.newest.version = self.newest.version.max(list.version);
        changes
    }

    /// The known names that a complete list lacks, also those of gone nodes: they are still gone by that list's version.
    fn missing_from(&self, list: &EndpointList) -> Vec<String> {
        let named: HashSet<&str> = list.entries.iter().map(|entry| entry.name.as_str()).collect();
        let mut missing: Vec<String> =
            self.records.keys().filter(|name| !named.contains(name.as_str())).cloned().collect();
        missing.sort_unstable();
        missing
    }

    fn apply_entry(&mut self, entry: Entry, version: ListVersion, now: f64) -> Option<EntryChange> {
        let known = self.records.get(&entry.name);
        let is_in_force = match known {
            Some(record) => record.is_superseded_by(&entry, version),
            None => self.last_snapshot.is_none_or(|snapshot| !version.is_older_than(snapshot)),
        };
        if !is_in_force {
            return None;
        }
        if entry.state == NodeState::Gone {
            return self.mark_gone(entry.name, version, now);
        }
        let known = self.records.get(&entry.name);
        let record = StateRecord::replacing(known, entry.state, entry.started_at, version, now);
        self.records.insert(entry.name.clone(), record);
        Some(EntryChange::Updated(entry))
    }

    /// Records that a node is gone. This is a change if it was listed.
    fn mark_gone(&mut self, name: String, version: ListVersion, now: f64) -> Option<EntryChange> {
        let known = self.records.get(&name).copied();
        self.records
            .insert(name.clone(), StateRecord::replacing(known.as_ref(), NodeState::Gone, 0.0, version, now));
        if known.is_some_and(|record| record.state == NodeState::Gone) {
            return None;
        }
        known.map(|_| EntryChange::Removed(name))
    }
}
