//! Whether slow start holds before a large fleet: heads of the real decisions send to one node that just started, and
//! what all of them send in any span is set against what makes such a node fall. Results hold for the modelled node.

mod cold_node;
mod heads;
mod play;
pub mod table;

use flaxgap::scheduler::SlowStartSettings;
use rayon::prelude::*;
use serde::Serialize;

/// The guarantees that heads are told; the slowest node bears exactly what they say.
pub const COLD: SlowStartSettings = SlowStartSettings {
    units: 24.0,
    window_s: 3.0,
    initial_capacity: 0.17,
    warm_up_s: 16.0,
    overload_factor: 3.0,
};
/// Mean size of a request, in units: sizes are drawn evenly from 1 to 3.
pub const MEAN_UNITS: f64 = 2.0;

/// How volumes are spread; it decides how many heads send to one node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Spread {
    /// Volumes in the installation for each node.
    pub volumes_per_node: f64,
    /// Nodes that hold a volume's data.
    pub nodes_per_volume: f64,
    /// Heads that a volume's requests come through.
    pub heads_per_volume: f64,
}

impl Spread {
    /// Expected number of different heads, of so many, that send to one node: each volume with data there draws its
    /// heads independently.
    pub fn senders(&self, heads: f64) -> f64 {
        let pairs = self.volumes_per_node * self.nodes_per_volume * self.heads_per_volume;
        heads * (1.0 - (1.0 - 1.0 / heads).powf(pairs))
    }
}

/// Which decisions the heads run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Decisions {
    /// `SlowStart` alone: all that is asked counts as due. The hardest case for it.
    SlowStart,
    /// The whole `Scheduler`: reserves, queues, windows, refusals and cancelled attempts as in the program.
    Scheduler,
}

/// What heads know of the node's past when it starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum History {
    /// They served its shard for a minute before.
    Known,
    /// They start together with it.
    Unknown,
}

/// One case to play.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Case {
    /// Which decisions the heads run.
    pub decisions: Decisions,
    /// Heads that send to the node.
    pub senders: u32,
    /// Heads of the whole installation, as the settings tell them.
    pub heads: u32,
    /// Part of the node's warm capacity that plans promise, asked for before its start.
    pub promised: f64,
    /// The multiple of that asked for from its start on.
    pub load: f64,
    /// The node's capacity as a multiple of the slowest node's.
    pub strength: f64,
    /// What heads know of its past.
    pub history: History,
    /// The seed of all that is drawn.
    pub seed: u64,
}

impl Case {
    /// The node's warm capacity, in units a second.
    pub fn capacity(&self) -> f64 {
        self.strength * COLD.units / COLD.window_s / COLD.overload_factor / COLD.initial_capacity
    }
}

/// Why the span with most sent came as close as it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The heads' rates add up to more than the node bears.
    Rates,
    /// The rates fit; requests that go ahead of them, or whole requests saved up for, fell together by chance.
    Chance,
}

/// The span in which most was sent, against what the node bore at its end.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Closest {
    /// Sent over the bound past which the node falls.
    pub margin: f64,
    /// Sent over what the node bears without the bound's allowance for chance.
    pub of_allowed: f64,
    /// Seconds since the node's start.
    pub age: f64,
    /// Units sent in the span.
    pub sent: f64,
    /// Units allowed in it.
    pub allowed: f64,
    /// Units that came to the heads in it.
    pub asked: f64,
    /// What the heads' rates at its end add up to over the span. Not known for the whole scheduler.
    pub rates: Option<f64>,
    /// Heads that sent in it.
    pub heads: usize,
}

impl Closest {
    /// Why it came so close, where that is known.
    pub fn cause(&self) -> Option<Cause> {
        self.rates.map(|rates| if rates > self.allowed { Cause::Rates } else { Cause::Chance })
    }
}

/// What one case came to.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Played {
    /// The span in which most was sent.
    pub closest: Closest,
    /// Units served while the node was cold, over what one queue before it could have served of what was asked.
    pub served: f64,
}

/// Plays a case.
///
/// # Errors
///
/// The case has settings that a scheduler or the arrival process can't work with, or nothing was played.
pub fn play(case: &Case) -> Result<Played, String> {
    play::play(case)
}

/// The cases with the same decisions, fleet and load together.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Which decisions the heads ran.
    pub decisions: Decisions,
    /// Heads that send to the node.
    pub senders: u32,
    /// Heads of the installation, as the settings tell them.
    pub heads: u32,
    /// The multiple of what plans promise.
    pub load: f64,
    /// Cases played.
    pub plays: usize,
    /// Cases in which the node fell.
    pub fell: usize,
    /// The case that came closest to that.
    pub closest_case: Case,
    /// Its span.
    pub closest: Closest,
    /// Its cause.
    pub cause: Option<Cause>,
    /// Mean part served by the slowest node, heads knowing its past.
    pub served_slowest: f64,
    /// The same for a node of three times its capacity.
    pub served_strong: f64,
    /// The same for that one, heads not knowing its past.
    pub served_strong_unknown: f64,
}

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Heads of the installation.
    pub heads: u32,
    /// Numbers of heads that send to the node.
    pub senders: Vec<u32>,
    /// Part of a node's warm capacity that plans promise.
    pub promised: f64,
    /// Multiples of it that are asked for.
    pub loads: Vec<f64>,
    /// Which decisions.
    pub decisions: Vec<Decisions>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

/// Capacities that are played, as multiples of the slowest node's.
const SLOWEST: f64 = 1.0;
const STRONG: f64 = 3.0;

/// Plays all cases of a plan, on all cores.
///
/// # Errors
///
/// A case of the plan can't be played, as for [`play`].
pub fn rows(plan: &Plan) -> Result<Vec<Row>, String> {
    let mut rows = Vec::new();
    for decisions in &plan.decisions {
        for senders in &plan.senders {
            // A fleet in which every head sends to the node, and the installation in which only some do.
            let mut fleets = vec![*senders, plan.heads];
            fleets.dedup();
            for heads in fleets {
                for load in &plan.loads {
                    rows.push(row(plan, *decisions, *senders, heads, *load)?);
                }
            }
        }
    }
    Ok(rows)
}

fn row(plan: &Plan, decisions: Decisions, senders: u32, heads: u32, load: f64) -> Result<Row, String> {
    let mut cases = Vec::new();
    for seed in &plan.seeds {
        for strength in [SLOWEST, STRONG] {
            for history in [History::Known, History::Unknown] {
                let (promised, seed) = (plan.promised, *seed);
                cases.push(Case { decisions, senders, heads, promised, load, strength, history, seed });
            }
        }
    }
    let played: Result<Vec<(Case, Played)>, String> =
        cases.into_par_iter().map(|case| Ok((case, play(&case)?))).collect();
    let played = played?;
    let closest = played.iter().max_by(|a, b| a.1.closest.margin.total_cmp(&b.1.closest.margin));
    let (closest_case, result) = closest.ok_or("no seeds")?;
    let served = |strength: f64, history: History| {
        let of = played.iter().filter(|(case, _)| case.strength == strength && case.history == history);
        let values: Vec<f64> = of.map(|(_, result)| result.served).collect();
        values.iter().sum::<f64>() / values.len() as f64
    };
    Ok(Row {
        decisions,
        senders,
        heads,
        load,
        plays: played.len(),
        fell: played.iter().filter(|(_, result)| result.closest.margin > 1.0).count(),
        closest_case: *closest_case,
        closest: result.closest,
        cause: result.closest.cause(),
        served_slowest: served(SLOWEST, History::Known),
        served_strong: served(STRONG, History::Known),
        served_strong_unknown: served(STRONG, History::Unknown),
    })
}
