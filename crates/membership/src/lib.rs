//! What a head makes of the lists that discovery gives it. Lists come whole or as changes, from sources that may be
//! behind each other or count their versions anew, and not always in order. The rule that all of it serves: a node
//! that was told to drain, or to be gone, takes work again only after a start later than that, or by a newer record,
//! never by an older list. Time is an argument, in seconds of Unix time; nothing here knows a socket.
//!
//! A list costs by its length once, to be read, and a whole one once more, to find what it lacks; from then on only what
//! it changes counts. What is kept of a node is one compact record: [`Membership`] is made for thousands of nodes.

pub mod address;
pub mod compact;
mod departed;
mod header;
mod nodes;
mod record;
pub mod values;
pub mod wire;
mod zones;

use compact::{CompactList, EntryRef};
use departed::DepartedNodes;
use nodes::{ListedNode, ListedNodes};
use record::{Number, Record};
use std::net::SocketAddr;
use std::rc::Rc;
use wire::{Entry, List, State};
use zones::Zones;

/// How long a source may be behind what is known before its versions are taken to be counted anew, in seconds: what
/// discovery has to tell counts as told 6 s later, so that one that is merely behind has caught up by then.
pub const BEHIND: f64 = 5.0;
/// How many names that left are remembered, the latest of them: so many times the longest list that was known.
pub const DEPARTED_FACTOR: usize = 4;
/// But at least so many.
pub const LEAST_DEPARTED: usize = 4096;

/// What a list changes, with names of its own.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// What holds of a node from now on.
    Holds(Entry),
    /// A node takes no more work and is not listed any more.
    Gone(String),
}

/// A listed node, as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its number in this process: one that comes back after it left gets another.
    pub id: u32,
    /// Its name among all heads.
    pub name: Rc<str>,
    /// Where this head reaches it, if that was ever told.
    pub address: Option<SocketAddr>,
    /// The number of its zone.
    pub zone: u16,
    /// The shard it holds.
    pub shard: u32,
    /// Whether it takes work.
    pub state: State,
    /// Its last start, in seconds of Unix time; 0 for long ago.
    pub boot: f64,
}

impl From<&ListedNode> for Node {
    fn from(node: &ListedNode) -> Node {
        Node {
            id: node.id,
            name: node.name.clone(),
            address: node.address.get(),
            zone: node.zone,
            shard: node.shard,
            state: node.state,
            boot: node.record().boot,
        }
    }
}

/// What a list changes of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeChange {
    /// It is listed, or something that is known of it has changed.
    Updated {
        /// The node as it is from now on.
        node: Node,
        /// The shard that it held, where that is another now.
        left_shard: Option<u32>,
    },
    /// It takes no more work and is not listed any more: the node as it last was.
    Departed(Node),
}

/// One source of lists: how far it has come, and since when it is behind what is known.
#[derive(Debug, Default)]
pub struct Source {
    cursor: u64,
    behind_since: Option<f64>,
}

impl Source {
    /// One that is taken to have told all up to a version.
    pub fn at(version: u64) -> Source {
        Source { cursor: version, behind_since: None }
    }

    /// The version after which it is to be asked for changes.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Whether it is behind what is known.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether it has been behind for so long that its versions must be counted anew: its next whole list stands.
    pub fn counts_anew(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= BEHIND)
    }
}

/// The nodes as they stand, by all that was told.
#[derive(Debug, Default)]
pub struct Membership {
    nodes: ListedNodes,
    departed: DepartedNodes,
    zones: Zones,
    next_id: u32,
    /// The most nodes that were ever listed.
    longest: usize,
    /// The newest number received.
    newest: Number,
    /// The last whole list's: a name that it lacked was gone by then, if it had come at all.
    whole: Option<Number>,
}

impl Membership {
    /// Knows no node yet; `zones` are numbered first, in their order.
    pub fn with_zones(zones: &[String]) -> Membership {
        let mut membership = Membership::default();
        zones.iter().for_each(|zone| _ = membership.zones.number(zone));
        membership
    }

    /// The newest version told in the present count.
    pub fn version(&self) -> u64 {
        self.newest.version
    }

    /// Whether this name was listed, lately at least.
    pub fn knows(&self, name: &str) -> bool {
        self.nodes.find(name).is_some() || self.departed.contains(name)
    }

    /// How many nodes are listed.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is listed.
    pub fn is_empty(&self) -> bool {
        self.nodes.len() == 0
    }

    /// How many of the listed nodes are ready.
    pub fn ready(&self) -> usize {
        self.nodes.iter().filter(|(_, node)| node.state == State::Ready).count()
    }

    /// A listed node by its name.
    pub fn node(&self, name: &str) -> Option<Node> {
        self.nodes.find(name).and_then(|slot| self.nodes.get(slot)).map(Node::from)
    }

    /// All listed nodes.
    pub fn nodes(&self) -> impl Iterator<Item = Node> {
        self.nodes.iter().map(|(_, node)| Node::from(node))
    }

    /// Takes in a list, and gives what stands of it: first what a whole list no longer names, then in its order. An entry
    /// that says what is known already is among it: somebody else may not know it yet.
    pub fn take(&mut self, list: List, source: &mut Source, now: f64) -> Vec<Change> {
        let changes = self.apply_and_report(&list.into(), source, now, Unchanged::Report);
        changes.into_iter().map(|change| self.named(change)).collect()
    }

    fn named(&self, change: NodeChange) -> Change {
        let node = match change {
            NodeChange::Departed(node) => return Change::Gone(node.name.as_ref().into()),
            NodeChange::Updated { node, .. } => node,
        };
        Change::Holds(Entry {
            name: node.name.as_ref().into(),
            address: node.address,
            zone: self.zones.name(node.zone).into(),
            shard: Some(node.shard),
            state: node.state,
            boot: node.boot,
        })
    }

    /// Takes in a list, and gives what it changes: first what a whole list no longer names, then in its order. An entry
    /// that says what is known already changes nothing.
    pub fn apply(&mut self, list: &CompactList, source: &mut Source, now: f64) -> Vec<NodeChange> {
        self.apply_and_report(list, source, now, Unchanged::Omit)
    }

    fn apply_and_report(
        &mut self,
        list: &CompactList,
        source: &mut Source,
        now: f64,
        unchanged: Unchanged,
    ) -> Vec<NodeChange> {
        if list.all && list.rev < self.newest.version && source.counts_anew(now) {
            self.newest = Number { epoch: self.newest.epoch + 1, version: list.rev };
            self.whole = None;
        }
        let number = Number { epoch: self.newest.epoch, version: list.rev };
        source.cursor = list.rev;
        source.behind_since = source.behind_since.or(Some(now)).filter(|_| number.before(self.newest));
        let mut changes = Vec::new();
        // Only a list that is not behind says something by what it lacks.
        if list.all && !source.is_behind() {
            self.depart_unlisted(list, number, now, &mut changes);
            self.whole = Some(number);
            self.newest = number;
        }
        for entry in list.entries() {
            changes.extend(self.apply_entry(entry, number, now, unchanged));
        }
        self.newest.version = self.newest.version.max(list.rev);
        self.longest = self.longest.max(self.nodes.len());
        changes
    }

    /// What a whole list lacks is gone, and what was gone already is still gone by that list's version.
    fn depart_unlisted(
        &mut self,
        list: &CompactList,
        number: Number,
        now: f64,
        changes: &mut Vec<NodeChange>,
    ) {
        let mut named = vec![false; self.nodes.slot_bound()];
        for name in list.names() {
            match self.nodes.find(name) {
                Some(slot) => named[slot] = true,
                None => self.departed.exempt_from_next_snapshot(name),
            }
        }
        self.departed.begin_snapshot(number, now);
        let unnamed = self.nodes.iter().filter(|(slot, _)| !named[*slot]);
        let mut lacking: Vec<Rc<str>> = unnamed.map(|(_, node)| node.name.clone()).collect();
        lacking.sort_unstable();
        for name in lacking {
            changes.extend(self.depart(&name, number, now));
        }
    }

    fn apply_entry(
        &mut self,
        entry: EntryRef<'_>,
        number: Number,
        now: f64,
        unchanged: Unchanged,
    ) -> Option<NodeChange> {
        let slot = self.nodes.find(entry.name);
        let known = match slot.and_then(|slot| self.nodes.get(slot)) {
            Some(node) => Some(node.record()),
            None => self.departed.get(entry.name),
        };
        let stands = match &known {
            Some(record) => record.is_superseded_by(entry.state, entry.boot, number),
            None => self.whole.is_none_or(|whole| !number.before(whole)),
        };
        if !stands {
            return None;
        }
        if entry.state == State::Gone {
            return self.depart(entry.name, number, now);
        }
        let record = Record::after(known.as_ref(), entry.state, entry.boot, number, now);
        let zone = self.zones.number(entry.zone);
        match slot.and_then(|slot| self.nodes.get_mut(slot)) {
            Some(node) => update(node, entry, zone, record, unchanged),
            None => Some(self.list(entry, zone, record)),
        }
    }

    /// Adds a node that was not listed.
    fn list(&mut self, entry: EntryRef<'_>, zone: u16, record: Record) -> NodeChange {
        let name = self.departed.remove(entry.name).unwrap_or_else(|| entry.name.into());
        let mut node = ListedNode::new(name, self.next_id, record);
        self.next_id = self.next_id.wrapping_add(1);
        (node.address, node.zone, node.shard) = (entry.address.into(), zone, entry.shard.unwrap_or(0));
        let change = NodeChange::Updated { node: Node::from(&node), left_shard: None };
        self.nodes.insert(node);
        change
    }

    /// Notes that a node is gone; a change if it was listed.
    fn depart(&mut self, name: &str, number: Number, now: f64) -> Option<NodeChange> {
        let gone = |known: Option<&Record>| Record::after(known, State::Gone, 0.0, number, now);
        let most = LEAST_DEPARTED.max(DEPARTED_FACTOR * self.longest.max(self.nodes.len()));
        if let Some(node) = self.nodes.remove(name) {
            self.departed.insert(node.name.clone(), gone(Some(&node.record())), most);
            return Some(NodeChange::Departed(Node::from(&node)));
        }
        match self.departed.get(name) {
            Some(known) => self.departed.update(name, gone(Some(&known))),
            None => self.departed.insert(name.into(), gone(None), most),
        }
        None
    }
}

/// Whether entries that say what is known already are reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unchanged {
    Report,
    Omit,
}

/// Writes what holds of a listed node; a change if anything but the record's number is new.
fn update(
    node: &mut ListedNode,
    entry: EntryRef<'_>,
    zone: u16,
    record: Record,
    unchanged: Unchanged,
) -> Option<NodeChange> {
    let before = Node::from(&*node);
    node.set_record(record);
    if entry.address.is_some() && entry.address != before.address {
        node.address = entry.address.into();
    }
    (node.zone, node.shard) = (zone, entry.shard.unwrap_or(before.shard));
    let left_shard = (before.shard != node.shard).then_some(before.shard);
    let node = Node::from(&*node);
    (node != before || unchanged == Unchanged::Report).then_some(NodeChange::Updated { node, left_shard })
}
