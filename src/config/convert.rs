//! Converts parsed settings into [`SchedulerSettings`] and [`WireSettings`].

use super::WireSettings;
use super::error::ConfigError;
use super::field_names::file_path;
use super::file::{
    Bounds, ClassConf as ClassSettings, Conf as SettingsFile, Guarantees, Level as PlanSettings,
    RetryAfterHeader,
};
use crate::scheduler::{
    Class, DeduplicationScope, Idempotency, OptionalMechanisms, Plan, RateLimit, RetryBudget,
    SchedulerSettings, SlowStartSettings,
};

/// Upper bound of the times in [`WireSettings`], in seconds (about 11 days). It is far above any sensible value, and
/// [`std::time::Duration`] and the clock can represent it.
const MAX_SECONDS: f64 = 1e6;

/// Checks and converts settings.
///
/// # Errors
///
/// [`ConfigError::Field`] with the path of the first invalid field.
pub(super) fn convert(file: SettingsFile) -> Result<(SchedulerSettings, WireSettings), ConfigError> {
    let scheduler_settings = scheduler_settings(&file)?;
    scheduler_settings.check().map_err(|error| ConfigError::field(file_path(&error.field), error.problem))?;
    check_wire_times(&file)?;
    Ok((scheduler_settings, wire_settings(file)))
}

fn scheduler_settings(file: &SettingsFile) -> Result<SchedulerSettings, ConfigError> {
    let mut classes = Vec::with_capacity(file.classes.len());
    for (index, class_settings) in file.classes.iter().enumerate() {
        classes.push(class(index, class_settings)?);
    }
    Ok(SchedulerSettings {
        classes,
        plans: file.plans.iter().map(plan).collect(),
        mean_request_units: file.domain.mean_request_units,
        max_request_units: file.domain.max_request_units,
        within_quota_fraction: file.domain.within_quota_fraction,
        beyond_quota_fraction: file.domain.beyond_quota_fraction,
        heads: file.heads,
        tick_s: file.tick_s,
        max_pending: file.bounds.max_pending,
        max_attempts: file.bounds.max_attempts,
        mechanisms: OptionalMechanisms {
            hedging: file.bounds.hedging,
            cancellation: file.bounds.cancellation,
            health_checks: file.bounds.health_checks,
        },
        load_reports_in_answers: file.report.source == "answers",
        usage_period_s: file.domain.usage_period_s,
        reports_usage_elsewhere: file.domain.reports_usage_elsewhere,
        slow_start: slow_start(file),
        retry_budget: retry_budget(&file.guarantees)?,
        poll_interval_s: poll_interval_s(file)?,
        ordering_pause_s: file.guarantees.ordering_pause_s.unwrap_or(0.0),
        max_retry_after_s: max_retry_after_s(&file.bounds),
    })
}

fn slow_start(file: &SettingsFile) -> SlowStartSettings {
    SlowStartSettings {
        units: file.domain.slow_start_units,
        window_s: file.guarantees.slow_start_window_s,
        initial_capacity: file.guarantees.slow_start_initial_capacity,
        warm_up_s: file.guarantees.slow_start_warm_up_s,
        overload_factor: file.guarantees.slow_start_overload_factor,
    }
}

/// The retry budget; `None` if the file has none of its fields.
fn retry_budget(guarantees: &Guarantees) -> Result<Option<RetryBudget>, ConfigError> {
    let min_retries = guarantees.retry_budget_min_retries;
    let ratio = guarantees.retry_budget_ratio;
    let Some(window_s) = guarantees.retry_budget_window_s else {
        if min_retries.is_none() && ratio.is_none() {
            return Ok(None);
        }
        return Err(ConfigError::field(
            "settings.guarantees.budget_window",
            "is required with budget_free or budget_share",
        ));
    };
    Ok(Some(RetryBudget { min_retries: min_retries.unwrap_or(0.0), ratio: ratio.unwrap_or(0.0), window_s }))
}

/// The interval between polls of the endpoint list, in seconds; `None` if the source pushes changes.
fn poll_interval_s(file: &SettingsFile) -> Result<Option<f64>, ConfigError> {
    match file.membership_mode.as_str() {
        "ask" => Ok(Some(file.guarantees.poll_interval_s)),
        "push" => Ok(None),
        other => Err(ConfigError::field(
            "settings.membership_mode",
            format!("unknown mode {other:?}, expected \"ask\" or \"push\""),
        )),
    }
}

/// The longest `Retry-After` of rejected requests, in seconds; 0 if they carry none.
fn max_retry_after_s(bounds: &Bounds) -> f64 {
    match bounds.retry_after {
        RetryAfterHeader::Sent => bounds.max_retry_after_s,
        RetryAfterHeader::Absent => 0.0,
    }
}

fn class(index: usize, class: &ClassSettings) -> Result<Class, ConfigError> {
    let scope = deduplication_scope(index, class)?;
    Ok(Class {
        latency_objective_s: class.latency_objective_s,
        deadline_s: class.deadline_s,
        priority_weight: class.priority_weight,
        late_fraction: class.late_fraction,
        idempotency: idempotency(index, class, scope)?,
        ordered: class.ordered,
    })
}

fn deduplication_scope(index: usize, class: &ClassSettings) -> Result<DeduplicationScope, ConfigError> {
    match class.deduplication_scope.as_str() {
        "all" => Ok(DeduplicationScope::AllNodes),
        "zone" => Ok(DeduplicationScope::Zone),
        // The strictest scope is the default.
        "cell" | "" => Ok(DeduplicationScope::Shard),
        other => {
            let field = format!("settings.classes[{index}].group");
            Err(ConfigError::field(
                field,
                format!("unknown group {other:?}, expected \"all\", \"zone\" or \"cell\""),
            ))
        }
    }
}

fn idempotency(
    index: usize,
    class: &ClassSettings,
    scope: DeduplicationScope,
) -> Result<Idempotency, ConfigError> {
    match class.idempotency.as_str() {
        "safe" => Ok(Idempotency::Idempotent),
        "keyed" => Ok(Idempotency::WithKey { scope, window_s: class.deduplication_window_s }),
        "unsafe" => Ok(Idempotency::NotIdempotent),
        other => {
            let field = format!("settings.classes[{index}].idempotency");
            Err(ConfigError::field(
                field,
                format!("unknown kind {other:?}, expected \"safe\", \"keyed\" or \"unsafe\""),
            ))
        }
    }
}

fn plan(plan: &PlanSettings) -> Plan {
    let limit = RateLimit { rate: plan.limit_rate, burst: plan.limit_burst, slack: plan.limit_slack };
    Plan {
        base_rate: plan.base_rate,
        reserve: plan.reserve,
        weight: plan.weight,
        value_factor: plan.value_factor,
        limit: (plan.limit_rate > 0.0).then_some(limit),
    }
}

fn check_wire_times(file: &SettingsFile) -> Result<(), ConfigError> {
    if !(0.0..MAX_SECONDS).contains(&file.guarantees.drain_grace_s) {
        return Err(ConfigError::field(
            "settings.guarantees.drain_grace",
            format!("must be at least 0 and below {MAX_SECONDS} s"),
        ));
    }
    let timeouts =
        [("connect_timeout", file.bounds.connect_timeout_s), ("conn_idle", file.bounds.connection_idle_s)];
    for (name, seconds) in timeouts {
        if !(seconds > 0.0 && seconds < MAX_SECONDS) {
            return Err(ConfigError::field(
                format!("settings.bounds.{name}"),
                format!("must be above 0 and below {MAX_SECONDS} s"),
            ));
        }
    }
    Ok(())
}

fn wire_settings(file: SettingsFile) -> WireSettings {
    let mut class_writes = file.domain.class_writes;
    class_writes.resize(file.classes.len(), false);
    WireSettings {
        report_names: file.report.names,
        class_deadlines: file.classes.iter().map(|class| class.deadline_s).collect(),
        class_names: file.classes.into_iter().map(|class| class.name).collect(),
        class_writes,
        plan_names: file.plans.into_iter().map(|plan| plan.name).collect(),
        zone_names: file.zones,
        connect_timeout: file.bounds.connect_timeout_s,
        conn_idle: file.bounds.connection_idle_s,
        drain_grace: file.guarantees.drain_grace_s,
    }
}
