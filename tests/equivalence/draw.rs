//! What is drawn by chance: settings that a scheduler can be given, how nodes answer, and levels of reduced service.

use flaxgap::scheduler::{
    Admission, AttemptOutcome, Class, DeduplicationScope, Idempotency, Plan, RateLimit, RetryBudget,
    SchedulerSettings, SheddingLevel, SlowStartSettings, ZoneId,
};
use rand::{Rng, SeedableRng};

/// The source of chance.
pub type Draw = rand_chacha::ChaCha8Rng;

/// The same numbers for the same seed.
pub fn seeded(seed: u64) -> Draw {
    Draw::seed_from_u64(seed)
}

/// One of these.
fn one_of<T: Copy>(draw: &mut Draw, of: &[T]) -> T {
    of[draw.random_range(0..of.len())]
}

/// Settings that a scheduler takes. Some leave so much room that an attempt is called off where a node is silent.
pub fn settings(draw: &mut Draw) -> SchedulerSettings {
    let mut set = any_settings(draw);
    if draw.random_bool(0.2) {
        (set.cancellation, set.max_attempts, set.slow_start.window_s) = (true, 4, 0.0);
        for class in &mut set.classes {
            let aim = draw.random_range(0.1..0.4);
            (class.latency_objective_s, class.deadline_s, class.ordered) = (aim, 30.0 * aim, false);
            class.idempotency = if class.idempotency == Idempotency::NotIdempotent {
                Idempotency::Idempotent
            } else {
                class.idempotency
            };
        }
        for plan in &mut set.plans {
            (plan.reserve, plan.limit) = (1000.0, None);
        }
    }
    set
}

fn any_settings(draw: &mut Draw) -> SchedulerSettings {
    let limit = |draw: &mut Draw| RateLimit {
        rate: draw.random_range(1.0..20.0),
        burst: draw.random_range(5.0..60.0),
        slack: draw.random_range(0.0..8.0),
    };
    let plan = |draw: &mut Draw| Plan {
        base_rate: draw.random_range(1.0..8.0),
        reserve: one_of(draw, &[0.0, 0.5, 2.0, 10.0]),
        weight: one_of(draw, &[0.0, 0.5, 1.0, 3.0]),
        value_factor: 1.0,
        limit: draw.random_bool(0.3).then(|| limit(draw)),
    };
    let budget = |draw: &mut Draw| RetryBudget {
        min_retries: draw.random_range(0.0..2.0),
        ratio: draw.random_range(0.0..1.0),
        window_s: one_of(draw, &[0.05, 0.3, 3.0]),
    };
    SchedulerSettings {
        classes: (0..draw.random_range(1..5)).map(|_| class(draw)).collect(),
        plans: (0..draw.random_range(0..5)).map(|_| plan(draw)).collect(),
        mean_request_units: draw.random_range(0.5..4.0),
        max_request_units: one_of(draw, &[0.0, 2.0, 8.0]),
        within_quota_fraction: 0.3,
        beyond_quota_fraction: 0.08,
        heads: one_of(draw, &[1, 3, 60, 4200]),
        tick_s: one_of(draw, &[0.0, 0.001, 0.002, 0.04]),
        max_pending: one_of(draw, &[4, 40, 1000]),
        max_attempts: draw.random_range(1..5),
        hedging: false,
        cancellation: draw.random_bool(0.8),
        health_checks: false,
        load_reports_in_answers: true,
        usage_period_s: 0.0,
        reports_usage_elsewhere: false,
        poll_interval_s: draw.random_bool(0.5).then(|| draw.random_range(0.1..20.0)),
        slow_start: SlowStartSettings {
            units: one_of(draw, &[0.0, 4.0, 30.0, 4000.0]),
            window_s: one_of(draw, &[0.0, 0.5, 2.0]),
            initial_capacity: one_of(draw, &[0.0, 0.2, 1.0]),
            warm_up_s: one_of(draw, &[0.0, 1.0, 10.0, 60.0]),
            overload_factor: one_of(draw, &[1.0, 2.5]),
        },
        retry_budget: draw.random_bool(0.5).then(|| budget(draw)),
        ordering_pause_s: one_of(draw, &[0.0, 0.1, 1.0]),
        max_retry_after_s: 0.0,
    }
}

fn class(draw: &mut Draw) -> Class {
    let group =
        one_of(draw, &[DeduplicationScope::AllNodes, DeduplicationScope::Zone, DeduplicationScope::Shard]);
    let keyed = Idempotency::WithKey { scope: group, window_s: draw.random_range(0.0..4.0) };
    let aim = draw.random_range(0.02..1.0);
    let patience = if draw.random_bool(0.5) { 3.0..30.0 } else { 1.0..5.0 };
    Class {
        latency_objective_s: aim,
        deadline_s: aim * draw.random_range(patience),
        priority_weight: draw.random_range(0.1..3.0),
        late_fraction: one_of(draw, &[0.0, 0.2, 1.0]),
        idempotency: one_of(draw, &[Idempotency::Idempotent, keyed, Idempotency::NotIdempotent]),
        ordered: draw.random_bool(0.3),
    }
}

/// After how many seconds a node answers; some are silent.
pub fn latency(draw: &mut Draw) -> f64 {
    match draw.random_range(0..100) {
        0..5 => 1e9,
        5..12 => draw.random_range(0.3..5.0),
        12..30 => draw.random_range(0.05..0.3),
        _ => draw.random_range(0.0..0.05),
    }
}

/// How an attempt ends.
pub fn outcome(draw: &mut Draw) -> AttemptOutcome {
    match draw.random_range(0..100) {
        0..6 => AttemptOutcome::Error,
        6..13 => AttemptOutcome::Rejected,
        13..15 => AttemptOutcome::Timeout,
        15..20 => AttemptOutcome::ConnectFailed,
        20..24 => AttemptOutcome::Reset,
        24 => AttemptOutcome::Cancelled,
        25 => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Ok,
    }
}

/// A level of reduced service, or the end of one.
pub fn level(draw: &mut Draw, set: &SchedulerSettings, now: f64) -> SheddingLevel {
    if draw.random_bool(0.4) {
        return SheddingLevel::default();
    }
    let passes = [Admission::All, Admission::WithinQuota, Admission::WithinReserve, Admission::TrialOnly];
    let table = |draw: &mut Draw| -> Vec<Vec<Admission>> {
        let alike = draw.random_bool(0.5).then(|| one_of(draw, &passes));
        let plan = |draw: &mut Draw| alike.unwrap_or_else(|| one_of(draw, &passes));
        let classes = set.classes.iter();
        classes.map(|_| set.plans.iter().map(|_| plan(draw)).collect()).collect()
    };
    let zones = (0..3).filter(|_| draw.random_bool(0.3)).collect::<Vec<u16>>();
    let zones = zones.into_iter().map(|zone| (ZoneId(zone), table(draw))).collect();
    SheddingLevel {
        admission: table(draw),
        zone_admission: zones,
        ends_at: now + draw.random_range(0.0..10.0),
    }
}
