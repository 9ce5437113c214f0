//! Arrival of requests, and their insertion into and removal from the node queues.

use super::Scheduler;
use super::interface::{Action, IoRequest, RequestId, ShardId};
use super::pending_requests::{PendingRequest, QueueState};
use super::settings::Class;
use flaxgap_attempts::Attempts;

impl Scheduler {
    /// Accepts a request that arrived: queues it, or rejects it if its class is unknown or its deadline has passed.
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

    /// Returns whether the request fits its volume's unclaimed reserve, and claims its units if it does.
    fn claim_reserve(&mut self, request: &IoRequest) -> bool {
        self.volume_quotas.register(request);
        let buckets = self.volume_quotas.refill(request.volume, request.plan, self.now);
        buckets.is_none_or(|buckets| buckets.claim_reserve(request.units))
    }

    /// Puts a request into the node queue of its shard. A new object is assigned a shard first.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let named_shard = self.requests[id].request.shard;
        let shard = named_shard.unwrap_or_else(|| self.place_new_object());
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.shard = shard;
        pending.state = QueueState::Queued;
        self.node_queues.enqueue(id, shard, pending.request.class.0, self.now);
    }

    /// Removes a request from its node queue if it is queued.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        if pending.state == QueueState::Queued {
            pending.state = QueueState::Dispatched;
            self.node_queues.dequeue(id, pending.shard, pending.request.class.0);
        }
    }
}

/// Returns the time after which a request misses its latency objective. Not every client marks its retries, so a
/// client whose remaining time is below its class's deadline is assumed to have waited already.
fn objective_at(class: &Class, now: f64, deadline_at: f64) -> f64 {
    class.latency_objective_s + now.min(deadline_at - class.deadline_s)
}
