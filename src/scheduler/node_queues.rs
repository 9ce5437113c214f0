//! The node queues of all shards, and an index of the shards with work, so that the cost of a call depends on the
//! amount of work and not on the number of nodes.

use super::interface::{Endpoint, NodeState, RequestId, ShardId, UpdateKind};
use super::node_queue::{NodeQueue, QueuePosition};
use super::settings::SchedulerSettings;
use flaxgap_shard_table::{Shard, ShardTable, WorkIndex};

/// The shards of the endpoint list and the node queues of those that were used.
pub(super) struct NodeQueues {
    shards: ShardTable<NodeQueue>,
    work: WorkIndex<RequestId>,
    classes: usize,
    warm_up_s: f64,
}

impl NodeQueues {
    /// Creates an empty table.
    pub(super) fn new(settings: &SchedulerSettings) -> NodeQueues {
        NodeQueues {
            shards: ShardTable::default(),
            work: WorkIndex::default(),
            classes: settings.classes.len(),
            warm_up_s: settings.slow_start.warm_up_s,
        }
    }

    /// Applies an update of the endpoint list.
    pub(super) fn apply_update(&mut self, kind: UpdateKind, endpoints: &[Endpoint], now: f64) {
        self.shards.apply_update(kind, endpoints, now, select_serving_node, NodeQueue::set_serving_node);
    }

    /// Returns the node queue of a shard, if the shard was used.
    pub(super) fn get(&self, shard: ShardId) -> Option<&NodeQueue> {
        self.shards.state(shard)
    }

    /// Returns a mutable reference to the node queue of a shard, if the shard was used.
    pub(super) fn get_mut(&mut self, shard: ShardId) -> Option<&mut NodeQueue> {
        self.shards.state_mut(shard)
    }

    /// Returns the node queue of a shard, creating it at the shard's first use.
    pub(super) fn get_or_create(&mut self, shard: ShardId, now: f64) -> &mut NodeQueue {
        let (classes, warm_up_s) = (self.classes, self.warm_up_s);
        self.shards
            .state_or_insert(shard, now, |serving_node| NodeQueue::new(classes, warm_up_s, serving_node))
    }

    /// Returns a known shard, whether it was used or not.
    pub(super) fn shard(&self, shard: ShardId) -> Option<&Shard<NodeQueue>> {
        self.shards.get(shard)
    }

    /// Returns the node queue that a known shard would have at its first use.
    pub(super) fn unused_queue(&self, shard: &Shard<NodeQueue>) -> NodeQueue {
        NodeQueue::new(self.classes, self.warm_up_s, shard.serving_node())
    }

    /// Returns whether any shard is served by a node.
    pub(super) fn has_served_shard(&self) -> bool {
        !self.shards.served_shards().is_empty()
    }

    /// Returns the shard at a fraction, in [0, 1), of the list of served shards.
    pub(super) fn served_shard_at(&self, fraction: f64) -> Option<ShardId> {
        self.shards.served_shard_at(fraction)
    }

    /// Returns the lowest shard ever listed.
    pub(super) fn first_shard(&self) -> Option<ShardId> {
        self.shards.first_shard()
    }

    /// Returns the node queues of all shards that were used.
    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = &NodeQueue> {
        self.shards.states()
    }

    /// Appends a request to the queue of its class.
    pub(super) fn enqueue(&mut self, request: RequestId, shard: ShardId, class: usize, now: f64) {
        self.get_or_create(shard, now).queued_by_class[class].push(request);
        self.work.record_enqueued(request, shard);
    }

    /// Removes a request from the queue of its class.
    pub(super) fn dequeue(&mut self, request: RequestId, shard: ShardId, class: usize) {
        if let Some(queue) = self.shards.state_mut(shard) {
            queue.queued_by_class[class].retain(|other| *other != request);
            self.work.record_dequeued(&request, shard, !queue.has_queued());
        }
    }

    /// Removes the request at a position of a queue, to send it. Returns the queue.
    pub(super) fn dequeue_at(&mut self, shard: ShardId, position: QueuePosition) -> Option<&mut NodeQueue> {
        let queue = self.shards.state_mut(shard)?;
        let request = queue.queued_by_class[position.class].remove(position.index);
        self.work.record_dequeued(&request, shard, !queue.has_queued());
        Some(queue)
    }

    /// Returns all queued requests, in the order of their ids.
    pub(super) fn queued_requests(&self) -> Vec<RequestId> {
        self.work.queued_requests.iter().copied().collect()
    }

    /// Returns the shards with a queued request, in the order of their ids.
    pub(super) fn shards_with_queued(&self) -> Vec<ShardId> {
        self.work.shards_with_queued.iter().copied().collect()
    }

    /// Returns the queued requests whose shard has no serving node, in the order of shard and class.
    pub(super) fn requests_without_node(&self) -> impl Iterator<Item = RequestId> {
        let queues = self.work.shards_with_queued.iter().filter_map(|shard| self.shards.state(*shard));
        let without_node = queues.filter(|queue| queue.serving_node.endpoint.is_none());
        without_node.flat_map(|queue| queue.queued_by_class.iter().flatten().copied())
    }

    /// Marks a shard as possibly having overtaken attempts in flight.
    pub(super) fn mark_overtaken_attempt(&mut self, shard: ShardId) {
        self.work.shards_with_overtaken_attempt.insert(shard);
    }

    /// Calls `handle` for each node queue that may have an overtaken attempt.
    pub(super) fn for_each_with_overtaken_attempt(&mut self, mut handle: impl FnMut(&mut NodeQueue)) {
        self.shards.retain_in_index(&mut self.work.shards_with_overtaken_attempt, |queue| {
            handle(queue);
            queue.has_overtaken_attempt()
        });
    }

    /// Marks a shard whose fair queue has charged a volume.
    pub(super) fn mark_volume_charged(&mut self, shard: ShardId) {
        self.work.shards_with_charged_volume.insert(shard);
    }

    /// Removes the finish tags of volumes that no longer affect the order.
    pub(super) fn remove_idle_volumes(&mut self) {
        self.shards.retain_in_index(&mut self.work.shards_with_charged_volume, |queue| {
            queue.fair_queue.remove_idle_volumes();
            false
        });
    }
}

/// Selects the node that serves a shard: the ready node that started last; the lowest id of equals.
fn select_serving_node(nodes: &[Endpoint]) -> Option<&Endpoint> {
    let ready = nodes.iter().filter(|node| node.state == NodeState::Ready);
    ready.max_by(|a, b| a.started_at.total_cmp(&b.started_at).then(b.node.cmp(&a.node)))
}
