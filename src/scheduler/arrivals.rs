//! Arrival of a request, and its way into and out of the node queues.

use super::Scheduler;
use super::interface::{Action, IoRequest, RequestId, ShardId};
use super::pending_requests::{PendingRequest, QueueState};
use super::settings::Class;
use flaxgap_attempts::Attempts;

impl Scheduler {
    /// Takes in a request that arrived: rejects it if it can't be served, else queues it.
    pub(super) fn accept_request(&mut self, request: &IoRequest, actions: &mut Vec<Action>) {
        if self.requests.contains(request.id) {
            return;
        }
        self.retry_budget.record_arrival(self.now);
        let class = self.settings.classes.get(request.class.0);
        let Some(class) = class.filter(|_| request.remaining_s > 0.0) else {
            actions.push(Action::Reject { request: request.id, retry_after_s: 0.0 });
            return;
        };
        let ordered_extent = request.extent.filter(|_| class.ordered);
        let deadline_at = self.now + request.remaining_s;
        let objective_at = objective_at(class, self.now, deadline_at);
        let request = IoRequest { units: request.units.max(0.0), ..request.clone() };
        if let Some(extent) = ordered_extent {
            self.extent_order.add(extent, request.id);
        }
        let is_reserved = self.claim_reserve(&request);
        let id = request.id;
        let units = request.units;
        self.requests.insert(PendingRequest {
            shard: request.shard.unwrap_or(ShardId(0)),
            request,
            arrived_at: self.now,
            objective_at,
            deadline_at,
            is_reserved,
            ordered_extent,
            state: QueueState::Queued,
            sample: self.random.sample(),
            attempts: Attempts::default(),
        });
        self.enqueue(id);
        if is_reserved {
            let shard = self.requests[id].shard;
            self.node_queues.get_or_create(shard, self.now).slow_start.record_demand(self.now, units);
        }
    }

    /// Whether the request is inside its volume's reserve; claims what it takes of it.
    fn claim_reserve(&mut self, request: &IoRequest) -> bool {
        self.volume_quotas.register(request);
        let buckets = self.volume_quotas.refill(request.volume, request.plan, self.now);
        buckets.is_none_or(|buckets| buckets.claim_reserve(request.units))
    }

    /// Puts a request into the node queue of its shard; a new object is placed first.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let named_shard = self.requests[id].request.shard;
        let shard = named_shard.unwrap_or_else(|| self.place_new_object());
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.shard = shard;
        pending.state = QueueState::Queued;
        self.node_queues.enqueue(id, shard, pending.request.class.0, self.now);
    }

    /// Takes a request out of its node queue, if it is in one.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        if pending.state == QueueState::Queued {
            pending.state = QueueState::Dispatched;
            self.node_queues.dequeue(id, pending.shard, pending.request.class.0);
        }
    }
}

/// When a request misses its latency objective. Not every client marks its retries: one that waits for less than its
/// class's deadline is taken to have waited before.
fn objective_at(class: &Class, now: f64, deadline_at: f64) -> f64 {
    class.latency_objective_s + now.min(deadline_at - class.deadline_s)
}
