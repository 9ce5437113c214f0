//! What a list changes.

use crate::list::{Entry, NodeState};
use std::net::SocketAddr;
use std::rc::Rc;

/// A listed node as membership knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// Its number in this process. A node that is listed again after its removal gets another one.
    pub id: u32,
    /// Its name, which is the same at all heads.
    pub name: Rc<str>,
    /// Its address as seen from this head, if one was ever received.
    pub address: Option<SocketAddr>,
    /// The number of its zone.
    pub zone: u16,
    /// The shard that it holds.
    pub shard: u32,
    /// Whether it accepts requests.
    pub state: NodeState,
    /// Its last start, in seconds of Unix time; 0 if unknown or long ago.
    pub started_at: f64,
}

/// A change of one listed node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeChange {
    /// The node was added to the list, or one of its fields has changed.
    Updated {
        /// The node after the change.
        node: ListedNode,
        /// The shard that it held before, if it holds another one now.
        previous_shard: Option<u32>,
    },
    /// The node accepts no more requests and is not listed any more. Contains its last known fields.
    Removed(ListedNode),
}

/// A change of one list entry, with owned names, as it is stored and sent on by a relay.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryChange {
    /// The entry that is valid for a node from now on.
    Updated(Entry),
    /// The node of this name accepts no more requests and is not listed any more.
    Removed(String),
}
