//! What the tool and its children tell each other: one JSON object a line, over the children's pipes.

use super::nodes::NodeRecord;
use super::relays::RelayPlace;
use super::usage::Usage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Microseconds of the machine's monotonic clock, which all processes read alike.
pub type Micros = u64;

/// The monotonic clock's time.
pub fn now() -> Micros {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as Micros * 1_000_000 + time.tv_nsec as Micros / 1000
}

/// What a hollow head starts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartsWith {
    /// The list as it had it last.
    KnownList,
    /// Nothing: it asks for the whole list.
    Nothing,
}

/// What a process with hollow heads is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerOrder {
    /// The fleet, before any other order.
    Begin {
        /// Heads in all.
        heads: u32,
        /// The run's seed.
        seed: u64,
        /// Where each region's heads ask for the list.
        discovery: Vec<SocketAddr>,
        /// The relays that heads follow in its place; none where there are none.
        relays: Vec<RelayPlace>,
    },
    /// These heads start.
    Start {
        /// Their numbers.
        heads: Vec<u32>,
        /// What they know.
        with: StartsWith,
    },
    /// These heads end.
    Stop {
        /// Their numbers.
        heads: Vec<u32>,
    },
    /// Asks for [`WorkerReply::Sample`].
    Sample,
    /// Asks for [`WorkerReply::InForce`], and has what was told forgotten.
    InForce,
    /// Asks for [`WorkerReply::Lists`].
    Lists,
}

/// How far the hollow heads of a process have come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Orders to start or end heads that it has carried out.
    pub orders: usize,
    /// Heads that run.
    pub heads: usize,
    /// Of them, those that have heard of discovery since their start.
    pub heard: usize,
    /// The version that all of them have in force.
    pub version: u64,
}

/// When a version was in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionTimes {
    /// The version.
    pub version: u64,
    /// When each head had it or a later one in force.
    pub at: Vec<Micros>,
}

/// What heads have received and sent for control; `None` where the head does not count it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes received.
    pub received: u64,
    /// Bytes sent.
    pub sent: u64,
    /// Messages received: lists, changes, signs of life.
    pub messages: u64,
    /// Calls made.
    pub calls: u64,
}

impl Traffic {
    /// Both together.
    pub fn plus(self, other: Traffic) -> Traffic {
        Traffic {
            received: self.received + other.received,
            sent: self.sent + other.sent,
            messages: self.messages + other.messages,
            calls: self.calls + other.calls,
        }
    }

    /// What came since an earlier state; a head that has ended takes its counts with it.
    pub fn since(self, earlier: Traffic) -> Traffic {
        Traffic {
            received: self.received.saturating_sub(earlier.received),
            sent: self.sent.saturating_sub(earlier.sent),
            messages: self.messages.saturating_sub(earlier.messages),
            calls: self.calls.saturating_sub(earlier.calls),
        }
    }
}

/// Heads whose list is alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ListState {
    /// Its version.
    pub version: u64,
    /// Nodes on it.
    pub known: usize,
    /// Nodes on it that get no work.
    pub excluded: usize,
}

/// What a process with hollow heads says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WorkerReply {
    /// How far its heads have come; unasked, when that changes.
    Progress(Progress),
    /// What it uses.
    Sample {
        /// The process's use.
        usage: Usage,
        /// What the process used before its first head.
        before: Usage,
        /// Its heads' traffic, where they count it.
        traffic: Option<Traffic>,
        /// Heads that run.
        heads: usize,
    },
    /// When versions were in force, and when heads that started had a list.
    InForce {
        /// By version.
        versions: Vec<VersionTimes>,
        /// From each head's start to the first list of discovery in force.
        starts: Vec<Micros>,
    },
    /// The lists of its heads, and how many have each.
    Lists(Vec<(ListState, usize)>),
}

/// What the stand-in for discovery is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DiscoveryOrder {
    /// The first list, before any other order.
    Begin {
        /// Its nodes.
        nodes: Vec<NodeRecord>,
        /// Regions, each with an address of its own.
        regions: usize,
    },
    /// These nodes are as told here from now on: one new version.
    Publish {
        /// The nodes.
        nodes: Vec<NodeRecord>,
    },
    /// A region hears nothing from now on, or hears again.
    Cut {
        /// Which one.
        region: usize,
        /// Whether it is cut off.
        off: bool,
    },
    /// Asks for [`DiscoveryReply::Sample`].
    Sample,
}

/// What the stand-in for discovery counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Served {
    /// Bytes received over its connections.
    pub received: u64,
    /// Bytes sent over its connections.
    pub sent: u64,
    /// Lists, changes and signs of life sent.
    pub messages: u64,
    /// Calls taken.
    pub calls: u64,
    /// Whole lists sent.
    pub whole_lists: u64,
    /// Connections open.
    pub open: u64,
}

impl Served {
    /// Both together; what is open is the later one's.
    pub fn plus(self, later: Served) -> Served {
        Served {
            received: self.received + later.received,
            sent: self.sent + later.sent,
            messages: self.messages + later.messages,
            calls: self.calls + later.calls,
            whole_lists: self.whole_lists + later.whole_lists,
            open: later.open,
        }
    }
}

/// What the stand-in for discovery says.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum DiscoveryReply {
    /// It listens at these addresses, one a region.
    Listening(Vec<SocketAddr>),
    /// A version is out.
    Published {
        /// The version.
        version: u64,
        /// When.
        at: Micros,
    },
    /// A region's cut is made or mended.
    Cut {
        /// When.
        at: Micros,
    },
    /// What it uses and has served.
    Sample {
        /// The process's use.
        usage: Usage,
        /// Its counts.
        served: Served,
    },
}
