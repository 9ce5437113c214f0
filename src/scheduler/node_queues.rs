//! The node queues of all shards, and the index of those that have work, so that a call's cost follows the work and
//! not the number of nodes.

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
    /// No shard known yet.
    pub(super) fn new(settings: &SchedulerSettings) -> NodeQueues {
        NodeQueues {
            shards: ShardTable::default(),
            work: WorkIndex::default(),
            classes: settings.classes.len(),
            warm_up_s: settings.slow_start.warm_up_s,
        }
    }

    /// Takes in an update of the endpoint list.
    pub(super) fn apply_update(&mut self, kind: UpdateKind, endpoints: &[Endpoint], now: f64) {
        self.shards.apply_update(kind, endpoints, now, select_serving_node, NodeQueue::set_serving_node);
    }

    /// The node queue of a shard that was used.
    pub(super) fn get(&self, shard: ShardId) -> Option<&NodeQueue> {
        self.shards.state(shard)
    }

    /// The same, to change it.
    pub(super) fn get_mut(&mut self, shard: ShardId) -> Option<&mut NodeQueue> {
        self.shards.state_mut(shard)
    }

    /// The node queue of a shard, made at its first use.
    pub(super) fn get_or_create(&mut self, shard: ShardId, now: f64) -> &mut NodeQueue {
        let (classes, warm_up_s) = (self.classes, self.warm_up_s);
        self.shards
            .state_or_insert(shard, now, |serving_node| NodeQueue::new(classes, warm_up_s, serving_node))
    }

    /// A known shard, used or not.
    pub(super) fn shard(&self, shard: ShardId) -> Option<&Shard<NodeQueue>> {
        self.shards.get(shard)
    }

    /// The node queue that a known shard would have at its first use.
    pub(super) fn unused_queue(&self, shard: &Shard<NodeQueue>) -> NodeQueue {
        NodeQueue::new(self.classes, self.warm_up_s, shard.serving_node())
    }

    /// Whether any shard is served by a node.
    pub(super) fn has_served_shard(&self) -> bool {
        !self.shards.served_shards().is_empty()
    }

    /// The shard at a fraction, in [0, 1), of the list of those that a node serves.
    pub(super) fn served_shard_at(&self, fraction: f64) -> Option<ShardId> {
        self.shards.served_shard_at(fraction)
    }

    /// The lowest shard ever listed.
    pub(super) fn first_shard(&self) -> Option<ShardId> {
        self.shards.first_shard()
    }

    /// The node queues of all shards that were used.
    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = &NodeQueue> {
        self.shards.states()
    }

    /// Puts a request at the end of its class's queue.
    pub(super) fn enqueue(&mut self, request: RequestId, shard: ShardId, class: usize, now: f64) {
        self.get_or_create(shard, now).queued_by_class[class].push(request);
        self.work.record_enqueued(request, shard);
    }

    /// Removes a request from its class's queue.
    pub(super) fn dequeue(&mut self, request: RequestId, shard: ShardId, class: usize) {
        if let Some(queue) = self.shards.state_mut(shard) {
            queue.queued_by_class[class].retain(|other| *other != request);
            self.work.record_dequeued(&request, shard, !queue.has_queued());
        }
    }

    /// Removes the request at a place of a queue, to send it.
    pub(super) fn dequeue_at(&mut self, shard: ShardId, position: QueuePosition) -> Option<&mut NodeQueue> {
        let queue = self.shards.state_mut(shard)?;
        let request = queue.queued_by_class[position.class].remove(position.index);
        self.work.record_dequeued(&request, shard, !queue.has_queued());
        Some(queue)
    }

    /// All queued requests, in the order of their ids.
    pub(super) fn queued_requests(&self) -> Vec<RequestId> {
        self.work.queued_requests.iter().copied().collect()
    }

    /// The shards with a queued request, in the order of their ids.
    pub(super) fn shards_with_queued(&self) -> Vec<ShardId> {
        self.work.shards_with_queued.iter().copied().collect()
    }

    /// The queued requests before nodes that are gone, in the order of shard and class.
    pub(super) fn requests_without_node(&self) -> impl Iterator<Item = RequestId> {
        let queues = self.work.shards_with_queued.iter().filter_map(|shard| self.shards.state(*shard));
        let without_node = queues.filter(|queue| queue.serving_node.endpoint.is_none());
        without_node.flat_map(|queue| queue.queued_by_class.iter().flatten().copied())
    }

    /// Notes that attempts at a shard's node may have been passed over.
    pub(super) fn mark_passed_over(&mut self, shard: ShardId) {
        self.work.shards_with_passed_over.insert(shard);
    }

    /// Calls `handle` for each node queue that may have an attempt that was passed over.
    pub(super) fn for_each_passed_over(&mut self, mut handle: impl FnMut(&mut NodeQueue)) {
        self.shards.retain_in_index(&mut self.work.shards_with_passed_over, |queue| {
            handle(queue);
            queue.has_passed_over()
        });
    }

    /// Notes that a volume was charged in a shard's fair queue.
    pub(super) fn mark_volume_charged(&mut self, shard: ShardId) {
        self.work.shards_with_charged_volume.insert(shard);
    }

    /// Forgets the volumes' tags that have no effect any more.
    pub(super) fn forget_idle_volumes(&mut self) {
        self.shards.retain_in_index(&mut self.work.shards_with_charged_volume, |queue| {
            queue.fair_queue.forget_idle_volumes();
            false
        });
    }
}

/// The node that serves a shard: the one started last among the ready ones; of equals the lowest id.
fn select_serving_node(nodes: &[Endpoint]) -> Option<&Endpoint> {
    let ready = nodes.iter().filter(|node| node.state == NodeState::Ready);
    ready.max_by(|a, b| a.started_at.total_cmp(&b.started_at).then(b.node.cmp(&a.node)))
}
