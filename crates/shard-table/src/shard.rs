//! One shard: its nodes on the endpoint list, which of them serves it, and the state that the head keeps of it.

use crate::{Endpoint, NodeId, NodeState, ZoneId};
use smallvec::SmallVec;

/// The node that serves a shard.
#[derive(Clone, Debug, Default)]
pub struct ServingNode {
    /// The node's entry on the list; `None` while no listed node is selected.
    pub endpoint: Option<Endpoint>,
    /// How often another node, or the same one after a restart, took over.
    pub epoch: u32,
    /// When this head received the last of these changes.
    pub changed_at: f64,
    /// When the shard was first listed.
    pub shard_known_at: f64,
}

impl ServingNode {
    /// The zone of the node.
    pub fn zone(&self) -> Option<ZoneId> {
        self.endpoint.as_ref().map(|endpoint| endpoint.zone)
    }
}

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Incarnation {
    node: NodeId,
    started_at: f64,
}

/// One shard. Most shards of a large fleet are never used by a head, so its record is small; `S` is the state that the
/// head keeps of a shard that it uses.
#[derive(Debug)]
pub struct Shard<S> {
    /// The nodes on the list, in the order of their ids.
    nodes: SmallVec<[Endpoint; 1]>,
    /// The index of the one that serves.
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

    /// The node that serves the shard.
    pub fn serving_node(&self) -> ServingNode {
        ServingNode {
            endpoint: self.serving_endpoint().cloned(),
            epoch: self.epoch,
            changed_at: self.changed_at,
            shard_known_at: self.known_at,
        }
    }

    /// The state that the head keeps of the shard, if it was used.
    pub fn state(&self) -> Option<&S> {
        self.state.as_deref()
    }

    pub(crate) fn state_mut(&mut self) -> Option<&mut S> {
        self.state.as_deref_mut()
    }

    /// The state, made at the shard's first use.
    pub(crate) fn state_or_insert(&mut self, make: impl FnOnce(ServingNode) -> S) -> &mut S {
        let state = self.state.take().unwrap_or_else(|| Box::new(make(self.serving_node())));
        self.state.insert(state)
    }

    /// Calls `notify` with the state, if the shard was used, and the node that serves it.
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

    /// The incarnation of the node that serves.
    pub(crate) fn serving_incarnation(&self) -> Option<Incarnation> {
        let endpoint = self.serving_endpoint()?;
        Some(Incarnation { node: endpoint.node, started_at: endpoint.started_at })
    }

    /// Makes `node`, one of the shard's nodes, the one that serves. Another incarnation than `previous` starts a new
    /// epoch.
    pub(crate) fn set_serving(&mut self, node: Option<NodeId>, previous: Option<Incarnation>, now: f64) {
        let index = node.and_then(|node| self.nodes.iter().position(|endpoint| endpoint.node == node));
        self.serving = index.and_then(|index| u16::try_from(index).ok());
        if self.serving_incarnation() != previous {
            self.epoch += 1;
            self.changed_at = now;
        }
    }

    /// Takes in one entry of the list. The node that serves has to be set anew after it.
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

    /// Takes all nodes off the list. The node that serves has to be set anew after it.
    pub(crate) fn clear_nodes(&mut self) {
        self.nodes.clear();
    }

    fn serving_endpoint(&self) -> Option<&Endpoint> {
        self.nodes.get(usize::from(self.serving?))
    }
}
