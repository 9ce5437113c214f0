//! A simulation of a fleet in virtual time: discovery, relays and heads that run the crate's real decision logic,
//! connected by links with latency and failures. All random numbers are drawn from one seed.

#![allow(dead_code, unused_imports)]

mod discovery;
mod head;
mod relay;

pub use discovery::{Discovery, node};
pub use head::Head;
pub use relay::{Relay, RelayFailure};

use bytes::Bytes;
use flaxgap_distribution::replica::ReplicaLimits;
use flaxgap_distribution::selection::{Locality, LostReason, RelayInfo, WatchId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Start of the virtual time, in seconds.
pub const START: f64 = 1000.0;
/// Minimum and maximum latency of a message between two machines, in seconds.
const LATENCY_S: (f64, f64) = (0.0005, 0.02);
/// Heartbeat interval of discovery, in seconds.
pub const UPSTREAM_HEARTBEAT_S: f64 = 2.0;

/// One connection between a head and a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// A message to a head on a watch, or the end of the watch.
#[derive(Clone, Debug)]
pub enum WatchMessage {
    Heartbeat,
    List(Bytes),
    Lost(LostReason),
}

/// An event of the simulation, scheduled in the [`EventQueue`].
#[derive(Debug)]
pub enum SimulatedEvent {
    HeadPolls {
        head: usize,
    },
    HeadReceives {
        head: usize,
        watch_id: WatchId,
        connection: Connection,
        message: WatchMessage,
    },
    WatchRequested {
        relay: usize,
        head: usize,
        watch_id: WatchId,
        connection: Connection,
        since: u64,
    },
    WatchClosed {
        relay: usize,
        connection: Connection,
    },
    WatcherPolls {
        relay: usize,
        incarnation: u64,
        connection: Connection,
    },
    SnapshotSent {
        relay: usize,
        incarnation: u64,
        request_id: flaxgap_distribution::snapshot_admission::SnapshotRequestId,
    },
    AdmissionPolls {
        relay: usize,
        incarnation: u64,
    },
    UpstreamSends {
        relay: usize,
        incarnation: u64,
    },
    UpstreamHeartbeat {
        relay: usize,
        incarnation: u64,
    },
}

/// The parameters of a simulation.
pub struct SimulationPlan {
    pub seed: u64,
    pub relays: Vec<RelayInfo>,
    pub heads: Vec<Locality>,
    pub nodes: usize,
    /// Whether heads keep the list itself, not only its version.
    pub detailed: bool,
    pub limits: ReplicaLimits,
    /// Maximum delay of a message from discovery to a relay, in seconds.
    pub upstream_lag_s: f64,
}

/// The virtual clock, the random number generator, and the events to come.
pub struct EventQueue {
    pub now: f64,
    pub rng: ChaCha8Rng,
    /// The time in microseconds and the id of each scheduled event.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    /// The scheduled events by id.
    events: std::collections::HashMap<u64, SimulatedEvent>,
    last_event_id: u64,
    last_connection: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub fn at(&mut self, time: f64, event: SimulatedEvent) {
        self.last_event_id += 1;
        let micros = (time.max(self.now) * 1e6).ceil() as u64;
        self.schedule.push(Reverse((micros, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    /// Draws the latency of a message.
    pub fn latency(&mut self) -> f64 {
        self.rng.random_range(LATENCY_S.0..LATENCY_S.1)
    }

    /// Creates a connection with a new id.
    pub fn connection(&mut self) -> Connection {
        self.last_connection += 1;
        Connection(self.last_connection)
    }

    /// Takes the next event that is due by `until`, and advances the clock to its time.
    fn next(&mut self, until: f64) -> Option<SimulatedEvent> {
        let Reverse((micros, _)) = *self.schedule.peek()?;
        let time = micros as f64 / 1e6;
        if time > until {
            return None;
        }
        let Reverse((_, event_id)) = self.schedule.pop()?;
        self.now = self.now.max(time);
        self.events.remove(&event_id)
    }
}

/// The simulated fleet.
pub struct Simulation {
    pub event_queue: EventQueue,
    pub discovery: Discovery,
    pub relays: Vec<Relay>,
    pub heads: Vec<Head>,
    /// The region that is partitioned from all other regions, if there is one.
    pub partitioned_region: Option<String>,
    /// The region of discovery.
    pub discovery_region: String,
}

impl Simulation {
    pub fn new(plan: SimulationPlan) -> Simulation {
        let mut event_queue = EventQueue {
            now: START,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            schedule: BinaryHeap::new(),
            events: Default::default(),
            last_event_id: 0,
            last_connection: 0,
        };
        let relays: Vec<Relay> =
            plan.relays.iter().map(|info| Relay::new(info.clone(), &plan, &mut event_queue)).collect();
        let heads = plan.heads.iter().enumerate().map(|(number, locality)| {
            event_queue.at(START, SimulatedEvent::HeadPolls { head: number });
            Head::new(number, locality, &plan)
        });
        let heads = heads.collect();
        let discovery_region = plan.relays.first().map(|relay| relay.region.clone()).unwrap_or_default();
        let discovery = Discovery::new(plan.nodes);
        Simulation { event_queue, discovery, relays, heads, partitioned_region: None, discovery_region }
    }

    pub fn now(&self) -> f64 {
        self.event_queue.now
    }

    /// Whether messages are delivered between two regions.
    pub fn is_connected(&self, one: &str, other: &str) -> bool {
        self.partitioned_region
            .as_deref()
            .is_none_or(|partitioned| (one == partitioned) == (other == partitioned))
    }

    /// Runs the simulation until a time.
    pub fn run_until(&mut self, until: f64) {
        while let Some(event) = self.event_queue.next(until) {
            self.handle(event);
        }
        self.event_queue.now = until;
    }

    /// Runs the simulation for a duration.
    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(self.now() + seconds);
    }

    /// Runs the simulation until a condition holds, which is checked every 0.1 s, and returns the time that this took.
    /// Panics if the condition does not hold within `timeout_s`.
    pub fn run_until_holds(&mut self, timeout_s: f64, condition: impl Fn(&Simulation) -> bool) -> f64 {
        let started_at = self.now();
        while !condition(self) && self.now() - started_at < timeout_s {
            self.run_for(0.1);
        }
        assert!(condition(self), "the condition does not hold within {timeout_s} s");
        self.now() - started_at
    }

    fn handle(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::HeadPolls { head } => self.head_polls(head),
            SimulatedEvent::HeadReceives { head, watch_id, connection, message } => {
                self.head_receives(head, watch_id, connection, message);
            }
            SimulatedEvent::WatchRequested { relay, head, watch_id, connection, since } => {
                self.watch_requested(relay, head, watch_id, connection, since);
            }
            SimulatedEvent::WatchClosed { relay, connection } => self.watch_closed(relay, connection),
            SimulatedEvent::WatcherPolls { relay, incarnation, connection } => {
                self.watcher_polls(relay, incarnation, connection);
            }
            SimulatedEvent::SnapshotSent { relay, incarnation, request_id } => {
                self.snapshot_sent(relay, incarnation, request_id)
            }
            SimulatedEvent::AdmissionPolls { relay, incarnation } => self.admission_polls(relay, incarnation),
            SimulatedEvent::UpstreamSends { relay, incarnation } => self.upstream_sends(relay, incarnation),
            SimulatedEvent::UpstreamHeartbeat { relay, incarnation } => {
                self.upstream_heartbeat(relay, incarnation)
            }
        }
    }

    /// Whether all heads know the version of discovery.
    pub fn all_current(&self) -> bool {
        let version = self.discovery.version();
        self.heads.iter().all(|head| head.known_version() == version)
    }

    /// Whether all heads list the same nodes in the same states as discovery.
    pub fn all_agree(&self) -> bool {
        self.heads.iter().all(|head| head.agrees(&self.discovery))
    }
}

/// The relays of the planned fleet: 20 relays, assigned round-robin to 4 zones in each of 2 regions.
pub fn planned_relays() -> Vec<RelayInfo> {
    relays(2, 4, 20)
}

/// Relays that are assigned round-robin to the zones of the regions.
pub fn relays(regions: usize, zones: usize, count: usize) -> Vec<RelayInfo> {
    let relay = |number: usize| {
        let zone = number % (regions * zones);
        RelayInfo {
            name: format!("relay-{number:02}"),
            address: ([10, 9, 0, u8::try_from(number).expect("few relays")], 7400).into(),
            region: format!("r{}", zone % regions),
            zone: format!("z{zone}"),
        }
    };
    (0..count).map(relay).collect()
}

/// The localities of heads that are assigned round-robin to the zones of the regions.
pub fn localities(regions: usize, zones: usize, count: usize) -> Vec<Locality> {
    let locality = |number: usize| {
        let zone = number % (regions * zones);
        Locality { region: format!("r{}", zone % regions), zone: format!("z{zone}") }
    };
    (0..count).map(locality).collect()
}
