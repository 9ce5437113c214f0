//! A shard: its nodes on the endpoint list, the node that serves it, and the head's state of the shard.

use crate::{Endpoint, NodeId, NodeState, ZoneId};
use smallvec::SmallVec;

/// The node that serves a shard.
#[derive(Clone, Debug, Default)]
pub struct ServingNode {
    /// The node's entry on the endpoint list; `None` if no listed node is selected.
    pub endpoint: Option<Endpoint>,
    /// Counts changes of the serving node: another node took over, or the same node restarted.
    pub epoch: u32,
    /// When this head received the last of these changes.
    pub changed_at: f64,
    /// When the shard was first listed.
    pub shard_known_at: f64,
}

impl ServingNode {
    /// Returns the zone of the node.
    pub fn zone(&self) -> Option<ZoneId> {
        self.endpoint.as_ref().map(|endpoint| endpoint.zone)
    }
}

/// One incarnation of a node. A restart starts a new incarnation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Incarnation {
    node: NodeId,
    started_at: f64,
}

/// A shard. `S` is the state that a head keeps of a shard that it uses. The record is small, since most shards of a
/// large fleet are never used by a head.
#[derive(Debug)]
pub struct Shard<S> {
    /// The shard's nodes on the list, in the order of their ids.
    nodes: SmallVec<[Endpoint; 1]>,
    /// Index in `nodes` of the serving node.
    serving: Option<u16>,
    epoch: u32,
    changed_at: f64,
    known_at: f64,
    state: Option<Box<S>>,
}

impl<S> Shard<S> {
    pub(crate) fn new(now: f64) -> Shard<S> {
        Shard { nodes: SmallVec::new(), serving: None, epoch: 0, changed_at: now, known_at: now, state: None }
    }

    /// Returns the node that serves the shard.
    pub fn serving_node(&self) -> ServingNode {
        ServingNode {
            endpoint: self.serving_endpoint().cloned(),
            epoch: self.epoch,
            changed_at: self.changed_at,
            shard_known_at: self.known_at,
        }
    }

    /// Returns the head's state of the shard, if the shard was used.
    pub fn state(&self) -> Option<&S> {
        self.state.as_deref()
    }

    pub(crate) fn state_mut(&mut self) -> Option<&mut S> {
        self.state.as_deref_mut()
    }

    /// Returns the head's state of the shard, created by `make` at the shard's first use.
    pub(crate) fn state_or_insert(&mut self, make: impl FnOnce(ServingNode) -> S) -> &mut S {
        let state = self.state.take().unwrap_or_else(|| Box::new(make(self.serving_node())));
        self.state.insert(state)
    }

    /// Calls `notify` with the head's state and the serving node, if the shard was used.
    pub(crate) fn notify(&mut self, mut notify: impl FnMut(&mut S, &ServingNode)) {
        if let Some(mut state) = self.state.take() {
            notify(&mut state, &self.serving_node());
            self.state = Some(state);
        }
    }

    pub(crate) fn nodes(&self) -> &[Endpoint] {
        &self.nodes
    }

    pub(crate) fn is_served(&self) -> bool {
        self.serving.is_some()
    }

    /// Returns the incarnation of the serving node.
    pub(crate) fn serving_incarnation(&self) -> Option<Incarnation> {
        let endpoint = self.serving_endpoint()?;
        Some(Incarnation { node: endpoint.node, started_at: endpoint.started_at })
    }

    /// Makes `node`, which must be one of the shard's nodes, the serving node. The epoch advances if its incarnation
    /// differs from `previous`.
    pub(crate) fn set_serving(&mut self, node: Option<NodeId>, previous: Option<Incarnation>, now: f64) {
        let index = node.and_then(|node| self.nodes.iter().position(|endpoint| endpoint.node == node));
        self.serving = index.and_then(|index| u16::try_from(index).ok());
        if self.serving_incarnation() != previous {
            self.epoch += 1;
            self.changed_at = now;
        }
    }

    /// Applies one entry of the list. The caller must call `set_serving` afterwards.
    pub(crate) fn apply_entry(&mut self, entry: &Endpoint) {
        let position = self.nodes.binary_search_by_key(&entry.node, |listed| listed.node);
        let is_gone = entry.state == NodeState::Gone;
        match position {
            Ok(index) if is_gone => {
                self.nodes.remove(index);
            }
            Ok(index) => self.nodes[index] = entry.clone(),
            Err(_) if is_gone => {}
            Err(index) => self.nodes.insert(index, entry.clone()),
        }
    }

    /// Removes all nodes. The caller must call `set_serving` afterwards.
    pub(crate) fn clear_nodes(&mut self) {
        self.nodes.clear();
    }

    fn serving_endpoint(&self) -> Option<&Endpoint> {
        self.nodes.get(usize::from(self.serving?))
    }
}
