//! Volumes' quotas at this head: token buckets for each volume's rate limit and reserve.
//!
//! A volume's limit is split evenly over the heads that its requests come through, and each head enforces its part.

use super::interface::{IoRequest, PlanId, VolumeId};
use super::settings::{Class, Plan, RateLimit, SchedulerSettings};
use std::collections::BTreeMap;

/// Fraction of a limit's burst that is left unspent: together with the slack it covers one restart of every head.
const UNSPENT_FRACTION: f64 = 0.15;
/// Seconds after which an idle volume's buckets are full again, unless its limit takes longer.
const MIN_RETENTION_S: f64 = 60.0;
/// Units by which a bucket has to exceed what a request takes, against rounding.
const ROUNDING_UNITS: f64 = 0.01;

/// One volume's token buckets, in units.
pub(super) struct VolumeBuckets {
    /// Heads that the volume's requests come through.
    heads: f64,
    /// This head's part of the rate limit.
    limit: f64,
    /// What of the reserve was not sent yet.
    reserve: f64,
    /// What of the reserve no request has claimed at its arrival yet.
    unclaimed_reserve: f64,
    refilled_at: f64,
}

impl VolumeBuckets {
    /// What is left of the reserve.
    pub(super) fn reserve(&self) -> f64 {
        self.reserve
    }

    /// What this head adds to the reserve over `seconds`. It is divided by the square root of the number of heads,
    /// not by their number: a head may meet more than an even part of a volume's requests.
    pub(super) fn reserve_refill(&self, seconds: f64, plan_reserve: f64) -> f64 {
        seconds * plan_reserve / self.heads.sqrt()
    }

    /// Claims a part of the reserve for a request that arrives, if all of it fits. Returns whether it does.
    pub(super) fn claim_reserve(&mut self, units: f64) -> bool {
        let fits = self.unclaimed_reserve >= units;
        if fits {
            self.unclaimed_reserve -= units;
        }
        fits
    }

    /// Charges an attempt that was sent. The reserve is charged at the first attempt only.
    pub(super) fn charge(&mut self, units: f64, is_retry: bool) {
        let reserved_units = if is_retry { 0.0 } else { units };
        self.reserve = (self.reserve - reserved_units).max(0.0);
        self.limit -= units;
    }

    fn refill(&mut self, plan: &Plan, max_request_units: f64, process_share: f64, now: f64) {
        let elapsed_s = now - self.refilled_at;
        self.refilled_at = now;
        if let Some(limit) = plan.limit {
            let fraction = process_share / self.heads;
            let capacity = (1.0 - UNSPENT_FRACTION) * limit.burst * fraction;
            self.limit = (self.limit + elapsed_s * limit.rate * fraction).min(capacity);
        }
        let reserve_capacity = plan.reserve + max_request_units;
        let added = self.reserve_refill(elapsed_s, plan.reserve);
        self.reserve = (self.reserve + added).min(reserve_capacity);
        self.unclaimed_reserve = (self.unclaimed_reserve + added).min(reserve_capacity);
    }
}

/// What of a limit's bucket a class leaves for work of a higher value.
struct ClassHoldback {
    /// For work in time: the bucket's refill over so many seconds.
    in_time_s: f64,
    /// For late work: a fraction of the burst.
    late_burst_fraction: f64,
}

impl ClassHoldback {
    fn new(class: &Class, highest_priority_weight: f64, tightest_objective_s: f64) -> ClassHoldback {
        let lower_by = 1.0 - class.priority_weight / highest_priority_weight;
        ClassHoldback {
            in_time_s: lower_by * tightest_objective_s,
            late_burst_fraction: (1.0 - class.late_fraction.min(1.0)) * (1.0 - UNSPENT_FRACTION),
        }
    }

    fn units(&self, limit: &RateLimit, is_late: bool) -> f64 {
        if is_late { self.late_burst_fraction * limit.burst } else { self.in_time_s * limit.rate }
    }
}

/// The buckets of all volumes that have sent requests lately.
pub(super) struct VolumeQuotas {
    plans: Vec<Plan>,
    max_request_units: f64,
    holdbacks: Vec<ClassHoldback>,
    retention_s: f64,
    volumes: BTreeMap<VolumeId, VolumeBuckets>,
    /// Fraction of the head's quotas that this process may spend.
    process_share: f64,
    /// When that began. A volume's bucket fills from then on.
    share_since: f64,
    /// Whether another process of the head has run beside this one: it may have spent what a start may spend.
    starts_empty: bool,
}

impl VolumeQuotas {
    /// No volume known yet.
    pub(super) fn new(settings: &SchedulerSettings, tightest_objective_s: f64, now: f64) -> VolumeQuotas {
        let classes = &settings.classes;
        let highest_weight = classes.iter().map(|class| class.priority_weight).fold(1e-9, f64::max);
        let holdback = |class| ClassHoldback::new(class, highest_weight, tightest_objective_s);
        let limits = settings.plans.iter().filter_map(|plan| plan.limit);
        VolumeQuotas {
            plans: settings.plans.clone(),
            max_request_units: settings.max_request_units,
            holdbacks: classes.iter().map(holdback).collect(),
            retention_s: limits.map(|limit| limit.burst / limit.rate).fold(MIN_RETENTION_S, f64::max),
            volumes: BTreeMap::new(),
            process_share: 1.0,
            share_since: now,
            starts_empty: false,
        }
    }

    /// Sets the fraction of the head's quotas that this process may spend from now on.
    pub(super) fn set_process_share(&mut self, fraction: f64, now: f64) {
        self.process_share = fraction;
        self.share_since = now;
        self.starts_empty = true;
        for volume in self.volumes.values_mut() {
            volume.refilled_at = now;
        }
    }

    /// Makes the buckets of a request's volume known.
    pub(super) fn register(&mut self, request: &IoRequest) {
        let heads = f64::from(request.heads.max(1));
        let plan = self.plans.get(request.plan.0);
        let reserve = plan.map_or(0.0, |plan| plan.reserve + self.max_request_units);
        let has_reserve = plan.is_some_and(|plan| plan.reserve > 0.0);
        // An earlier incarnation may have spent its part, so a start gets its part of what is left unspent.
        let limit = plan
            .and_then(|plan| plan.limit)
            .map_or(0.0, |limit| (UNSPENT_FRACTION * limit.burst + limit.slack) / heads);
        let initial = VolumeBuckets {
            heads,
            limit: if self.starts_empty { 0.0 } else { limit },
            reserve,
            unclaimed_reserve: if has_reserve { reserve } else { 0.0 },
            refilled_at: self.share_since,
        };
        let volume = self.volumes.entry(request.volume).or_insert(initial);
        if heads > volume.heads {
            volume.limit = volume.limit.min(limit);
            volume.heads = heads;
        }
    }

    /// A volume's buckets, filled up to now. `None` if the volume or its plan is unknown.
    pub(super) fn refill(&mut self, volume: VolumeId, plan: PlanId, now: f64) -> Option<&mut VolumeBuckets> {
        let plan = self.plans.get(plan.0)?;
        let buckets = self.volumes.get_mut(&volume)?;
        buckets.refill(plan, self.max_request_units, self.process_share, now);
        Some(buckets)
    }

    /// Seconds until a request fits its volume's limit, if none of the volume's goes before it; 0 if it fits now.
    /// `is_late` tells whether it is then late, and so has to leave more of the bucket to other work.
    pub(super) fn limit_wait_s(&mut self, request: &IoRequest, is_late: bool, now: f64) -> f64 {
        let process_share = self.process_share;
        let Some(buckets) = self.refill(request.volume, request.plan, now) else { return 0.0 };
        let available = buckets.limit;
        let fraction = process_share / buckets.heads;
        let Some(limit) = self.plans.get(request.plan.0).and_then(|plan| plan.limit) else { return 0.0 };
        let held_back = self.holdbacks[request.class.0].units(&limit, is_late);
        let missing = request.units + held_back * fraction - available + ROUNDING_UNITS;
        (missing / (limit.rate * fraction)).max(0.0)
    }

    /// Forgets the volumes whose buckets are full again.
    pub(super) fn forget_idle(&mut self, now: f64) {
        let retention_s = self.retention_s;
        self.volumes.retain(|_, volume| now - volume.refilled_at < retention_s);
    }

    /// How many volumes are known.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.volumes.len()
    }
}
