//! The experiment on load shedding: load is driven up and down around each threshold, and the same day is played with
//! levels, without, and with random rejections at the rate that the levels rejected at.

use crate::fleet::{COMMUNITY, Fleet, Size};
use crate::load::{Arrival, Load, Shape, Surge, draw};
use crate::measure::{Service, service};
use crate::sim::{Day, Ending, Fault, Played, Policy, play};
use flaxgap_load_shedding::SheddingSettings;
use flaxgap_load_shedding::report::{LevelTransition, TransitionReason};
use flaxgap_load_shedding::settings::{EscalationPolicy, LevelSettings};
use rayon::prelude::*;
use serde::Serialize;

/// Seconds that a day is played for to find the load at which a threshold is met.
const SEARCH_DAY_S: f64 = 40.0;
/// Steps of that search; each halves the range.
const SEARCH_STEPS: usize = 6;
/// Lowest load factor of the search.
const MIN_LOAD_FACTOR: f64 = 0.5;
/// Highest load factor of the search.
const MAX_LOAD_FACTOR: f64 = 8.0;
/// Fraction by which the load swings around the point where the threshold is met.
const SWING: f64 = 0.3;
/// Period of the swing in seconds: near the minimum duration, where a level swings most easily.
const SWING_PERIOD_S: f64 = 40.0;
/// Seconds between the starts of two faults or surges.
const FAULT_INTERVAL_S: f64 = 75.0;
/// When the first fault or surge starts, in seconds.
const FIRST_FAULT_S: f64 = 20.0;
/// How long a fault or surge lasts, in seconds.
const FAULT_DURATION_S: f64 = 20.0;
/// Delay of late usage reports, in seconds.
const REPORT_DELAY_S: f64 = 3.4;
/// Rate of a surge, as a multiple of the volume's usual rate.
const SURGE_FACTOR: f64 = 12.0;
/// Load factor of a cut under high load.
const BUSY_LOAD_FACTOR: f64 = 2.0;
/// Length of the worst stretch of a day, in seconds, as [`Service`] takes it.
const WORST_STRETCH_S: usize = 10;

/// What a day is driven around.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Drive {
    /// The entry of a level of the head, by its index.
    Entry(usize),
    /// Zones cut off, one after the other; their nodes return cold.
    Cut,
    /// Zones cut off while the load is twice the usual.
    BusyCut,
    /// Late usage reports.
    Lag,
    /// One volume far over its rate.
    Surge,
}

impl Drive {
    /// Its name in the table.
    fn name(self, settings: &SheddingSettings) -> String {
        match self {
            Drive::Entry(index) => settings.head.levels[index].name.clone(),
            Drive::Cut => "hall-cut".into(),
            Drive::BusyCut => "hall-cut, busy".into(),
            Drive::Lag => "reports late".into(),
            Drive::Surge => "surge of one".into(),
        }
    }
}

/// One row of the table: a day played with levels, without, and with random rejections at the same rate.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What the day was driven around.
    pub threshold: String,
    /// The load factor at which the threshold was met.
    pub factor: f64,
    /// Seed of the day.
    pub seed: u64,
    /// Requests that arrived.
    pub requests: usize,
    /// Transitions of the head's own level by readings, at the head with most of them.
    pub changes_head: usize,
    /// Transitions of the levels of head and zones by readings, at the head with most of them.
    pub changes_all: usize,
    /// Fraction of the requests that the levels shed.
    pub withheld: f64,
    /// Service with levels.
    pub service_levels: f64,
    /// Service without levels.
    pub service_none: f64,
    /// Service with random rejections.
    pub service_random: f64,
    /// Service in the worst ten seconds with levels.
    pub worst_levels: f64,
    /// Service in the worst ten seconds without levels.
    pub worst_none: f64,
    /// Service that was possible in the worst ten seconds without levels, where zones are cut off.
    pub worst_bound: f64,
    /// The lowest fraction of its reserve that a volume was served in time, with levels.
    pub reserve_levels: f64,
    /// The lowest fraction of its reserve that a volume was served in time, without levels.
    pub reserve_none: f64,
    /// Seconds that the run with levels took on one core.
    #[serde(skip)]
    pub seconds: f64,
    /// Responses that broke a rule, in all runs together.
    pub broken: u64,
}

/// What is to be run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// The size of the installation.
    pub size: Size,
    /// Virtual seconds.
    pub seconds: f64,
}

/// A day that was set up for a drive.
struct Staged {
    fleet: Fleet,
    arrivals: Vec<Arrival>,
    faults: Vec<Fault>,
    factor: f64,
}

/// A day as it was played, and its service.
struct StagedRun {
    played: Played,
    service: Service,
}

/// The fraction of reserved work whose latency objective is met at a steady load, as the scheduler counts it.
fn objective_met(fleet: &Fleet, factor: f64, seed: u64) -> Result<f64, String> {
    let load = Load { shape: Shape::Flat(factor), surges: vec![] };
    let arrivals = draw(fleet, &load, SEARCH_DAY_S, seed ^ 0x7ea1);
    let day = Day { fleet, arrivals: &arrivals, faults: &[], seconds: SEARCH_DAY_S, seed };
    let (met_objective, completed) = play(&day, &Policy::Plain)?.kept;
    Ok(if completed > 0 { met_objective as f64 / completed as f64 } else { 1.0 })
}

/// The load factor at which the met objectives are at a threshold; the range's end where none is.
fn load_factor_at(fleet: &Fleet, threshold: f64, seed: u64) -> Result<f64, String> {
    let mut low = MIN_LOAD_FACTOR;
    let mut high = MAX_LOAD_FACTOR;
    for _ in 0..SEARCH_STEPS {
        let middle = (low * high).sqrt();
        if objective_met(fleet, middle, seed)? > threshold {
            low = middle;
        } else {
            high = middle;
        }
    }
    Ok((low * high).sqrt())
}

/// When the faults or surges of a day start, in seconds.
fn fault_starts(day_s: f64) -> Vec<f64> {
    let count = (day_s / FAULT_INTERVAL_S) as usize;
    (0..count).map(|number| FAULT_INTERVAL_S * number as f64 + FIRST_FAULT_S).collect()
}

/// Cuts the zones off one after the other.
fn cuts(starts: &[f64], zones: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (number, at) in starts.iter().enumerate() {
        let zone = (number % zones) as u16;
        faults.push(Fault::Cut { zone, at: *at, seconds: FAULT_DURATION_S, cold: true });
    }
    faults
}

fn late_reports(starts: &[f64]) -> Vec<Fault> {
    let late = |at: &f64| Fault::Lag { at: *at, seconds: FAULT_DURATION_S, extra: Some(REPORT_DELAY_S) };
    starts.iter().map(late).collect()
}

/// Surges of the first volume that is on a plan with a reserve.
fn surges(starts: &[f64], fleet: &Fleet) -> Vec<Surge> {
    let volume = fleet.volumes.iter().position(|volume| volume.plan != COMMUNITY).unwrap_or(0);
    let surge = |from: &f64| Surge { volume, from: *from, seconds: FAULT_DURATION_S, times: SURGE_FACTOR };
    starts.iter().map(surge).collect()
}

/// The load factor at which a level of the head is entered by the met objectives.
fn entry_factor(index: usize, fleet: &Fleet, settings: &SheddingSettings, seed: u64) -> Result<f64, String> {
    let conditions = &settings.head.levels[index].enter;
    let entry = conditions.iter().find(|condition| condition.name == "aims");
    let threshold = entry.ok_or("the level has no entry by aims")?.threshold;
    load_factor_at(fleet, threshold, seed)
}

fn stage(drive: Drive, plan: Plan, settings: &SheddingSettings, seed: u64) -> Result<Staged, String> {
    let fleet = Fleet::draw(plan.size, seed);
    let starts = fault_starts(plan.seconds);
    let mut factor = 1.0;
    let mut faults = Vec::new();
    let mut load = Load { shape: Shape::Flat(factor), surges: Vec::new() };
    match drive {
        Drive::Entry(index) => {
            factor = entry_factor(index, &fleet, settings, seed)?;
            let low = factor * (1.0 - SWING);
            let high = factor * (1.0 + SWING);
            load.shape = Shape::Swing { low, high, period: SWING_PERIOD_S };
        }
        Drive::Cut => faults = cuts(&starts, fleet.names.zones.len()),
        Drive::BusyCut => {
            factor = BUSY_LOAD_FACTOR;
            load.shape = Shape::Flat(factor);
            faults = cuts(&starts, fleet.names.zones.len());
        }
        Drive::Lag => {
            load.shape = Shape::Swing { low: 1.0, high: 2.0, period: SWING_PERIOD_S };
            faults = late_reports(&starts);
        }
        Drive::Surge => load.surges = surges(&starts, &fleet),
    }
    let arrivals = draw(&fleet, &load, plan.seconds, seed);
    Ok(Staged { fleet, arrivals, faults, factor })
}

impl Staged {
    fn play(&self, plan: Plan, policy: &Policy, seed: u64) -> Result<StagedRun, String> {
        let day = Day {
            fleet: &self.fleet,
            arrivals: &self.arrivals,
            faults: &self.faults,
            seconds: plan.seconds,
            seed,
        };
        let played = play(&day, policy)?;
        let service = service(&self.fleet, &self.arrivals, &played.endings, plan.seconds);
        Ok(StagedRun { played, service })
    }

    /// Whether a cut keeps a request's head and its node apart.
    fn is_cut_off(&self, arrival: &Arrival) -> bool {
        let head_zone = self.fleet.heads[arrival.head];
        let node_zone = self.fleet.nodes[arrival.shard as usize].zone;
        if head_zone == node_zone {
            return false;
        }
        self.faults.iter().any(|fault| match fault {
            Fault::Cut { zone, at, seconds, .. } => {
                let is_between = head_zone == *zone || node_zone == *zone;
                is_between && (*at..at + seconds).contains(&arrival.at)
            }
            _ => false,
        })
    }

    /// The service of the ten seconds from `at` if all requests were served but those that a cut keeps apart.
    fn best_service(&self, plan: Plan, at: usize) -> f64 {
        let ending = |arrival: &Arrival| Ending { at: arrival.at, served: !self.is_cut_off(arrival) };
        let endings: Vec<Ending> = self.arrivals.iter().map(ending).collect();
        let best = service(&self.fleet, &self.arrivals, &endings, plan.seconds);
        let mut served = 0.0;
        let mut due = 0.0;
        for (served_then, due_then) in best.seconds.iter().skip(at).take(WORST_STRETCH_S) {
            served += served_then;
            due += due_then;
        }
        if due > 0.0 { served / due } else { 1.0 }
    }
}

/// Which levels' transitions are counted.
#[derive(Clone, Copy, PartialEq)]
enum Counted {
    /// The head's own level.
    Head,
    /// The levels of head and zones.
    All,
}

/// Transitions by readings, at the head with most of them; overrides and their ends are an operator's.
fn max_transitions(played: &Played, counted: Counted) -> usize {
    let is_counted = |transition: &&LevelTransition| {
        let by_readings = matches!(
            transition.reason,
            TransitionReason::ThresholdBreached { .. }
                | TransitionReason::Recovered { .. }
                | TransitionReason::NoReadings { .. }
        );
        by_readings && (counted == Counted::All || transition.scope == "head")
    };
    played.changes.iter().map(|head| head.iter().filter(is_counted).count()).max().unwrap_or(0)
}

/// The shed fraction of the requests, in each five seconds.
fn shed_fractions(played: &Played) -> Vec<f64> {
    let fraction = |(shed, arrived): &(u64, u64)| *shed as f64 / (*arrived).max(1) as f64;
    played.withheld.iter().map(fraction).collect()
}

/// The shed fraction of the requests over the whole day.
fn total_shed_fraction(played: &Played) -> f64 {
    let shed: u64 = played.withheld.iter().map(|(shed, _)| shed).sum();
    let arrived: u64 = played.withheld.iter().map(|(_, arrived)| arrived).sum();
    shed as f64 / arrived.max(1) as f64
}

/// Plays one day in all three ways.
///
/// # Errors
///
/// The head's level can't be entered by met objectives, or the scheduler rejects its settings.
pub fn row(drive: Drive, plan: Plan, settings: &SheddingSettings, seed: u64) -> Result<Row, String> {
    let staged = stage(drive, plan, settings, seed)?;
    let started = std::time::Instant::now();
    let levels = staged.play(plan, &Policy::Levels(Box::new(settings.clone())), seed)?;
    let seconds = started.elapsed().as_secs_f64();
    let none = staged.play(plan, &Policy::Plain, seed)?;
    let random = staged.play(plan, &Policy::Random(shed_fractions(&levels.played)), seed)?;
    Ok(Row {
        threshold: drive.name(settings),
        factor: staged.factor,
        seed,
        requests: staged.arrivals.len(),
        changes_head: max_transitions(&levels.played, Counted::Head),
        changes_all: max_transitions(&levels.played, Counted::All),
        withheld: total_shed_fraction(&levels.played),
        service_levels: levels.service.whole,
        service_none: none.service.whole,
        service_random: random.service.whole,
        worst_levels: levels.service.worst,
        worst_none: none.service.worst,
        worst_bound: staged.best_service(plan, none.service.worst_at),
        reserve_levels: levels.service.reserve_least,
        reserve_none: none.service.reserve_least,
        seconds,
        broken: levels.played.broken + none.played.broken + random.played.broken,
    })
}

/// All drives on all seeds, over all cores; the rows in the order of drives, then seeds.
///
/// # Errors
///
/// A day can't be played, as for [`row`].
pub fn rows(plan: Plan, settings: &SheddingSettings, seeds: &[u64]) -> Result<Vec<Row>, String> {
    let mut drives: Vec<Drive> = (0..settings.head.levels.len()).map(Drive::Entry).collect();
    drives.extend([Drive::Cut, Drive::BusyCut, Drive::Lag, Drive::Surge]);
    let days = with_seeds(&drives, seeds);
    days.into_par_iter().map(|(drive, seed)| row(drive, plan, settings, seed)).collect()
}

/// Each drive with each seed.
fn with_seeds(drives: &[Drive], seeds: &[u64]) -> Vec<(Drive, u64)> {
    let mut days = Vec::new();
    for drive in drives {
        for seed in seeds {
            days.push((*drive, *seed));
        }
    }
    days
}

/// A safeguard of the levels that is left out. The `serde` names are those of the experiment's summary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// All safeguards are in place.
    Full,
    /// Levels are left where they are entered.
    NoHysteresis,
    /// Levels may be left at once.
    #[serde(rename = "no_dwell")]
    NoMinDuration,
    /// One evaluation is evidence.
    NoWindow,
    /// Transitions are not limited.
    #[serde(rename = "no_bound")]
    NoTransitionLimit,
    /// None of the safeguards is in place.
    #[serde(rename = "no_guard")]
    NoSafeguard,
}

impl Ablation {
    fn leaves_out(self, safeguard: Ablation) -> bool {
        self == safeguard || self == Ablation::NoSafeguard
    }
}

/// All of them.
pub const ABLATIONS: [Ablation; 6] = [
    Ablation::Full,
    Ablation::NoHysteresis,
    Ablation::NoMinDuration,
    Ablation::NoWindow,
    Ablation::NoTransitionLimit,
    Ablation::NoSafeguard,
];

/// Settings without a safeguard, such as no file could hold.
pub fn ablate(settings: &SheddingSettings, ablation: Ablation) -> SheddingSettings {
    let mut settings = settings.clone();
    ablate_policy(&mut settings.head, ablation);
    ablate_policy(&mut settings.zone, ablation);
    settings
}

fn ablate_policy(policy: &mut EscalationPolicy, ablation: Ablation) {
    if ablation.leaves_out(Ablation::NoTransitionLimit) {
        policy.max_transitions = usize::MAX / 2;
    }
    if ablation.leaves_out(Ablation::NoWindow) {
        policy.window_s = 0.0;
    }
    if ablation.leaves_out(Ablation::NoMinDuration) {
        policy.max_min_duration_s = 0.0;
        for level in &mut policy.levels {
            level.min_duration_s = 0.0;
        }
    }
    if ablation.leaves_out(Ablation::NoHysteresis) {
        for level in &mut policy.levels {
            remove_hysteresis(level);
        }
    }
}

/// Has a level left at the thresholds that it is entered at.
fn remove_hysteresis(level: &mut LevelSettings) {
    for exit in &mut level.leave {
        if let Some(entry) = level.enter.iter().find(|entry| entry.signal == exit.signal) {
            exit.threshold = entry.threshold;
        }
    }
}

/// What one safeguard gains.
#[derive(Clone, Debug, Serialize)]
pub struct Ablated {
    /// What was left out.
    pub guard: Ablation,
    /// Transitions at the head with most of them, over all thresholds.
    pub changes_max: usize,
    /// Their mean.
    pub changes_mean: f64,
    /// Mean service.
    pub service: f64,
    /// Mean service of the worst ten seconds.
    pub worst: f64,
}

/// What one day with an ablation brought.
struct AblatedRun {
    transitions: usize,
    service: f64,
    worst: f64,
}

/// Each safeguard left out, on the days around the entries of the head's levels.
///
/// # Errors
///
/// A head's level can't be entered by met objectives, or the scheduler rejects its settings.
pub fn ablations(plan: Plan, settings: &SheddingSettings, seeds: &[u64]) -> Result<Vec<Ablated>, String> {
    let drives: Vec<Drive> = (0..settings.head.levels.len()).map(Drive::Entry).collect();
    let staged: Vec<(Staged, u64)> = with_seeds(&drives, seeds)
        .into_par_iter()
        .map(|(drive, seed)| Ok((stage(drive, plan, settings, seed)?, seed)))
        .collect::<Result<_, String>>()?;
    let mut ablated = Vec::new();
    for ablation in ABLATIONS {
        let policy = Policy::Levels(Box::new(ablate(settings, ablation)));
        let runs: Vec<AblatedRun> = staged
            .par_iter()
            .map(|(staged, seed)| ablated_run(staged, plan, &policy, *seed))
            .collect::<Result<_, String>>()?;
        ablated.push(summarize(ablation, &runs));
    }
    Ok(ablated)
}

fn ablated_run(staged: &Staged, plan: Plan, policy: &Policy, seed: u64) -> Result<AblatedRun, String> {
    let run = staged.play(plan, policy, seed)?;
    Ok(AblatedRun {
        transitions: max_transitions(&run.played, Counted::Head),
        service: run.service.whole,
        worst: run.service.worst,
    })
}

fn summarize(ablation: Ablation, runs: &[AblatedRun]) -> Ablated {
    let mean = |value: fn(&AblatedRun) -> f64| runs.iter().map(value).sum::<f64>() / runs.len() as f64;
    Ablated {
        guard: ablation,
        changes_max: runs.iter().map(|run| run.transitions).max().unwrap_or(0),
        changes_mean: mean(|run| run.transitions as f64),
        service: mean(|run| run.service),
        worst: mean(|run| run.worst),
    }
}

/// The lowest fraction of its reserve that a volume gets over all heads, with one head's level set by an override and
/// without.
#[derive(Clone, Copy, Debug)]
pub struct OneHeadOverride {
    /// With the first head at its highest level.
    pub overridden: f64,
    /// With all heads without levels.
    pub none: f64,
}

/// Sets one head of several to its highest level, the others shed nothing.
///
/// # Errors
///
/// The first level can't be entered by met objectives, or the scheduler rejects its settings or the level manager the
/// override.
pub fn one_head(plan: Plan, settings: &SheddingSettings, seed: u64) -> Result<OneHeadOverride, String> {
    let staged = stage(Drive::Entry(0), plan, settings, seed)?;
    let level = settings.head.levels.last().ok_or("no levels")?.name.clone();
    let policy = Policy::Pinned { head: 0, level, settings: Box::new(settings.clone()) };
    let overridden = staged.play(plan, &policy, seed)?;
    let none = staged.play(plan, &Policy::Plain, seed)?;
    Ok(OneHeadOverride { overridden: overridden.service.reserve_least, none: none.service.reserve_least })
}

#[cfg(test)]
mod tests;
