//! The entries of a replica: the nodes that are listed, and the nodes of which only the name could be parsed.

use crate::encode::departed_entry;
use flaxgap_membership::EntryChange;
use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use std::collections::{BTreeMap, BTreeSet};

/// Whether a list is complete or holds changes only.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListKind {
    /// The complete list.
    Snapshot,
    /// Changes to the previous version.
    Changes,
}

impl ListKind {
    /// The kind of a received list.
    pub(super) fn of(list: &EndpointList) -> ListKind {
        if list.is_snapshot { ListKind::Snapshot } else { ListKind::Changes }
    }
}

/// The entries of a replica. A name is never both listed and name-only.
#[derive(Debug, Default)]
pub(super) struct Entries {
    listed: BTreeMap<String, Entry>,
    /// Names that upstream lists, whose other fields could not be parsed.
    name_only: BTreeSet<String>,
}

impl Entries {
    /// Number of listed nodes.
    pub(super) fn len(&self) -> usize {
        self.listed.len()
    }

    /// A listed node's entry.
    pub(super) fn get(&self, name: &str) -> Option<&Entry> {
        self.listed.get(name)
    }

    /// All listed entries, ordered by name.
    pub(super) fn listed(&self) -> impl Iterator<Item = &Entry> {
        self.listed.values()
    }

    /// The names whose other fields could not be parsed.
    pub(super) fn name_only(&self) -> &BTreeSet<String> {
        &self.name_only
    }

    /// Removes the name-only nodes that a list announces as gone, and returns their departures: a watcher may have a
    /// full entry for such a node.
    pub(super) fn remove_departed_name_only(&mut self, list: &EndpointList) -> Vec<Entry> {
        let mut departures = Vec::new();
        for entry in &list.entries {
            if entry.state == NodeState::Gone && self.name_only.remove(&entry.name) {
                departures.push(departed_entry(entry.name.clone()));
            }
        }
        departures
    }

    /// Stores the changes that membership accepted, and returns the entries to send to watchers. A list of changes is
    /// passed on in full, because a watcher at an intermediate version may need an entry that equals the stored one. Of
    /// a complete list only the entries that differ are passed on.
    pub(super) fn store(&mut self, changes: Vec<EntryChange>, kind: ListKind) -> Vec<Entry> {
        let mut updates = Vec::new();
        for change in changes {
            match change {
                EntryChange::Removed(name) => {
                    self.remove(&name);
                    updates.push(departed_entry(name));
                }
                EntryChange::Updated(entry) => {
                    let entry = self.complete(entry);
                    let is_changed = self.insert(entry.clone());
                    if kind == ListKind::Changes || is_changed {
                        updates.push(entry);
                    }
                }
            }
        }
        updates
    }

    fn remove(&mut self, name: &str) {
        self.listed.remove(name);
        self.name_only.remove(name);
    }

    /// Inserts an entry; returns whether it differs from the stored one.
    fn insert(&mut self, entry: Entry) -> bool {
        self.name_only.remove(&entry.name);
        let previous = self.listed.insert(entry.name.clone(), entry.clone());
        previous.as_ref() != Some(&entry)
    }

    /// Fills the missing fields of an entry from the stored one. A ready entry is always complete.
    fn complete(&self, mut entry: Entry) -> Entry {
        if entry.state == NodeState::Ready {
            return entry;
        }
        let Some(known) = self.listed.get(&entry.name) else { return entry };
        entry.address = entry.address.or(known.address);
        entry.shard = entry.shard.or(known.shard);
        entry.started_at = entry.started_at.max(known.started_at);
        if entry.zone.is_empty() {
            entry.zone.clone_from(&known.zone);
        }
        entry
    }

    /// Adds the name-only nodes of a list that are not listed. Returns whether the set changed.
    pub(super) fn add_name_only(&mut self, names: Vec<String>) -> bool {
        let previous = self.name_only.clone();
        self.extend_name_only(names);
        self.name_only != previous
    }

    /// Replaces the name-only nodes by those of a complete list. Returns whether the set changed.
    pub(super) fn replace_name_only(&mut self, names: Vec<String>) -> bool {
        let previous = std::mem::take(&mut self.name_only);
        self.extend_name_only(names);
        self.name_only != previous
    }

    fn extend_name_only(&mut self, names: Vec<String>) {
        for name in names {
            if !self.listed.contains_key(&name) {
                self.name_only.insert(name);
            }
        }
    }
}
