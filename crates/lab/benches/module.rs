//! What a call of the decision module costs by the nodes on the list and by the requests pending, for the module and
//! for its reference (`tests/reference`): `cargo bench -p flaxgap-lab --bench module`. Each figure is the lowest of
//! some batches, in microseconds. Of the pending requests each node is sent up to four, and the others are queued.
//! Then what an unused node costs in memory, by the difference in resident memory.

#[path = "../../../tests/reference/mod.rs"]
mod reference;

use flaxgap::scheduler::{
    Action, AttemptOutcome, Class, ClassId, Endpoint, Event, Idempotency, IoRequest, LoadReport, NodeId,
    NodeState, OptionalMechanisms, Plan, PlanId, RateLimit, RequestId, RetryBudget, SchedulerSettings,
    ShardId, SlowStartSettings, UpdateKind, VolumeId, ZoneId,
};
use std::hint::black_box;
use std::time::Instant;

/// Nodes on the list, and requests pending.
const NODES: [u32; 6] = [200, 500, 1024, 2048, 4096, 7100];
const PENDING: [u32; 4] = [0, 100, 1000, 2857];
/// Nodes that go in one change: a zone of the largest fleet, or one node in so many of a smaller one.
const GONE: u32 = 888;
const GONE_ONE_IN: u32 = 8;
/// Batches of which the fastest counts, and calls in each.
const BATCHES: usize = 7;
const CALLS: u32 = 40;
/// Virtual seconds between two calls: so few that nothing falls due in between.
const STEP: f64 = 1e-6;
/// Seconds of an objective and of a deadline that no request reaches.
const FAR: f64 = 1e5;
/// Schedulers made to see what an unused node costs in memory.
const MANY: usize = 40;

/// The module or its reference.
trait Module {
    fn start(settings: SchedulerSettings) -> Self;
    fn call(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>);
}

impl Module for flaxgap::Scheduler {
    fn start(settings: SchedulerSettings) -> Self {
        flaxgap::Scheduler::new(settings, 1, 0.0).expect("settings that can be served")
    }

    fn call(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>) {
        self.handle(now, events, actions);
    }
}

impl Module for reference::Scheduler {
    fn start(settings: SchedulerSettings) -> Self {
        reference::Scheduler::new(settings, 1, 0.0).expect("settings that can be served")
    }

    fn call(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>) {
        self.handle(now, events, actions);
    }
}

fn settings() -> SchedulerSettings {
    let class = Class {
        latency_objective_s: FAR,
        deadline_s: 10.0 * FAR,
        priority_weight: 1.0,
        late_fraction: 0.2,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let limit = RateLimit { rate: 1e6, burst: 1e6, slack: 0.0 };
    let plan = Plan { base_rate: 4.0, reserve: 1e4, weight: 1.0, value_factor: 1.0, limit: Some(limit) };
    SchedulerSettings {
        classes: vec![class.clone(), class],
        plans: vec![plan],
        mean_request_units: 2.0,
        max_request_units: 8.0,
        within_quota_fraction: 0.3,
        beyond_quota_fraction: 0.08,
        heads: 4200,
        tick_s: 0.002,
        max_pending: 4000,
        max_attempts: 3,
        mechanisms: OptionalMechanisms { hedging: false, cancellation: true, health_checks: false },
        load_reports_in_answers: true,
        usage_period_s: 0.0,
        reports_usage_elsewhere: false,
        poll_interval_s: None,
        slow_start: SlowStartSettings {
            units: 30.0,
            window_s: 2.0,
            initial_capacity: 0.2,
            warm_up_s: 10.0,
            overload_factor: 2.5,
        },
        retry_budget: Some(RetryBudget { min_retries: 10.0, ratio: 0.1, window_s: 10.0 }),
        ordering_pause_s: 0.1,
        max_retry_after_s: 0.0,
    }
}

fn node(shard: u32, state: NodeState) -> Endpoint {
    let (node, zone) = (NodeId(u64::from(shard)), ZoneId((shard % 3) as u16));
    Endpoint { node, shard: ShardId(shard), started_at: 0.0, zone, state }
}

/// A module with its endpoint list, and requests that stay pending.
struct Harness<M> {
    module: M,
    nodes: u32,
    now: f64,
    next: u32,
    actions: Vec<Action>,
}

impl<M: Module> Harness<M> {
    fn new(nodes: u32, pending: u32) -> Harness<M> {
        let mut harness =
            Harness { module: M::start(settings()), nodes, now: 0.0, next: 0, actions: Vec::new() };
        harness.list(UpdateKind::Snapshot, (0..nodes).map(|shard| node(shard, NodeState::Ready)).collect());
        for shard in 0..pending {
            let arrival = harness.request(Some(ShardId(shard % nodes)));
            harness.call(&[arrival]);
        }
        harness
    }

    fn call(&mut self, events: &[Event]) {
        self.now += STEP;
        self.actions.clear();
        self.module.call(self.now, events, &mut self.actions);
        black_box(&self.actions);
    }

    fn list(&mut self, kind: UpdateKind, nodes: Vec<Endpoint>) {
        self.call(&[Event::EndpointUpdate { kind, endpoints: nodes }]);
    }

    fn request(&mut self, shard: Option<ShardId>) -> Event {
        self.next += 1;
        Event::RequestArrived(IoRequest {
            id: RequestId(self.next),
            class: ClassId(self.next as usize % 2),
            plan: PlanId(0),
            volume: VolumeId(u64::from(self.next % 200)),
            extent: None,
            shard,
            remaining_s: 10.0 * FAR,
            units: 2.0,
            heads: 2,
            client_retry: false,
        })
    }

    /// A request arrives, is sent and is answered, in two calls.
    fn request_run(&mut self, shard: Option<ShardId>) {
        let arrival = self.request(shard);
        self.call(&[arrival]);
        self.call(&[Event::AttemptEnded {
            request: RequestId(self.next),
            attempt: 0,
            outcome: AttemptOutcome::Ok,
            elapsed_s: 0.01,
            request_done: true,
            not_resendable: false,
            usage: None,
            usage_elsewhere: 0.0,
            load_report: LoadReport::default(),
        }]);
    }

    /// Microseconds of what is timed, each time after what is not.
    fn time(
        &mut self,
        calls: u32,
        mut before: impl FnMut(&mut Self),
        mut timed: impl FnMut(&mut Self),
    ) -> f64 {
        let mut best = f64::INFINITY;
        for _ in 0..BATCHES {
            let mut spent = 0.0;
            for _ in 0..calls {
                before(self);
                let start = Instant::now();
                timed(self);
                spent += start.elapsed().as_secs_f64();
            }
            best = best.min(spent * 1e6 / f64::from(calls));
        }
        best
    }

    /// Microseconds of each kind of work.
    fn measure(mut self) -> [f64; 7] {
        let (nodes, gone) = (self.nodes, GONE.min(self.nodes / GONE_ONE_IN));
        let some_shard = move |harness: &Self| ShardId(harness.next.wrapping_mul(7919) % nodes);
        let zone = |state| (0..gone).map(|at| node(at * GONE_ONE_IN, state)).collect::<Vec<_>>();
        let nothing = self.time(CALLS, |_| (), |harness| harness.call(&[Event::WakeUp]));
        let request_run = self.time(CALLS, |_| (), |harness| harness.request_run(Some(some_shard(harness))));
        let new_object = self.time(CALLS, |_| (), |harness| harness.request_run(None));
        let unknown = Event::StreamingStarted { request: RequestId(1 << 30) };
        let started = self.time(CALLS, |_| (), |harness| harness.call(std::slice::from_ref(&unknown)));
        let list_entry = self.time(
            CALLS,
            |_| (),
            |harness| {
                harness.next += 1;
                let restarted = Endpoint {
                    started_at: f64::from(harness.next) * 1e-9,
                    ..node(some_shard(harness).0, NodeState::Ready)
                };
                harness.list(UpdateKind::Changes, vec![restarted]);
            },
        );
        let zone_lost = self.time(
            3,
            |harness| harness.list(UpdateKind::Changes, zone(NodeState::Ready)),
            |harness| harness.list(UpdateKind::Changes, zone(NodeState::Gone)),
        );
        self.list(UpdateKind::Changes, zone(NodeState::Ready));
        let tick = self.time(CALLS, |harness| harness.now += 0.5, |harness| harness.call(&[Event::WakeUp]));
        [nothing, request_run, new_object, started, list_entry, zone_lost, tick]
    }
}

/// Bytes of resident memory.
fn resident() -> f64 {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(f64::NAN) * 4096.0
}

/// Bytes for each node that nothing was sent to.
fn bytes_for_each_node<M: Module>(nodes: u32) -> f64 {
    let before = resident();
    let all: Vec<Harness<M>> = (0..MANY).map(|_| Harness::new(nodes, 0)).collect();
    let bytes = (resident() - before) / (all.len() as f64 * f64::from(nodes));
    black_box(&all);
    bytes
}

fn main() {
    let most = NODES[NODES.len() - 1];
    println!(
        "bytes for each unused node of {most}: now {:.0}",
        bytes_for_each_node::<flaxgap::Scheduler>(most)
    );
    println!("{:24} before {:.0}", "", bytes_for_each_node::<reference::Scheduler>(most));
    let kinds = ["nothing", "request", "new object", "started", "entry", "zone gone", "tick"];
    println!("nodes pending        {}", kinds.map(|kind| format!("{kind:>10}")).join(" "));
    for nodes in NODES {
        for pending in PENDING {
            let row = |figures: [f64; 7]| figures.map(|us| format!("{us:10.2}")).join(" ");
            let before = row(Harness::<reference::Scheduler>::new(nodes, pending).measure());
            println!("{nodes:5} {pending:7} before {before}");
            let now = row(Harness::<flaxgap::Scheduler>::new(nodes, pending).measure());
            println!("{nodes:5} {pending:7} now    {now}");
        }
    }
}
