//! The changes of membership that result from applying a list.

use crate::list::{Entry, NodeState};
use std::net::SocketAddr;
use std::rc::Rc;

/// The valid record of a listed node.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// The node's ID, unique in this process. A node that is listed again after its removal gets a new ID.
    pub id: u32,
    /// The node's name, which is the same on all heads.
    pub name: Rc<str>,
    /// The address at which this head reaches the node; `None` until a list contains one.
    pub address: Option<SocketAddr>,
    /// The index of the node's zone: zones are numbered in the order in which they were first seen.
    pub zone: u16,
    /// The shard that the node stores.
    pub shard: u32,
    /// Whether the node accepts requests.
    pub state: NodeState,
    /// When the node last started, in seconds of Unix time; 0 if unknown or long ago.
    pub started_at: f64,
}

/// A change of one listed node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeChange {
    /// The node was added, or one of its fields has changed.
    Updated {
        /// The node after the change.
        node: ListedNode,
        /// The shard that the node stored before the change, if the shard has changed.
        previous_shard: Option<u32>,
    },
    /// The node was removed and accepts no more requests. Contains its last known fields.
    Removed(ListedNode),
}

/// A change of one list entry with owned strings, for a relay that stores the change and forwards it.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange {
    /// The node was added or updated. Contains its valid entry.
    Updated(Entry),
    /// The node of this name was removed and accepts no more requests.
    Removed(String),
}
