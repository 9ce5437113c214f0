//! Load shedding: while a shedding level is in force, queued requests that the level does not admit are rejected
//! immediately.

use super::Scheduler;
use super::interface::{Action, Admission, IoRequest, PlanId, RequestId, ShardId, SheddingLevel, VolumeId};
use super::node_queue::NodeQueue;
use super::settings::{Plan, SchedulerSettings};
use std::collections::BTreeMap;

/// Lower bound of a plan's weight, since volumes are charged by units divided by the weight.
const MIN_PLAN_WEIGHT: f64 = 0.01;
/// Minimum latency assumed in estimates of a node's rate, in seconds.
const MIN_LATENCY_S: f64 = 1e-3;

/// The shedding level in force and the number of requests rejected by it.
pub(super) struct LoadShedding {
    level: SheddingLevel,
    /// The time since which the level's zone tables have been unchanged.
    zone_tables_since: f64,
    shed_requests: u64,
    tightest_objective_s: f64,
}

impl LoadShedding {
    /// Creates the state without a shedding level.
    pub(super) fn new(tightest_objective_s: f64, now: f64) -> LoadShedding {
        LoadShedding {
            level: SheddingLevel::default(),
            zone_tables_since: now,
            shed_requests: 0,
            tightest_objective_s,
        }
    }

    /// Puts a level into force.
    pub(super) fn set_level(&mut self, level: &SheddingLevel, now: f64) {
        if level.zone_admission != self.level.zone_admission {
            self.zone_tables_since = now;
        }
        self.level = level.clone();
    }

    /// Returns the level in force.
    pub(super) fn level(&self) -> &SheddingLevel {
        &self.level
    }

    /// Returns the number of requests rejected by load shedding since the start.
    pub(super) fn shed_requests(&self) -> u64 {
        self.shed_requests
    }

    /// Returns what the level admits of requests like `request` at a node queue. Where the level admits only trials,
    /// requests within quota are admitted again at a node that has answered since the zone tables last changed and is
    /// neither failing nor stalled.
    pub(super) fn admission(&self, request: &IoRequest, queue: &NodeQueue, now: f64) -> Admission {
        let admission = self.level.admission(request.class, request.plan, queue.serving_node.zone());
        if admission == Admission::TrialOnly && self.has_recovered(queue, now) {
            return Admission::WithinQuota;
        }
        admission
    }

    fn has_recovered(&self, queue: &NodeQueue, now: f64) -> bool {
        let is_stalled =
            queue.in_flight.first().is_some_and(|oldest| now - oldest.sent_at > self.tightest_objective_s);
        let has_answered = queue.latency.last_answer_at() >= self.zone_tables_since;
        has_answered && !queue.backoff.is_failing() && !is_stalled
    }
}

/// Returns the weight of a plan in the sharing of the capacity beyond the reserves.
pub(super) fn plan_weight(settings: &SchedulerSettings, plan: PlanId) -> f64 {
    settings.plans.get(plan.0).map_or(1.0, |plan: &Plan| plan.weight.max(MIN_PLAN_WEIGHT))
}

/// Weights of the volumes with queued requests, by shard.
struct QueuedVolumeWeights(BTreeMap<ShardId, BTreeMap<VolumeId, f64>>);

impl QueuedVolumeWeights {
    /// Returns the volume's fraction of a shard's capacity.
    fn fraction(&self, shard: ShardId, volume: VolumeId) -> f64 {
        let weights = &self.0[&shard];
        weights[&volume] / weights.values().sum::<f64>()
    }
}

/// Units of the requests admitted so far in one pass over the queued requests.
#[derive(Default)]
struct AdmittedUnits {
    /// Units within the reserve, by volume.
    reserved: BTreeMap<VolumeId, f64>,
    /// Units within the quota, by shard and volume.
    within_quota: BTreeMap<ShardId, BTreeMap<VolumeId, f64>>,
}

impl AdmittedUnits {
    fn reserved(&mut self, volume: VolumeId) -> &mut f64 {
        self.reserved.entry(volume).or_insert(0.0)
    }

    fn within_quota(&mut self, shard: ShardId, volume: VolumeId) -> &mut f64 {
        self.within_quota.entry(shard).or_default().entry(volume).or_insert(0.0)
    }
}

impl Scheduler {
    /// Rejects the queued requests that the level in force does not admit. Requests of a volume are considered in
    /// order of arrival. A request is rejected if neither the volume's reserve nor, where quotas are admitted, the
    /// volume's fraction of the node's rate can serve it within its latency objective.
    pub(super) fn shed_load(&mut self, actions: &mut Vec<Action>) {
        if !self.load_shedding.level.is_shedding() {
            return;
        }
        let queued = self.node_queues.queued_requests();
        let weights = self.queued_volume_weights(&queued);
        let mut admitted = AdmittedUnits::default();
        for id in queued {
            if !self.is_admitted(id, &weights, &mut admitted) {
                self.load_shedding.shed_requests += 1;
                self.finish_unserved(id, actions);
            }
        }
    }

    fn queued_volume_weights(&self, queued: &[RequestId]) -> QueuedVolumeWeights {
        let mut weights: BTreeMap<ShardId, BTreeMap<VolumeId, f64>> = BTreeMap::new();
        for id in queued {
            let pending = &self.requests[*id];
            let weight = plan_weight(&self.settings, pending.request.plan);
            weights.entry(pending.shard).or_default().insert(pending.request.volume, weight);
        }
        QueuedVolumeWeights(weights)
    }

    fn is_admitted(
        &mut self,
        id: RequestId,
        weights: &QueuedVolumeWeights,
        admitted: &mut AdmittedUnits,
    ) -> bool {
        let pending = &self.requests[id];
        let request = &pending.request;
        let shard = pending.shard;
        let Some(queue) = self.node_queues.get(shard) else { return true };
        let time_left_s = pending.objective_at - queue.latency.class_mean_s(request.class.0) - self.now;
        let admission = self.load_shedding.admission(request, queue, self.now);
        let quota_rate = weights.fraction(shard, request.volume) * self.window_rate(queue);

        let plan_reserve = self.settings.plans.get(request.plan.0).map_or(0.0, |plan| plan.reserve);
        let usable_s = time_left_s.max(0.0);
        let reserve = match self.volume_quotas.refill(request.volume, request.plan, self.now) {
            Some(buckets) => buckets.reserve() + buckets.reserve_refill(usable_s, plan_reserve),
            None => request.units + usable_s * plan_reserve,
        };
        let is_in_time = time_left_s > 0.0;
        let is_reserved = is_in_time && *admitted.reserved(request.volume) + request.units <= reserve;
        let admitted_units = match is_reserved {
            true => admitted.reserved(request.volume),
            false => admitted.within_quota(shard, request.volume),
        };
        let is_admitted = match admission {
            Admission::All => true,
            Admission::WithinQuota => {
                is_reserved || is_in_time && *admitted_units <= quota_rate * time_left_s
            }
            Admission::WithinReserve => is_reserved,
            Admission::TrialOnly => false,
        };
        if is_admitted {
            *admitted_units += request.units;
        }
        is_admitted
    }

    /// Returns the rate at which the concurrency window lets this head send to a node, in units per second (Little's
    /// law).
    fn window_rate(&self, queue: &NodeQueue) -> f64 {
        let latency_s = queue.latency.recent_s().max(MIN_LATENCY_S);
        queue.window.exact_limit() * self.settings.mean_request_units / latency_s
    }
}
