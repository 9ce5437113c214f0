//! Results of attempts: updates the state of the node and decides whether the request is sent again.

use super::Scheduler;
use super::interface::{Action, AttemptOutcome, RequestId};
use super::node_queue::{InFlight, NodeAnswer};
use super::pending_requests::PendingRequests;
use super::retry_rules;
use super::settings::{Idempotency, SchedulerSettings};
use flaxgap_attempts::{Attempt, AttemptEnd};

/// Time after which an overtaken attempt is overdue, in multiples of the node's recent latency.
const OVERDUE_LATENCIES: f64 = 12.0;

impl Scheduler {
    /// Handles the end of an attempt.
    pub(super) fn handle_attempt_end(
        &mut self,
        id: RequestId,
        attempt_index: usize,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get_mut(id) else { return };
        let Some(attempt) = pending.attempts.record_end(attempt_index, end.outcome) else { return };
        if let Some(extent) = pending.ordered_extent.filter(|_| end.outcome.may_still_run()) {
            self.extent_order.pause(extent, self.now + self.settings.ordering_pause_s);
        }
        self.record_node_result(id, &attempt, &end);
        let pending = &self.requests[id];
        let is_served = end.outcome == AttemptOutcome::Ok;
        if end.request_done || is_served || pending.is_completed() {
            self.record_delay(id, self.now - pending.arrived_at, is_served);
            self.complete(id);
        } else if end.not_resendable {
            self.finish_unserved(id, actions);
        } else {
            self.retry(id, actions);
        }
    }

    /// Updates the fleet latency and the state of the node. The node's state is left unchanged if the shard has since
    /// moved to another node or the node has restarted.
    fn record_node_result(&mut self, id: RequestId, attempt: &Attempt, end: &AttemptEnd) {
        let pending = &self.requests[id];
        let is_answer = matches!(end.outcome, AttemptOutcome::Ok | AttemptOutcome::Error);
        if is_answer || end.outcome == AttemptOutcome::Timeout {
            self.fleet_latency.record(end.elapsed_s, self.now);
        }
        let Some(queue) = self.node_queues.get_mut(attempt.shard) else { return };
        if queue.serving_node.epoch != attempt.epoch {
            return;
        }
        queue.remove_in_flight(id);
        if !is_answer {
            queue.record_failure(end.outcome, self.now);
            return;
        }
        let units = pending.request.units;
        let answer = NodeAnswer {
            class: pending.request.class.0,
            units,
            unreserved_units: if pending.is_reserved { 0.0 } else { units },
            sent_at: attempt.sent_at,
            elapsed_s: end.elapsed_s,
        };
        queue.record_answer(&answer, self.tightest_objective_s, self.now);
        if queue.has_overtaken_attempt() {
            self.node_queues.mark_overtaken_attempt(attempt.shard);
        }
    }

    /// Queues a request for another attempt, or answers the request if no further attempt is allowed.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let pending = &self.requests[id];
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        let is_allowed = pending.attempts.len() < self.settings.max_attempts
            && pending.deadline_at > self.now + self.answer_margin_s()
            && retry_rules::may_retry(idempotency, &pending.attempts);
        if is_allowed && self.retry_budget.allows_retry(self.now) {
            self.enqueue(id);
        } else {
            self.finish_unserved(id, actions);
        }
    }

    /// Handles the start of a streamed body: the request's deadline is stopped, and its attempt no longer counts
    /// towards the node's concurrency window.
    pub(super) fn handle_streaming_started(&mut self, id: RequestId) {
        self.requests.stop_deadline(id);
        let Some(pending) = self.requests.get(id) else { return };
        let Some(shard) = pending.attempts.in_flight_shard() else { return };
        if let Some(queue) = self.node_queues.get_mut(shard) {
            queue.remove_in_flight(id);
        }
    }

    /// Cancels attempts that have taken too long for their size while the node answered later attempts. The connection
    /// has stalled or the answer is lost, and there is time for another attempt.
    pub(super) fn cancel_overdue_attempts(&mut self, actions: &mut Vec<Action>) {
        if !self.settings.mechanisms.cancellation {
            return;
        }
        let check = OverdueCheck { now: self.now, settings: &self.settings, requests: &self.requests };
        let tightest_objective_s = self.tightest_objective_s;
        self.node_queues.for_each_with_overtaken_attempt(|queue| {
            let overdue_after_s = (OVERDUE_LATENCIES * queue.latency.recent_s()).max(tightest_objective_s);
            queue.in_flight.retain(|attempt| {
                let cancel = check.cancellation(attempt, overdue_after_s);
                let is_kept = cancel.is_none();
                actions.extend(cancel);
                is_kept
            });
        });
    }
}

/// Inputs of the check for overdue attempts.
struct OverdueCheck<'a> {
    now: f64,
    settings: &'a SchedulerSettings,
    requests: &'a PendingRequests,
}

impl OverdueCheck<'_> {
    /// Returns the action that cancels an attempt, if the attempt is overdue and its request may be sent again in
    /// time.
    fn cancellation(&self, in_flight: &InFlight, overdue_after_s: f64) -> Option<Action> {
        if !in_flight.is_overtaken() {
            return None;
        }
        let pending = self.requests.get(in_flight.request).filter(|pending| !pending.is_completed())?;
        let idempotency = self.settings.classes[pending.request.class.0].idempotency;
        let attempts = pending.attempts.len();
        if attempts >= self.settings.max_attempts || idempotency == Idempotency::NotIdempotent {
            return None;
        }
        let size = (pending.request.units / self.settings.mean_request_units).max(1.0);
        let is_overdue = self.now - in_flight.sent_at > overdue_after_s * size;
        let retry_until =
            pending.deadline_at.min(retry_rules::retry_window_end(idempotency, &pending.attempts));
        let has_time = retry_until - self.now > overdue_after_s;
        let cancel = Action::Cancel { request: in_flight.request, attempt: attempts - 1 };
        (is_overdue && has_time).then_some(cancel)
    }
}
