//! The shards of a node list and the node that serves each. A head knows thousands of shards and has work for few of
//! them, so a shard is a small record, and what the head keeps of one that it uses (its *lane*) is made at the first
//! use. A list event costs by the entries it brings, and only a whole list looks at every shard.
//!
//! Which of a shard's nodes serves it is the caller's choice, and time is an argument, in seconds.

mod index;
mod list;
mod sorted;

pub use index::WorkIndex;
pub use list::{Endpoint, NodeId, NodeState, ShardId, UpdateKind, ZoneId};
use smallvec::SmallVec;
use sorted::SortedKeys;
use std::collections::BTreeSet;

/// The node that serves a shard.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// The node; `None` while no listed one is chosen.
    pub node: Option<Endpoint>,
    /// How often another node, or the same one after a start, took over.
    pub epoch: u32,
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
}

/// One start of a node: the node and when it started.
type Start = (NodeId, f64);

/// One shard: its nodes on the list in the order of their ids, which of them serves, and its lane. Most shards of a
/// large fleet are never used by a head, so it is kept small.
#[derive(Debug)]
pub struct Shard<L> {
    nodes: SmallVec<[Endpoint; 1]>,
    serving: Option<u16>,
    epoch: u32,
    since: f64,
    known: f64,
    lane: Option<Box<L>>,
}

impl<L> Shard<L> {
    fn new(now: f64) -> Shard<L> {
        Shard { nodes: SmallVec::new(), serving: None, epoch: 0, since: now, known: now, lane: None }
    }

    /// The node that serves it.
    pub fn server(&self) -> Server {
        Server { node: self.node().cloned(), epoch: self.epoch, since: self.since, shard_known: self.known }
    }

    fn node(&self) -> Option<&Endpoint> {
        self.nodes.get(usize::from(self.serving?))
    }

    fn start(&self) -> Option<Start> {
        self.node().map(|node| (node.node, node.started_at))
    }

    /// Makes `node`, one of its nodes, the one that serves, and counts another node or start than `before`.
    fn serve(&mut self, node: Option<NodeId>, before: Option<Start>, now: f64) {
        let place = node.and_then(|node| self.nodes.iter().position(|info| info.node == node));
        self.serving = place.and_then(|place| u16::try_from(place).ok());
        if self.start() != before {
            self.epoch += 1;
            self.since = now;
        }
    }

    /// What the head keeps of it, if it was used.
    pub fn lane(&self) -> Option<&L> {
        self.lane.as_deref()
    }

    /// Takes in one entry of the list.
    fn list(&mut self, info: &Endpoint) {
        let place = self.nodes.binary_search_by_key(&info.node, |known| known.node);
        match (place, info.state) {
            (Ok(at), NodeState::Gone) => drop(self.nodes.remove(at)),
            (Ok(at), _) => self.nodes[at] = info.clone(),
            (Err(_), NodeState::Gone) => {}
            (Err(at), _) => self.nodes.insert(at, info.clone()),
        }
    }
}

/// A shard that news of the list touched: its row, and the start of a node that served it before.
struct Touched {
    shard: ShardId,
    row: u32,
    before: Option<Start>,
}

/// All shards ever heard of, in the order of their ids.
#[derive(Debug)]
pub struct ShardTable<L> {
    /// Where each known shard is, in the order of their ids.
    rows: Vec<(ShardId, u32)>,
    shards: Vec<Shard<L>>,
    open: SortedKeys<ShardId>,
}

impl<L> Default for ShardTable<L> {
    fn default() -> ShardTable<L> {
        ShardTable { rows: Vec::new(), shards: Vec::new(), open: SortedKeys::default() }
    }
}

impl<L> ShardTable<L> {
    /// A shard, if it was heard of.
    pub fn get(&self, shard: ShardId) -> Option<&Shard<L>> {
        self.row(shard).map(|row| &self.shards[row as usize])
    }

    /// The lane of a shard that was used.
    pub fn lane(&self, shard: ShardId) -> Option<&L> {
        self.get(shard)?.lane()
    }

    /// The same, to change it.
    pub fn lane_mut(&mut self, shard: ShardId) -> Option<&mut L> {
        let row = self.row(shard)?;
        self.shards[row as usize].lane.as_deref_mut()
    }

    /// The lane of a shard, made at its first use.
    pub fn lane_or_insert(&mut self, shard: ShardId, now: f64, make: impl FnOnce(Server) -> L) -> &mut L {
        let row = self.insert(shard, now);
        let shard = &mut self.shards[row as usize];
        let lane = shard.lane.take().unwrap_or_else(|| Box::new(make(shard.server())));
        shard.lane.insert(lane)
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
        self.rows.first().map(|(shard, _)| *shard)
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
        kind: UpdateKind,
        nodes: &[Endpoint],
        now: f64,
        mut choose: impl FnMut(&[Endpoint]) -> Option<&Endpoint>,
        mut tell: impl FnMut(&mut L, &Server),
    ) {
        let mut touched = if kind.is_snapshot() { self.forget_nodes(nodes.len()) } else { Vec::new() };
        touched.extend(nodes.iter().map(|info| self.list(info, now)));
        // Of what was before, the first word on each shard counts: the later ones come from the same news.
        touched.sort_by_key(|touched| touched.shard);
        touched.dedup_by_key(|touched| touched.shard);
        let (mut opened, mut closed) = (Vec::new(), Vec::new());
        for Touched { shard: id, row, before } in touched {
            let shard = &mut self.shards[row as usize];
            let node = choose(&shard.nodes).map(|info| info.node);
            shard.serve(node, before, now);
            match (before.is_some(), shard.serving.is_some()) {
                (false, true) => opened.push(id),
                (true, false) => closed.push(id),
                _ => {}
            }
            if let Some(mut lane) = shard.lane.take() {
                tell(&mut lane, &shard.server());
                shard.lane = Some(lane);
            }
        }
        self.open.insert_all(&opened);
        self.open.remove_all(&closed);
    }

    /// Takes all nodes off the list, and makes room for as many shards as the next one has entries.
    fn forget_nodes(&mut self, entries: usize) -> Vec<Touched> {
        let more = entries.saturating_sub(self.shards.len());
        self.shards.reserve_exact(more);
        self.rows.reserve_exact(more);
        let mut touched = Vec::with_capacity(self.rows.len() + entries);
        for (id, row) in &self.rows {
            let shard = &mut self.shards[*row as usize];
            touched.push(Touched { shard: *id, row: *row, before: shard.start() });
            shard.nodes.clear();
        }
        touched
    }

    fn list(&mut self, info: &Endpoint, now: f64) -> Touched {
        let row = self.insert(info.shard, now);
        let shard = &mut self.shards[row as usize];
        let before = shard.start();
        shard.list(info);
        Touched { shard: info.shard, row, before }
    }

    fn row(&self, shard: ShardId) -> Option<u32> {
        let place = self.rows.binary_search_by_key(&shard, |(known, _)| *known).ok()?;
        Some(self.rows[place].1)
    }

    /// The row of a shard, a new one if it was not heard of.
    fn insert(&mut self, shard: ShardId, now: f64) -> u32 {
        match self.rows.binary_search_by_key(&shard, |(known, _)| *known) {
            Ok(place) => self.rows[place].1,
            Err(place) => {
                let row = self.shards.len() as u32;
                self.shards.push(Shard::new(now));
                self.rows.insert(place, (shard, row));
                row
            }
        }
    }
}
