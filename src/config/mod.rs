//! What a head is told at its start: its configuration file, and the settings that it shares with the
//! simulator's adapter. One reader serves both.

pub mod operators_file;

use crate::scheduler::{
    Class, DeduplicationScope, Idempotency, LoadReport, Plan, RateLimit, RetryBudget, SchedulerSettings,
    SlowStartSettings,
};
use serde::Deserialize;
use std::net::SocketAddr;
use thiserror::Error;

/// A configuration that no head can start with; says which part is wrong.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// Where it was looked for.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not of the form expected.
    #[error("{part}{}{path}: {source}", if path.is_empty() { "" } else { "." })]
    Malformed {
        /// `configuration` or `settings`.
        part: &'static str,
        /// The path of what can't be read, as far as the parser came; empty where it is no JSON.
        path: String,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// A field holds a value that can't be served.
    #[error("{field}: {problem}")]
    Field {
        /// The field's path.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

fn field(field: impl Into<String>, problem: impl Into<String>) -> ConfigError {
    ConfigError::Field { field: field.into(), problem: problem.into() }
}

/// Reads a part; the error names the path of what can't be read.
fn parse<'a, T: Deserialize<'a>>(part: &'static str, text: &'a [u8]) -> Result<T, ConfigError> {
    let malformed = |path, source| ConfigError::Malformed { part, path, source };
    let mut reader = serde_json::Deserializer::from_slice(text);
    let read = serde_path_to_error::deserialize(&mut reader).map_err(|problem| {
        let path = problem.path().to_string();
        malformed(if path == "." { String::new() } else { path }, problem.into_inner())
    })?;
    reader.end().map_err(|source| malformed(String::new(), source))?;
    Ok(read)
}

/// Where the settings hold what the module calls by a name of its own.
fn path(field: &str) -> String {
    let (list, rest) = match field.split_once('.') {
        Some((list, rest)) if list.ends_with(']') => (list, rest),
        _ => ("", field),
    };
    let name = match rest {
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
        same => same,
    };
    let list = list.replace("plans[", "service_levels[");
    if list.is_empty() { format!("settings.{name}") } else { format!("settings.{list}.{name}") }
}

/// The limits of the machine that a head runs on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold, in MB.
    pub memory_mb: usize,
}

/// Clients hold one part in so many of the descriptors with requests.
const CLIENTS_PART: usize = 3;
/// Part of the memory, in KB for each MB, that buffers of connections may take, and what one takes of it.
const FOR_CONNECTIONS: usize = 256;
const CONNECTION_KB: usize = 24;

impl Limits {
    /// Descriptors that may be held: no more than there is memory for.
    pub fn descriptors(&self) -> usize {
        self.sockets.min(self.memory_mb.saturating_mul(FOR_CONNECTIONS) / CONNECTION_KB)
    }
}

/// The configuration of one head.
#[derive(Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed for random numbers.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The node list as this head had it last, in discovery's form.
    pub known: Option<serde_json::Value>,
    /// What the module is told.
    pub settings: SchedulerSettings,
    /// What the wires need of the settings.
    pub notes: WireSettings,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    ops: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: Conf,
}

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    pub fn load(path: &str) -> Result<Config, ConfigError> {
        let text =
            std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        Config::parse(&text)
    }

    /// Reads a configuration's text.
    pub fn parse(text: &[u8]) -> Result<Config, ConfigError> {
        let file: ConfigFile = parse("configuration", text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| field("seed", e.to_string()))?;
        let (mut settings, notes) = convert(file.settings)?;
        let clients_hold = file.limits.sockets / CLIENTS_PART;
        settings.max_pending = settings.max_pending.min(clients_hold);
        let ConfigFile { name, listen, ops, discovery, limits, known, .. } = file;
        Ok(Config { name, listen, ops, discovery, seed, limits, known, settings, notes })
    }
}

/// What of the settings concerns the wires only.
#[derive(Clone, Debug, Default)]
pub struct WireSettings {
    /// Names of the load report's values, in their order.
    pub report_names: Vec<String>,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Whether each class writes.
    pub class_writes: Vec<bool>,
    /// The whole wait of each class's clients, in seconds.
    pub class_deadlines: Vec<f64>,
    /// Names of the plans, by index.
    pub plan_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Seconds after which a connection that does not come up has failed.
    pub connect_timeout: f64,
    /// Seconds after which a node closes an idle connection at the latest.
    pub conn_idle: f64,
    /// Seconds in which sends to a node that leaves must end, once that is told.
    pub drain_grace: f64,
}

#[derive(Deserialize)]
struct Conf {
    #[serde(default)]
    zones: Vec<String>,
    bounds: Bounds,
    classes: Vec<ClassConf>,
    domain: Domain,
    guarantees: Guarantees,
    membership_mode: String,
    n_instances: u32,
    period: f64,
    report: ReportConf,
    service_levels: Vec<Level>,
}

#[derive(Deserialize)]
struct Bounds {
    #[serde(default)]
    cancel: bool,
    #[serde(default = "default_conn_idle")]
    conn_idle: f64,
    #[serde(default = "default_connect_timeout")]
    connect_timeout: f64,
    max_attempts: usize,
    #[serde(default = "default_most_held")]
    most_held: usize,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

fn default_conn_idle() -> f64 {
    15.0
}

fn default_most_held() -> usize {
    usize::MAX
}

fn default_connect_timeout() -> f64 {
    0.25
}

#[derive(Deserialize)]
struct ClassConf {
    #[serde(default)]
    name: String,
    aim: f64,
    deadline: f64,
    #[serde(default)]
    fifo_by_key: bool,
    #[serde(default)]
    group: String,
    idempotency: String,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    repeat_window: f64,
    worth: f64,
}

#[derive(Deserialize)]
struct Domain {
    #[serde(default)]
    changes_data: Vec<bool>,
    cold_units: f64,
    idle_worth: f64,
    #[serde(default)]
    tells_elsewhere: bool,
    unit_mean: f64,
    units_top: f64,
    #[serde(default)]
    use_period: f64,
    within_share: f64,
}

#[derive(Deserialize)]
struct Guarantees {
    #[serde(default)]
    ask_every: f64,
    budget_free: Option<f64>,
    budget_share: Option<f64>,
    budget_window: Option<f64>,
    cold_from: f64,
    /// Where it is not told, the strictest.
    #[serde(default)]
    drain_grace: f64,
    fall: f64,
    order_pause: Option<f64>,
    warm_within: f64,
    #[serde(default)]
    tip_multiple: f64,
}

#[derive(Deserialize)]
struct ReportConf {
    #[serde(default)]
    names: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
struct Level {
    #[serde(default)]
    name: String,
    base_rate: f64,
    #[serde(default)]
    cap_slack: f64,
    #[serde(default)]
    limit: f64,
    #[serde(default)]
    limit_burst: f64,
    reserve: f64,
    value_factor: f64,
    weight: f64,
}

/// Reads the settings; the error names what is wrong.
pub fn read(text: &[u8]) -> Result<(SchedulerSettings, WireSettings), ConfigError> {
    convert(parse("settings", text)?)
}

fn convert(conf: Conf) -> Result<(SchedulerSettings, WireSettings), ConfigError> {
    let classes = conf.classes.iter().enumerate().map(|(i, c)| class(i, c)).collect::<Result<_, _>>()?;
    let g = &conf.guarantees;
    let budget = match (g.budget_free, g.budget_share, g.budget_window) {
        (None, None, None) => None,
        (free, share, Some(window)) => Some(RetryBudget {
            min_retries: free.unwrap_or(0.0),
            ratio: share.unwrap_or(0.0),
            window_s: window,
        }),
        _ => return Err(field("settings.guarantees.budget_window", "is missing")),
    };
    let ask_every = match conf.membership_mode.as_str() {
        "ask" => Some(g.ask_every),
        "push" => None,
        other => return Err(field("settings.membership_mode", format!("unknown mode {other:?}"))),
    };
    let settings = SchedulerSettings {
        classes,
        plans: conf.service_levels.iter().map(plan).collect(),
        mean_request_units: conf.domain.unit_mean,
        max_request_units: conf.domain.units_top,
        within_quota_fraction: conf.domain.within_share,
        beyond_quota_fraction: conf.domain.idle_worth,
        heads: conf.n_instances,
        tick_s: conf.period,
        max_pending: conf.bounds.most_held,
        max_attempts: conf.bounds.max_attempts,
        hedging: conf.bounds.second_copies,
        cancellation: conf.bounds.cancel,
        health_checks: conf.bounds.probes,
        load_reports_in_answers: conf.report.source == "answers",
        usage_period_s: conf.domain.use_period,
        reports_usage_elsewhere: conf.domain.tells_elsewhere,
        poll_interval_s: ask_every,
        slow_start: SlowStartSettings {
            units: conf.domain.cold_units,
            window_s: g.fall,
            initial_capacity: g.cold_from,
            warm_up_s: g.warm_within,
            overload_factor: g.tip_multiple,
        },
        retry_budget: budget,
        ordering_pause_s: g.order_pause.unwrap_or(0.0),
        max_retry_after_s: if conf.bounds.retry_after { conf.bounds.max_retry_after } else { 0.0 },
    };
    settings.check().map_err(|e| field(path(&e.field), e.problem))?;
    if !(g.drain_grace >= 0.0 && g.drain_grace < 1e6) {
        return Err(field("settings.guarantees.drain_grace", "must not be below zero"));
    }
    for (name, value) in
        [("connect_timeout", conf.bounds.connect_timeout), ("conn_idle", conf.bounds.conn_idle)]
    {
        if !(value > 0.0 && value < 1e6) {
            return Err(field(format!("settings.bounds.{name}"), "must be above zero"));
        }
    }
    let classes = conf.classes.len();
    let mut class_writes = conf.domain.changes_data;
    class_writes.resize(classes, false);
    let notes = WireSettings {
        report_names: conf.report.names,
        class_deadlines: conf.classes.iter().map(|c| c.deadline).collect(),
        class_names: conf.classes.into_iter().map(|c| c.name).collect(),
        class_writes,
        plan_names: conf.service_levels.into_iter().map(|l| l.name).collect(),
        zone_names: conf.zones,
        connect_timeout: conf.bounds.connect_timeout,
        conn_idle: conf.bounds.conn_idle,
        drain_grace: conf.guarantees.drain_grace,
    };
    Ok((settings, notes))
}

fn class(index: usize, c: &ClassConf) -> Result<Class, ConfigError> {
    let group = match c.group.as_str() {
        "all" => DeduplicationScope::AllNodes,
        "zone" => DeduplicationScope::Zone,
        // Where it is not told, the strictest.
        "cell" | "" => DeduplicationScope::Shard,
        other => {
            return Err(field(
                format!("settings.classes[{index}].group"),
                format!("unknown group {other:?}"),
            ));
        }
    };
    let repeat = match c.idempotency.as_str() {
        "safe" => Idempotency::Idempotent,
        "keyed" => Idempotency::WithKey { scope: group, window_s: c.repeat_window },
        "unsafe" => Idempotency::NotIdempotent,
        other => {
            return Err(field(
                format!("settings.classes[{index}].idempotency"),
                format!("unknown kind {other:?}"),
            ));
        }
    };
    Ok(Class {
        latency_objective_s: c.aim,
        deadline_s: c.deadline,
        priority_weight: c.worth,
        late_fraction: c.late_worth,
        idempotency: repeat,
        ordered: c.fifo_by_key,
    })
}

fn plan(l: &Level) -> Plan {
    let limit = RateLimit { rate: l.limit, burst: l.limit_burst, slack: l.cap_slack };
    Plan {
        base_rate: l.base_rate,
        reserve: l.reserve,
        weight: l.weight,
        value_factor: l.value_factor,
        limit: (l.limit > 0.0).then_some(limit),
    }
}

/// A load report out of names and values, as either wire names them; what the module does not know is
/// skipped.
pub fn report<'a>(values: impl IntoIterator<Item = (&'a str, f64)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        match name {
            "q" | "queue" => report.queue_length = Some(value),
            "busy" | "util" => report.utilization = Some(value),
            "lat_ms" | "latency_ms" => report.latency_s = Some(value / 1000.0),
            _ => {}
        }
    }
    report
}
