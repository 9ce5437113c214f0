//! A small random simulation of a head's surroundings: clients, nodes that answer, and an endpoint list that changes. It
//! drives the scheduler and its reference implementation side by side.

use super::pair::Pair;
use super::random_inputs::{TestRng, latency, level, outcome, settings};
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId, NodeState,
    PlanId, RequestId, SchedulerSettings, ShardId, UpdateKind, VolumeId, ZoneId,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Size of a run.
#[derive(Clone, Copy)]
pub struct RunSize {
    /// Number of nodes at the start, each with a shard of its own.
    pub nodes: u32,
    /// Number of steps, each one call of the schedulers.
    pub steps: u32,
    /// Maximum number of new requests in one step.
    pub requests: u32,
}

/// How often each kind of action and of list change occurred.
#[derive(Clone, Copy, Debug, Default)]
pub struct Coverage {
    sends: u64,
    retries: u64,
    new_objects: u64,
    cancelled: u64,
    rejections: u64,
    failures: u64,
    shed: u64,
    wake_ups: u64,
    polls: u64,
    lists: u64,
    drains: u64,
    replacements: u64,
    zone_losses: u64,
    shard_moves: u64,
    started: u64,
}

impl Coverage {
    /// Returns the count of the kind that occurred least often.
    pub fn rarest(&self) -> u64 {
        let actions =
            [self.sends, self.retries, self.new_objects, self.cancelled, self.rejections, self.failures];
        let others = [self.shed, self.wake_ups, self.polls, self.lists, self.started];
        let changes = [self.drains, self.replacements, self.zone_losses, self.shard_moves];
        actions.into_iter().chain(others).chain(changes).min().unwrap_or(0)
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Coverage) {
        self.sends += other.sends;
        self.retries += other.retries;
        self.new_objects += other.new_objects;
        self.cancelled += other.cancelled;
        self.rejections += other.rejections;
        self.failures += other.failures;
        self.shed += other.shed;
        self.wake_ups += other.wake_ups;
        self.polls += other.polls;
        self.lists += other.lists;
        self.drains += other.drains;
        self.replacements += other.replacements;
        self.zone_losses += other.zone_losses;
        self.shard_moves += other.shard_moves;
        self.started += other.started;
    }
}

/// An attempt that a node has not answered yet; `outcome` takes effect at `due`.
struct InFlightAttempt {
    request: RequestId,
    attempt: usize,
    sent: f64,
    due: f64,
    outcome: AttemptOutcome,
}

/// A request that has not been answered yet. `any_node` is set if it names no shard.
#[derive(Default)]
struct OpenRequest {
    sends: usize,
    any_node: bool,
}

/// One run of the simulation.
pub struct World {
    rng: TestRng,
    size: RunSize,
    config: SchedulerSettings,
    pair: Pair,
    /// Probability that a step changes the endpoint list.
    list_change_rate: f64,
    /// Probability that requests arrive in a step.
    arrival_rate: f64,
    now: f64,
    listed: Vec<Endpoint>,
    cached: Vec<Endpoint>,
    next_node: u64,
    next_request: u32,
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: Vec<InFlightAttempt>,
    wake_at: f64,
    coverage: Coverage,
}

impl World {
    /// Sets up the run that `seed` determines.
    pub fn new(seed: u64, size: RunSize) -> World {
        let mut rng = super::random_inputs::seeded(seed);
        let config = settings(&mut rng);
        let now = rng.random_range(0.0..500.0);
        let node = |number: u32| Endpoint {
            node: NodeId(u64::from(number)),
            shard: ShardId(number),
            started_at: 0.0,
            zone: ZoneId((number % 3) as u16),
            state: NodeState::Ready,
        };
        let listed: Vec<Endpoint> = (0..size.nodes).map(node).collect();
        World {
            pair: Pair::new(config.clone(), seed, now),
            list_change_rate: [0.01, 0.05, 0.2][rng.random_range(0..3)],
            arrival_rate: [0.2, 0.5, 0.8][rng.random_range(0..3)],
            rng,
            size,
            config,
            now,
            cached: listed.clone(),
            listed,
            next_node: u64::from(size.nodes),
            next_request: 0,
            open: BTreeMap::new(),
            in_flight: Vec::new(),
            wake_at: f64::INFINITY,
            coverage: Coverage::default(),
        }
    }

    /// Runs all steps and returns what occurred.
    pub fn run(mut self) -> Coverage {
        if self.sample(0.9) {
            let kind = if self.sample(0.5) { UpdateKind::Snapshot } else { UpdateKind::CachedSnapshot };
            let nodes = self.listed.clone();
            self.call(&[Event::EndpointUpdate { kind, endpoints: nodes }]);
        }
        for _ in 0..self.size.steps {
            self.step();
        }
        self.coverage.shed = self.pair.agreed_shed_requests();
        self.coverage
    }

    fn sample(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn step(&mut self) {
        self.advance_clock();
        let mut events = self.answers();
        if self.wake_at <= self.now || self.sample(0.05) {
            self.wake_at = f64::INFINITY;
            events.push(Event::WakeUp);
        }
        if self.sample(self.list_change_rate) {
            events.push(self.list_event());
        }
        if self.sample(self.arrival_rate) {
            for _ in 0..self.rng.random_range(0..=self.size.requests) {
                events.push(Event::RequestArrived(self.request()));
            }
        }
        if self.sample(0.12) {
            events.extend(self.request_event());
        }
        if self.sample(0.02) {
            events.push(Event::SheddingLevelChanged(level(&mut self.rng, &self.config, self.now)));
        }
        if self.sample(0.01) {
            let part = [0.25, 0.5, 1.0][self.rng.random_range(0..3)];
            events.push(Event::ProcessShareChanged { fraction: part });
        }
        self.call(&events);
    }

    /// Advances the clock to the next wake-up or answer, or by a random time.
    fn advance_clock(&mut self) {
        let answer = self.in_flight.iter().map(|attempt| attempt.due).fold(f64::INFINITY, f64::min);
        let next = self.wake_at.min(answer);
        let jump = match self.rng.random_range(0..20) {
            0..3 => 0.0,
            3..10 => self.rng.random_range(0.0..0.02),
            10..12 => self.rng.random_range(0.0..0.3),
            12 if self.sample(0.2) => self.rng.random_range(0.0..90.0),
            _ if next.is_finite() => (next - self.now).max(0.0),
            _ => 0.05,
        };
        self.now += jump;
    }

    /// Returns the outcomes that are due, and occasionally one that no request waits for.
    fn answers(&mut self) -> Vec<Event> {
        let (now, mut events) = (self.now, Vec::new());
        let (due, rest) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|attempt| attempt.due <= now);
        self.in_flight = rest;
        for InFlightAttempt { request, attempt, sent, outcome, .. } in due {
            let answered = !self.open.contains_key(&request);
            let done = answered || outcome == AttemptOutcome::Ok || self.sample(0.05);
            if done {
                self.open.remove(&request);
            }
            let (elapsed, last) = (now - sent, self.sample(0.05));
            events.push(attempt_ended(request, attempt, outcome, (elapsed, done, last)));
            if self.sample(0.02) {
                events.push(attempt_ended(request, attempt, AttemptOutcome::Ok, (elapsed, true, false)));
            }
        }
        if self.sample(0.01) {
            events.push(attempt_ended(RequestId(u32::MAX - 1), 0, AttemptOutcome::Ok, (0.1, true, false)));
        }
        events
    }

    /// Draws the start of a streamed answer or the disconnect of a client, mostly for a known request.
    fn request_event(&mut self) -> Option<Event> {
        if self.sample(0.1) {
            return Some(Event::StreamingStarted { request: RequestId(self.rng.random_range(0..1000)) });
        }
        if self.sample(0.6) && !self.in_flight.is_empty() {
            let place = self.rng.random_range(0..self.in_flight.len());
            self.coverage.started += 1;
            return Some(Event::StreamingStarted { request: self.in_flight[place].request });
        }
        let place = self.rng.random_range(0..self.open.len().max(1));
        let request = self.open.keys().nth(place).copied()?;
        self.open.remove(&request);
        Some(Event::ClientDisconnected { request })
    }

    fn request(&mut self) -> IoRequest {
        let id = RequestId(if self.next_request > 0 && self.sample(0.01) {
            self.rng.random_range(0..self.next_request)
        } else {
            self.next_request += 1;
            self.next_request - 1
        });
        let unknown = usize::from(self.sample(0.02));
        let class = self.rng.random_range(0..self.config.classes.len() + unknown);
        let volume = self.rng.random_range(0..12);
        let plans = self.config.plans.len() as u64;
        let plan = if self.sample(0.03) { self.rng.random_range(0..=plans) } else { volume % plans.max(1) };
        let deadline = self.config.classes.get(class).map_or(1.0, |class| class.deadline_s);
        let remaining = match self.rng.random_range(0..20) {
            0 => 0.0,
            1..4 => deadline * self.rng.random_range(0.01..1.2),
            _ => deadline,
        };
        // Most of a head's requests are for a few of many shards.
        let shards = if self.sample(0.7) { self.size.nodes.min(4) } else { self.size.nodes + 1 };
        let shard = (!self.sample(0.15)).then(|| ShardId(self.rng.random_range(0..shards)));
        IoRequest {
            id,
            class: ClassId(class),
            plan: PlanId(plan as usize),
            volume: VolumeId(volume),
            extent: self.sample(0.7).then(|| ExtentId(self.rng.random_range(0..40))),
            shard,
            remaining_s: remaining,
            units: self.rng.random_range(-0.1..self.config.max_request_units.max(1.0)),
            heads: self.rng.random_range(0..5),
            client_retry: self.sample(0.1),
        }
    }

    fn list_event(&mut self) -> Event {
        self.coverage.lists += 1;
        if self.sample(0.1) {
            self.cached = self.listed.clone();
        }
        let (kind, nodes) = match self.rng.random_range(0..20) {
            0 => (UpdateKind::Snapshot, self.listed.clone()),
            1 => (UpdateKind::CachedSnapshot, self.cached.clone()),
            2 => (UpdateKind::PollFailed, Vec::new()),
            3 => (UpdateKind::PollFailed, self.changes()),
            4 => {
                let mut nodes = self.listed.clone();
                nodes.retain(|_| self.rng.random_bool(0.8));
                (UpdateKind::Snapshot, nodes)
            }
            5 => {
                let mut nodes = self.listed.clone();
                nodes.reverse();
                nodes.extend(self.changes());
                (UpdateKind::Snapshot, nodes)
            }
            _ => (UpdateKind::Changes, self.changes()),
        };
        Event::EndpointUpdate { kind, endpoints: nodes }
    }

    /// Changes the list, and returns the entries of the update.
    fn changes(&mut self) -> Vec<Endpoint> {
        let changed = match self.rng.random_range(0..10) {
            0 => self.change_zone(),
            1 => self.replacement(),
            2 => self.move_to_another_shard(),
            _ => {
                let count = self.rng.random_range(1..4);
                (0..count).map(|_| self.change_one()).collect()
            }
        };
        for info in &changed {
            let same = |known: &Endpoint| (known.node, known.shard) == (info.node, info.shard);
            self.listed.retain(|known| !same(known));
            self.listed.extend((info.state != NodeState::Gone).then(|| info.clone()));
        }
        changed
    }

    fn any_node(&mut self) -> Endpoint {
        let first = self.sample(0.5) && self.listed.len() > 4;
        let near = if first { 4 } else { self.listed.len() };
        let unknown = Endpoint {
            node: NodeId(self.next_node),
            shard: ShardId(self.rng.random_range(0..self.size.nodes + 2)),
            started_at: 0.0,
            zone: ZoneId(0),
            state: NodeState::Ready,
        };
        if near == 0 || self.sample(0.03) {
            self.next_node += 1;
            return unknown;
        }
        let place = self.rng.random_range(0..near);
        let lowest = self.listed.iter().position(|info| info.shard.0 < 4).filter(|_| first);
        self.listed[lowest.unwrap_or(place)].clone()
    }

    fn change_one(&mut self) -> Endpoint {
        let (now, info) = (self.now, self.any_node());
        match self.rng.random_range(0..7) {
            0 => {
                self.coverage.drains += 1;
                Endpoint { state: NodeState::Draining, ..info }
            }
            1 => Endpoint { state: NodeState::Gone, ..info },
            2 => Endpoint { zone: ZoneId(self.rng.random_range(0..3)), ..info },
            3 | 4 => Endpoint { started_at: now, state: NodeState::Ready, ..info },
            5 => Endpoint { started_at: self.rng.random_range(0.0..=now), ..info },
            _ => Endpoint { state: NodeState::Ready, ..info },
        }
    }

    /// Assigns a shard to a new node; the previous one drains, is removed, or stays ready.
    fn replacement(&mut self) -> Vec<Endpoint> {
        self.coverage.replacements += 1;
        let old = self.any_node();
        let successor =
            Endpoint { node: NodeId(self.next_node), started_at: self.now, state: NodeState::Ready, ..old };
        self.next_node += 1;
        let state = [NodeState::Draining, NodeState::Gone, NodeState::Ready][self.rng.random_range(0..3)];
        vec![Endpoint { state, ..old }, successor]
    }

    /// Moves a node to another shard; the update may or may not contain its removal from the old shard.
    fn move_to_another_shard(&mut self) -> Vec<Endpoint> {
        self.coverage.shard_moves += 1;
        let old = self.any_node();
        let shard = ShardId(self.rng.random_range(0..self.size.nodes));
        let moved = Endpoint { shard, started_at: self.now, ..old.clone() };
        let removed = self.sample(0.5).then_some(Endpoint { state: NodeState::Gone, ..old });
        removed.into_iter().chain([moved]).collect()
    }

    /// Removes, drains or restores all nodes of a zone.
    fn change_zone(&mut self) -> Vec<Endpoint> {
        self.coverage.zone_losses += 1;
        let zone = ZoneId(self.rng.random_range(0..3));
        let state = [NodeState::Draining, NodeState::Gone, NodeState::Ready][self.rng.random_range(0..3)];
        let from = if state == NodeState::Ready { &self.cached } else { &self.listed };
        let of_zone = from.iter().filter(|info| info.zone == zone);
        of_zone.map(|info| Endpoint { state, ..info.clone() }).collect()
    }

    /// Passes the events to both schedulers, and carries out the actions.
    fn call(&mut self, events: &[Event]) {
        for event in events {
            if let Event::RequestArrived(arrival) = event {
                let open = OpenRequest { any_node: arrival.shard.is_none(), ..OpenRequest::default() };
                self.open.entry(arrival.id).or_insert(open);
            }
        }
        let actions = self.pair.handle(self.now, events);
        let is_answer = |action: &Action| match action {
            Action::Reject { request, .. } | Action::Fail { request } => Some(*request),
            _ => None,
        };
        let answered: BTreeSet<RequestId> = actions.iter().filter_map(is_answer).collect();
        for action in actions {
            self.apply(action, &answered);
        }
    }

    fn apply(&mut self, action: Action, answered: &BTreeSet<RequestId>) {
        match action {
            Action::Send { request, expires_at, .. } => {
                let open = self.open.entry(request).or_default();
                let (attempt, any_node) = (open.sends, open.any_node);
                open.sends += 1;
                self.coverage.sends += 1;
                self.coverage.retries += u64::from(attempt > 0);
                self.coverage.new_objects += u64::from(any_node);
                let due = self.now + latency(&mut self.rng);
                let (due, outcome) = match expires_at < due {
                    true => (expires_at, AttemptOutcome::Timeout),
                    false => (due, outcome(&mut self.rng)),
                };
                self.in_flight.push(InFlightAttempt { request, attempt, sent: self.now, due, outcome });
            }
            Action::Cancel { request, attempt } => {
                let cancelled = self.open.contains_key(&request) && !answered.contains(&request);
                self.coverage.cancelled += u64::from(cancelled);
                let already_answered = self.sample(0.1);
                let now = self.now + self.rng.random_range(0.0..0.002);
                let same = |in_flight: &&mut InFlightAttempt| {
                    (in_flight.request, in_flight.attempt) == (request, attempt)
                };
                if let Some(cancelled) = self.in_flight.iter_mut().find(same) {
                    cancelled.due = now;
                    if !already_answered {
                        cancelled.outcome = AttemptOutcome::Cancelled;
                    }
                }
            }
            Action::Reject { request, .. } => {
                self.coverage.rejections += 1;
                self.open.remove(&request);
            }
            Action::Fail { request } => {
                self.coverage.failures += 1;
                self.open.remove(&request);
            }
            Action::WakeUp { delay_s: delay } => {
                self.coverage.wake_ups += 1;
                self.wake_at = self.now + delay;
            }
            Action::PollEndpoints => self.coverage.polls += 1,
            Action::CheckHealth { .. } | Action::Log(_) => {}
        }
    }
}

fn attempt_ended(
    request: RequestId,
    attempt: usize,
    outcome: AttemptOutcome,
    (elapsed, done, last): (f64, bool, bool),
) -> Event {
    Event::AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed_s: elapsed,
        request_done: done,
        not_resendable: last,
        usage: None,
        usage_elsewhere: 0.0,
        load_report: LoadReport::default(),
    }
}
