//! The settings of a scheduler: request classes, plans, limits and the guarantees of the deployment.
//!
//! Durations are `f64` seconds and carry the suffix `_s`. Sizes are in units, which measure the work that a request
//! causes. The configuration file uses different names; `crate::config` maps them to these fields.

pub use flaxgap_slow_start::SlowStartSettings;
use std::fmt;

/// The set of nodes that detect a duplicate by its idempotency key and discard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    AllNodes,
    /// The nodes in the zone of the node that received the first attempt.
    Zone,
    /// The nodes that hold the same shard.
    Shard,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// The request may be sent again any number of times.
    Idempotent,
    /// The request may be sent again with its idempotency key, within the deduplication scope and window.
    WithKey {
        /// The nodes that discard a duplicate.
        scope: DeduplicationScope,
        /// Seconds after the start of the first attempt during which duplicates are discarded.
        window_s: f64,
    },
    /// The request must not be sent again.
    NotIdempotent,
}

/// Settings of one request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency, in seconds, up to which an answer earns the full priority weight.
    pub latency_objective_s: f64,
    /// Total time that a client waits for an answer, in seconds.
    pub deadline_s: f64,
    /// Value of a request of mean size.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns.
    pub late_fraction: f64,
    /// Whether a request of the class may run more than once.
    pub idempotency: Idempotency,
    /// Whether requests for one extent run one at a time, in order of arrival.
    pub ordered: bool,
}

/// Token bucket that limits the request rate of a volume over all heads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Refill rate of the bucket, in units per second.
    pub rate: f64,
    /// Capacity of the bucket, in units.
    pub burst: f64,
    /// Units by which the volume may exceed the bucket.
    pub slack: f64,
}

/// Settings of one plan. The values apply to each volume of the plan, over all heads and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Rate that a volume of the plan is sized for, in units per second.
    pub base_rate: f64,
    /// Rate reserved for each volume, in units per second. Work within the reserve earns its full value.
    pub reserve: f64,
    /// Weight of a volume in the sharing of the capacity beyond the reserves.
    pub weight: f64,
    /// Factor on the value of the volume's requests.
    pub value_factor: f64,
    /// Rate limit of the plan, if it has one.
    pub limit: Option<RateLimit>,
}

/// The retry budget: the number of attempts allowed beyond the first attempt of each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries allowed regardless of the number of requests.
    pub min_retries: f64,
    /// Additional retries allowed per request received.
    pub ratio: f64,
    /// The sliding window over which requests and retries are counted, in seconds.
    pub window_s: f64,
}

/// Optional mechanisms that a deployment may enable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OptionalMechanisms {
    /// Whether a request may be hedged, with two of its attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent to nodes.
    pub health_checks: bool,
}

/// Settings of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// The request classes, indexed by `ClassId`.
    pub classes: Vec<Class>,
    /// The plans, indexed by `PlanId`.
    pub plans: Vec<Plan>,
    /// Mean size of a request, in units.
    pub mean_request_units: f64,
    /// Maximum size of a request, in units.
    pub max_request_units: f64,
    /// Fraction of its value that work beyond the reserve earns within the volume's quota.
    pub within_quota_fraction: f64,
    /// Fraction of its value that work beyond reserve and quota earns.
    pub beyond_quota_fraction: f64,
    /// Total number of heads.
    pub heads: u32,
    /// Minimum time between two calls of the scheduler, in seconds.
    pub tick_s: f64,
    /// Maximum number of requests that clients can have open at this head. Further requests fail before they reach the
    /// scheduler.
    pub max_pending: usize,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// The optional mechanisms that are enabled.
    pub mechanisms: OptionalMechanisms,
    /// Whether answers carry load reports. Otherwise only the answers to health checks may carry them.
    pub load_reports_in_answers: bool,
    /// Length of the period that [`Event::AttemptEnded::usage`](super::Event::AttemptEnded) covers, in seconds; 0 if
    /// usage is not reported.
    pub usage_period_s: f64,
    /// Whether answers carry [`Event::AttemptEnded::usage_elsewhere`](super::Event::AttemptEnded).
    pub reports_usage_elsewhere: bool,
    /// Maximum time between two polls of the endpoint list, in seconds; `None` where the list need not be polled.
    pub poll_interval_s: Option<f64>,
    /// Slow start of nodes.
    pub slow_start: SlowStartSettings,
    /// The retry budget, if retries are limited.
    pub retry_budget: Option<RetryBudget>,
    /// Seconds for which an ordered extent gets no new request after an attempt that may still be running.
    pub ordering_pause_s: f64,
    /// Maximum `retry_after` that clients observe, in seconds; 0 if clients ignore `retry_after`.
    pub max_retry_after_s: f64,
}

/// An invalid value in [`SchedulerSettings`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerSettingsError {
    /// Path of the invalid field.
    pub field: String,
    /// The requirement that the value violates.
    pub problem: &'static str,
}

impl fmt::Display for SchedulerSettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SchedulerSettingsError {}

fn invalid(field: impl Into<String>, problem: &'static str) -> SchedulerSettingsError {
    SchedulerSettingsError { field: field.into(), problem }
}

fn require_positive(field: String, value: f64) -> Result<(), SchedulerSettingsError> {
    if value > 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(invalid(field, "must be finite and above zero"))
}

fn require_not_negative(field: String, value: f64) -> Result<(), SchedulerSettingsError> {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(invalid(field, "must be finite and not negative"))
}

impl SchedulerSettings {
    /// Checks that every value is within its valid range.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value found that is negative, not finite, or zero where zero is not allowed.
    pub fn check(&self) -> Result<(), SchedulerSettingsError> {
        for (index, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{index}].{name}");
            require_positive(field("latency_objective"), class.latency_objective_s)?;
            require_positive(field("deadline"), class.deadline_s)?;
        }
        self.check_scalars()?;
        if let Some(budget) = &self.retry_budget {
            require_not_negative("retry_budget.min_retries".into(), budget.min_retries)?;
            require_not_negative("retry_budget.ratio".into(), budget.ratio)?;
            require_not_negative("retry_budget.window".into(), budget.window_s)?;
        }
        self.check_classes()?;
        self.check_plans()?;
        if self.classes.is_empty() {
            return Err(invalid("classes", "must not be empty"));
        }
        if self.heads == 0 {
            return Err(invalid("heads", "must be above zero"));
        }
        if self.max_attempts == 0 {
            return Err(invalid("max_attempts", "must be above zero"));
        }
        Ok(())
    }

    fn check_scalars(&self) -> Result<(), SchedulerSettingsError> {
        let scalars = [
            ("mean_request_units", self.mean_request_units),
            ("max_request_units", self.max_request_units),
            ("within_quota_fraction", self.within_quota_fraction),
            ("beyond_quota_fraction", self.beyond_quota_fraction),
            ("tick", self.tick_s),
            ("usage_period", self.usage_period_s),
            ("ordering_pause", self.ordering_pause_s),
            ("max_retry_after", self.max_retry_after_s),
            ("poll_interval", self.poll_interval_s.unwrap_or(0.0)),
            ("slow_start.units", self.slow_start.units),
            ("slow_start.window", self.slow_start.window_s),
            ("slow_start.initial_capacity", self.slow_start.initial_capacity),
            ("slow_start.warm_up", self.slow_start.warm_up_s),
            ("slow_start.overload_factor", self.slow_start.overload_factor),
        ];
        for (field, value) in scalars {
            require_not_negative(field.into(), value)?;
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), SchedulerSettingsError> {
        for (index, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{index}].{name}");
            require_not_negative(field("priority_weight"), class.priority_weight)?;
            require_not_negative(field("late_fraction"), class.late_fraction)?;
            if let Idempotency::WithKey { window_s, .. } = class.idempotency {
                require_not_negative(field("idempotency.window"), window_s)?;
            }
        }
        Ok(())
    }

    fn check_plans(&self) -> Result<(), SchedulerSettingsError> {
        for (index, plan) in self.plans.iter().enumerate() {
            let field = |name: &str| format!("plans[{index}].{name}");
            require_not_negative(field("base_rate"), plan.base_rate)?;
            require_not_negative(field("reserve"), plan.reserve)?;
            require_not_negative(field("weight"), plan.weight)?;
            require_not_negative(field("value_factor"), plan.value_factor)?;
            if let Some(limit) = &plan.limit {
                require_not_negative(field("limit.rate"), limit.rate)?;
                require_not_negative(field("limit.burst"), limit.burst)?;
                require_not_negative(field("limit.slack"), limit.slack)?;
            }
        }
        Ok(())
    }
}
