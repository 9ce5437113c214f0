//! The experiment on levels of reduced service: load is driven up and down around each threshold, and the same day is
//! played with levels, without, and with random refusals at the rate that the levels refused at.

use crate::fleet::{COMMUNITY, Fleet, Size};
use crate::load::{Arrival, Load, Shape, Surge, draw};
use crate::measure::{Service, service};
use crate::sim::{Day, Fault, Played, Policy, play};
use flaxgap_load_shedding::Settings as Levels;
use flaxgap_load_shedding::report::Why;
use rayon::prelude::*;
use serde::Serialize;

/// Seconds that a day is played for to find the load at which a threshold is met, and how often it is halved.
const TRIAL: f64 = 40.0;
const HALVINGS: usize = 6;
/// The range of load factors that is looked through.
const FACTORS: (f64, f64) = (0.5, 8.0);
/// The load swings by this part around the point where the threshold is met, once in so many seconds: near the
/// dwell, where a level swings most easily.
const SWING: f64 = 0.3;
const PERIOD: f64 = 40.0;
/// Seconds between two cuts or two stretches of late reports, and how long each takes.
const EVERY: f64 = 75.0;
const CUT: f64 = 20.0;

/// What a day is driven around.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum Drive {
    /// The entry of a level of the head, by its place.
    Entry(usize),
    /// Halls cut off, one after the other, and back cold.
    Cut,
    /// A hall cut off while the load is twice the usual.
    BusyCut,
    /// Use reports 3.4 s late.
    Lag,
    /// One volume at twelve times its rate.
    Surge,
}

/// One row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// What the day was driven around.
    pub threshold: String,
    /// The load factor at which it was met.
    pub factor: f64,
    /// Seed of the day.
    pub seed: u64,
    /// Requests that came.
    pub requests: usize,
    /// Changes of level at the head that had most, pins apart: of its own ladder, and of all its ladders.
    pub changes_head: usize,
    /// The same with those of its halls.
    pub changes_all: usize,
    /// Part of the requests that the levels refused.
    pub withheld: f64,
    /// Service with levels, without, and with random refusals at the same rate.
    pub service_levels: f64,
    /// Without.
    pub service_none: f64,
    /// Random.
    pub service_random: f64,
    /// The worst ten seconds with levels, and without.
    pub worst_levels: f64,
    /// Without.
    pub worst_none: f64,
    /// The part of what is due in those ten seconds that could have been served, where halls are cut off.
    pub worst_bound: f64,
    /// The least part of its reserve that a volume got in time, with levels and without.
    pub reserve_levels: f64,
    /// Without.
    pub reserve_none: f64,
    /// Seconds that the run with levels took on one core.
    #[serde(skip)]
    pub seconds: f64,
    /// Answers that broke a rule, in all runs together.
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

/// The part of reserved work whose aim is met at a steady load, as the module counts it.
fn aims(fleet: &Fleet, factor: f64, seed: u64) -> Result<f64, String> {
    let load = Load { shape: Shape::Flat(factor), surges: vec![] };
    let arrivals = draw(fleet, &load, TRIAL, seed ^ 0x7ea1);
    let day = Day { fleet, arrivals: &arrivals, faults: &[], seconds: TRIAL, seed };
    let (met, all) = play(&day, &Policy::Plain)?.kept;
    Ok(if all > 0 { met as f64 / all as f64 } else { 1.0 })
}

/// The load factor at which the aims met are at a threshold; the range's end where none is.
fn meets(fleet: &Fleet, threshold: f64, seed: u64) -> Result<f64, String> {
    let (mut low, mut high) = FACTORS;
    for _ in 0..HALVINGS {
        let middle = (low * high).sqrt();
        if aims(fleet, middle, seed)? > threshold {
            low = middle;
        } else {
            high = middle;
        }
    }
    Ok((low * high).sqrt())
}

fn stage(drive: Drive, plan: Plan, levels: &Levels, seed: u64) -> Result<Staged, String> {
    let fleet = Fleet::draw(plan.size, seed);
    let (mut faults, mut surges, mut shape, mut factor) = (vec![], vec![], Shape::Flat(1.0), 1.0);
    let rounds = (plan.seconds / EVERY) as usize;
    let starts = (0..rounds).map(|round| EVERY * round as f64 + 20.0);
    match drive {
        Drive::Entry(place) => {
            let entry = levels.head.rungs[place].enter.iter().find(|c| c.name == "aims");
            let threshold = entry.ok_or("the level has no entry by aims")?.threshold;
            factor = meets(&fleet, threshold, seed)?;
            let (low, high) = (factor * (1.0 - SWING), factor * (1.0 + SWING));
            shape = Shape::Swing { low, high, period: PERIOD };
        }
        Drive::Cut | Drive::BusyCut => {
            factor = if drive == Drive::BusyCut { 2.0 } else { 1.0 };
            shape = Shape::Flat(factor);
            let halls = fleet.names.halls.len();
            let cut = |(round, at)| Fault::Cut { zone: (round % halls) as u16, at, seconds: CUT, cold: true };
            faults = starts.enumerate().map(cut).collect();
        }
        Drive::Lag => {
            shape = Shape::Swing { low: 1.0, high: 2.0, period: PERIOD };
            faults = starts.map(|at| Fault::Lag { at, seconds: CUT, extra: Some(3.4) }).collect();
        }
        Drive::Surge => {
            let volume = fleet.volumes.iter().position(|v| v.plan != COMMUNITY).unwrap_or(0);
            surges = starts.map(|from| Surge { volume, from, seconds: CUT, times: 12.0 }).collect();
        }
    }
    let arrivals = draw(&fleet, &Load { shape, surges }, plan.seconds, seed);
    Ok(Staged { fleet, arrivals, faults, factor })
}

impl Staged {
    fn play(&self, plan: Plan, policy: &Policy, seed: u64) -> Result<(Played, Service), String> {
        let day = Day {
            fleet: &self.fleet,
            arrivals: &self.arrivals,
            faults: &self.faults,
            seconds: plan.seconds,
            seed,
        };
        let played = play(&day, policy)?;
        let service = service(&self.fleet, &self.arrivals, &played.endings, plan.seconds);
        Ok((played, service))
    }

    /// The service of the ten seconds from `at` if all were served but what a cut keeps apart.
    fn bound(&self, plan: Plan, at: usize) -> f64 {
        let apart = |arrival: &Arrival| {
            let (head, node) =
                (self.fleet.heads[arrival.head], self.fleet.nodes[arrival.shard as usize].zone);
            self.faults.iter().any(|fault| match fault {
                Fault::Cut { zone, at, seconds, .. } => {
                    head != node
                        && (head == *zone || node == *zone)
                        && (*at..at + seconds).contains(&arrival.at)
                }
                _ => false,
            })
        };
        let ending = |a: &Arrival| crate::sim::Ending { at: a.at, served: !apart(a) };
        let endings: Vec<_> = self.arrivals.iter().map(ending).collect();
        let best = service(&self.fleet, &self.arrivals, &endings, plan.seconds);
        let stretch = best.seconds.iter().skip(at).take(10);
        let (got, due) = stretch.fold((0.0, 0.0), |sum, second| (sum.0 + second.0, sum.1 + second.1));
        if due > 0.0 { got / due } else { 1.0 }
    }
}

/// Changes that are counted: pins and their ends are an operator's.
fn changes(played: &Played, all: bool) -> usize {
    let counted = |change: &&flaxgap_load_shedding::report::Change| {
        matches!(change.why, Why::Pressed { .. } | Why::Eased { .. } | Why::Blind { .. })
            && (all || change.scope == "head")
    };
    played.changes.iter().map(|head| head.iter().filter(counted).count()).max().unwrap_or(0)
}

/// Refused part of the requests, in each five seconds.
fn rates(played: &Played) -> Vec<f64> {
    let rate = |(withheld, came): &(u64, u64)| *withheld as f64 / (*came).max(1) as f64;
    played.withheld.iter().map(rate).collect()
}

/// Plays one day in all three ways.
pub fn row(drive: Drive, plan: Plan, levels: &Levels, seed: u64) -> Result<Row, String> {
    let staged = stage(drive, plan, levels, seed)?;
    let began = std::time::Instant::now();
    let (with, got) = staged.play(plan, &Policy::Levels(Box::new(levels.clone())), seed)?;
    let seconds = began.elapsed().as_secs_f64();
    let (without, none) = staged.play(plan, &Policy::Plain, seed)?;
    let (random, chance) = staged.play(plan, &Policy::Random(rates(&with)), seed)?;
    let (withheld, came) = with.withheld.iter().fold((0, 0), |s, w| (s.0 + w.0, s.1 + w.1));
    let threshold = match drive {
        Drive::Entry(place) => levels.head.rungs[place].name.clone(),
        Drive::Cut => "hall-cut".into(),
        Drive::BusyCut => "hall-cut, busy".into(),
        Drive::Lag => "reports late".into(),
        Drive::Surge => "surge of one".into(),
    };
    Ok(Row {
        threshold,
        factor: staged.factor,
        seed,
        requests: staged.arrivals.len(),
        changes_head: changes(&with, false),
        changes_all: changes(&with, true),
        withheld: withheld as f64 / came.max(1) as f64,
        service_levels: got.whole,
        service_none: none.whole,
        service_random: chance.whole,
        worst_levels: got.worst,
        worst_none: none.worst,
        worst_bound: staged.bound(plan, none.worst_at),
        reserve_levels: got.reserve_least,
        reserve_none: none.reserve_least,
        seconds,
        broken: with.broken + without.broken + random.broken,
    })
}

/// All drives on all seeds, over all cores; the rows in the order of drives, then seeds.
pub fn rows(plan: Plan, levels: &Levels, seeds: &[u64]) -> Result<Vec<Row>, String> {
    let entries = (0..levels.head.rungs.len()).map(Drive::Entry);
    let drives = entries.chain([Drive::Cut, Drive::BusyCut, Drive::Lag, Drive::Surge]);
    let all: Vec<(Drive, u64)> = drives.flat_map(|d| seeds.iter().map(move |s| (d, *s))).collect();
    all.into_par_iter().map(|(drive, seed)| row(drive, plan, levels, seed)).collect()
}

/// A guard of the ladder that is left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ablation {
    /// All guards stand.
    Full,
    /// Levels are left where they are entered.
    NoHysteresis,
    /// Levels may be left at once.
    NoDwell,
    /// One look is evidence.
    NoWindow,
    /// Changes are not bounded.
    NoBound,
    /// None of the guards stands.
    NoGuard,
}

/// All of them.
pub const ABLATIONS: [Ablation; 6] = [
    Ablation::Full,
    Ablation::NoHysteresis,
    Ablation::NoDwell,
    Ablation::NoWindow,
    Ablation::NoBound,
    Ablation::NoGuard,
];

/// Settings without a guard, such as no file could hold.
pub fn ablate(levels: &Levels, what: Ablation) -> Levels {
    let mut levels = levels.clone();
    let all = what == Ablation::NoGuard;
    for ladder in [&mut levels.head, &mut levels.hall] {
        if all || what == Ablation::NoBound {
            ladder.changes = usize::MAX / 2;
        }
        if all || what == Ablation::NoWindow {
            ladder.window = 0.0;
        }
        if all || what == Ablation::NoDwell {
            ladder.dwell_most = 0.0;
        }
        for rung in &mut ladder.rungs {
            if all || what == Ablation::NoDwell {
                rung.dwell = 0.0;
            }
            if all || what == Ablation::NoHysteresis {
                for exit in &mut rung.leave {
                    let entry = rung.enter.iter().find(|entry| entry.signal == exit.signal);
                    exit.threshold = entry.map_or(exit.threshold, |entry| entry.threshold);
                }
            }
        }
    }
    levels
}

/// What one guard gains.
#[derive(Clone, Debug, Serialize)]
pub struct Ablated {
    /// What was left out.
    pub guard: Ablation,
    /// Changes at the head that had most, over all thresholds.
    pub changes_max: usize,
    /// Mean changes of the head that had most.
    pub changes_mean: f64,
    /// Mean service.
    pub service: f64,
    /// Mean of the worst ten seconds.
    pub worst: f64,
}

/// Each guard left out, on the days around the entries of the head's levels.
pub fn ablations(plan: Plan, levels: &Levels, seeds: &[u64]) -> Result<Vec<Ablated>, String> {
    let drives: Vec<(Drive, u64)> = (0..levels.head.rungs.len())
        .flat_map(|place| seeds.iter().map(move |seed| (Drive::Entry(place), *seed)))
        .collect();
    let staged: Vec<(Staged, u64)> = drives
        .into_par_iter()
        .map(|(drive, seed)| Ok((stage(drive, plan, levels, seed)?, seed)))
        .collect::<Result<_, String>>()?;
    let one = |guard: Ablation| {
        let policy = Policy::Levels(Box::new(ablate(levels, guard)));
        let all: Vec<(usize, f64, f64)> = staged
            .par_iter()
            .map(|(staged, seed)| {
                let (played, service) = staged.play(plan, &policy, *seed)?;
                Ok((changes(&played, false), service.whole, service.worst))
            })
            .collect::<Result<_, String>>()?;
        let mean = |of: fn(&(usize, f64, f64)) -> f64| all.iter().map(of).sum::<f64>() / all.len() as f64;
        Ok(Ablated {
            guard,
            changes_max: all.iter().map(|run| run.0).max().unwrap_or(0),
            changes_mean: mean(|run| run.0 as f64),
            service: mean(|run| run.1),
            worst: mean(|run| run.2),
        })
    };
    ABLATIONS.into_iter().map(one).collect()
}

/// One head of five held at `reserve-only`, the others at none: the least part of its reserve that a volume gets
/// over all heads, against none held.
pub fn one_head(plan: Plan, levels: &Levels, seed: u64) -> Result<(f64, f64), String> {
    let staged = stage(Drive::Entry(0), plan, levels, seed)?;
    let level = levels.head.rungs.last().ok_or("no levels")?.name.clone();
    let held = Policy::Pinned { head: 0, level, settings: Box::new(levels.clone()) };
    let (_, with) = staged.play(plan, &held, seed)?;
    let (_, without) = staged.play(plan, &Policy::Plain, seed)?;
    Ok((with.reserve_least, without.reserve_least))
}

#[cfg(test)]
mod tests;
