//! Maps the scheduler's field names to those of the settings file, for the paths in error messages.

/// Returns the settings-file path of a field that [`crate::scheduler::SchedulerSettings::check`] rejected.
pub(super) fn file_path(field: &str) -> String {
    match field.split_once('.') {
        Some((list, rest)) if list.ends_with(']') => {
            let list = list.replace("plans[", "service_levels[");
            format!("settings.{list}.{}", file_name(rest))
        }
        _ => format!("settings.{}", file_name(field)),
    }
}

/// Returns the settings-file name of a field. Fields with the same name in the file have no entry.
fn file_name(field: &str) -> &str {
    match field {
        "heads" => "n_instances",
        "tick" => "period",
        "max_attempts" => "bounds.max_attempts",
        "max_retry_after" => "bounds.max_retry_after",
        "mean_request_units" => "domain.unit_mean",
        "max_request_units" => "domain.units_top",
        "within_quota_fraction" => "domain.within_share",
        "beyond_quota_fraction" => "domain.idle_worth",
        "usage_period" => "domain.use_period",
        "slow_start.units" => "domain.cold_units",
        "slow_start.window" => "guarantees.fall",
        "slow_start.initial_capacity" => "guarantees.cold_from",
        "slow_start.warm_up" => "guarantees.warm_within",
        "slow_start.overload_factor" => "guarantees.tip_multiple",
        "ordering_pause" => "guarantees.order_pause",
        "poll_interval" => "guarantees.ask_every",
        "retry_budget.min_retries" => "guarantees.budget_free",
        "retry_budget.ratio" => "guarantees.budget_share",
        "retry_budget.window" => "guarantees.budget_window",
        "limit.rate" => "limit",
        "limit.burst" => "limit_burst",
        "limit.slack" => "cap_slack",
        "latency_objective" => "aim",
        "priority_weight" => "worth",
        "late_fraction" => "late_worth",
        "idempotency.window" => "repeat_window",
        unchanged => unchanged,
    }
}
