//! The settings that hollow and real heads are given alike: two classes, two plans, and a shared discovery that is asked.

use super::ScaleError;
use super::nodes::{ZONES, zone_name};
use flaxgap::config::{self, WireSettings};
use flaxgap::scheduler::SchedulerSettings;
use serde_json::{Value, json};

/// The class that the tool's requests have, and their plan.
pub const READ_CLASS: &str = "fetch";
/// The plan of the tool's requests.
pub const PLAN: &str = "network";

/// The settings' text for a fleet of so many heads.
pub fn document(heads: u32) -> Value {
    let zones: Vec<String> = (0..ZONES).map(zone_name).collect();
    json!({
        "bounds": {"cancel": true, "conn_idle": 15.0, "connect_timeout": 0.5, "max_attempts": 3,
            "max_retry_after": 2.0, "retry_after": true},
        "classes": [
            {"aim": 0.4, "deadline": 2.0, "idempotency": "safe", "late_worth": 0.2, "name": READ_CLASS,
                "worth": 3.0},
            {"aim": 0.4, "deadline": 2.0, "group": "cell", "idempotency": "keyed", "repeat_window": 3.0,
                "name": "save", "worth": 2.0}],
        "domain": {"changes_data": [false, true], "cold_units": 42.0, "idle_worth": 0.08, "unit_mean": 2.05,
            "units_top": 8, "use_period": 1.0, "within_share": 0.35},
        "guarantees": {"ask_every": 10.0, "cold_from": 0.17, "drain_grace": 0.25, "fall": 3.0,
            "tip_multiple": 3.0, "warm_within": 16.0},
        "membership_mode": "ask",
        "n_instances": heads,
        "period": 0.002,
        "report": {"names": ["queue"], "source": "answers"},
        "zones": zones,
        "service_levels": [
            {"base_rate": 2.0, "cap_slack": 8.0, "limit": 4.0, "limit_burst": 40.0, "name": "community",
                "reserve": 1.7, "value_factor": 0.96, "weight": 1.0},
            {"base_rate": 400.0, "name": PLAN, "reserve": 400.0, "value_factor": 0.9, "weight": 3.0}],
    })
}

/// The settings as a hollow head takes them.
///
/// # Errors
///
/// The settings can't be served by a head.
pub fn read(heads: u32) -> Result<(SchedulerSettings, WireSettings), ScaleError> {
    let text = document(heads).to_string();
    config::read(text.as_bytes()).map_err(|problem| ScaleError::Settings(problem.to_string()))
}
