//! The settings of a scheduler: request classes, plans, limits and the guarantees of the installation.
//!
//! Durations are `f64` seconds and carry the suffix `_s`. Sizes are in units, the settings' measure of the work that a
//! request causes. The file that operators write uses names of its own; `crate::config` maps them to these fields.

pub use flaxgap_slow_start::SlowStartSettings;
use std::fmt;

/// The nodes that recognise a retry by its idempotency key and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every node.
    AllNodes,
    /// The nodes in the zone of the node that received the first attempt.
    Zone,
    /// The nodes that hold the same shard.
    Shard,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// With its idempotency key, inside the deduplication scope and the window.
    WithKey {
        /// The nodes that drop a duplicate.
        scope: DeduplicationScope,
        /// How long after the start of the first attempt they do, in seconds.
        window_s: f64,
    },
    /// Never.
    NotIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency, in seconds, up to which an answer earns the full priority weight.
    pub latency_objective_s: f64,
    /// How long a client waits in all, in seconds.
    pub deadline_s: f64,
    /// Value of a request of mean size.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns.
    pub late_fraction: f64,
    /// Whether a request may run more than once.
    pub idempotency: Idempotency,
    /// Whether requests for one extent run one at a time, in order of arrival.
    pub ordered: bool,
}

/// The token bucket that bounds one volume, over all heads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second at which the bucket fills.
    pub rate: f64,
    /// Units that the bucket holds.
    pub burst: f64,
    /// Units that it may be overdrawn by.
    pub slack: f64,
}

/// One plan; its figures hold for each volume over all heads and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second that such a volume is sized for.
    pub base_rate: f64,
    /// Units a second that are reserved for the volume and earn their full value.
    pub reserve: f64,
    /// Weight in what is left past the reserves.
    pub weight: f64,
    /// Factor on the value of the volume's requests.
    pub value_factor: f64,
    /// The rate limit, if the plan has one.
    pub limit: Option<RateLimit>,
}

/// The retry budget: how many attempts beyond each request's first are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed however light the traffic is.
    pub min_retries: f64,
    /// Retries allowed on top, for each request received.
    pub ratio: f64,
    /// The sliding window over which both are counted, in seconds.
    pub window_s: f64,
}

/// Mechanisms that a deployment may allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OptionalMechanisms {
    /// Whether a request may be hedged: two of its attempts in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether nodes may be sent health checks.
    pub health_checks: bool,
}

/// Everything that a scheduler is configured with.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Mean size of a request, in units.
    pub mean_request_units: f64,
    /// Largest size of a request, in units.
    pub max_request_units: f64,
    /// Fraction of the value that work beyond the reserve earns inside the volume's quota.
    pub within_quota_fraction: f64,
    /// Fraction of the value that work beyond reserve and quota earns.
    pub beyond_quota_fraction: f64,
    /// Number of heads in all.
    pub heads: u32,
    /// Shortest time between two calls of the scheduler, in seconds.
    pub tick_s: f64,
    /// Requests that clients can have open at this head; more of them fail before they arrive.
    pub max_pending: usize,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Which optional mechanisms are on.
    pub mechanisms: OptionalMechanisms,
    /// Whether load reports come with answers; otherwise they come with health checks, if at all.
    pub load_reports_in_answers: bool,
    /// Period of the figure [`Event::AttemptEnded::usage`](super::Event::AttemptEnded), in seconds; 0 for none.
    pub usage_period_s: f64,
    /// Whether answers carry [`Event::AttemptEnded::usage_elsewhere`](super::Event::AttemptEnded).
    pub reports_usage_elsewhere: bool,
    /// Where the endpoint list has to be polled: the longest time between two polls, in seconds.
    pub poll_interval_s: Option<f64>,
    /// Slow start of nodes.
    pub slow_start: SlowStartSettings,
    /// The retry budget, if there is one.
    pub retry_budget: Option<RetryBudget>,
    /// Seconds for which an ordered extent is left alone after an attempt that may still run.
    pub ordering_pause_s: f64,
    /// Longest `retry_after` that clients observe, in seconds; 0 where they observe none.
    pub max_retry_after_s: f64,
}

/// Settings that no scheduler can work with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SchedulerSettingsError {
    /// The path of the field that is wrong.
    pub field: String,
    /// What is wrong with it.
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
    Err(invalid(field, "must be above zero"))
}

fn require_not_negative(field: String, value: f64) -> Result<(), SchedulerSettingsError> {
    if value >= 0.0 && value.is_finite() {
        return Ok(());
    }
    Err(invalid(field, "must be a number of zero or more"))
}

impl SchedulerSettings {
    /// Checks that the figures can be worked with.
    ///
    /// # Errors
    ///
    /// Names the first field that is negative, not finite, or zero where it may not be.
    pub fn check(&self) -> Result<(), SchedulerSettingsError> {
        for (index, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("classes[{index}].{name}");
            require_positive(field("latency_objective"), class.latency_objective_s)?;
            require_positive(field("deadline"), class.deadline_s)?;
        }
        self.check_figures()?;
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

    fn check_figures(&self) -> Result<(), SchedulerSettingsError> {
        let figures = [
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
        for (field, value) in figures {
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
