//! A fleet in virtual time: discovery, relays and heads made of the crate's own parts, joined by connections that take
//! time and break. Everything that is drawn comes from one seed.

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

/// Virtual time starts here, in seconds.
pub const START: f64 = 1000.0;
/// A message between two machines takes from this to the next, in seconds.
const LATENCY_S: (f64, f64) = (0.0005, 0.02);
/// Heartbeat interval of discovery, in seconds.
pub const UPSTREAM_HEARTBEAT_S: f64 = 2.0;

/// One connection between a head and a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// What a head hears on a watch.
#[derive(Clone, Debug)]
pub enum WatchMessage {
    Heartbeat,
    List(Bytes),
    Lost(LostReason),
}

/// What happens at a time.
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

/// What a fleet is made of.
pub struct SimulationPlan {
    pub seed: u64,
    pub relays: Vec<RelayInfo>,
    pub heads: Vec<Locality>,
    pub nodes: usize,
    /// Heads keep the list itself, not only its version.
    pub detailed: bool,
    pub limits: ReplicaLimits,
    /// How long discovery's message takes to a relay at most, in seconds.
    pub upstream_lag_s: f64,
}

/// The events that are to come, and what is drawn.
pub struct EventQueue {
    pub now: f64,
    pub rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    payloads: std::collections::HashMap<u64, SimulatedEvent>,
    issued: u64,
    connections: u64,
}

impl EventQueue {
    pub fn at(&mut self, time: f64, event: SimulatedEvent) {
        self.issued += 1;
        let micros = (time.max(self.now) * 1e6).ceil() as u64;
        self.events.push(Reverse((micros, self.issued)));
        self.payloads.insert(self.issued, event);
    }

    pub fn latency(&mut self) -> f64 {
        self.rng.random_range(LATENCY_S.0..LATENCY_S.1)
    }

    pub fn connection(&mut self) -> Connection {
        self.connections += 1;
        Connection(self.connections)
    }

    fn next(&mut self, until: f64) -> Option<SimulatedEvent> {
        let Reverse((micros, _)) = *self.events.peek()?;
        let time = micros as f64 / 1e6;
        if time > until {
            return None;
        }
        let Reverse((_, number)) = self.events.pop()?;
        self.now = self.now.max(time);
        self.payloads.remove(&number)
    }
}

/// The fleet.
pub struct Simulation {
    pub event_queue: EventQueue,
    pub discovery: Discovery,
    pub relays: Vec<Relay>,
    pub heads: Vec<Head>,
    /// Regions between which nothing passes: those in the list reach only each other.
    pub cut_off: Option<String>,
    /// The region that discovery is in.
    pub discovery_region: String,
}

impl Simulation {
    pub fn new(plan: SimulationPlan) -> Simulation {
        let mut event_queue = EventQueue {
            now: START,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            events: BinaryHeap::new(),
            payloads: Default::default(),
            issued: 0,
            connections: 0,
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
        Simulation { event_queue, discovery, relays, heads, cut_off: None, discovery_region }
    }

    pub fn now(&self) -> f64 {
        self.event_queue.now
    }

    /// Whether messages pass between two regions.
    pub fn is_connected(&self, one: &str, other: &str) -> bool {
        self.cut_off.as_deref().is_none_or(|cut| (one == cut) == (other == cut))
    }

    /// Lets time pass until a moment.
    pub fn run_until(&mut self, until: f64) {
        while let Some(event) = self.event_queue.next(until) {
            self.handle(event);
        }
        self.event_queue.now = until;
    }

    pub fn run_for(&mut self, seconds: f64) {
        self.run_until(self.now() + seconds);
    }

    /// Lets time pass until something holds, asked at every tenth of a second; gives how long that took.
    pub fn run_until_holds(&mut self, most: f64, holds: impl Fn(&Simulation) -> bool) -> f64 {
        let began = self.now();
        while !holds(self) && self.now() - began < most {
            self.run_for(0.1);
        }
        assert!(holds(self), "not within {most} s");
        self.now() - began
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

    /// Whether each head that runs knows the version that discovery is at.
    pub fn all_current(&self) -> bool {
        let version = self.discovery.version();
        self.heads.iter().all(|head| head.known() == version)
    }

    /// Whether each head lists what discovery lists.
    pub fn all_agree(&self) -> bool {
        self.heads.iter().all(|head| head.agrees(&self.discovery))
    }
}

/// The coming size: 2 regions with 4 zones each, 20 relays spread over the zones in turn.
pub fn planned_relays() -> Vec<RelayInfo> {
    relays(2, 4, 20)
}

/// Relays spread over the zones of regions in turn.
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

/// Heads spread over the zones of regions in turn.
pub fn localities(regions: usize, zones: usize, count: usize) -> Vec<Locality> {
    let locality = |number: usize| {
        let zone = number % (regions * zones);
        Locality { region: format!("r{}", zone % regions), zone: format!("z{zone}") }
    };
    (0..count).map(locality).collect()
}
