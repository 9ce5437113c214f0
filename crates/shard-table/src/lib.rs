//! The shards of a node list and the node that serves each. A head knows thousands of shards and has work for few of
//! them, so a shard is a small record, and what the head keeps of one that it uses (its *lane*) is made at the first
//! use. A list event costs by the entries it brings, and only a whole list looks at every shard.
//!
//! Which of a shard's nodes serves it is the caller's choice, and time is an argument, in seconds.

mod index;
mod list;
mod sorted;

pub use index::WorkIndex;
pub use list::{ListKind, NodeId, NodeInfo, NodeState, ShardId, ZoneId};
use smallvec::SmallVec;
use sorted::SortedKeys;
use std::collections::{BTreeMap, BTreeSet};

/// The node that serves a shard.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// The node; `None` while no listed one is chosen.
    pub node: Option<NodeInfo>,
    /// How often another node, or the same one after a start, took over.
    pub epoch: u64,
    /// When the last of these changes was heard of.
    pub since: f64,
    /// When the shard was first heard of.
    pub shard_known: f64,
}

impl Server {
    /// The zone of the node.
    pub fn zone(&self) -> Option<ZoneId> {
        self.node.as_ref().map(|node| node.zone)
    }

    /// Makes `node` the one that serves, and counts another node or another start of it.
    fn replace(&mut self, node: Option<&NodeInfo>, now: f64) {
        let start = |info: &NodeInfo| (info.node, info.since);
        if self.node.as_ref().map(start) != node.map(start) {
            self.epoch += 1;
            self.since = now;
        }
        self.node = node.cloned();
    }
}

/// One shard: its nodes on the list in the order of their ids, the one that serves it, and its lane.
#[derive(Debug)]
pub struct Shard<L> {
    nodes: SmallVec<[NodeInfo; 1]>,
    server: Server,
    lane: Option<Box<L>>,
}

impl<L> Shard<L> {
    fn new(now: f64) -> Shard<L> {
        let server = Server { since: now, shard_known: now, ..Server::default() };
        Shard { nodes: SmallVec::new(), server, lane: None }
    }

    /// The node that serves it.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// What the head keeps of it, if it was used.
    pub fn lane(&self) -> Option<&L> {
        self.lane.as_deref()
    }

    /// Takes in one entry of the list.
    fn list(&mut self, info: &NodeInfo) {
        let place = self.nodes.binary_search_by_key(&info.node, |known| known.node);
        match (place, info.state) {
            (Ok(at), NodeState::Gone) => drop(self.nodes.remove(at)),
            (Ok(at), _) => self.nodes[at] = info.clone(),
            (Err(_), NodeState::Gone) => {}
            (Err(at), _) => self.nodes.insert(at, info.clone()),
        }
    }
}

/// A known shard's place in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    shard: ShardId,
    row: u32,
}

/// All shards ever heard of, in the order of their ids.
#[derive(Debug)]
pub struct ShardTable<L> {
    rows: BTreeMap<ShardId, u32>,
    shards: Vec<Shard<L>>,
    open: SortedKeys<ShardId>,
}

impl<L> Default for ShardTable<L> {
    fn default() -> ShardTable<L> {
        ShardTable { rows: BTreeMap::new(), shards: Vec::new(), open: SortedKeys::default() }
    }
}

impl<L> ShardTable<L> {
    /// A shard, if it was heard of.
    pub fn get(&self, shard: ShardId) -> Option<&Shard<L>> {
        self.rows.get(&shard).map(|row| &self.shards[*row as usize])
    }

    /// The lane of a shard that was used.
    pub fn lane(&self, shard: ShardId) -> Option<&L> {
        self.get(shard)?.lane()
    }

    /// The same, to change it.
    pub fn lane_mut(&mut self, shard: ShardId) -> Option<&mut L> {
        let row = *self.rows.get(&shard)?;
        self.shards[row as usize].lane.as_deref_mut()
    }

    /// The lane of a shard, made at its first use.
    pub fn lane_or_insert(&mut self, shard: ShardId, now: f64, make: impl FnOnce(&Server) -> L) -> &mut L {
        let row = self.insert(shard, now);
        let Shard { server, lane, .. } = &mut self.shards[row as usize];
        lane.get_or_insert_with(|| Box::new(make(server)))
    }

    /// The lanes of all shards that were used.
    pub fn values(&self) -> impl Iterator<Item = &L> {
        self.shards.iter().filter_map(Shard::lane)
    }

    /// Looks at the used lanes of an index in the order of their shards. Those stay in it for which `look` says so.
    pub fn visit(&mut self, index: &mut BTreeSet<ShardId>, mut look: impl FnMut(&mut L) -> bool) {
        index.retain(|shard| self.lane_mut(*shard).is_some_and(&mut look));
    }

    /// The lowest shard ever heard of.
    pub fn first(&self) -> Option<ShardId> {
        self.rows.keys().next().copied()
    }

    /// The shards that a node serves, in the order of their ids.
    pub fn open(&self) -> &[ShardId] {
        self.open.as_slice()
    }

    /// The open shard at this part, in [0, 1), of the list of them.
    pub fn open_at(&self, part: f64) -> Option<ShardId> {
        let open = self.open();
        open.get((part * open.len() as f64) as usize % open.len().max(1)).copied()
    }

    /// Takes in news of the list. `choose` picks the node that serves out of a shard's nodes, and `tell` brings the
    /// result to the lane of each shard that the news touched.
    pub fn follow(
        &mut self,
        kind: ListKind,
        nodes: &[NodeInfo],
        now: f64,
        mut choose: impl FnMut(&[NodeInfo]) -> Option<&NodeInfo>,
        mut tell: impl FnMut(&mut L, &Server),
    ) {
        if kind.replaces() {
            self.shards.iter_mut().for_each(|shard| shard.nodes.clear());
            self.shards.reserve_exact(nodes.len().saturating_sub(self.shards.len()));
        }
        let mut touched: Vec<Place> = nodes.iter().map(|info| self.list(info, now)).collect();
        if kind.replaces() {
            touched = self.rows.iter().map(|(shard, row)| Place { shard: *shard, row: *row }).collect();
        }
        touched.sort_unstable();
        touched.dedup();
        let (mut opened, mut closed) = (Vec::new(), Vec::new());
        for Place { shard, row } in &touched {
            let Shard { nodes, server, lane } = &mut self.shards[*row as usize];
            let was_open = server.node.is_some();
            server.replace(choose(nodes), now);
            match (was_open, server.node.is_some()) {
                (false, true) => opened.push(*shard),
                (true, false) => closed.push(*shard),
                _ => {}
            }
            if let Some(lane) = lane {
                tell(lane, server);
            }
        }
        self.open.insert_all(&opened);
        self.open.remove_all(&closed);
    }

    fn list(&mut self, info: &NodeInfo, now: f64) -> Place {
        let row = self.insert(info.shard, now);
        self.shards[row as usize].list(info);
        Place { shard: info.shard, row }
    }

    /// The row of a shard, a new one if it was not heard of.
    fn insert(&mut self, shard: ShardId, now: f64) -> u32 {
        let shards = &mut self.shards;
        *self.rows.entry(shard).or_insert_with(|| {
            shards.push(Shard::new(now));
            (shards.len() - 1) as u32
        })
    }
}
