//! The listed nodes, and how a list changes them.

use crate::change::{EntryChange, ListedNode, NodeChange};
use crate::compact::CompactList;
use crate::departed_nodes::DepartedNodes;
use crate::list::{EndpointList, Entry, EntryRef, NodeState};
use crate::node_table::{NodeTable, StoredNode};
use crate::record::{ListVersion, StateRecord};
use crate::source::SourceCursor;
use crate::zones::Zones;
use std::rc::Rc;

/// The names of removed nodes are remembered up to this multiple of the longest list that was known, latest first: a
/// source that is behind still names nodes that were removed lately.
pub const DEPARTED_FACTOR: usize = 4;
/// At least this many names of removed nodes are remembered.
pub const MIN_DEPARTED: usize = 4096;

/// All nodes in their valid state, as derived from all lists that were received.
#[derive(Debug, Default)]
pub struct Membership {
    nodes: NodeTable,
    departed: DepartedNodes,
    zones: Zones,
    next_id: u32,
    /// The most nodes that were ever listed at once.
    longest_list: usize,
    /// The newest version received.
    newest: ListVersion,
    /// The version of the last snapshot that was not behind: a node that it lacked was gone by then, if it had been
    /// listed at all.
    last_snapshot: Option<ListVersion>,
}

/// Whether entries that repeat what is known are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unchanged {
    Report,
    Omit,
}

impl Membership {
    /// Creates a membership without nodes. `zones` get the first zone numbers, in their order.
    pub fn with_zones(zones: &[String]) -> Membership {
        let mut membership = Membership::default();
        for zone in zones {
            membership.zones.number_of(zone);
        }
        membership
    }

    /// The newest version received since the version count last restarted.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Whether a node of this name is listed, or was removed lately.
    pub fn knows(&self, name: &str) -> bool {
        self.nodes.find(name).is_some() || self.departed.contains(name)
    }

    /// The number of listed nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is listed.
    pub fn is_empty(&self) -> bool {
        self.nodes.len() == 0
    }

    /// The number of listed nodes that are ready.
    pub fn ready(&self) -> usize {
        self.nodes.iter().filter(|(_, node)| node.state == NodeState::Ready).count()
    }

    /// The listed node of this name.
    pub fn node(&self, name: &str) -> Option<ListedNode> {
        let index = self.nodes.find(name)?;
        self.nodes.get(index).map(ListedNode::from)
    }

    /// All listed nodes.
    pub fn nodes(&self) -> impl Iterator<Item = ListedNode> {
        self.nodes.iter().map(|(_, node)| ListedNode::from(node))
    }

    /// Applies a list received at `now` and returns the nodes that it changes: first those that a snapshot lacks, in the
    /// order of their names, then those of the list in its order. An entry that repeats what is known is no change.
    pub fn apply(&mut self, list: &CompactList, source: &mut SourceCursor, now: f64) -> Vec<NodeChange> {
        self.apply_list(list, source, now, Unchanged::Omit)
    }

    /// Applies a list like [`Self::apply`] and returns the valid entries, including those that repeat what is known: a
    /// receiver that they are sent on to may not know them yet.
    pub fn apply_named(
        &mut self,
        list: EndpointList,
        source: &mut SourceCursor,
        now: f64,
    ) -> Vec<EntryChange> {
        let changes = self.apply_list(&list.into(), source, now, Unchanged::Report);
        changes.into_iter().map(|change| self.entry_change(change)).collect()
    }

    fn entry_change(&self, change: NodeChange) -> EntryChange {
        match change {
            NodeChange::Removed(node) => EntryChange::Removed(node.name.as_ref().into()),
            NodeChange::Updated { node, .. } => EntryChange::Updated(Entry {
                name: node.name.as_ref().into(),
                address: node.address,
                zone: self.zones.name_of(node.zone).into(),
                shard: Some(node.shard),
                state: node.state,
                started_at: node.started_at,
            }),
        }
    }

    fn apply_list(
        &mut self,
        list: &CompactList,
        source: &mut SourceCursor,
        now: f64,
        unchanged: Unchanged,
    ) -> Vec<NodeChange> {
        if list.is_snapshot && list.version < self.newest.version && source.has_rewound(now) {
            self.begin_epoch(list.version);
        }
        let version = ListVersion { epoch: self.newest.epoch, version: list.version };
        source.advance(list.version, version.is_older_than(self.newest), now);
        let mut changes = Vec::new();
        // Nodes that a snapshot lacks are gone only if the snapshot is not behind.
        if list.is_snapshot && !source.is_behind() {
            self.remove_unlisted(list, version, now, &mut changes);
            self.last_snapshot = Some(version);
            self.newest = version;
        }
        for entry in list.entries() {
            changes.extend(self.apply_entry(entry, version, now, unchanged));
        }
        self.newest.version = self.newest.version.max(list.version);
        self.longest_list = self.longest_list.max(self.nodes.len());
        changes
    }

    /// The version count has restarted: versions from now on can't be compared with those before.
    fn begin_epoch(&mut self, version: u64) {
        self.newest = ListVersion { epoch: self.newest.epoch + 1, version };
        self.last_snapshot = None;
    }

    /// Removes the nodes that a snapshot lacks. What was removed before and is still lacking is gone by the snapshot's
    /// version.
    fn remove_unlisted(
        &mut self,
        list: &CompactList,
        version: ListVersion,
        now: f64,
        changes: &mut Vec<NodeChange>,
    ) {
        let mut is_listed = vec![false; self.nodes.index_bound()];
        for name in list.names() {
            match self.nodes.find(name) {
                Some(index) => is_listed[index] = true,
                None => self.departed.exempt_from_next_snapshot(name),
            }
        }
        self.departed.begin_snapshot(version, now);
        let unlisted = self.nodes.iter().filter(|(index, _)| !is_listed[*index]);
        let mut names: Vec<Rc<str>> = unlisted.map(|(_, node)| node.name.clone()).collect();
        names.sort_unstable();
        for name in names {
            changes.extend(self.remove(&name, version, now));
        }
    }

    fn apply_entry(
        &mut self,
        entry: EntryRef<'_>,
        version: ListVersion,
        now: f64,
        unchanged: Unchanged,
    ) -> Option<NodeChange> {
        let index = self.nodes.find(entry.name);
        let known = match index.and_then(|index| self.nodes.get(index)) {
            Some(node) => Some(node.record()),
            None => self.departed.get(entry.name),
        };
        if !self.is_accepted(&entry, known.as_ref(), version) {
            return None;
        }
        if entry.state == NodeState::Gone {
            return self.remove(entry.name, version, now);
        }
        let record = StateRecord::replacing(known.as_ref(), entry.state, entry.started_at, version, now);
        let zone = self.zones.number_of(entry.zone);
        match index.and_then(|index| self.nodes.get_mut(index)) {
            Some(node) => update_node(node, entry, zone, record, unchanged),
            None => Some(self.add(entry, zone, record)),
        }
    }

    /// Whether an entry counts, given the record that is known of its node.
    fn is_accepted(&self, entry: &EntryRef<'_>, known: Option<&StateRecord>, version: ListVersion) -> bool {
        match (known, self.last_snapshot) {
            (Some(record), _) => record.is_superseded_by(entry.state, entry.started_at, version),
            // The last snapshot lacked the node, and says so at a newer version.
            (None, Some(last_snapshot)) => !version.is_older_than(last_snapshot),
            (None, None) => true,
        }
    }

    /// Adds a node that was not listed.
    fn add(&mut self, entry: EntryRef<'_>, zone: u16, record: StateRecord) -> NodeChange {
        let name = self.departed.remove(entry.name).unwrap_or_else(|| entry.name.into());
        let mut node = StoredNode::new(name, self.next_id, record);
        self.next_id = self.next_id.wrapping_add(1);
        node.address = entry.address.into();
        node.zone = zone;
        node.shard = entry.shard.unwrap_or(0);
        let added = ListedNode::from(&node);
        self.nodes.insert(node);
        NodeChange::Updated { node: added, previous_shard: None }
    }

    /// Notes that a node is gone, and returns the change if it was listed.
    fn remove(&mut self, name: &str, version: ListVersion, now: f64) -> Option<NodeChange> {
        // The node that is being removed still counts for the limit.
        let max_departed = self.max_departed();
        if let Some(node) = self.nodes.remove(name) {
            let record = gone_record(Some(&node.record()), version, now);
            self.departed.insert(node.name.clone(), record, max_departed);
            return Some(NodeChange::Removed(ListedNode::from(&node)));
        }
        match self.departed.get(name) {
            Some(known) => self.departed.update(name, gone_record(Some(&known), version, now)),
            None => self.departed.insert(name.into(), gone_record(None, version, now), max_departed),
        }
        None
    }

    /// The most names of removed nodes to remember.
    fn max_departed(&self) -> usize {
        MIN_DEPARTED.max(DEPARTED_FACTOR * self.longest_list.max(self.nodes.len()))
    }
}

fn gone_record(known: Option<&StateRecord>, version: ListVersion, now: f64) -> StateRecord {
    StateRecord::replacing(known, NodeState::Gone, 0.0, version, now)
}

/// Updates a listed node, and returns the change if anything but its record's version is new.
fn update_node(
    node: &mut StoredNode,
    entry: EntryRef<'_>,
    zone: u16,
    record: StateRecord,
    unchanged: Unchanged,
) -> Option<NodeChange> {
    let before = ListedNode::from(&*node);
    node.set_record(record);
    if entry.address.is_some() && entry.address != before.address {
        node.address = entry.address.into();
    }
    node.zone = zone;
    node.shard = entry.shard.unwrap_or(before.shard);
    let after = ListedNode::from(&*node);
    if after == before && unchanged == Unchanged::Omit {
        return None;
    }
    let previous_shard = (before.shard != after.shard).then_some(before.shard);
    Some(NodeChange::Updated { node: after, previous_shard })
}
