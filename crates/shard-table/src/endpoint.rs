//! The endpoint list: its entries and the kinds of updates to it.

/// A storage node process as the list names it. A replacement has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// The shard of the data that a node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// A zone, as the endpoint list and the settings number them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// Whether a node takes work, as the endpoint list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// Takes work.
    Ready,
    /// Finishes its work; must get no new work.
    Draining,
    /// Removed.
    Gone,
}

/// One entry of the endpoint list: a node that serves a shard.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// The shard it holds.
    pub shard: ShardId,
    /// When it last started; 0 for long ago.
    pub started_at: f64,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it takes work.
    pub state: NodeState,
}

/// What the entries of an endpoint update are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// Changed entries only.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list as an earlier process last saw it; may be stale.
    CachedSnapshot,
    /// None: a poll for the list failed, or the watch on it ended.
    PollFailed,
}

impl UpdateKind {
    /// Whether the entries replace all that was known.
    pub fn is_snapshot(self) -> bool {
        matches!(self, UpdateKind::Snapshot | UpdateKind::CachedSnapshot)
    }
}
