//! The set of listed nodes, and the application of lists to it.

use crate::change::{EntryChange, ListedNode, NodeChange};
use crate::compact::CompactList;
use crate::departed_nodes::DepartedNodes;
use crate::list::{EndpointList, Entry, EntryRef, NodeState};
use crate::node_table::{NodeTable, StoredNode};
use crate::record::{ListVersion, StateRecord};
use crate::source::SourceCursor;
use crate::zones::Zones;
use std::rc::Rc;

/// Limit on the number of removed nodes that are remembered, as a multiple of the most nodes that were listed at
/// once. A source that is behind may still list nodes that were removed recently.
pub const DEPARTED_FACTOR: usize = 4;
/// Lower bound of the limit on the number of removed nodes that are remembered.
pub const MIN_DEPARTED: usize = 4096;

/// The valid records of all listed and recently removed nodes, derived from all lists received so far.
#[derive(Debug, Default)]
pub struct Membership {
    nodes: NodeTable,
    departed: DepartedNodes,
    zones: Zones,
    next_id: u32,
    /// The highest number of nodes that were listed at the same time.
    longest_list: usize,
    /// The newest version received so far.
    newest: ListVersion,
    /// The version of the last snapshot that was not behind the known version. A node that this snapshot does not
    /// contain was not listed at its version.
    last_snapshot: Option<ListVersion>,
}

/// Whether to return a change for an entry that is equal to the known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unchanged {
    Report,
    Omit,
}

impl Membership {
    /// Creates a membership without nodes, and assigns the lowest zone numbers to `zones`, in this order.
    pub fn with_zones(zones: &[String]) -> Membership {
        let mut membership = Membership::default();
        for zone in zones {
            membership.zones.number_of(zone);
        }
        membership
    }

    /// The newest version received since the last restart of the version count.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Whether a node of this name is listed or was removed recently.
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

    /// Applies a list received at `now` and returns the changes: first the removals of nodes that a snapshot does not
    /// contain, sorted by name, then the changes by the list's entries, in their order. An entry that is equal to the
    /// known one causes no change.
    pub fn apply(&mut self, list: &CompactList, source: &mut SourceCursor, now: f64) -> Vec<NodeChange> {
        self.apply_list(list, source, now, Unchanged::Omit)
    }

    /// Applies a list like [`Self::apply`], but also returns the entries that are equal to the known ones: a receiver
    /// to which a relay forwards them may not know them yet.
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
        // A node that is missing from a snapshot was removed, unless the snapshot is behind and the node was added
        // later.
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

    /// Starts a new epoch after a restart of the version count: later versions can't be compared with earlier ones.
    fn begin_epoch(&mut self, version: u64) {
        self.newest = ListVersion { epoch: self.newest.epoch + 1, version };
        self.last_snapshot = None;
    }

    /// Removes the nodes that a snapshot does not contain, and confirms earlier removals of nodes that it does not
    /// contain with its version.
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

    /// Whether to apply an entry, given the known record of its node.
    fn is_accepted(&self, entry: &EntryRef<'_>, known: Option<&StateRecord>, version: ListVersion) -> bool {
        match (known, self.last_snapshot) {
            (Some(record), _) => record.is_superseded_by(entry.state, entry.started_at, version),
            // The last snapshot did not contain the node, so an entry of an older list is outdated.
            (None, Some(last_snapshot)) => !version.is_older_than(last_snapshot),
            (None, None) => true,
        }
    }

    /// Adds a node that is not listed yet.
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

    /// Records the removal of a node. Returns a change if the node was listed.
    fn remove(&mut self, name: &str, version: ListVersion, now: f64) -> Option<NodeChange> {
        // Determined before the removal, so that the limit includes the removed node.
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

    /// The limit on the number of removed nodes that are remembered.
    fn max_departed(&self) -> usize {
        MIN_DEPARTED.max(DEPARTED_FACTOR * self.longest_list.max(self.nodes.len()))
    }
}

fn gone_record(known: Option<&StateRecord>, version: ListVersion, now: f64) -> StateRecord {
    StateRecord::replacing(known, NodeState::Gone, 0.0, version, now)
}

/// Updates a listed node. Returns a change if a field of the node has changed or `unchanged` is
/// [`Unchanged::Report`]; a newer version alone is not a change.
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
