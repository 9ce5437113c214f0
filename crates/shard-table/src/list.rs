//! The node list: its entries and the kinds of news about it.

/// A storage node process as the list names it. A replacement has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// The shard of the data that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// A zone, as the list and the settings number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Whether a node takes work, as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes work.
    Ready,
    /// Finishes its work; must get none.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the node list.
#[derive(Clone, Debug)]
pub struct NodeInfo {
    /// The node.
    pub node: NodeId,
    /// The shard it holds.
    pub shard: ShardId,
    /// When it last started; 0 for long ago.
    pub since: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes work.
    pub state: NodeState,
}

/// What kind of news about the node list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as an earlier life last saw it; may be old.
    Cached,
    /// A call for the list failed, or the watch on it ended.
    Failed,
}

impl ListKind {
    /// Whether the entries replace all that was known.
    pub fn replaces(self) -> bool {
        matches!(self, ListKind::Whole | ListKind::Cached)
    }
}
