//! Quotas of the volumes at this head: token buckets for each volume's rate limit and reserve.
//!
//! A volume's limit is split evenly among the heads that receive its requests. Each head enforces its own part.

use super::interface::{IoRequest, PlanId, VolumeId};
use super::settings::{Class, Plan, RateLimit, SchedulerSettings};
use std::collections::BTreeMap;

/// Fraction of a limit's burst that is left unspent. Together with the slack it covers one restart of every head.
const UNSPENT_FRACTION: f64 = 0.15;
/// Minimum time for which the buckets of an idle volume are kept, in seconds. They are kept longer if a limit takes
/// longer to refill.
const MIN_RETENTION_S: f64 = 60.0;
/// Margin against rounding errors, in units, by which a bucket has to exceed the size of a request.
const ROUNDING_UNITS: f64 = 0.01;

/// Token buckets of one volume, in units.
pub(super) struct VolumeBuckets {
    /// Number of heads that receive requests of the volume.
    heads: f64,
    /// Tokens left in this head's part of the rate limit.
    limit: f64,
    /// Reserve that has not been used by a sent request.
    reserve: f64,
    /// Reserve that has not been claimed by an arrived request.
    unclaimed_reserve: f64,
    refilled_at: f64,
}

impl VolumeBuckets {
    /// Returns the units left in the reserve.
    pub(super) fn reserve(&self) -> f64 {
        self.reserve
    }

    /// Returns the units by which this head's reserve refills in `seconds`. The plan's rate is divided by the square
    /// root of the number of heads, not by the number itself, since a head may receive more than an even part of a
    /// volume's requests.
    pub(super) fn reserve_refill(&self, seconds: f64, plan_reserve: f64) -> f64 {
        seconds * plan_reserve / self.heads.sqrt()
    }

    /// Claims reserve for an arriving request, if enough is left for all of it. Returns whether it was claimed.
    pub(super) fn claim_reserve(&mut self, units: f64) -> bool {
        let fits = self.unclaimed_reserve >= units;
        if fits {
            self.unclaimed_reserve -= units;
        }
        fits
    }

    /// Charges an attempt that was sent. Only the first attempt of a request is charged to the reserve.
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

/// The part of a limit's bucket that a class leaves for requests of higher priority.
struct ClassHeadroom {
    /// Part left by requests within their latency objective, as the bucket's refill over this many seconds.
    in_time_s: f64,
    /// Part left by late requests, as a fraction of the burst.
    late_burst_fraction: f64,
}

impl ClassHeadroom {
    fn new(class: &Class, highest_priority_weight: f64, tightest_objective_s: f64) -> ClassHeadroom {
        let priority_gap = 1.0 - class.priority_weight / highest_priority_weight;
        ClassHeadroom {
            in_time_s: priority_gap * tightest_objective_s,
            late_burst_fraction: (1.0 - class.late_fraction.min(1.0)) * (1.0 - UNSPENT_FRACTION),
        }
    }

    fn units(&self, limit: &RateLimit, is_late: bool) -> f64 {
        if is_late { self.late_burst_fraction * limit.burst } else { self.in_time_s * limit.rate }
    }
}

/// The buckets of all volumes with recent requests.
pub(super) struct VolumeQuotas {
    plans: Vec<Plan>,
    max_request_units: f64,
    headrooms: Vec<ClassHeadroom>,
    retention_s: f64,
    volumes: BTreeMap<VolumeId, VolumeBuckets>,
    /// Fraction of the head's quotas that this process may use.
    process_share: f64,
    /// The time since which `process_share` has been in effect. The buckets of a new volume refill from this time on.
    process_share_since: f64,
    /// Whether another process of the head has run beside this one. That process may already have used the initial
    /// allowance of a new volume's limit.
    new_limits_start_empty: bool,
}

impl VolumeQuotas {
    /// Creates an empty table.
    pub(super) fn new(settings: &SchedulerSettings, tightest_objective_s: f64, now: f64) -> VolumeQuotas {
        let classes = &settings.classes;
        let highest_weight = classes.iter().map(|class| class.priority_weight).fold(1e-9, f64::max);
        let headroom = |class| ClassHeadroom::new(class, highest_weight, tightest_objective_s);
        let limits = settings.plans.iter().filter_map(|plan| plan.limit);
        VolumeQuotas {
            plans: settings.plans.clone(),
            max_request_units: settings.max_request_units,
            headrooms: classes.iter().map(headroom).collect(),
            retention_s: limits.map(|limit| limit.burst / limit.rate).fold(MIN_RETENTION_S, f64::max),
            volumes: BTreeMap::new(),
            process_share: 1.0,
            process_share_since: now,
            new_limits_start_empty: false,
        }
    }

    /// Sets the fraction of the head's quotas that this process may use from now on.
    pub(super) fn set_process_share(&mut self, fraction: f64, now: f64) {
        self.process_share = fraction;
        self.process_share_since = now;
        self.new_limits_start_empty = true;
        for volume in self.volumes.values_mut() {
            volume.refilled_at = now;
        }
    }

    /// Creates the buckets of a request's volume if they do not exist, and adjusts them to a higher number of heads.
    pub(super) fn register(&mut self, request: &IoRequest) {
        let heads = f64::from(request.heads.max(1));
        let plan = self.plans.get(request.plan.0);
        let reserve = plan.map_or(0.0, |plan| plan.reserve + self.max_request_units);
        let has_reserve = plan.is_some_and(|plan| plan.reserve > 0.0);
        // A previous process of this head may have spent its part of the burst, so a new volume starts with its part
        // of the fraction that is left unspent.
        let limit = plan
            .and_then(|plan| plan.limit)
            .map_or(0.0, |limit| (UNSPENT_FRACTION * limit.burst + limit.slack) / heads);
        let initial = VolumeBuckets {
            heads,
            limit: if self.new_limits_start_empty { 0.0 } else { limit },
            reserve,
            unclaimed_reserve: if has_reserve { reserve } else { 0.0 },
            refilled_at: self.process_share_since,
        };
        let volume = self.volumes.entry(request.volume).or_insert(initial);
        if heads > volume.heads {
            volume.limit = volume.limit.min(limit);
            volume.heads = heads;
        }
    }

    /// Returns a volume's buckets, refilled up to `now`, or `None` if the volume or its plan is unknown.
    pub(super) fn refill(&mut self, volume: VolumeId, plan: PlanId, now: f64) -> Option<&mut VolumeBuckets> {
        let plan = self.plans.get(plan.0)?;
        let buckets = self.volumes.get_mut(&volume)?;
        buckets.refill(plan, self.max_request_units, self.process_share, now);
        Some(buckets)
    }

    /// Returns the seconds until a request fits its volume's limit, assuming that no other request of the volume is
    /// sent before it; 0 if it fits now. `is_late` is whether the request will be late by then, in which case it has
    /// to leave more of the bucket to other requests.
    pub(super) fn limit_wait_s(&mut self, request: &IoRequest, is_late: bool, now: f64) -> f64 {
        let process_share = self.process_share;
        let Some(buckets) = self.refill(request.volume, request.plan, now) else { return 0.0 };
        let available = buckets.limit;
        let fraction = process_share / buckets.heads;
        let Some(limit) = self.plans.get(request.plan.0).and_then(|plan| plan.limit) else { return 0.0 };
        let headroom = self.headrooms[request.class.0].units(&limit, is_late);
        let missing = request.units + headroom * fraction - available + ROUNDING_UNITS;
        (missing / (limit.rate * fraction)).max(0.0)
    }

    /// Removes the volumes that have been idle for long enough that their buckets are full again.
    pub(super) fn remove_idle(&mut self, now: f64) {
        let retention_s = self.retention_s;
        self.volumes.retain(|_, volume| now - volume.refilled_at < retention_s);
    }

    /// Returns the number of volumes in the table.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.volumes.len()
    }
}
