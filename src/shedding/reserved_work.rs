//! Measures how requests within their volume's reserve are served, by zone and class, for
//! [`Signal::ObjectiveMet`] and [`Signal::Delay`].

use crate::scheduler::{ClassId, ReservedWorkStats, ZoneId};
use flaxgap_load_shedding::measurement::sliding_sums::SlidingSums;
use flaxgap_load_shedding::{ClassSelector, LevelManager, Scope, Signal};
use std::collections::BTreeMap;

/// Number of steps of a sliding span. Values stay in the sums for up to one step longer than the span.
const SPAN_STEPS: f64 = 8.0;

/// The zone in which a request was served, if known, and the request's class.
type ZoneAndClass = (Option<ZoneId>, ClassId);

/// Creates empty sums over a span of `span_s` seconds.
pub(super) fn sliding_sums(span_s: f64) -> SlidingSums {
    SlidingSums::new(span_s, span_s / SPAN_STEPS)
}

/// The sliding sums of one zone and class. The total of both is the number of completed requests.
struct ClassSums {
    met_objective: SlidingSums,
    delay_s: SlidingSums,
}

impl ClassSums {
    fn new(span_s: f64) -> ClassSums {
        ClassSums { met_objective: sliding_sums(span_s), delay_s: sliding_sums(span_s) }
    }

    fn totals(&mut self, now: f64) -> ClassTotals {
        let met_objective = self.met_objective.sums(now);
        let delay_s = self.delay_s.sums(now);
        ClassTotals {
            met_objective: met_objective.counted,
            delay_s: delay_s.counted,
            completed: met_objective.total,
        }
    }
}

/// The totals of completed requests over the span.
#[derive(Clone, Copy, Default)]
struct ClassTotals {
    met_objective: f64,
    delay_s: f64,
    completed: f64,
}

impl ClassTotals {
    fn add(&mut self, other: ClassTotals) {
        self.met_objective += other.met_objective;
        self.delay_s += other.delay_s;
        self.completed += other.completed;
    }
}

/// Computes readings over a sliding span from the scheduler's totals since its start.
pub(super) struct ReservedWork {
    latency_objectives_s: Vec<f64>,
    last_stats: BTreeMap<ZoneAndClass, ReservedWorkStats>,
    sums: BTreeMap<ZoneAndClass, ClassSums>,
}

impl ReservedWork {
    /// Creates a measurement without requests. The index of an objective is the number of its class.
    pub(super) fn new(latency_objectives_s: Vec<f64>) -> ReservedWork {
        ReservedWork { latency_objectives_s, last_stats: BTreeMap::new(), sums: BTreeMap::new() }
    }

    /// Clears the sums. New sums use the span that is passed to [`ReservedWork::record`].
    pub(super) fn clear_sums(&mut self) {
        self.sums.clear();
    }

    /// Adds the difference between the scheduler's totals and those of the last call.
    pub(super) fn record(
        &mut self,
        now: f64,
        stats: &BTreeMap<ZoneAndClass, ReservedWorkStats>,
        span_s: f64,
    ) {
        for (key, stats) in stats {
            let last = self.last_stats.insert(*key, *stats).unwrap_or_default();
            let completed = stats.completed - last.completed;
            if completed == 0 {
                continue;
            }
            let met_objective = stats.met_objective - last.met_objective;
            let delay_s = stats.total_delay_s - last.total_delay_s;
            let sums = self.sums.entry(*key).or_insert_with(|| ClassSums::new(span_s));
            sums.met_objective.add(now, met_objective as f64, completed as f64);
            sums.delay_s.add(now, delay_s, completed as f64);
        }
    }

    /// Records the readings of each zone and of the head. Zones above `normal` are left out of the head's readings,
    /// since work that such a zone does not serve is no load on the head.
    pub(super) fn read(&mut self, now: f64, levels: &mut LevelManager) {
        let min_requests = levels.settings().min_requests;
        let mut head: BTreeMap<ClassId, ClassTotals> = BTreeMap::new();
        for ((zone, class), sums) in &mut self.sums {
            let totals = sums.totals(now);
            let objective_s = objective_s(&self.latency_objectives_s, *class);
            if let Some(zone) = zone.filter(|_| totals.completed >= min_requests) {
                record_readings(levels, Scope::Zone(zone.0), *class, totals, objective_s, now);
            }
            if zone.is_none_or(|zone| !levels.is_zone_reduced(zone.0)) {
                head.entry(*class).or_default().add(totals);
            }
        }
        for (class, totals) in head {
            if totals.completed >= min_requests {
                let objective_s = objective_s(&self.latency_objectives_s, class);
                record_readings(levels, Scope::Head, class, totals, objective_s, now);
            }
        }
    }
}

/// The latency objective of a class, in seconds. Infinite for an unknown class, whose relative delay is then 0.
fn objective_s(objectives_s: &[f64], class: ClassId) -> f64 {
    objectives_s.get(class.0).copied().unwrap_or(f64::INFINITY)
}

fn record_readings(
    levels: &mut LevelManager,
    scope: Scope,
    class: ClassId,
    totals: ClassTotals,
    objective_s: f64,
    now: f64,
) {
    let class = ClassSelector::Class(class.0);
    let met_fraction = totals.met_objective / totals.completed;
    let relative_delay = totals.delay_s / totals.completed / objective_s;
    levels.record_reading(scope, Signal::ObjectiveMet(class), met_fraction, now);
    levels.record_reading(scope, Signal::Delay(class), relative_delay, now);
}
