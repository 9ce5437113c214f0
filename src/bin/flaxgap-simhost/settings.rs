//! The settings text of the wire, turned into the library's settings.

use flaxgap::api::*;
use serde::Deserialize;

/// What of the settings concerns the wire only.
pub struct WireNotes {
    /// Names of the load report's values, in their order.
    pub report_names: Vec<String>,
}

#[derive(Deserialize)]
struct Conf {
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
    max_attempts: usize,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    second_copies: bool,
}

#[derive(Deserialize)]
struct ClassConf {
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
pub fn read(text: &[u8]) -> Result<(Settings, WireNotes), String> {
    let conf: Conf = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    let classes = conf.classes.iter().enumerate().map(|(i, c)| class(i, c)).collect::<Result<_, _>>()?;
    let g = &conf.guarantees;
    let budget = match (g.budget_free, g.budget_share, g.budget_window) {
        (None, None, None) => None,
        (free, share, Some(window)) => {
            Some(Budget { free: free.unwrap_or(0.0), share: share.unwrap_or(0.0), window })
        }
        _ => return Err("settings: guarantees.budget_window is missing".into()),
    };
    let ask_every = match conf.membership_mode.as_str() {
        "ask" => Some(g.ask_every),
        "push" => None,
        other => return Err(format!("settings: membership_mode: unknown mode {other:?}")),
    };
    let settings = Settings {
        classes,
        plans: conf.service_levels.iter().map(plan).collect(),
        mean_units: conf.domain.unit_mean,
        most_units: conf.domain.units_top,
        share_worth: conf.domain.within_share,
        spare_worth: conf.domain.idle_worth,
        hosts: conf.n_instances,
        tick: conf.period,
        max_attempts: conf.bounds.max_attempts,
        second_copies: conf.bounds.second_copies,
        cancel: conf.bounds.cancel,
        probes: conf.bounds.probes,
        reports_in_answers: conf.report.source == "answers",
        use_period: conf.domain.use_period,
        tells_elsewhere: conf.domain.tells_elsewhere,
        ask_every,
        cold: Cold {
            units: conf.domain.cold_units,
            span: g.fall,
            from: g.cold_from,
            warm_within: g.warm_within,
            multiple: g.tip_multiple,
        },
        budget,
        order_pause: g.order_pause.unwrap_or(0.0),
        max_wait: if conf.bounds.retry_after { conf.bounds.max_retry_after } else { 0.0 },
    };
    settings.check().map_err(|e| e.to_string())?;
    Ok((settings, WireNotes { report_names: conf.report.names }))
}

fn class(index: usize, c: &ClassConf) -> Result<Class, String> {
    let group = match c.group.as_str() {
        "all" | "" => RepeatGroup::All,
        "zone" => RepeatGroup::Zone,
        "cell" => RepeatGroup::Shard,
        other => return Err(format!("settings: classes[{index}].group: unknown group {other:?}")),
    };
    let repeat = match c.idempotency.as_str() {
        "safe" => Repeat::Safe,
        "keyed" => Repeat::Keyed { group, window: c.repeat_window },
        "unsafe" => Repeat::Unsafe,
        other => return Err(format!("settings: classes[{index}].idempotency: unknown kind {other:?}")),
    };
    Ok(Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_worth: c.late_worth,
        repeat,
        in_order: c.fifo_by_key,
    })
}

fn plan(l: &Level) -> Plan {
    let limit = Limit { rate: l.limit, burst: l.limit_burst, slack: l.cap_slack };
    Plan {
        base_rate: l.base_rate,
        reserve: l.reserve,
        weight: l.weight,
        value_factor: l.value_factor,
        limit: (l.limit > 0.0).then_some(limit),
    }
}
