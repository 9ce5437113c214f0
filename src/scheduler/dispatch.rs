//! Dispatch: sends queued requests to their nodes, in the order of their rank.

use super::Scheduler;
use super::evaluation::{Candidate, QueueEvaluation};
use super::fair_queue::Band;
use super::interface::{Action, Admission, RequestId, ShardId};
use super::load_shedding::plan_weight;
use super::pending_requests::QueueState;
use flaxgap_attempts::Attempt;

/// Timeout of a trial request, in multiples of the tightest latency objective.
const TRIAL_OBJECTIVES: f64 = 2.0;

impl Scheduler {
    /// Sends every queued request that may be sent now.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        for shard in self.node_queues.shards_with_queued() {
            while let Some(candidate) = self.best_candidate(shard) {
                self.send(shard, candidate, actions);
            }
            let Some(queue) = self.node_queues.get(shard) else { continue };
            if !queue.backoff.is_over(self.now) && queue.has_queued() {
                self.timers.evaluate_again_at(queue.backoff.ends_at());
            }
        }
    }

    fn best_candidate(&mut self, shard: ShardId) -> Option<Candidate> {
        let queue = self.node_queues.get_mut(shard)?;
        if !queue.can_send(self.now) {
            return None;
        }
        let mut evaluation = QueueEvaluation {
            now: self.now,
            settings: &self.settings,
            tightest_objective_s: self.tightest_objective_s,
            fleet_latency: self.fleet_latency,
            requests: &self.requests,
            extent_order: &self.extent_order,
            load_shedding: &self.load_shedding,
            slow_start: &self.slow_start,
            queue,
            volume_quotas: &mut self.volume_quotas,
            retry_budget: &mut self.retry_budget,
            timers: &mut self.timers,
        };
        evaluation.best_candidate()
    }

    /// Sends a queued request to its shard's node and charges the class, volume, slow start and retry budget.
    fn send(&mut self, shard: ShardId, candidate: Candidate, actions: &mut Vec<Action>) {
        let Some(queue) = self.node_queues.get(shard) else { return };
        let Some(id) = queue.queued_at(candidate.position) else { return };
        let is_trial =
            self.load_shedding.admission(&self.requests[id].request, queue, self.now) == Admission::TrialOnly;
        self.charge_queue(shard, id, candidate);
        self.charge_quotas(id);
        self.start_attempt(shard, id, is_trial, actions);
    }

    /// Removes the request from the node queue and charges its class and volume in the fair queue.
    fn charge_queue(&mut self, shard: ShardId, id: RequestId, candidate: Candidate) {
        let Some(queue) = self.node_queues.dequeue_at(shard, candidate.position) else { return };
        let request = &self.requests[id].request;
        let class = candidate.position.class;
        queue.fair_queue.charge_class(class, request.units, self.class_weights.weight(class));
        queue.record_sent(id, request.units, self.now);
        if candidate.rank.band != Band::Reserved {
            let weight = plan_weight(&self.settings, request.plan);
            queue.fair_queue.charge_volume(request.volume, request.units, weight);
            self.node_queues.mark_volume_charged(shard);
        }
    }

    /// Charges the volume's buckets and, for a retry, the retry budget.
    fn charge_quotas(&mut self, id: RequestId) {
        let pending = &self.requests[id];
        let request = &pending.request;
        if pending.is_retry() {
            self.retry_budget.record_retry(self.now);
        }
        let buckets = self.volume_quotas.refill(request.volume, request.plan, self.now);
        if let Some(buckets) = buckets.filter(|_| !pending.attempts.was_received()) {
            buckets.charge(request.units, pending.is_retry());
        }
    }

    fn start_attempt(&mut self, shard: ShardId, id: RequestId, is_trial: bool, actions: &mut Vec<Action>) {
        let Some(queue) = self.node_queues.get(shard) else { return };
        let Some(node) = &queue.serving_node.endpoint else { return };
        let Some(pending) = self.requests.get_mut(id) else { return };
        pending.state = QueueState::Dispatched;
        pending.attempts.push(Attempt {
            shard,
            zone: node.zone,
            epoch: queue.serving_node.epoch,
            sent_at: self.now,
            outcome: None,
        });
        // A trial only shows whether the node answers again, so it need not use all of the client's remaining time.
        let trial_ends_at = self.now + TRIAL_OBJECTIVES * self.tightest_objective_s;
        let expires_at = if is_trial { pending.deadline_at.min(trial_ends_at) } else { pending.deadline_at };
        actions.push(Action::Send { request: id, node: node.node, expires_at });
    }
}
