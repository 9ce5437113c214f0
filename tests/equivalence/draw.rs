//! What is drawn by chance: settings that a scheduler can be given, how nodes answer, and levels of reduced service.

use flaxgap::api::*;
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
pub fn settings(draw: &mut Draw) -> Settings {
    let mut set = any_settings(draw);
    if draw.random_bool(0.2) {
        (set.cancel, set.max_attempts, set.cold.span) = (true, 4, 0.0);
        for class in &mut set.classes {
            let aim = draw.random_range(0.1..0.4);
            (class.aim, class.deadline, class.in_order) = (aim, 30.0 * aim, false);
            class.repeat = if class.repeat == Repeat::Unsafe { Repeat::Safe } else { class.repeat };
        }
        for plan in &mut set.plans {
            (plan.reserve, plan.limit) = (1000.0, None);
        }
    }
    set
}

fn any_settings(draw: &mut Draw) -> Settings {
    let limit = |draw: &mut Draw| Limit {
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
    let budget = |draw: &mut Draw| Budget {
        free: draw.random_range(0.0..2.0),
        share: draw.random_range(0.0..1.0),
        window: one_of(draw, &[0.05, 0.3, 3.0]),
    };
    Settings {
        classes: (0..draw.random_range(1..5)).map(|_| class(draw)).collect(),
        plans: (0..draw.random_range(0..5)).map(|_| plan(draw)).collect(),
        mean_units: draw.random_range(0.5..4.0),
        most_units: one_of(draw, &[0.0, 2.0, 8.0]),
        share_worth: 0.3,
        spare_worth: 0.08,
        hosts: one_of(draw, &[1, 3, 60, 4200]),
        tick: one_of(draw, &[0.0, 0.001, 0.002, 0.04]),
        most_held: one_of(draw, &[4, 40, 1000]),
        max_attempts: draw.random_range(1..5),
        second_copies: false,
        cancel: draw.random_bool(0.8),
        probes: false,
        reports_in_answers: true,
        use_period: 0.0,
        tells_elsewhere: false,
        ask_every: draw.random_bool(0.5).then(|| draw.random_range(0.1..20.0)),
        cold: Cold {
            units: one_of(draw, &[0.0, 4.0, 30.0, 4000.0]),
            span: one_of(draw, &[0.0, 0.5, 2.0]),
            from: one_of(draw, &[0.0, 0.2, 1.0]),
            warm_within: one_of(draw, &[0.0, 1.0, 10.0, 60.0]),
            multiple: one_of(draw, &[1.0, 2.5]),
        },
        budget: draw.random_bool(0.5).then(|| budget(draw)),
        order_pause: one_of(draw, &[0.0, 0.1, 1.0]),
        max_wait: 0.0,
    }
}

fn class(draw: &mut Draw) -> Class {
    let group = one_of(draw, &[RepeatGroup::All, RepeatGroup::Zone, RepeatGroup::Shard]);
    let keyed = Repeat::Keyed { group, window: draw.random_range(0.0..4.0) };
    let aim = draw.random_range(0.02..1.0);
    let patience = if draw.random_bool(0.5) { 3.0..30.0 } else { 1.0..5.0 };
    Class {
        aim,
        deadline: aim * draw.random_range(patience),
        worth: draw.random_range(0.1..3.0),
        late_worth: one_of(draw, &[0.0, 0.2, 1.0]),
        repeat: one_of(draw, &[Repeat::Safe, keyed, Repeat::Unsafe]),
        in_order: draw.random_bool(0.3),
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
pub fn outcome(draw: &mut Draw) -> Outcome {
    match draw.random_range(0..100) {
        0..6 => Outcome::Error,
        6..13 => Outcome::Full,
        13..15 => Outcome::Timeout,
        15..20 => Outcome::ConnectFailed,
        20..24 => Outcome::Reset,
        24 => Outcome::Cancelled,
        25 => Outcome::Moot,
        _ => Outcome::Ok,
    }
}

/// A level of reduced service, or the end of one.
pub fn level(draw: &mut Draw, set: &Settings, now: f64) -> Level {
    if draw.random_bool(0.4) {
        return Level::default();
    }
    let passes = [Pass::All, Pass::Share, Pass::Reserve, Pass::Nothing];
    let table = |draw: &mut Draw| -> Vec<Vec<Pass>> {
        let alike = draw.random_bool(0.5).then(|| one_of(draw, &passes));
        let plan = |draw: &mut Draw| alike.unwrap_or_else(|| one_of(draw, &passes));
        let classes = set.classes.iter();
        classes.map(|_| set.plans.iter().map(|_| plan(draw)).collect()).collect()
    };
    let zones = (0..3).filter(|_| draw.random_bool(0.3)).collect::<Vec<u16>>();
    let zones = zones.into_iter().map(|zone| (ZoneId(zone), table(draw))).collect();
    Level { pass: table(draw), zones, until: now + draw.random_range(0.0..10.0) }
}
