//! The rules of [`flaxgap_membership`] in the plainest form, as a reference: one table of full records, each whole list
//! goes over all of them, nothing is ever forgotten, and every entry that stands is a change.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, REWIND_AFTER_S};
use std::collections::{HashMap, HashSet};

/// Since when a source is behind what is known.
#[derive(Debug, Default)]
pub struct EagerSource {
    behind_since: Option<f64>,
}

impl EagerSource {
    fn has_rewound(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= REWIND_AFTER_S)
    }
}

/// The version of a record: how often versions were counted anew before it, then the version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ListVersion {
    epoch: u32,
    version: u64,
}

impl ListVersion {
    /// Whether this record is known to be newer. Versions of different counts say nothing of each other, unless the
    /// later count has come past where the earlier one ended.
    fn is_newer_than(self, other: ListVersion) -> bool {
        self.epoch >= other.epoch && self.version > other.version
    }

    /// Whether this record is known to be older.
    fn is_older_than(self, other: ListVersion) -> bool {
        self.epoch == other.epoch && self.version < other.version
    }
}

/// What stands of a node: its state and last start, the version of that record, and when it came.
#[derive(Clone, Copy, Debug)]
struct StateRecord {
    state: NodeState,
    started_at: f64,
    version: ListVersion,
    received_at: f64,
    /// It leaves by an older list's record than the version, which is of the newer one that had it ready.
    is_tentative: bool,
}

impl StateRecord {
    /// The record that stands after another.
    fn replacing(
        known: Option<&StateRecord>,
        state: NodeState,
        started_at: f64,
        version: ListVersion,
        received_at: f64,
    ) -> StateRecord {
        let fresh = StateRecord { state, started_at, version, received_at, is_tentative: false };
        let Some(known) = known.filter(|_| state != NodeState::Ready) else { return fresh };
        // A drain may come without the start of what drains, and an older list's takes nothing from what ends it.
        let (started_at, older) = (started_at.max(known.started_at), version.is_older_than(known.version));
        let is_tentative = older && (known.is_tentative || known.state == NodeState::Ready);
        StateRecord {
            started_at,
            is_tentative,
            version: if older { known.version } else { version },
            ..fresh
        }
    }

    /// Whether another record on the same node stands instead of this one. The one place where it is decided which of
    /// two records counts.
    fn is_superseded_by(&self, entry: &Entry, version: ListVersion) -> bool {
        // A start later than what stands is news in any list, unless an older one can't know of it.
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
            // A drain counts whoever tells it, but for what is known to be an older life's.
            (_, _) => {
                !(version.is_older_than(self.version)
                    && entry.started_at < self.started_at
                    && entry.started_at > 0.0)
            }
        }
    }
}

/// The nodes as they stand, by all that was received.
#[derive(Debug, Default)]
pub struct EagerMembership {
    records: HashMap<String, StateRecord>,
    /// The newest version heard.
    newest: ListVersion,
    /// The last whole list's: a name that it lacked was gone by then, if it had come at all.
    whole: Option<ListVersion>,
}

impl EagerMembership {
    /// Takes in a list, and gives what it changes: first what a whole list no longer names, then in its order.
    pub fn take(&mut self, list: EndpointList, source: &mut EagerSource, now: f64) -> Vec<EntryChange> {
        if list.is_snapshot && list.version < self.newest.version && source.has_rewound(now) {
            self.newest = ListVersion { epoch: self.newest.epoch + 1, version: list.version };
            self.whole = None;
        }
        let version = ListVersion { epoch: self.newest.epoch, version: list.version };
        source.behind_since =
            source.behind_since.or(Some(now)).filter(|_| version.is_older_than(self.newest));
        let mut changes = Vec::new();
        // Only a list that is not behind says something by what it lacks.
        if list.is_snapshot && source.behind_since.is_none() {
            for name in self.lacking(&list) {
                changes.extend(self.leave(name, version, now));
            }
            self.whole = Some(version);
            self.newest = version;
        }
        for entry in list.entries {
            changes.extend(self.apply_entry(entry, version, now));
        }
        self.newest.version = self.newest.version.max(list.version);
        changes
    }

    /// The names that a whole list lacks, also of what is gone: it is still gone by that list's version.
    fn lacking(&self, list: &EndpointList) -> Vec<String> {
        let named: HashSet<&str> = list.entries.iter().map(|entry| entry.name.as_str()).collect();
        let mut lacking: Vec<String> =
            self.records.keys().filter(|name| !named.contains(name.as_str())).cloned().collect();
        lacking.sort_unstable();
        lacking
    }

    fn apply_entry(&mut self, entry: Entry, version: ListVersion, now: f64) -> Option<EntryChange> {
        let known = self.records.get(&entry.name);
        let stands = match known {
            Some(record) => record.is_superseded_by(&entry, version),
            None => self.whole.is_none_or(|whole| !version.is_older_than(whole)),
        };
        if !stands {
            return None;
        }
        if entry.state == NodeState::Gone {
            return self.leave(entry.name, version, now);
        }
        let known = self.records.get(&entry.name);
        let record = StateRecord::replacing(known, entry.state, entry.started_at, version, now);
        self.records.insert(entry.name.clone(), record);
        Some(EntryChange::Updated(entry))
    }

    /// Notes that a node is gone; a change if it was listed.
    fn leave(&mut self, name: String, version: ListVersion, now: f64) -> Option<EntryChange> {
        let known = self.records.get(&name).copied();
        self.records
            .insert(name.clone(), StateRecord::replacing(known.as_ref(), NodeState::Gone, 0.0, version, now));
        if known.is_some_and(|record| record.state == NodeState::Gone) {
            return None;
        }
        known.map(|_| EntryChange::Removed(name))
    }
}
