//! The events of a fleet's life, drawn from the seed and played one after the other. Each is given with the time until
//! it was in force at half, at 99 in 100 and at the last of the heads, and with the bytes that it cost.

use super::ScaleError;
use super::fit::percentile;
use super::fleet::{Fleet, FleetSample};
use super::message::{Micros, StartsWith};
use super::nodes::{NodeRecord, ZONES, region, zone};
use super::report::names;
use super::storage::SERVING_NODES;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Nodes of a rack.
pub const RACK: usize = 40;
/// One head in so many starts at once with nothing: 525 of 4,200.
const RESTARTED_PART: usize = 8;
/// What an ordinary day of the plan brings: machines that fail, restarts, changes of primary, changes of configuration.
pub const DAY_FAILURES: u32 = 16;
/// Nodes restarted or replaced in a day; each drains and then comes back.
pub const DAY_RESTARTS: u32 = 2900;
/// Changes of a shard's primary in a day.
pub const DAY_PRIMARIES: u32 = 18;
/// Changes of configuration in a day; nothing carries them yet.
pub const DAY_CONFIGURATIONS: u32 = 7900;
/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Versions of the list that an ordinary day takes.
pub const DAY_VERSIONS: u32 = DAY_FAILURES + 2 * DAY_RESTARTS + DAY_PRIMARIES;
/// What is published during a cut, on each side.
const CHANGES_IN_A_CUT: u32 = 4;

/// How long is waited for what, and how long spans last.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// Until every head has heard of discovery at the start.
    pub start: Duration,
    /// Until heads have settled after that.
    pub settle: Duration,
    /// Over which the cost of idle heads is measured.
    pub idle: Duration,
    /// Over which an ordinary day's changes are played, and how many versions of the list.
    pub day: Duration,
    /// Versions published in that span.
    pub day_versions: u32,
    /// For a change to be in force everywhere; what takes longer counts as missed.
    pub change: Duration,
    /// How long regions are cut off from each other.
    pub cut: Duration,
    /// For all to be in force after a cut; what takes longer counts as missed.
    pub heal: Duration,
}

impl Waits {
    /// The spans of a run; `quick` ones keep the largest fleet under 50 s.
    pub fn new(quick: bool) -> Waits {
        let seconds = Duration::from_secs_f64;
        if quick {
            return Waits {
                start: seconds(30.0),
                settle: seconds(0.5),
                idle: seconds(4.0),
                day: seconds(5.0),
                day_versions: 25,
                change: seconds(20.0),
                cut: seconds(4.0),
                heal: seconds(20.0),
            };
        }
        Waits {
            start: seconds(120.0),
            settle: seconds(12.0),
            idle: seconds(20.0),
            day: seconds(20.0),
            day_versions: 100,
            change: seconds(60.0),
            cut: seconds(180.0),
            heal: seconds(180.0),
        }
    }

    /// How many times faster than on an ordinary day the list changes.
    pub fn day_factor(&self) -> f64 {
        f64::from(self.day_versions) / self.day.as_secs_f64() * DAY / f64::from(DAY_VERSIONS)
    }
}

/// What became of an event.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// What happened.
    pub event: &'static str,
    /// Heads that it was to be in force at, for each version that it took.
    pub heads: usize,
    /// Versions of the list that it took.
    pub versions: usize,
    /// Seconds until it was in force at half of them; none where nothing carries it or nothing came.
    pub half_s: Option<f64>,
    /// At 99 in 100 of them.
    pub p99_s: Option<f64>,
    /// At the last of them.
    pub last_s: Option<f64>,
    /// Heads, for each version, at which it was not in force in the time waited.
    pub missed: usize,
    /// Bytes that the control machines sent to heads and took from them for it, past what idle heads take.
    pub bytes: Option<u64>,
}

impl Outcome {
    fn new(event: &'static str, seconds: &[f64], expected: usize, versions: usize) -> Outcome {
        Outcome {
            event,
            heads: expected,
            versions,
            half_s: percentile(seconds, 0.5),
            p99_s: percentile(seconds, 0.99),
            last_s: percentile(seconds, 1.0),
            missed: (expected * versions).saturating_sub(seconds.len()),
            bytes: None,
        }
    }

    /// An event that nothing carries today.
    pub fn carried_by_nothing(event: &'static str) -> Outcome {
        Outcome { event, ..Outcome::default() }
    }
}

fn seconds(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

/// Bytes that control machines have exchanged with heads.
fn exchanged(sample: &FleetSample) -> u64 {
    sample.control().iter().map(|control| control.served.sent + control.served.received).sum()
}

/// Plays the events of a run.
pub struct Player<'a> {
    /// The fleet.
    pub fleet: &'a mut Fleet,
    /// Draws what is hit.
    pub random: ChaCha8Rng,
    /// What idle heads exchange with control, in bytes a second.
    pub idle_bytes: f64,
    /// The newest version published.
    pub version: u64,
    /// What became of the events played.
    pub outcomes: Vec<Outcome>,
}

impl Player<'_> {
    /// Plays all of them but the ordinary day.
    ///
    /// # Errors
    ///
    /// A process of the fleet can't be started, does not reply, or is not ready in time.
    pub async fn play(&mut self) -> Result<(), ScaleError> {
        self.one_node_drains().await?;
        self.one_node_is_replaced().await?;
        self.a_rack_goes().await?;
        self.a_zone_goes_and_comes_back().await?;
        self.heads_start_with_nothing().await?;
        self.a_control_machine_dies_and_comes_back().await?;
        self.regions_lose_each_other().await
    }

    async fn one_node_drains(&mut self) -> Result<(), ScaleError> {
        let Some(place) = self.fleet.table.draw(&mut self.random, SERVING_NODES) else { return Ok(()) };
        let nodes = self.fleet.table.drain(place);
        self.change(names::DRAIN, nodes).await
    }

    async fn one_node_is_replaced(&mut self) -> Result<(), ScaleError> {
        let Some(place) = self.fleet.table.draw(&mut self.random, SERVING_NODES) else { return Ok(()) };
        let nodes = self.fleet.table.replace(place);
        self.change(names::REPLACED, nodes).await
    }

    async fn a_rack_goes(&mut self) -> Result<(), ScaleError> {
        let zone = self.random.random_range(0..ZONES);
        let mut rack = self.fleet.table.of_zone(zone, SERVING_NODES);
        // A rack stands in one place: neighbours of one zone, and a tenth of a small fleet at most.
        let size = RACK.min(self.fleet.table.nodes().len() / 10).min(rack.len());
        let first = self.random.random_range(0..=rack.len() - size);
        rack = rack.split_off(first);
        rack.truncate(size);
        let nodes = self.fleet.table.leave(&rack);
        self.change(names::RACK, nodes).await
    }

    async fn a_zone_goes_and_comes_back(&mut self) -> Result<(), ScaleError> {
        let lost = self.random.random_range(0..ZONES);
        let heads: Vec<u32> = self.fleet.heads.iter().copied().filter(|head| zone(*head) == lost).collect();
        let places = self.fleet.table.of_zone(lost, SERVING_NODES);
        self.fleet.stop_heads(&heads).await?;
        let nodes = self.fleet.table.leave(&places);
        self.change(names::ZONE_GOES, nodes).await?;
        self.fleet.start_heads(&heads, StartsWith::KnownList).await?;
        let nodes = self.fleet.table.restart(&places);
        self.change(names::ZONE_BACK, nodes).await?;
        self.fleet.all_heard(self.fleet.waits.change).await;
        _ = self.fleet.in_force().await?;
        Ok(())
    }

    async fn heads_start_with_nothing(&mut self) -> Result<(), ScaleError> {
        let count = self.fleet.heads.len().div_ceil(RESTARTED_PART);
        let mut heads: Vec<u32> = self.fleet.heads.iter().copied().collect();
        for place in 0..count {
            let other = self.random.random_range(place..heads.len());
            heads.swap(place, other);
        }
        heads.truncate(count);
        self.fleet.says("heads start with nothing");
        self.fleet.stop_heads(&heads).await?;
        _ = self.fleet.in_force().await?;
        let (before, began) = (self.fleet.sample().await?, Instant::now());
        self.fleet.start_heads(&heads, StartsWith::Nothing).await?;
        self.fleet.all_heard(self.fleet.waits.change).await;
        let bytes = self.bytes_since(&before, began).await?;
        let starts = self.fleet.in_force().await?.starts;
        let took: Vec<f64> = starts.iter().map(|micros| *micros as f64 / 1e6).collect();
        let outcome = Outcome::new(names::STORM, &took, count, 1);
        self.outcomes.push(Outcome { bytes: Some(bytes), ..outcome });
        Ok(())
    }

    /// A change right after the death of a relay, and one right after its return with nothing.
    async fn a_control_machine_dies_and_comes_back(&mut self) -> Result<(), ScaleError> {
        if self.fleet.relays.is_empty() {
            // The stand-in for discovery is the one machine; its death leaves nothing to measure.
            return Ok(());
        }
        let lost = self.random.random_range(0..self.fleet.relays.len());
        self.fleet.relays[lost].kill().await?;
        if let Some(place) = self.fleet.table.draw(&mut self.random, SERVING_NODES) {
            let nodes = self.fleet.table.drain(place);
            self.change(names::CONTROL_DIES, nodes).await?;
        }
        self.fleet.relays[lost].restart().await?;
        if let Some(place) = self.fleet.table.draw(&mut self.random, SERVING_NODES) {
            let nodes = self.fleet.table.drain(place);
            self.change(names::CONTROL_BACK, nodes).await?;
        }
        self.fleet.relays[lost].ready().await
    }

    async fn regions_lose_each_other(&mut self) -> Result<(), ScaleError> {
        const LOST: usize = 1;
        self.fleet.says("regions lose each other");
        let (before, began) = (self.fleet.sample().await?, Instant::now());
        self.fleet.cut(LOST, true).await?;
        let (cut, mut versions) = (self.fleet.waits.cut, Vec::new());
        for step in 0..2 * CHANGES_IN_A_CUT {
            let place = self.node_of_region(step as usize % 2);
            if let Some(place) = place {
                let nodes = self.fleet.table.replace(place);
                versions.push(self.publish(nodes).await?);
            }
            sleep_until(began + cut * (step + 1) / (2 * CHANGES_IN_A_CUT)).await;
        }
        let healed = self.fleet.cut(LOST, false).await?;
        self.fleet.all_have(self.version, self.fleet.waits.heal).await;
        let bytes = self.bytes_since(&before, began).await?;
        let in_force = self.fleet.in_force().await?;
        let near = |at: &Micros| *at < healed;
        let (mut while_cut, mut after) = (Vec::new(), Vec::new());
        let of_region = |lost: bool| {
            let heads = self.fleet.heads.iter();
            heads.filter(|head| (region(zone(**head)) == LOST) == lost).count()
        };
        for (version, at) in &versions {
            let times = in_force.versions.get(version).map_or(&[][..], Vec::as_slice);
            while_cut.extend(times.iter().filter(|at| near(at)).map(|time| seconds(*at, *time)));
            after.extend(times.iter().filter(|at| !near(at)).map(|time| seconds(healed, *time)));
        }
        let count = versions.len();
        let outcome = Outcome::new(names::CUT_NEAR, &while_cut, of_region(false), count);
        self.outcomes.push(outcome);
        let outcome = Outcome::new(names::HEAL, &after, of_region(true), count);
        self.outcomes.push(Outcome { bytes: Some(bytes), ..outcome });
        Ok(())
    }

    fn node_of_region(&mut self, wanted: usize) -> Option<usize> {
        let zone = (0..ZONES).filter(|zone| region(*zone) == wanted);
        let zone = zone.collect::<Vec<_>>();
        let zone = zone[self.random.random_range(0..zone.len())];
        let places = self.fleet.table.of_zone(zone, SERVING_NODES);
        (!places.is_empty()).then(|| places[self.random.random_range(0..places.len())])
    }

    /// The ordinary day's changes, faster: versions at an even pace, each of a kind drawn as often as the day has it.
    ///
    /// # Errors
    ///
    /// A process of the fleet has ended, or does not reply as expected.
    pub async fn ordinary_day(&mut self) -> Result<(), ScaleError> {
        self.fleet.says("an ordinary day's changes, faster");
        let waits = self.fleet.waits;
        let began = Instant::now();
        let (mut versions, mut restarting) = (Vec::new(), None);
        for step in 0..waits.day_versions {
            let nodes = self.change_of_the_day(&mut restarting);
            versions.push(self.publish(nodes).await?);
            sleep_until(began + waits.day * (step + 1) / waits.day_versions).await;
        }
        self.fleet.all_have(self.version, waits.change).await;
        let in_force = self.fleet.in_force().await?;
        let mut took = Vec::new();
        for (version, at) in &versions {
            let times = in_force.versions.get(version).map_or(&[][..], Vec::as_slice);
            took.extend(times.iter().map(|time| seconds(*at, *time)));
        }
        let outcome = Outcome::new(names::DAY, &took, self.fleet.heads.len(), versions.len());
        self.outcomes.push(outcome);
        Ok(())
    }

    /// One version of the day; a node that restarts comes back with the next one.
    fn change_of_the_day(&mut self, restarting: &mut Option<usize>) -> Vec<NodeRecord> {
        let table = &mut self.fleet.table;
        if let Some(place) = restarting.take() {
            return table.restart(&[place]);
        }
        let Some(place) = table.draw(&mut self.random, SERVING_NODES) else { return Vec::new() };
        match self.random.random_range(0..DAY_FAILURES + DAY_RESTARTS + DAY_PRIMARIES) {
            0..DAY_FAILURES => table.leave(&[place]),
            kind if kind < DAY_FAILURES + DAY_PRIMARIES => table.replace(place),
            _ => {
                *restarting = Some(place);
                table.drain(place)
            }
        }
    }

    async fn publish(&mut self, nodes: Vec<NodeRecord>) -> Result<(u64, Micros), ScaleError> {
        let (version, at) = self.fleet.publish(nodes).await?;
        self.version = version;
        Ok((version, at))
    }

    /// Publishes one version and waits until it is in force.
    async fn change(&mut self, event: &'static str, nodes: Vec<NodeRecord>) -> Result<(), ScaleError> {
        self.fleet.says(event);
        let (before, began) = (self.fleet.sample().await?, Instant::now());
        let (version, at) = self.publish(nodes).await?;
        self.fleet.all_have(version, self.fleet.waits.change).await;
        let bytes = self.bytes_since(&before, began).await?;
        let in_force = self.fleet.in_force().await?;
        let times = in_force.versions.get(&version).map_or(&[][..], Vec::as_slice);
        let took: Vec<f64> = times.iter().map(|time| seconds(at, *time)).collect();
        let outcome = Outcome::new(event, &took, self.fleet.heads.len(), 1);
        self.outcomes.push(Outcome { bytes: Some(bytes), ..outcome });
        Ok(())
    }

    /// Bytes exchanged since a sample, past what idle heads would have.
    async fn bytes_since(&mut self, before: &FleetSample, began: Instant) -> Result<u64, ScaleError> {
        let idle = self.idle_bytes * began.elapsed().as_secs_f64();
        let after = self.fleet.sample().await?;
        let all = exchanged(&after).saturating_sub(exchanged(before));
        Ok(all.saturating_sub(idle as u64))
    }
}

/// Lets the fleet rest.
pub async fn rest(span: Duration) {
    sleep(span).await;
}
