//! What a modelled installation consists of: halls, heads, nodes, plans and volumes, drawn from a seed within the
//! ranges of a small broadcaster's site.

use flaxgap::scheduler::{
    Class, DeduplicationScope, Idempotency, OptionalMechanisms, Plan, RateLimit, SchedulerSettings,
    SlowStartSettings,
};
use flaxgap_load_shedding::Names;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The class that reads, and the one that writes.
pub const READ: usize = 0;
/// The class that writes.
pub const SAVE: usize = 1;
/// The plan with a limit.
pub const COMMUNITY: usize = 0;
/// The plan without one.
pub const NETWORK: usize = 1;

/// A storage node.
#[derive(Clone, Debug)]
pub struct Node {
    /// Its hall.
    pub zone: u16,
    /// Requests that it works on at a time.
    pub cores: usize,
    /// Its speed against a yardstick of 1.
    pub speed: f64,
    /// Requests that may wait.
    pub room: usize,
    /// Seconds between two pauses.
    pub pause_every: f64,
    /// Seconds that a pause takes.
    pub pause: f64,
    /// Seconds between two rounds of what writes have put off.
    pub flush_every: f64,
}

/// A volume.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Its plan.
    pub plan: usize,
    /// The heads that its requests come through.
    pub heads: Vec<usize>,
    /// The shards with its data.
    pub shards: Vec<u32>,
    /// How much of the plan's rate it asks for usually.
    pub appetite: f64,
}

/// An installation.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Names, by number.
    pub names: Names,
    /// The hall of each head.
    pub heads: Vec<u16>,
    /// The nodes; each holds the shard of its number.
    pub nodes: Vec<Node>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// What heads are told.
    pub settings: SchedulerSettings,
    /// Seconds of work that a request of mean size is, by class, on the yardstick.
    pub work: [f64; 2],
    /// Part of a write's work that is put off.
    pub deferred: f64,
    /// Seconds one way between two halls, and within one.
    pub delay: (f64, f64),
}

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Heads.
    pub heads: usize,
    /// Nodes.
    pub nodes: usize,
    /// Volumes for each node.
    pub volumes: usize,
    /// Requests that a node works on at a time.
    pub cores: usize,
    /// Requests that clients can have open at one head.
    pub held: usize,
}

impl Default for Size {
    fn default() -> Self {
        Size { heads: 5, nodes: 10, volumes: 6, cores: 2, held: 128 }
    }
}

impl Fleet {
    /// Draws an installation.
    pub fn draw(size: Size, seed: u64) -> Fleet {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xf1ee7);
        let of = |all: &[&str]| all.iter().map(|name| name.to_string()).collect();
        let names = Names {
            classes: of(&["play-fetch", "episode-save"]),
            plans: of(&["community", "network"]),
            zones: of(&["north-hall", "south-hall", "east-hall"]),
        };
        let halls = names.zones.len();
        let hall = |place: usize| (place % halls) as u16;
        let nodes: Vec<Node> = (0..size.nodes)
            .map(|place| Node {
                zone: hall(place),
                cores: size.cores,
                speed: if rng.random_bool(0.67) {
                    rng.random_range(0.85..1.1)
                } else {
                    rng.random_range(0.64..0.86)
                },
                room: 20 * size.cores,
                pause_every: rng.random_range(2.4..6.3),
                pause: rng.random_range(0.074..0.23),
                flush_every: rng.random_range(1.1..4.0),
            })
            .collect();
        let volumes: Vec<Volume> = (0..size.nodes * size.volumes)
            .map(|_| {
                let plan = if rng.random_bool(0.69) { COMMUNITY } else { NETWORK };
                let shards =
                    if plan == COMMUNITY { rng.random_range(1..=4) } else { rng.random_range(2..=6) };
                let eager = if plan == COMMUNITY { 0.24 } else { 0.25 };
                let appetite = if rng.random_bool(eager) { rng.random_range(1.0..3.0) } else { 1.0 };
                let hosts = rng.random_range(1..=3usize.min(size.heads));
                Volume {
                    plan,
                    heads: rand::seq::index::sample(&mut rng, size.heads, hosts).into_vec(),
                    shards: rand::seq::index::sample(&mut rng, size.nodes, shards.min(size.nodes))
                        .into_iter()
                        .map(|shard| shard as u32)
                        .collect(),
                    appetite,
                }
            })
            .collect();
        let work = [rng.random_range(0.034..0.054), rng.random_range(0.039..0.062)];
        // The usual traffic, at a rate of 1 for each unit of size, is six tenths of what the nodes can do.
        let mean = 0.65 * work[READ] + 0.35 * work[SAVE];
        let power: f64 = nodes.iter().map(|node| node.cores as f64 * node.speed / mean).sum();
        let size_of = |volume: &Volume| if volume.plan == COMMUNITY { 1.0 } else { 2.0 };
        let sizes: f64 = volumes.iter().map(size_of).sum();
        let mean_units = 2.5;
        let base = 0.5 * power * mean_units / sizes;
        let settings = settings(base, mean_units, size);
        let heads = (0..size.heads).map(hall).collect();
        Fleet { names, heads, nodes, volumes, settings, work, deferred: 0.4, delay: (0.001, 0.0002) }
    }

    /// Units a second that a volume is sized for.
    pub fn rate(&self, volume: &Volume) -> f64 {
        self.settings.plans[volume.plan].base_rate
    }

    /// Units a second that the nodes can do, all warm.
    pub fn power(&self) -> f64 {
        let mean = 0.65 * self.work[READ] + 0.35 * self.work[SAVE];
        self.nodes.iter().map(|n| n.cores as f64 * n.speed / mean * self.settings.mean_request_units).sum()
    }
}

fn settings(base: f64, mean_units: f64, size: Size) -> SchedulerSettings {
    let class = |deadline, worth, repeat| Class {
        latency_objective_s: 0.4,
        deadline_s: deadline,
        priority_weight: worth,
        late_fraction: 0.15,
        idempotency: repeat,
        ordered: false,
    };
    let limit = RateLimit { rate: 6.0 * base, burst: 12.0 * base, slack: 1.2 * base };
    SchedulerSettings {
        classes: vec![
            class(2.0, 3.0, Idempotency::Idempotent),
            class(3.0, 2.0, Idempotency::WithKey { scope: DeduplicationScope::Zone, window_s: 3.0 }),
        ],
        plans: vec![
            Plan {
                base_rate: base,
                reserve: 0.5 * base,
                weight: 1.0,
                value_factor: 0.96,
                limit: Some(limit),
            },
            Plan { base_rate: 2.0 * base, reserve: 1.6 * base, weight: 3.0, value_factor: 0.9, limit: None },
        ],
        mean_request_units: mean_units,
        max_request_units: 8.0,
        within_quota_fraction: 0.35,
        beyond_quota_fraction: 0.08,
        heads: size.heads as u32,
        tick_s: 0.004,
        max_pending: size.held,
        max_attempts: 3,
        mechanisms: OptionalMechanisms { hedging: false, cancellation: true, health_checks: false },
        load_reports_in_answers: true,
        usage_period_s: 1.0,
        reports_usage_elsewhere: false,
        poll_interval_s: None,
        slow_start: SlowStartSettings {
            units: 40.0,
            window_s: 3.0,
            initial_capacity: 0.17,
            warm_up_s: 16.0,
            overload_factor: 3.0,
        },
        retry_budget: None,
        ordering_pause_s: 0.0,
        max_retry_after_s: 0.0,
    }
}
