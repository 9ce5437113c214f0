//! A harness that drives a scheduler through its public interface.
#![allow(dead_code)]

use flaxgap::Scheduler;
use flaxgap::scheduler::{
    Action, AttemptOutcome, Class, ClassId, DeduplicationScope, Endpoint, Event, ExtentId, Idempotency,
    IoRequest, LoadReport, NodeId, NodeState, OptionalMechanisms, Plan, PlanId, RateLimit, RequestId,
    SchedulerSettings, ShardId, SlowStartSettings, UpdateKind, VolumeId, ZoneId,
};

pub const IDEMPOTENT: ClassId = ClassId(0);
pub const WITH_KEY: ClassId = ClassId(1);
pub const NOT_IDEMPOTENT: ClassId = ClassId(2);
pub const UNLIMITED: PlanId = PlanId(0);
pub const LIMITED: PlanId = PlanId(1);
pub const NODE: NodeId = NodeId(10);

fn class(objective: f64, deadline: f64, repeat: Idempotency) -> Class {
    Class {
        latency_objective_s: objective,
        deadline_s: deadline,
        priority_weight: 1.0,
        late_fraction: 0.2,
        idempotency: repeat,
        ordered: false,
    }
}

pub fn settings() -> SchedulerSettings {
    let plan = |reserve, limit| Plan { base_rate: 4.0, reserve, weight: 1.0, value_factor: 1.0, limit };
    SchedulerSettings {
        classes: vec![
            class(0.2, 1.0, Idempotency::Idempotent),
            class(0.3, 2.0, Idempotency::WithKey { scope: DeduplicationScope::Shard, window_s: 1.0 }),
            class(0.8, 3.0, Idempotency::NotIdempotent),
        ],
        plans: vec![plan(2.0, None), plan(0.0, Some(RateLimit { rate: 6.0, burst: 30.0, slack: 6.0 }))],
        mean_request_units: 2.0,
        max_request_units: 8.0,
        within_quota_fraction: 0.3,
        beyond_quota_fraction: 0.08,
        heads: 3,
        tick_s: 0.002,
        max_pending: 1000,
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
        retry_budget: None,
        ordering_pause_s: 0.1,
        max_retry_after_s: 0.0,
    }
}

pub fn node(id: u64, shard: u32) -> Endpoint {
    Endpoint {
        node: NodeId(id),
        shard: ShardId(shard),
        started_at: 0.0,
        zone: ZoneId(0),
        state: NodeState::Ready,
    }
}

pub fn request(id: u32, class: ClassId) -> IoRequest {
    IoRequest {
        id: RequestId(id),
        class,
        plan: UNLIMITED,
        volume: VolumeId(1),
        extent: Some(ExtentId(u64::from(id))),
        shard: Some(ShardId(0)),
        remaining_s: [1.0, 2.0, 3.0][class.0],
        units: 2.0,
        heads: 1,
        client_retry: false,
    }
}

/// A scheduler and its simulated clock, in seconds.
pub struct Harness {
    pub scheduler: Scheduler,
    pub now: f64,
}

impl Harness {
    /// Started at 100 s, with one node (`NODE`) for shard 0.
    pub fn new(settings: SchedulerSettings) -> Harness {
        Harness::with_nodes(settings, vec![node(NODE.0, 0)])
    }

    pub fn with_nodes(settings: SchedulerSettings, nodes: Vec<Endpoint>) -> Harness {
        let scheduler = Scheduler::new(settings, 7, 100.0).expect("settings that can be served");
        let mut harness = Harness { scheduler, now: 100.0 };
        harness.handle(vec![Event::EndpointUpdate { kind: UpdateKind::CachedSnapshot, endpoints: nodes }]);
        harness
    }

    pub fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.scheduler.handle(self.now, &events, &mut actions);
        actions
    }

    pub fn update_endpoints(&mut self, kind: UpdateKind, nodes: Vec<Endpoint>) -> Vec<Action> {
        self.handle(vec![Event::EndpointUpdate { kind, endpoints: nodes }])
    }

    pub fn submit(&mut self, request: IoRequest) -> Vec<Action> {
        self.handle(vec![Event::RequestArrived(request)])
    }

    pub fn end_attempt(
        &mut self,
        id: u32,
        attempt: usize,
        outcome: AttemptOutcome,
        elapsed: f64,
    ) -> Vec<Action> {
        self.handle(vec![Event::AttemptEnded {
            request: RequestId(id),
            attempt,
            outcome,
            elapsed_s: elapsed,
            request_done: outcome == AttemptOutcome::Ok,
            not_resendable: false,
            usage: None,
            usage_elsewhere: 0.0,
            load_report: LoadReport::default(),
        }])
    }

    /// Advances the clock in steps of one tick and returns all actions of the scheduler.
    pub fn advance(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += 0.002;
            self.scheduler.handle(self.now, &[Event::WakeUp], &mut actions);
        }
        actions
    }
}

/// Ids of the requests sent, in order.
pub fn sent(actions: &[Action]) -> Vec<u32> {
    let sends = actions.iter().filter_map(|a| match a {
        Action::Send { request, .. } => Some(request.0),
        _ => None,
    });
    sends.collect()
}

pub fn rejected(actions: &[Action]) -> Vec<u32> {
    let refusals = actions.iter().filter_map(|a| match a {
        Action::Reject { request, .. } => Some(request.0),
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
