//! Placement of new objects, which any node may hold: the better of two nodes picked at random. The single best node
//! would be chosen by all heads at the same time.

use super::Scheduler;
use super::interface::{RequestId, ShardId};
use super::node_queue::NodeQueue;

/// Factor on the expected wait at a node that is warming up.
const WARMING_UP_FACTOR: f64 = 4.0;
/// Factor on the expected wait at a failing node, or at a node in a zone that gets trial requests only.
const UNAVAILABLE_FACTOR: f64 = 100.0;
/// Minimum latency assumed in estimates of the wait, in seconds.
const MIN_LATENCY_S: f64 = 1e-3;

impl Scheduler {
    /// Chooses the shard for a new object.
    pub(super) fn place_new_object(&mut self) -> ShardId {
        if !self.node_queues.has_served_shard() {
            return self.node_queues.first_shard().unwrap_or(ShardId(0));
        }
        let first_sample = self.random.sample();
        let second_sample = self.random.sample();
        let Some(first) = self.node_queues.served_shard_at(first_sample) else { return ShardId(0) };
        let Some(second) = self.node_queues.served_shard_at(second_sample) else { return ShardId(0) };
        if self.expected_wait_at(second) < self.expected_wait_at(first) { second } else { first }
    }

    /// Moves the queued new objects whose shard has no serving node to other shards.
    pub(super) fn reassign_new_objects(&mut self) {
        let without_node: Vec<RequestId> = self
            .node_queues
            .requests_without_node()
            .filter(|id| self.requests[*id].request.shard.is_none())
            .collect();
        for id in without_node {
            self.dequeue(id);
            self.enqueue(id);
        }
    }

    fn expected_wait_at(&self, shard: ShardId) -> f64 {
        let Some(shard) = self.node_queues.shard(shard) else { return f64::INFINITY };
        match shard.state() {
            Some(queue) => self.expected_wait(queue),
            None => self.expected_wait(&self.node_queues.unused_queue(shard)),
        }
    }

    /// Returns a relative measure of the time that a new request would take at a node; only comparisons are
    /// meaningful.
    fn expected_wait(&self, queue: &NodeQueue) -> f64 {
        let window = queue.window.exact_limit();
        let work = 1.0 + queue.queued_count() as f64 / window + queue.in_flight.len() as f64 / window;
        let is_warming_up = self.slow_start.rate(queue, self.now, self.fleet_latency).is_some();
        let warming_up_factor = if is_warming_up { WARMING_UP_FACTOR } else { 1.0 };
        let is_excluded = self.load_shedding.level().excludes_zone(queue.serving_node.zone());
        let is_unavailable = queue.backoff.is_failing() || is_excluded;
        let unavailable_factor = if is_unavailable { UNAVAILABLE_FACTOR } else { 1.0 };
        let latency_s = queue.estimated_latency_s(self.now, self.fleet_latency).max(MIN_LATENCY_S);
        work * latency_s * warming_up_factor * unavailable_factor
    }
}
