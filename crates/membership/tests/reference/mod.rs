//! Reference implementation of the rules of [`flaxgap_membership`]. It has one table of complete records, which each
//! complete list updates one by one. It never forgets a record and reports every applied entry as a change.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, REWIND_AFTER_S};
use std::collections::{HashMap, HashSet};

/// Since when a source has been behind the known version.
#[derive(Debug, Default)]
pub struct ReferenceSource {
    behind_since: Option<f64>,
}

impl ReferenceSource {
    fn has_rewound(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= REWIND_AFTER_S)
    }
}

/// The version of a record, with the number of restarts of the version count before it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListVersion {
    epoch: u32,
    version: u64,
}

impl ListVersion {
    /// Whether this version is known to be newer than `other`. A version after a restart is known to be newer only if
    /// its number is also higher.
    fn is_newer_than(self, other: ListVersion) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this version is known to be older than `other`.
    fn is_older_than(self, other: ListVersion) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// The valid record of a node: its state, its last start, its version, and when it was received.
#[derive(Clone, Copy, Debug)]
struct StateRecord {
    state: NodeState,
    started_at: f64,
    version: ListVersion,
    received_at: f64,
    /// Whether the drain or removal was reported by a list older than `version`, the version of the newest list that
    /// reported the node as ready.
    is_tentative: bool,
}

impl StateRecord {
    /// Creates the record that replaces `known`.
    fn replacing(
        known: Option<&StateRecord>,
        state: NodeState,
        started_at: f64,
        version: ListVersion,
        received_at: f64,
    ) -> StateRecord {
        let received = StateRecord { state, started_at, version, received_at, is_tentative: false };
        let Some(known) = known.filter(|_| state != NodeState::Ready) else { return received };
        // The entry of a draining node may lack its start time, and an entry of an older list must not allow an older
        // record to end the drain.
        let (started_at, older) = (started_at.max(known.started_at), version.is_older_than(known.version));
        let is_tentative = older && (known.is_tentative || known.state == NodeState::Ready);
        StateRecord {
            started_at,
            is_tentative,
            version: if older { known.version } else { version },
            ..received
        }
    }

    /// Whether an entry replaces this record. All decisions between two records of a node are made here.
    fn is_superseded_by(&self, entry: &Entry, version: ListVersion) -> bool {
        // A later start is accepted, except from an older list that reports a start from before this record was
        // received.
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
            // A drain or a removal is accepted from any source, unless it refers to an earlier run of the node.
            (_, _) => {
                !(version.is_older_than(self.version)
                    && entry.started_at < self.started_at
                    && entry.started_at > 0.0)
            }
        }
    }
}

/// The valid records of all nodes, derived from all lists received so far.
#[derive(Debug, Default)]
pub struct ReferenceMembership {
    records: HashMap<String, StateRecord>,
    /// The newest version received so far.
    newest: ListVersion,
    /// The version of the last complete list that was not behind. A node that it does not contain was not listed at its
    /// version.
    last_snapshot: Option<ListVersion>,
}

impl ReferenceMembership {
    /// Applies a list and returns the changes: first the removals of nodes that a complete list does not contain,
    /// then the changes by its entries, in their order.
    pub fn apply(&mut self, list: EndpointList, source: &mut ReferenceSource, now: f64) -> Vec<EntryChange> {
        if list.is_snapshot && list.version < self.newest.version && source.has_rewound(now) {
            self.newest = ListVersion { epoch: self.newest.epoch + 1, version: list.version };
            self.last_snapshot = None;
        }
        let version = ListVersion { epoch: self.newest.epoch, version: list.version };
        source.behind_since =
            source.behind_since.or(Some(now)).filter(|_| version.is_older_than(self.newest));
        let mut changes = Vec::new();
        // A node that is missing from a complete list was removed, unless the list is behind and the node was added
        // later.
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

    /// The known names that a complete list does not contain, including those of removed nodes: the list confirms their
    /// removal.
    fn missing_from(&self, list: &EndpointList) -> Vec<String> {
        let named: HashSet<&str> = list.entries.iter().map(|entry| entry.name.as_str()).collect();
        let mut missing: Vec<String> =
            self.records.keys().filter(|name| !named.contains(name.as_str())).cloned().collect();
        missing.sort_unstable();
        missing
    }

    fn apply_entry(&mut self, entry: Entry, version: ListVersion, now: f64) -> Option<EntryChange> {
        let known = self.records.get(&entry.name);
        let is_accepted = match known {
            Some(record) => record.is_superseded_by(&entry, version),
            None => self.last_snapshot.is_none_or(|snapshot| !version.is_older_than(snapshot)),
        };
        if !is_accepted {
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

    /// Records the removal of a node. Returns a change if the node was listed.
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
