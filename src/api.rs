//! The interface of the decision module: what it is told, what it asks for, and the types of both.
//!
//! Times are seconds on a clock of the caller's choosing that never runs backwards.

pub use flaxgap_attempts::Outcome;
pub use flaxgap_shard_table::{ListKind, NodeId, NodeInfo, NodeState, ShardId, ZoneId};
pub use flaxgap_slow_start::Cold;
use std::fmt;

/// A request as the caller knows it; never used twice in one life of a scheduler.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A volume: reserve, limit and share are counted for each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub u64);

/// The piece of data a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExtentId(pub u64);

/// A request class: an index into [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub usize);

/// A plan: an index into [`Settings::plans`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// Which nodes drop a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    /// Every node.
    All,
    /// The nodes in the zone of the node that took it first.
    Zone,
    /// The nodes that hold the same shard.
    Shard,
}

/// Whether a request may run again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Repeat {
    /// Any number of times.
    Safe,
    /// In the group that drops repeats, within `window` seconds of the first attempt's start.
    Keyed {
        /// Where repeats are dropped.
        group: RepeatGroup,
        /// For how long, in seconds.
        window: f64,
    },
    /// Never.
    Unsafe,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this many seconds earns the full worth.
    pub aim: f64,
    /// The client's whole wait, in seconds.
    pub deadline: f64,
    /// What a request of mean size is worth.
    pub worth: f64,
    /// The share of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// Requests with one extent run one at a time in the order taken.
    pub in_order: bool,
}

/// What a plan allows one volume at most, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units a second at which the store fills.
    pub rate: f64,
    /// Units the store holds.
    pub burst: f64,
    /// Units it may go below zero.
    pub slack: f64,
}

/// One plan; its figures hold for each volume over all hosts and nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second that such a volume is sized for.
    pub base_rate: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// Weight in what is left past the reserves.
    pub weight: f64,
    /// Factor on the worth.
    pub value_factor: f64,
    /// The limit, if the plan has one.
    pub limit: Option<Limit>,
}

/// The budget of attempts beyond each request's first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Allowed however light the traffic.
    pub free: f64,
    /// Allowed on top for each request taken.
    pub share: f64,
    /// The stretch over which both are counted, in seconds.
    pub window: f64,
}

/// What a scheduler is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The request classes.
    pub classes: Vec<Class>,
    /// The plans.
    pub plans: Vec<Plan>,
    /// Mean units of a request.
    pub mean_units: f64,
    /// Most units of a request.
    pub most_units: f64,
    /// Part of the worth earned past the reserve within the share.
    pub share_worth: f64,
    /// Part of the worth earned past reserve and share.
    pub spare_worth: f64,
    /// Hosts in all.
    pub hosts: u32,
    /// The shortest time between two calls, in seconds.
    pub tick: f64,
    /// Requests that clients can have open at this host; more fail before they reach it.
    pub most_held: usize,
    /// Most attempts of one request.
    pub max_attempts: usize,
    /// Whether two attempts of one request may be out at once.
    pub second_copies: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether nodes may be probed.
    pub probes: bool,
    /// Whether load reports come with answers (else, if at all, with probes only).
    pub reports_in_answers: bool,
    /// Period of the figure [`Event::Outcome::used`], in seconds; 0 where there is none.
    pub use_period: f64,
    /// Whether answers carry [`Event::Outcome::elsewhere`].
    pub tells_elsewhere: bool,
    /// Where the node list must be asked for: the longest time without asking, in seconds.
    pub ask_every: Option<f64>,
    /// Start-up protection of nodes.
    pub cold: Cold,
    /// The budget of further attempts, where there is one.
    pub budget: Option<Budget>,
    /// Seconds an ordered extent rests after an attempt that may still run.
    pub order_pause: f64,
    /// Longest wait that a client heeds, in seconds; 0 where clients heed none.
    pub max_wait: f64,
}

/// Settings that can't be served; names the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Refuses figures that no scheduler could work with.
    pub fn check(&self) -> Result<(), SettingsError> {
        let fail = |field: String, problem| Err(SettingsError { field, problem });
        let mut not_negative = vec![
            ("mean_units".to_string(), self.mean_units),
            ("most_units".to_string(), self.most_units),
            ("share_worth".to_string(), self.share_worth),
            ("spare_worth".to_string(), self.spare_worth),
            ("tick".to_string(), self.tick),
            ("use_period".to_string(), self.use_period),
            ("order_pause".to_string(), self.order_pause),
            ("max_wait".to_string(), self.max_wait),
            ("ask_every".to_string(), self.ask_every.unwrap_or(0.0)),
            ("cold.units".to_string(), self.cold.units),
            ("cold.span".to_string(), self.cold.span),
            ("cold.from".to_string(), self.cold.from),
            ("cold.warm_within".to_string(), self.cold.warm_within),
            ("cold.multiple".to_string(), self.cold.multiple),
        ];
        if let Some(b) = self.budget {
            for (name, value) in [("free", b.free), ("share", b.share), ("window", b.window)] {
                not_negative.push((format!("budget.{name}"), value));
            }
        }
        for (i, c) in self.classes.iter().enumerate() {
            for (name, value) in [("aim", c.aim), ("deadline", c.deadline)] {
                if !(value > 0.0 && value.is_finite()) {
                    return fail(format!("classes[{i}].{name}"), "must be above zero");
                }
            }
            not_negative.push((format!("classes[{i}].worth"), c.worth));
            not_negative.push((format!("classes[{i}].late_worth"), c.late_worth));
            if let Repeat::Keyed { window, .. } = c.repeat {
                not_negative.push((format!("classes[{i}].repeat_window"), window));
            }
        }
        for (i, p) in self.plans.iter().enumerate() {
            let figures = [
                ("base_rate", p.base_rate),
                ("reserve", p.reserve),
                ("weight", p.weight),
                ("value_factor", p.value_factor),
            ];
            for (name, value) in figures {
                not_negative.push((format!("plans[{i}].{name}"), value));
            }
            if let Some(l) = p.limit {
                for (name, value) in [("rate", l.rate), ("burst", l.burst), ("slack", l.slack)] {
                    not_negative.push((format!("plans[{i}].limit.{name}"), value));
                }
            }
        }
        for (field, value) in not_negative {
            if !(value >= 0.0 && value.is_finite()) {
                return fail(field, "must be a number of zero or more");
            }
        }
        if self.classes.is_empty() {
            return fail("classes".into(), "must not be empty");
        }
        if self.hosts == 0 {
            return fail("hosts".into(), "must be above zero");
        }
        if self.max_attempts == 0 {
            return fail("max_attempts".into(), "must be above zero");
        }
        Ok(())
    }
}

/// A node's own word on its load; what it doesn't tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Part of its processors in use.
    pub busy: Option<f64>,
    /// Recent service time, in seconds.
    pub latency: Option<f64>,
}

/// How much of a class's work on a plan a level of reduced service lets pass; each less than the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Pass {
    /// Everything.
    #[default]
    All,
    /// What is inside the volume's reserve, and inside its share of what is left.
    Share,
    /// What is inside the volume's reserve.
    Reserve,
    /// One request at a time, which shows whether the way is open again.
    Nothing,
}

/// A level of reduced service, as the caller has it in force. What is not there passes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Level {
    /// What passes, by class and plan.
    pub pass: Vec<Vec<Pass>>,
    /// What passes of the work that only one zone can serve, where that is less.
    pub zones: Vec<(ZoneId, Vec<Vec<Pass>>)>,
    /// When it could end at the earliest.
    pub until: f64,
}

impl Level {
    /// What passes of a class on a plan at the node of a zone.
    pub fn pass(&self, class: ClassId, plan: PlanId, zone: Option<ZoneId>) -> Pass {
        let of = |table: &Vec<Vec<Pass>>| table.get(class.0).and_then(|c| c.get(plan.0)).copied();
        let zones = self.zones.iter().filter(|(z, _)| Some(*z) == zone).filter_map(|(_, table)| of(table));
        zones.chain(of(&self.pass)).max().unwrap_or_default()
    }

    /// Whether nothing passes at the nodes of a zone.
    pub fn cut(&self, zone: Option<ZoneId>) -> bool {
        let nothing = |table: &Vec<Vec<Pass>>| table.iter().flatten().all(|pass| *pass == Pass::Nothing);
        self.zones.iter().any(|(z, table)| Some(*z) == zone && nothing(table))
    }

    /// Whether it holds anything back.
    pub fn reduces(&self) -> bool {
        let all = |table: &Vec<Vec<Pass>>| table.iter().flatten().all(|pass| *pass == Pass::All);
        !all(&self.pass) || !self.zones.iter().all(|(_, table)| all(table))
    }
}

/// How work that was inside its volume's reserve when it came has ended, since the scheduler's start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kept {
    /// Served within its class's aim.
    pub met: u64,
    /// Ended in any way.
    pub all: u64,
    /// Seconds from arrival to end, in all.
    pub delay: f64,
}

impl Kept {
    /// One more has ended, so many seconds after it came.
    pub fn count(&mut self, met: bool, delay: f64) {
        self.met += u64::from(met);
        self.all += 1;
        self.delay += delay;
    }
}

/// A request as it came in.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its volume's plan.
    pub plan: PlanId,
    /// Its volume.
    pub volume: VolumeId,
    /// The data it is about, if it has a key.
    pub extent: Option<ExtentId>,
    /// The shard with the data; `None` for a new object, which may go to any node.
    pub shard: Option<ShardId>,
    /// Seconds until the client gives this try up.
    pub remaining: f64,
    /// Its size in units.
    pub units: f64,
    /// Hosts that the volume's requests come through.
    pub hosts: u32,
    /// Whether it is marked as a client's repeat.
    pub repeat: bool,
}

/// What a scheduler is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News about the node list.
    Nodes {
        /// What kind of news.
        kind: ListKind,
        /// The entries.
        nodes: Vec<NodeInfo>,
    },
    /// A client's request.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Which of its sends, counted from 0.
        attempt: usize,
        /// How it ended.
        outcome: Outcome,
        /// Seconds since it was sent.
        elapsed: f64,
        /// Whether the request is over; if not, an answer is still owed.
        done: bool,
        /// Whether it can't be sent again, since its data were not held.
        last: bool,
        /// What the volume was served over all hosts in a finished period, in multiples of its base rate.
        used: Option<f64>,
        /// Units this shard served the volume through other hosts since it last told this one.
        elsewhere: f64,
        /// The node's load report, if one came.
        report: Report,
    },
    /// A streamed answer began, or data that are not held pass on: no deadline runs from here on.
    Started {
        /// The request.
        request: RequestId,
    },
    /// The client left; nothing is owed any more.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A probe came back.
    Probed {
        /// The node.
        node: NodeId,
        /// Whether it answered.
        ok: bool,
        /// Its load report, if one came.
        report: Report,
    },
    /// A wake-up that was asked for is due.
    WakeUp,
    /// Another process of this host has come or gone: each spends this part of what is the host's.
    Share {
        /// The part, up to 1.
        part: f64,
    },
    /// A level of reduced service is in force from now on, in place of the one before.
    Level(Level),
}

/// What a scheduler asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        node: NodeId,
        /// When to drop the attempt.
        abandon_at: f64,
    },
    /// Call an attempt off.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its sends, counted from 0.
        attempt: usize,
    },
    /// Final answer: turned away; trying again does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// Seconds the client should wait; 0 for no advice.
        wait: f64,
    },
    /// Final answer: failed, with no promise about what it did.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Ask a node for its load.
    Probe {
        /// The node.
        node: NodeId,
    },
    /// Ask for changes of the node list from now on.
    WatchNodes,
    /// Ask for a [`Event::WakeUp`].
    WakeUp {
        /// Seconds from now.
        delay: f64,
    },
    /// A line for the operators.
    Log(String),
}
