//! Entries of the endpoint list and the kinds of updates to the list.

/// Identifies a storage node process on the endpoint list. A process that replaces it has a different id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub u64);

/// Identifies a shard of the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

/// Identifies a zone by its number in the endpoint list and the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u16);

/// State of a node according to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeState {
    /// The node accepts requests.
    Ready,
    /// The node completes its pending requests and must not be sent new ones.
    Draining,
    /// The node was removed from the list.
    Gone,
}

/// An entry of the endpoint list: a node that serves a shard.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The node that the entry describes.
    pub node: NodeId,
    /// The shard that the node holds.
    pub shard: ShardId,
    /// When the node last started; 0 if it started long ago.
    pub started_at: f64,
    /// The zone that the node is in.
    pub zone: ZoneId,
    /// Whether the node accepts requests.
    pub state: NodeState,
}

/// How the entries of an update relate to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateKind {
    /// The entries are the changed ones only.
    Changes,
    /// The entries are the complete list.
    Snapshot,
    /// The entries are the complete list as last seen by an earlier process of this head, and may be stale.
    CachedSnapshot,
    /// There are no entries: a poll for the list failed, or the watch on it ended.
    PollFailed,
}

impl UpdateKind {
    /// Returns whether the entries replace the whole previous list.
    pub fn is_snapshot(self) -> bool {
        matches!(self, UpdateKind::Snapshot | UpdateKind::CachedSnapshot)
    }
}
