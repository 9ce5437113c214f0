//! Schema of the configuration file.
//!
//! Names that differ between the file and the code are mapped by `#[serde(rename)]` here, and by `field_names` for error
//! messages. The parser's error messages contain the struct names, so structs keep their names, and `convert` imports
//! some of them under other names. Times are in seconds.

use super::Limits;
use super::error::{ConfigError, ConfigPart};
use serde::Deserialize;
use std::net::SocketAddr;

/// Parses JSON.
///
/// # Errors
///
/// [`ConfigError::Malformed`] with the path of the field at which parsing failed.
pub(super) fn parse<'a, T: Deserialize<'a>>(part: ConfigPart, text: &'a [u8]) -> Result<T, ConfigError> {
    let malformed = |path, source| ConfigError::Malformed { part, path, source };
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = match error.path().to_string() {
            root if root == "." => String::new(),
            path => path,
        };
        malformed(path, error.into_inner())
    })?;
    deserializer.end().map_err(|source| malformed(String::new(), source))?;
    Ok(value)
}

/// The configuration file of one head.
#[derive(Deserialize)]
pub(super) struct ConfigFile {
    pub(super) name: String,
    pub(super) listen: SocketAddr,
    #[serde(default, rename = "ops")]
    pub(super) admin_address: Option<SocketAddr>,
    pub(super) discovery: SocketAddr,
    pub(super) seed: String,
    pub(super) limits: Limits,
    #[serde(default, rename = "known")]
    pub(super) cached_list: Option<serde_json::Value>,
    pub(super) settings: Conf,
}

/// The settings shared by all heads of an installation.
#[derive(Deserialize)]
pub(super) struct Conf {
    #[serde(default)]
    pub(super) zones: Vec<String>,
    pub(super) bounds: Bounds,
    pub(super) classes: Vec<ClassConf>,
    pub(super) domain: Domain,
    pub(super) guarantees: Guarantees,
    pub(super) membership_mode: String,
    #[serde(rename = "n_instances")]
    pub(super) heads: u32,
    #[serde(rename = "period")]
    pub(super) tick_s: f64,
    pub(super) report: ReportConf,
    #[serde(rename = "service_levels")]
    pub(super) plans: Vec<Level>,
}

/// Whether responses to rejected requests carry a `Retry-After` header; a boolean in the file.
#[derive(Clone, Copy, Default, Deserialize, PartialEq, Eq)]
#[serde(from = "bool")]
pub(super) enum RetryAfterHeader {
    /// The header is omitted.
    #[default]
    Absent,
    /// The header is sent, with at most [`Bounds::max_retry_after_s`].
    Sent,
}

impl From<bool> for RetryAfterHeader {
    fn from(is_sent: bool) -> RetryAfterHeader {
        if is_sent { RetryAfterHeader::Sent } else { RetryAfterHeader::Absent }
    }
}

/// Limits on the work that a head does for a request, and switches of the optional mechanisms.
#[derive(Deserialize)]
pub(super) struct Bounds {
    #[serde(default, rename = "cancel")]
    pub(super) cancellation: bool,
    #[serde(default = "default_conn_idle", rename = "conn_idle")]
    pub(super) connection_idle_s: f64,
    #[serde(default = "default_connect_timeout", rename = "connect_timeout")]
    pub(super) connect_timeout_s: f64,
    pub(super) max_attempts: usize,
    #[serde(default = "default_max_pending", rename = "most_held")]
    pub(super) max_pending: usize,
    #[serde(default, rename = "max_retry_after")]
    pub(super) max_retry_after_s: f64,
    #[serde(default, rename = "probes")]
    pub(super) health_checks: bool,
    #[serde(default)]
    pub(super) retry_after: RetryAfterHeader,
    #[serde(default, rename = "second_copies")]
    pub(super) hedging: bool,
}

fn default_conn_idle() -> f64 {
    15.0
}

fn default_max_pending() -> usize {
    usize::MAX
}

fn default_connect_timeout() -> f64 {
    0.25
}

/// A class of requests.
#[derive(Deserialize)]
pub(super) struct ClassConf {
    #[serde(default)]
    pub(super) name: String,
    #[serde(rename = "aim")]
    pub(super) latency_objective_s: f64,
    #[serde(rename = "deadline")]
    pub(super) deadline_s: f64,
    #[serde(default, rename = "fifo_by_key")]
    pub(super) ordered: bool,
    #[serde(default, rename = "group")]
    pub(super) deduplication_scope: String,
    pub(super) idempotency: String,
    #[serde(default, rename = "late_worth")]
    pub(super) late_fraction: f64,
    #[serde(default, rename = "repeat_window")]
    pub(super) deduplication_window_s: f64,
    #[serde(rename = "worth")]
    pub(super) priority_weight: f64,
}

/// Properties of the workload, and how capacity is shared.
#[derive(Deserialize)]
pub(super) struct Domain {
    /// Whether requests of each class write, by class index.
    #[serde(default, rename = "changes_data")]
    pub(super) class_writes: Vec<bool>,
    #[serde(rename = "cold_units")]
    pub(super) slow_start_units: f64,
    #[serde(rename = "idle_worth")]
    pub(super) beyond_quota_fraction: f64,
    #[serde(default, rename = "tells_elsewhere")]
    pub(super) reports_usage_elsewhere: bool,
    #[serde(rename = "unit_mean")]
    pub(super) mean_request_units: f64,
    #[serde(rename = "units_top")]
    pub(super) max_request_units: f64,
    #[serde(default, rename = "use_period")]
    pub(super) usage_period_s: f64,
    #[serde(rename = "within_share")]
    pub(super) within_quota_fraction: f64,
}

/// Guarantees of the heads to nodes and clients: polling, retries, draining, slow start and ordering.
#[derive(Deserialize)]
pub(super) struct Guarantees {
    #[serde(default, rename = "ask_every")]
    pub(super) poll_interval_s: f64,
    #[serde(rename = "budget_free")]
    pub(super) retry_budget_min_retries: Option<f64>,
    #[serde(rename = "budget_share")]
    pub(super) retry_budget_ratio: Option<f64>,
    #[serde(rename = "budget_window")]
    pub(super) retry_budget_window_s: Option<f64>,
    #[serde(rename = "cold_from")]
    pub(super) slow_start_initial_capacity: f64,
    /// Defaults to 0, the strictest value.
    #[serde(default, rename = "drain_grace")]
    pub(super) drain_grace_s: f64,
    #[serde(rename = "fall")]
    pub(super) slow_start_window_s: f64,
    #[serde(rename = "order_pause")]
    pub(super) ordering_pause_s: Option<f64>,
    #[serde(rename = "warm_within")]
    pub(super) slow_start_warm_up_s: f64,
    #[serde(default, rename = "tip_multiple")]
    pub(super) slow_start_overload_factor: f64,
}

/// Which load values nodes report, and by which means.
#[derive(Deserialize)]
pub(super) struct ReportConf {
    #[serde(default)]
    pub(super) names: Vec<String>,
    pub(super) source: String,
}

/// A plan, which sets the reserve, weight and limit of its volumes.
#[derive(Deserialize)]
pub(super) struct Level {
    #[serde(default)]
    pub(super) name: String,
    pub(super) base_rate: f64,
    #[serde(default, rename = "cap_slack")]
    pub(super) limit_slack: f64,
    #[serde(default, rename = "limit")]
    pub(super) limit_rate: f64,
    #[serde(default)]
    pub(super) limit_burst: f64,
    pub(super) reserve: f64,
    pub(super) value_factor: f64,
    pub(super) weight: f64,
}
