//! Expiry of queued requests. A request is answered before its client's deadline, and earlier if it can't be sent
//! within the time that it may wait.

use super::Scheduler;
use super::interface::{Action, RequestId};
use super::retry_rules;

/// Scheduler ticks before a client's deadline at which a queued request is answered, so that the answer arrives in
/// time.
const ANSWER_TICKS: f64 = 2.0;
/// Fraction of its time limit that late work waits for its first attempt. If it is rejected later than that, the
/// client loses more than a late answer would earn.
const LATE_WAIT_FRACTION: f64 = 0.45;

impl Scheduler {
    /// Returns the seconds before its deadline at which a queued request must be answered.
    pub(super) fn answer_margin_s(&self) -> f64 {
        ANSWER_TICKS * self.settings.tick_s
    }

    /// Answers the queued requests whose deadline is within the answer margin, and the requests with an attempt in
    /// flight whose deadline has passed.
    pub(super) fn expire_requests(&mut self, actions: &mut Vec<Action>) {
        let last_moment = self.now + self.answer_margin_s();
        for id in self.requests.overdue(self.now, last_moment) {
            self.finish_unserved(id, actions);
        }
    }

    /// Answers the queued requests that should not wait any longer: retries whose retry window has ended, and work
    /// that its volume's limit admits neither within the latency objective nor, as late work, within its wait limit.
    pub(super) fn expire_late_work(&mut self, actions: &mut Vec<Action>) {
        let late_wait_fraction = self.late_wait_fraction();
        for id in self.node_queues.queued_requests() {
            if self.has_expired(id, late_wait_fraction) {
                self.finish_unserved(id, actions);
            }
        }
    }

    /// Returns the fraction of its time limit that late work waits. The fraction is 0 while more than half of the
    /// clients' connections are in use, since other requests need the connections.
    fn late_wait_fraction(&self) -> f64 {
        if self.requests.len() > self.settings.max_pending / 2 { 0.0 } else { LATE_WAIT_FRACTION }
    }

    /// Returns whether a queued request must be answered now. If not, the time of the next check is recorded in the
    /// timers.
    fn has_expired(&mut self, id: RequestId, late_wait_fraction: f64) -> bool {
        let now = self.now;
        let pending = &self.requests[id];
        let request = &pending.request;
        let class = request.class.0;
        let Some(queue) = self.node_queues.get(pending.shard) else { return false };
        let idempotency = self.settings.classes[class].idempotency;
        let window_ends_at = retry_rules::retry_window_end(idempotency, &pending.attempts);
        let is_retry = pending.is_retry();
        let wait_fraction = if is_retry { 1.0 } else { late_wait_fraction };
        let late_at = pending.objective_at - queue.latency.class_mean_s(class);
        let wait_ends_at = pending.arrived_at + wait_fraction * (pending.deadline_at - pending.arrived_at);

        let is_in_time = late_at > now;
        let next_check_at = if is_in_time { late_at } else { wait_ends_at };
        self.timers.evaluate_again_at(window_ends_at);
        if !is_retry {
            self.timers.evaluate_again_at(next_check_at);
        }

        let fits_in_time =
            is_in_time && now + self.volume_quotas.limit_wait_s(request, false, now) <= late_at;
        let exceeds_wait_limit = !pending.attempts.was_received()
            && !fits_in_time
            && now + self.volume_quotas.limit_wait_s(request, true, now) > wait_ends_at;
        exceeds_wait_limit || now + self.settings.tick_s >= window_ends_at
    }
}
