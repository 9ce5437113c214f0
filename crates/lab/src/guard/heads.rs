//! The heads before the node: the slow-start decisions alone, or the whole scheduler of the program.

use super::cold_node::{Attempt, Sent};
use super::play::CLIENT_WAITS;
use super::{COLD, Case, MEAN_UNITS};
use flaxgap::Scheduler;
use flaxgap::scheduler::{
    Action, AttemptOutcome, Class, ClassId, Endpoint, Event, ExtentId, Idempotency, LoadReport, NodeId,
    NodeState, OptionalMechanisms, Plan, PlanId, RequestId, SchedulerSettings, ShardId, UpdateKind, VolumeId,
    ZoneId,
};
use flaxgap_slow_start::{AnswerSpeed, NodeCondition, SenderShare, SlowStart, WaitingRequest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// Seconds on the heads' clocks at the node's start: 0 would mean long ago.
const EPOCH: f64 = 1000.0;
/// Seconds within which an answer is quick, and past which it is slow; how long a request is pending at most.
const QUICK: f64 = 0.35;
const SLOW: f64 = 1.0;
const PENDING: f64 = 1.0;
/// Most units of a request, as the settings tell it.
const MOST_UNITS: f64 = 8.0;
/// Heads that a volume's requests come through.
const HEADS_PER_VOLUME: u32 = 2;

/// A request that came to a head.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The head.
    pub head: usize,
    /// Units.
    pub units: f64,
    /// The request's own random sample, in [0, 1).
    pub sample: f64,
}

/// What heads ask of the world.
#[derive(Clone, Copy, Debug)]
pub enum Request {
    /// Send an attempt.
    Send(Sent),
    /// Stop an attempt.
    Cancel(Attempt),
}

/// All heads that send to the node.
pub trait Heads {
    /// The node starts; heads without its past start with it.
    fn node_started(&mut self, keep: bool) -> Result<(), String>;
    /// A request came.
    fn arrived(&mut self, age: f64, arrival: Arrival);
    /// The node answered.
    fn served(&mut self, age: f64, served: &Sent);
    /// Lets every head with something to decide do so. `oldest` tells when a head's oldest attempt was sent.
    fn decide(&mut self, age: f64, oldest: &dyn Fn(usize) -> Option<f64>) -> Vec<Request>;
    /// Units a second that all heads together may send now, where that can be told.
    fn rates(&self, age: f64) -> Option<f64>;
}

/// A request that waits at a head.
struct Waiting {
    since: f64,
    units: f64,
    sample: f64,
}

/// Heads that run the slow-start decisions alone.
pub struct SlowStartHeads {
    case: Case,
    views: Vec<SlowStart>,
    waiting: Vec<VecDeque<Waiting>>,
    busy: BTreeSet<usize>,
    next_request: u32,
}

impl SlowStartHeads {
    /// Heads that know nothing yet, at this age of the node.
    pub fn new(case: &Case, age: f64) -> SlowStartHeads {
        let senders = case.senders as usize;
        SlowStartHeads {
            case: *case,
            views: vec![SlowStart::new(COLD.warm_up_s, age); senders],
            waiting: (0..senders).map(|_| VecDeque::new()).collect(),
            busy: BTreeSet::new(),
            next_request: 0,
        }
    }

    fn rate(&self, head: usize, age: f64, slow: bool) -> Option<f64> {
        let heads = f64::from(self.case.heads);
        let sender = SenderShare { heads, process_share: 1.0 };
        let node = NodeCondition { age_s: age.max(0.0), is_slow: slow };
        self.views[head].allowed_rate(&COLD, sender, node, age)
    }

    /// Whether a head's first request may go now.
    fn may_send(&mut self, head: usize, age: f64, slow: bool) -> bool {
        if age < 0.0 {
            return true;
        }
        let Some(rate) = self.rate(head, age, slow) else { return true };
        let Some(first) = self.waiting[head].front() else { return false };
        let request = WaitingRequest { units: first.units, is_reserved: true, sample: first.sample };
        self.views[head].wait_s(&COLD, rate, request, age) <= 0.0
    }
}

impl Heads for SlowStartHeads {
    fn node_started(&mut self, keep: bool) -> Result<(), String> {
        for view in &mut self.views {
            if !keep {
                *view = SlowStart::new(COLD.warm_up_s, 0.0);
            }
            view.record_node_start(0.0);
        }
        Ok(())
    }

    fn arrived(&mut self, age: f64, arrival: Arrival) {
        let Arrival { head, units, sample } = arrival;
        self.views[head].record_demand(age, units);
        self.waiting[head].push_back(Waiting { since: age, units, sample });
        self.busy.insert(head);
    }

    fn served(&mut self, age: f64, served: &Sent) {
        let latency = age - served.sent_at;
        let speed = if latency < QUICK {
            AnswerSpeed::Fast
        } else if latency > SLOW {
            AnswerSpeed::Slow
        } else {
            AnswerSpeed::Normal
        };
        self.views[served.attempt.head].record_answer(speed);
    }

    fn decide(&mut self, age: f64, oldest: &dyn Fn(usize) -> Option<f64>) -> Vec<Request> {
        let mut requests = Vec::new();
        for head in self.busy.clone() {
            self.waiting[head].retain(|one| age - one.since < PENDING);
            let slow = oldest(head).is_some_and(|sent_at| age - sent_at > SLOW);
            if self.may_send(head, age, slow)
                && let Some(first) = self.waiting[head].pop_front()
            {
                self.views[head].record_sent(first.units);
                self.next_request += 1;
                let attempt = Attempt { head, request: self.next_request, nth: 0 };
                let (units, arrived_at) = (first.units, first.since);
                requests.push(Request::Send(Sent { attempt, units, arrived_at, sent_at: age }));
            }
            if self.waiting[head].is_empty() {
                self.busy.remove(&head);
            }
        }
        requests
    }

    fn rates(&self, age: f64) -> Option<f64> {
        Some((0..self.views.len()).filter_map(|head| self.rate(head, age, false)).sum())
    }
}

/// One head with the program's scheduler.
struct SchedulerHead {
    scheduler: Scheduler,
    pending: Vec<Event>,
    wake_at: f64,
    next_request: u32,
    sends: HashMap<u32, Sends>,
}

/// What a head has sent of one request.
struct Sends {
    units: f64,
    arrived_at: f64,
    count: usize,
}

/// Heads that run the program's whole scheduler. They are told of the one node that they share; each volume's
/// requests come through two heads, and reserves add up to what plans promise.
pub struct SchedulerHeads {
    case: Case,
    heads: Vec<SchedulerHead>,
}

const NODE_BEFORE: NodeId = NodeId(1);
const NODE_STARTED: NodeId = NodeId(2);
const SHARD: ShardId = ShardId(0);

fn node(node: NodeId, since: f64, state: NodeState) -> Endpoint {
    Endpoint { node, shard: SHARD, started_at: since, zone: ZoneId(0), state }
}

/// The settings of the case, as a head reads them.
fn settings(case: &Case) -> SchedulerSettings {
    let volumes = f64::from(case.senders) / f64::from(HEADS_PER_VOLUME);
    let reserve = case.promised * case.capacity() / volumes.max(1.0);
    let class = Class {
        latency_objective_s: 0.4,
        deadline_s: CLIENT_WAITS,
        priority_weight: 3.0,
        late_fraction: 0.2,
        idempotency: Idempotency::Idempotent,
        ordered: false,
    };
    let plan = Plan { base_rate: reserve / 0.8, reserve, weight: 3.0, value_factor: 0.9, limit: None };
    SchedulerSettings {
        classes: vec![class],
        plans: vec![plan],
        mean_request_units: MEAN_UNITS,
        max_request_units: MOST_UNITS,
        within_quota_fraction: 0.35,
        beyond_quota_fraction: 0.08,
        heads: case.heads,
        tick_s: 0.002,
        max_pending: 4096,
        max_attempts: 3,
        mechanisms: OptionalMechanisms { hedging: false, cancellation: true, health_checks: false },
        load_reports_in_answers: true,
        usage_period_s: 0.0,
        reports_usage_elsewhere: false,
        poll_interval_s: None,
        slow_start: COLD,
        retry_budget: None,
        ordering_pause_s: 0.0,
        max_retry_after_s: 0.0,
    }
}

impl SchedulerHeads {
    /// Heads that know the node as one that has long been warm.
    pub fn new(case: &Case, age: f64) -> Result<SchedulerHeads, String> {
        let mut heads = Vec::new();
        for number in 0..case.senders {
            heads.push(SchedulerHead::new(case, number, age, node(NODE_BEFORE, 0.0, NodeState::Ready))?);
        }
        Ok(SchedulerHeads { case: *case, heads })
    }
}

impl SchedulerHead {
    fn new(case: &Case, number: u32, age: f64, known: Endpoint) -> Result<SchedulerHead, String> {
        // Each start of each head has a random seed of its own, as on the platform.
        let life = (u64::from(number) << 1) | u64::from(age >= 0.0);
        let seed = ChaCha8Rng::seed_from_u64(case.seed ^ (life << 32)).random();
        let scheduler =
            Scheduler::new(settings(case), seed, EPOCH + age).map_err(|problem| problem.to_string())?;
        let list = Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: vec![known] };
        Ok(SchedulerHead {
            scheduler,
            pending: vec![list],
            wake_at: f64::INFINITY,
            next_request: 0,
            sends: HashMap::new(),
        })
    }

    fn decide(&mut self, age: f64, head: usize, requests: &mut Vec<Request>) {
        if age >= self.wake_at {
            self.wake_at = f64::INFINITY;
            self.pending.push(Event::WakeUp);
        }
        if self.pending.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        self.scheduler.handle(EPOCH + age, &self.pending, &mut actions);
        self.pending.clear();
        for action in actions {
            self.follow(age, head, action, requests);
        }
    }

    fn follow(&mut self, age: f64, head: usize, action: Action, requests: &mut Vec<Request>) {
        match action {
            Action::Send { request, .. } => {
                if let Some(sends) = self.sends.get_mut(&request.0) {
                    let attempt = Attempt { head, request: request.0, nth: sends.count };
                    sends.count += 1;
                    let (units, arrived_at) = (sends.units, sends.arrived_at);
                    requests.push(Request::Send(Sent { attempt, units, arrived_at, sent_at: age }));
                }
            }
            Action::Cancel { request, attempt } => {
                requests.push(Request::Cancel(Attempt { head, request: request.0, nth: attempt }));
                self.ended(request, attempt, AttemptOutcome::Cancelled, 0.0);
            }
            Action::WakeUp { delay_s: delay } => self.wake_at = self.wake_at.min(age + delay),
            Action::Reject { .. }
            | Action::Fail { .. }
            | Action::CheckHealth { .. }
            | Action::PollEndpoints
            | Action::Log(_) => {}
        }
    }

    fn ended(&mut self, request: RequestId, attempt: usize, outcome: AttemptOutcome, elapsed: f64) {
        self.pending.push(Event::AttemptEnded {
            request,
            attempt,
            outcome,
            elapsed_s: elapsed,
            request_done: outcome == AttemptOutcome::Ok,
            not_resendable: false,
            usage: None,
            usage_elsewhere: 0.0,
            load_report: LoadReport::default(),
        });
    }
}

impl Heads for SchedulerHeads {
    fn node_started(&mut self, keep: bool) -> Result<(), String> {
        let started = node(NODE_STARTED, EPOCH, NodeState::Ready);
        for (number, head) in self.heads.iter_mut().enumerate() {
            if keep {
                let gone = node(NODE_BEFORE, 0.0, NodeState::Gone);
                let nodes = vec![gone, started.clone()];
                head.pending.push(Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints: nodes });
            } else {
                *head = SchedulerHead::new(&self.case, number as u32, 0.0, started.clone())?;
            }
        }
        Ok(())
    }

    fn arrived(&mut self, age: f64, arrival: Arrival) {
        let head = &mut self.heads[arrival.head];
        head.next_request += 1;
        let id = RequestId(head.next_request);
        head.sends.insert(id.0, Sends { units: arrival.units, arrived_at: age, count: 0 });
        head.pending.push(Event::RequestArrived(flaxgap::scheduler::IoRequest {
            id,
            class: ClassId(0),
            plan: PlanId(0),
            volume: VolumeId(arrival.head as u64 / u64::from(HEADS_PER_VOLUME)),
            extent: Some(ExtentId(u64::from(id.0))),
            shard: Some(SHARD),
            remaining_s: CLIENT_WAITS,
            units: arrival.units,
            heads: HEADS_PER_VOLUME,
            client_retry: false,
        }));
    }

    fn served(&mut self, age: f64, served: &Sent) {
        let Attempt { head, request, nth } = served.attempt;
        self.heads[head].ended(RequestId(request), nth, AttemptOutcome::Ok, age - served.sent_at);
    }

    fn decide(&mut self, age: f64, _oldest: &dyn Fn(usize) -> Option<f64>) -> Vec<Request> {
        let mut requests = Vec::new();
        for (number, head) in self.heads.iter_mut().enumerate() {
            head.decide(age, number, &mut requests);
        }
        requests
    }

    fn rates(&self, _age: f64) -> Option<f64> {
        None
    }
}
