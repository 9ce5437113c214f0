//! A small builder that drives a scheduler through its public interface.
#![allow(dead_code)]

use flaxgap::Scheduler;
use flaxgap::api::*;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);
pub const FREE: PlanId = PlanId(0);
pub const LIMITED: PlanId = PlanId(1);
pub const N: NodeId = NodeId(10);

fn class(aim: f64, deadline: f64, repeat: Repeat) -> Class {
    Class { aim, deadline, worth: 1.0, late_worth: 0.2, repeat, in_order: false }
}

pub fn settings() -> Settings {
    let plan = |reserve, limit| Plan { base_rate: 4.0, reserve, weight: 1.0, value_factor: 1.0, limit };
    Settings {
        classes: vec![
            class(0.2, 1.0, Repeat::Safe),
            class(0.3, 2.0, Repeat::Keyed { group: RepeatGroup::Shard, window: 1.0 }),
            class(0.8, 3.0, Repeat::Unsafe),
        ],
        plans: vec![plan(2.0, None), plan(0.0, Some(Limit { rate: 6.0, burst: 30.0, slack: 6.0 }))],
        mean_units: 2.0,
        most_units: 8.0,
        share_worth: 0.3,
        spare_worth: 0.08,
        hosts: 3,
        tick: 0.002,
        most_held: 1000,
        max_attempts: 3,
        second_copies: false,
        cancel: true,
        probes: false,
        reports_in_answers: true,
        use_period: 0.0,
        tells_elsewhere: false,
        ask_every: None,
        cold: Cold { units: 30.0, span: 2.0, from: 0.2, warm_within: 10.0, multiple: 2.5 },
        budget: None,
        order_pause: 0.1,
        max_wait: 0.0,
    }
}

pub fn node(id: u64, shard: u32) -> NodeInfo {
    NodeInfo { node: NodeId(id), shard: ShardId(shard), since: 0.0, zone: ZoneId(0), state: NodeState::Ready }
}

pub fn request(id: u32, class: ClassId) -> Request {
    Request {
        id: RequestId(id),
        class,
        plan: FREE,
        volume: VolumeId(1),
        extent: Some(ExtentId(u64::from(id))),
        shard: Some(ShardId(0)),
        remaining: [1.0, 2.0, 3.0][class.0],
        units: 2.0,
        hosts: 1,
        repeat: false,
    }
}

/// A scheduler, its clock and how many sends each request had.
pub struct Rig {
    pub scheduler: Scheduler,
    pub now: f64,
}

impl Rig {
    /// Started at 100 s, with one node (`N`) for shard 0.
    pub fn new(settings: Settings) -> Rig {
        Rig::with_nodes(settings, vec![node(N.0, 0)])
    }

    pub fn with_nodes(settings: Settings, nodes: Vec<NodeInfo>) -> Rig {
        let scheduler = Scheduler::new(settings, 7, 100.0).expect("settings that can be served");
        let mut rig = Rig { scheduler, now: 100.0 };
        rig.tell(vec![Event::Nodes { kind: ListKind::Cached, nodes }]);
        rig
    }

    pub fn tell(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, &events, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, nodes: Vec<NodeInfo>) -> Vec<Action> {
        self.tell(vec![Event::Nodes { kind, nodes }])
    }

    pub fn ask(&mut self, request: Request) -> Vec<Action> {
        self.tell(vec![Event::Request(request)])
    }

    pub fn outcome(&mut self, id: u32, attempt: usize, outcome: Outcome, elapsed: f64) -> Vec<Action> {
        self.tell(vec![Event::Outcome {
            request: RequestId(id),
            attempt,
            outcome,
            elapsed,
            done: outcome == Outcome::Ok,
            last: false,
            used: None,
            elsewhere: 0.0,
            report: Report::default(),
        }])
    }

    /// Moves the clock on in steps of one tick, and collects all that is done meanwhile.
    pub fn wait(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += 0.002;
            self.scheduler.handle(self.now, &[Event::WakeUp], &mut actions);
        }
        actions
    }
}

/// The requests sent, in order.
pub fn sent(actions: &[Action]) -> Vec<u32> {
    let sends = actions.iter().filter_map(|a| match a {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    });
    sends.collect()
}

pub fn refused(actions: &[Action]) -> Vec<u32> {
    let refusals = actions.iter().filter_map(|a| match a {
        Action::Refuse { request, .. } => Some(request.0),
        _ => None,
    });
    refusals.collect()
}

pub fn failed(actions: &[Action]) -> Vec<u32> {
    let failures = actions.iter().filter_map(|a| match a {
        Action::Fail { request } => Some(request.0),
        _ => None,
    });
    failures.collect()
}
