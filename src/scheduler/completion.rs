//! Completion of a request: the final answer, the `retry_after` advice and the statistics.

use super::Scheduler;
use super::interface::{Action, Admission, RequestId};
use super::node_backoff::LONGEST_PAUSE_S;
use super::pending_requests::QueueState;
use super::retry_rules;

impl Scheduler {
    /// Answers a request that was not served: rejects it if the retry rules allow a rejection, otherwise fails it.
    pub(super) fn finish_unserved(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(id) else { return };
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        let may_reject = retry_rules::may_reject(idempotency, &pending.attempts);
        let waited_s = self.now - pending.arrived_at;
        self.cancel_attempts(id, actions);
        let answer = if may_reject {
            Action::Reject { request: id, retry_after_s: self.retry_after_s(id) }
        } else {
            Action::Fail { request: id }
        };
        actions.push(answer);
        self.record_delay(id, waited_s, false);
        self.complete(id);
    }

    /// Returns the seconds after which a rejected client should retry: until the volume's limit admits the request,
    /// and the node's backoff and the shedding level have ended. The estimate does not account for other requests that
    /// arrive meanwhile.
    fn retry_after_s(&mut self, id: RequestId) -> f64 {
        let pending = &self.requests[id];
        let Some(queue) = self.node_queues.get(pending.shard) else { return LONGEST_PAUSE_S };
        let pause_s = queue.backoff.ends_at() - self.now;
        let latency_s = queue.estimated_latency_s(self.now, self.fleet_latency);
        let node_wait_s =
            if queue.serving_node.endpoint.is_some() { pause_s.max(latency_s) } else { LONGEST_PAUSE_S };
        let shedding_s = match self.load_shedding.admission(&pending.request, queue, self.now) {
            Admission::All | Admission::WithinQuota => 0.0,
            Admission::WithinReserve | Admission::TrialOnly => self.load_shedding.level().ends_at - self.now,
        };
        let limit_wait_s = self.volume_quotas.limit_wait_s(&pending.request, false, self.now);
        limit_wait_s.max(node_wait_s).max(shedding_s)
    }

    /// Cancels the attempts of a request that are in flight.
    pub(super) fn cancel_attempts(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if !self.settings.mechanisms.cancellation {
            return;
        }
        let Some(pending) = self.requests.get(id) else { return };
        for attempt in pending.attempts.in_flight() {
            actions.push(Action::Cancel { request: id, attempt });
        }
    }

    /// Completes a request. The request stays in the table until its last attempt has ended, to preserve the order
    /// within its extent.
    pub(super) fn complete(&mut self, id: RequestId) {
        self.dequeue(id);
        self.requests.stop_deadline(id);
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.state = QueueState::Completed;
        if pending.attempts.has_in_flight() {
            return;
        }
        if let Some(extent) = pending.ordered_extent {
            self.extent_order.remove(extent, id);
        }
        self.requests.remove(id);
    }

    /// Records how a request ended, if it was inside its volume's reserve at arrival. Other requests are not sampled:
    /// the surplus of a volume far beyond its reserve waits long and would shift weight to the class of that surplus.
    pub(super) fn record_delay(&mut self, id: RequestId, delay_s: f64, is_served: bool) {
        let Some(pending) = self.requests.get(id) else { return };
        if pending.is_completed() || !pending.is_reserved {
            return;
        }
        let class = pending.request.class;
        self.class_weights.record_delay(class.0, delay_s);
        let zone = self.node_queues.get(pending.shard).and_then(|queue| queue.serving_node.zone());
        let met_objective = is_served && self.now <= pending.objective_at;
        self.reserved_work.entry((zone, class)).or_default().record(met_objective, delay_s);
    }
}
