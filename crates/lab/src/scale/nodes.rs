//! The storage nodes as discovery lists them, and the zones and regions that heads and nodes stand in.

use rand::Rng;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

/// Regions of the plan.
pub const REGIONS: usize = 2;
/// Zones of the plan, the first half of them in the first region.
pub const ZONES: usize = 8;
/// When nodes that never restarted were started, in ms of Unix time.
const FIRST_BOOT: u64 = 1_790_000_000_000;
/// The port of nodes that nobody calls.
const UNCALLED_PORT: u16 = 7000;

/// The zone of the head or node of a number.
pub fn zone(number: u32) -> usize {
    number as usize % ZONES
}

/// The region of a zone.
pub fn region(zone: usize) -> usize {
    zone * REGIONS / ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("r{}-z{zone}", region(zone))
}

/// Whether a node takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// Takes work.
    Ready,
    /// Finishes its work.
    Draining,
    /// Left the list.
    Gone,
}

/// A node in discovery's form.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Its name among all heads.
    pub uid: String,
    /// Where heads reach it.
    pub endpoint: SocketAddr,
    /// Its zone.
    pub az: String,
    /// Its kind.
    pub model: String,
    /// The shard that it holds.
    pub pod_group: u32,
    /// Whether it takes work.
    pub state: NodeState,
    /// Its capacity.
    pub capacity_hint: f64,
    /// Its last start, in ms of Unix time.
    pub boot_ms: u64,
}

/// The truth on all nodes, as the tool has it.
#[derive(Clone, Debug)]
pub struct NodeTable {
    nodes: Vec<NodeRecord>,
    named: u32,
    boot: u64,
}

impl NodeTable {
    /// Nodes that are all ready, each with a shard of its own. The first ones stand at `called`, where requests are
    /// served; nobody calls the others.
    pub fn new(count: u32, called: &[SocketAddr]) -> NodeTable {
        let mut table = NodeTable { nodes: Vec::new(), named: 0, boot: FIRST_BOOT };
        for number in 0..count {
            let mut node = table.fresh(number, zone(number));
            node.boot_ms = FIRST_BOOT;
            node.endpoint = called.get(number as usize).copied().unwrap_or(node.endpoint);
            table.nodes.push(node);
        }
        table
    }

    /// A node that was not there before.
    fn fresh(&mut self, shard: u32, zone: usize) -> NodeRecord {
        let number = self.named;
        self.named += 1;
        self.boot += 1;
        let [_, high, middle, low] = number.to_be_bytes();
        let address = Ipv4Addr::new(127, 1 + high, middle, low);
        NodeRecord {
            uid: format!("s-{number:06}"),
            endpoint: SocketAddrV4::new(address, UNCALLED_PORT).into(),
            az: zone_name(zone),
            model: "dual-core".into(),
            pod_group: shard,
            state: NodeState::Ready,
            capacity_hint: 1.0,
            boot_ms: self.boot,
        }
    }

    /// All nodes, in their shards' order.
    pub fn nodes(&self) -> &[NodeRecord] {
        &self.nodes
    }

    /// How many are listed, and how many of them get no work.
    pub fn counts(&self) -> (usize, usize) {
        let listed = self.nodes.iter().filter(|node| node.state != NodeState::Gone);
        let draining = self.nodes.iter().filter(|node| node.state == NodeState::Draining);
        (listed.count(), draining.count())
    }

    /// The place of a ready node by chance, past the first `spared` ones.
    pub fn draw(&self, random: &mut impl Rng, spared: usize) -> Option<usize> {
        let ready = |place: &usize| self.nodes[*place].state == NodeState::Ready;
        let places: Vec<usize> = (spared..self.nodes.len()).filter(ready).collect();
        (!places.is_empty()).then(|| places[random.random_range(0..places.len())])
    }

    /// A node drains.
    pub fn drain(&mut self, place: usize) -> Vec<NodeRecord> {
        self.nodes[place].state = NodeState::Draining;
        vec![self.nodes[place].clone()]
    }

    /// Nodes leave at once.
    pub fn leave(&mut self, places: &[usize]) -> Vec<NodeRecord> {
        let mut left = Vec::with_capacity(places.len());
        for place in places {
            self.nodes[*place].state = NodeState::Gone;
            left.push(self.nodes[*place].clone());
        }
        left
    }

    /// Nodes start anew under their names.
    pub fn restart(&mut self, places: &[usize]) -> Vec<NodeRecord> {
        let mut back = Vec::with_capacity(places.len());
        for place in places {
            self.boot += 1;
            self.nodes[*place].state = NodeState::Ready;
            self.nodes[*place].boot_ms = self.boot;
            back.push(self.nodes[*place].clone());
        }
        back
    }

    /// Another node takes the place of one, which leaves.
    pub fn replace(&mut self, place: usize) -> Vec<NodeRecord> {
        let gone = self.leave(&[place]);
        let zone = zone(place as u32);
        let fresh = self.fresh(self.nodes[place].pod_group, zone);
        self.nodes[place] = fresh.clone();
        gone.into_iter().chain([fresh]).collect()
    }

    /// The places of the ready nodes of a zone, past the first `spared` ones.
    pub fn of_zone(&self, of: usize, spared: usize) -> Vec<usize> {
        let places = spared..self.nodes.len();
        places
            .filter(|place| zone(*place as u32) == of && self.nodes[*place].state == NodeState::Ready)
            .collect()
    }
}
