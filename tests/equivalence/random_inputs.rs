//! Random inputs of the simulation: valid scheduler settings, latencies and outcomes of attempts, and shedding levels.

use flaxgap::scheduler::{
    Admission, AttemptOutcome, Class, DeduplicationScope, Idempotency, OptionalMechanisms, Plan, RateLimit,
    RetryBudget, SchedulerSettings, SheddingLevel, SlowStartSettings, ZoneAdmission, ZoneId,
};
use rand::{Rng, SeedableRng};

/// The random number generator of a run.
pub type TestRng = rand_chacha::ChaCha8Rng;

/// Creates a generator whose sequence depends only on the seed.
pub fn seeded(seed: u64) -> TestRng {
    TestRng::seed_from_u64(seed)
}

/// Draws one of `choices`, each with the same probability.
fn one_of<T: Copy>(rng: &mut TestRng, choices: &[T]) -> T {
    choices[rng.random_range(0..choices.len())]
}

/// Draws valid settings. A fifth of them have long deadlines, four attempts and large reserves, so that attempts at silent
/// nodes are cancelled.
pub fn settings(rng: &mut TestRng) -> SchedulerSettings {
    let mut config = any_settings(rng);
    if rng.random_bool(0.2) {
        (config.mechanisms.cancellation, config.max_attempts, config.slow_start.window_s) = (true, 4, 0.0);
        for class in &mut config.classes {
            let objective = rng.random_range(0.1..0.4);
            (class.latency_objective_s, class.deadline_s, class.ordered) =
                (objective, 30.0 * objective, false);
            class.idempotency = if class.idempotency == Idempotency::NotIdempotent {
                Idempotency::Idempotent
            } else {
                class.idempotency
            };
        }
        for plan in &mut config.plans {
            (plan.reserve, plan.limit) = (1000.0, None);
        }
    }
    config
}

fn any_settings(rng: &mut TestRng) -> SchedulerSettings {
    let limit = |rng: &mut TestRng| RateLimit {
        rate: rng.random_range(1.0..20.0),
        burst: rng.random_range(5.0..60.0),
        slack: rng.random_range(0.0..8.0),
    };
    let plan = |rng: &mut TestRng| Plan {
        base_rate: rng.random_range(1.0..8.0),
        reserve: one_of(rng, &[0.0, 0.5, 2.0, 10.0]),
        weight: one_of(rng, &[0.0, 0.5, 1.0, 3.0]),
        value_factor: 1.0,
        limit: rng.random_bool(0.3).then(|| limit(rng)),
    };
    let budget = |rng: &mut TestRng| RetryBudget {
        min_retries: rng.random_range(0.0..2.0),
        ratio: rng.random_range(0.0..1.0),
        window_s: one_of(rng, &[0.05, 0.3, 3.0]),
    };
    SchedulerSettings {
        classes: (0..rng.random_range(1..5)).map(|_| class(rng)).collect(),
        plans: (0..rng.random_range(0..5)).map(|_| plan(rng)).collect(),
        mean_request_units: rng.random_range(0.5..4.0),
        max_request_units: one_of(rng, &[0.0, 2.0, 8.0]),
        within_quota_fraction: 0.3,
        beyond_quota_fraction: 0.08,
        heads: one_of(rng, &[1, 3, 60, 4200]),
        tick_s: one_of(rng, &[0.0, 0.001, 0.002, 0.04]),
        max_pending: one_of(rng, &[4, 40, 1000]),
        max_attempts: rng.random_range(1..5),
        mechanisms: OptionalMechanisms {
            hedging: false,
            cancellation: rng.random_bool(0.8),
            health_checks: false,
        },
        load_reports_in_answers: true,
        usage_period_s: 0.0,
        reports_usage_elsewhere: false,
        poll_interval_s: rng.random_bool(0.5).then(|| rng.random_range(0.1..20.0)),
        slow_start: SlowStartSettings {
            units: one_of(rng, &[0.0, 4.0, 30.0, 4000.0]),
            window_s: one_of(rng, &[0.0, 0.5, 2.0]),
            initial_capacity: one_of(rng, &[0.0, 0.2, 1.0]),
            warm_up_s: one_of(rng, &[0.0, 1.0, 10.0, 60.0]),
            overload_factor: one_of(rng, &[1.0, 2.5]),
        },
        retry_budget: rng.random_bool(0.5).then(|| budget(rng)),
        ordering_pause_s: one_of(rng, &[0.0, 0.1, 1.0]),
        max_retry_after_s: 0.0,
    }
}

fn class(rng: &mut TestRng) -> Class {
    let scope =
        one_of(rng, &[DeduplicationScope::AllNodes, DeduplicationScope::Zone, DeduplicationScope::Shard]);
    let keyed = Idempotency::WithKey { scope, window_s: rng.random_range(0.0..4.0) };
    let objective = rng.random_range(0.02..1.0);
    let deadline_factor = if rng.random_bool(0.5) { 3.0..30.0 } else { 1.0..5.0 };
    Class {
        latency_objective_s: objective,
        deadline_s: objective * rng.random_range(deadline_factor),
        priority_weight: rng.random_range(0.1..3.0),
        late_fraction: one_of(rng, &[0.0, 0.2, 1.0]),
        idempotency: one_of(rng, &[Idempotency::Idempotent, keyed, Idempotency::NotIdempotent]),
        ordered: rng.random_bool(0.3),
    }
}

/// Draws after how many seconds a node answers; 1e9 stands for a node that does not answer.
pub fn latency(rng: &mut TestRng) -> f64 {
    match rng.random_range(0..100) {
        0..5 => 1e9,
        5..12 => rng.random_range(0.3..5.0),
        12..30 => rng.random_range(0.05..0.3),
        _ => rng.random_range(0.0..0.05),
    }
}

/// Draws the outcome of an attempt.
pub fn outcome(rng: &mut TestRng) -> AttemptOutcome {
    match rng.random_range(0..100) {
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

/// Draws a shedding level, or the default level, which sheds nothing.
pub fn level(rng: &mut TestRng, config: &SchedulerSettings, now: f64) -> SheddingLevel {
    if rng.random_bool(0.4) {
        return SheddingLevel::default();
    }
    let admissions = [Admission::All, Admission::WithinQuota, Admission::WithinReserve, Admission::TrialOnly];
    let table = |rng: &mut TestRng| -> Vec<Vec<Admission>> {
        let uniform = rng.random_bool(0.5).then(|| one_of(rng, &admissions));
        let plan = |rng: &mut TestRng| uniform.unwrap_or_else(|| one_of(rng, &admissions));
        let classes = config.classes.iter();
        classes.map(|_| config.plans.iter().map(|_| plan(rng)).collect()).collect()
    };
    let zones = (0..3).filter(|_| rng.random_bool(0.3)).collect::<Vec<u16>>();
    let zones =
        zones.into_iter().map(|zone| ZoneAdmission { zone: ZoneId(zone), admission: table(rng) }).collect();
    SheddingLevel { admission: table(rng), zone_admission: zones, ends_at: now + rng.random_range(0.0..10.0) }
}
