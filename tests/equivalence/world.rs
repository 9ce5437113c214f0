//! A small model of what surrounds a head, drawn at random: clients, nodes that answer, and a node list that changes.
//! It drives the module and its reference side by side.

use super::pair::Pair;
use super::random_inputs::{TestRng, latency, level, outcome, settings};
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId, NodeState,
    PlanId, RequestId, SchedulerSettings, ShardId, UpdateKind, VolumeId, ZoneId,
};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How large a run is.
#[derive(Clone, Copy)]
pub struct RunSize {
    /// Nodes at the start, each with a shard of its own.
    pub nodes: u32,
    /// Calls of the module.
    pub steps: u32,
    /// Most new requests in one call.
    pub requests: u32,
}

/// How often each kind of action and of change was met.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
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

impl Seen {
    /// How often the rarest of them was met.
    pub fn rarest(&self) -> u64 {
        let actions =
            [self.sends, self.retries, self.new_objects, self.cancelled, self.rejections, self.failures];
        let others = [self.shed, self.wake_ups, self.polls, self.lists, self.started];
        let changes = [self.drains, self.replacements, self.zone_losses, self.shard_moves];
        actions.into_iter().chain(others).chain(changes).min().unwrap_or(0)
    }

    /// Adds what another run met.
    pub fn add(&mut self, other: &Seen) {
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

/// An attempt that is out at a node.
struct Out {
    request: RequestId,
    attempt: usize,
    sent: f64,
    due: f64,
    outcome: AttemptOutcome,
}

/// What the client side knows of a request that has no answer yet.
#[derive(Default)]
struct Open {
    sends: usize,
    any_node: bool,
}

/// One run of a head and its surroundings.
pub struct World {
    rng: TestRng,
    size: RunSize,
    config: SchedulerSettings,
    pair: Pair,
    /// Changes of the list for each call, and the part of calls that bring requests.
    list_change_rate: f64,
    arrival_rate: f64,
    now: f64,
    listed: Vec<Endpoint>,
    last_seen: Vec<Endpoint>,
    next_node: u64,
    next_request: u32,
    open: BTreeMap<RequestId, Open>,
    out: Vec<Out>,
    wake_at: f64,
    seen: Seen,
}

impl World {
    /// The run that a seed stands for.
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
            last_seen: listed.clone(),
            listed,
            next_node: u64::from(size.nodes),
            next_request: 0,
            open: BTreeMap::new(),
            out: Vec::new(),
            wake_at: f64::INFINITY,
            seen: Seen::default(),
        }
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Seen {
        if self.sample(0.9) {
            let kind = if self.sample(0.5) { UpdateKind::Snapshot } else { UpdateKind::CachedSnapshot };
            let nodes = self.listed.clone();
            self.call(&[Event::EndpointUpdate { kind, endpoints: nodes }]);
        }
        for _ in 0..self.size.steps {
            self.step();
        }
        self.seen.shed = self.pair.agreed_shed_requests();
        self.seen
    }

    fn sample(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn step(&mut self) {
        self.pass_time();
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

    /// To the next wake-up or answer, or on by some time.
    fn pass_time(&mut self) {
        let answer = self.out.iter().map(|out| out.due).fold(f64::INFINITY, f64::min);
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

    /// The outcomes that are due, and now and then one that nobody waits for.
    fn answers(&mut self) -> Vec<Event> {
        let (now, mut events) = (self.now, Vec::new());
        let (due, out) = std::mem::take(&mut self.out).into_iter().partition(|out| out.due <= now);
        self.out = out;
        for Out { request, attempt, sent, outcome, .. } in due {
            let answered = !self.open.contains_key(&request);
            let done = answered || outcome == AttemptOutcome::Ok || self.sample(0.05);
            if done {
                self.open.remove(&request);
            }
            let (elapsed, last) = (now - sent, self.sample(0.05));
            events.push(ended(request, attempt, outcome, (elapsed, done, last)));
            if self.sample(0.02) {
                events.push(ended(request, attempt, AttemptOutcome::Ok, (elapsed, true, false)));
            }
        }
        if self.sample(0.01) {
            events.push(ended(RequestId(u32::MAX - 1), 0, AttemptOutcome::Ok, (0.1, true, false)));
        }
        events
    }

    /// The start of an answer or a client's leaving, mostly of a request that is known.
    fn request_event(&mut self) -> Option<Event> {
        if self.sample(0.1) {
            return Some(Event::StreamingStarted { request: RequestId(self.rng.random_range(0..1000)) });
        }
        if self.sample(0.6) && !self.out.is_empty() {
            let place = self.rng.random_range(0..self.out.len());
            self.seen.started += 1;
            return Some(Event::StreamingStarted { request: self.out[place].request });
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
        // Most of what a head has goes to few of many shards.
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
        self.seen.lists += 1;
        if self.sample(0.1) {
            self.last_seen = self.listed.clone();
        }
        let (kind, nodes) = match self.rng.random_range(0..20) {
            0 => (UpdateKind::Snapshot, self.listed.clone()),
            1 => (UpdateKind::CachedSnapshot, self.last_seen.clone()),
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

    /// Changes the list, and tells the entries that say so.
    fn changes(&mut self) -> Vec<Endpoint> {
        let changed = match self.rng.random_range(0..10) {
            0 => self.change_zone(),
            1 => self.replacement(),
            2 => self.move_to_another_shard(),
            _ => {
                let some = self.rng.random_range(1..4);
                (0..some).map(|_| self.change_one()).collect()
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
                self.seen.drains += 1;
                Endpoint { state: NodeState::Draining, ..info }
            }
            1 => Endpoint { state: NodeState::Gone, ..info },
            2 => Endpoint { zone: ZoneId(self.rng.random_range(0..3)), ..info },
            3 | 4 => Endpoint { started_at: now, state: NodeState::Ready, ..info },
            5 => Endpoint { started_at: self.rng.random_range(0.0..=now), ..info },
            _ => Endpoint { state: NodeState::Ready, ..info },
        }
    }

    /// Another node takes a shard over; the one before drains, goes, or stays.
    fn replacement(&mut self) -> Vec<Endpoint> {
        self.seen.replacements += 1;
        let old = self.any_node();
        let successor =
            Endpoint { node: NodeId(self.next_node), started_at: self.now, state: NodeState::Ready, ..old };
        self.next_node += 1;
        let state = [NodeState::Draining, NodeState::Gone, NodeState::Ready][self.rng.random_range(0..3)];
        vec![Endpoint { state, ..old }, successor]
    }

    /// A node holds another shard from now on, and the list may or may not say that the old one lost it.
    fn move_to_another_shard(&mut self) -> Vec<Endpoint> {
        self.seen.shard_moves += 1;
        let old = self.any_node();
        let shard = ShardId(self.rng.random_range(0..self.size.nodes));
        let moved = Endpoint { shard, started_at: self.now, ..old.clone() };
        let removed = self.sample(0.5).then_some(Endpoint { state: NodeState::Gone, ..old });
        removed.into_iter().chain([moved]).collect()
    }

    /// A zone goes, drains or comes back.
    fn change_zone(&mut self) -> Vec<Endpoint> {
        self.seen.zone_losses += 1;
        let zone = ZoneId(self.rng.random_range(0..3));
        let state = [NodeState::Draining, NodeState::Gone, NodeState::Ready][self.rng.random_range(0..3)];
        let from = if state == NodeState::Ready { &self.last_seen } else { &self.listed };
        let of_zone = from.iter().filter(|info| info.zone == zone);
        of_zone.map(|info| Endpoint { state, ..info.clone() }).collect()
    }

    /// Calls both modules, and does what they arrival for.
    fn call(&mut self, events: &[Event]) {
        for event in events {
            if let Event::RequestArrived(arrival) = event {
                let open = Open { any_node: arrival.shard.is_none(), ..Open::default() };
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
            self.act(action, &answered);
        }
    }

    fn act(&mut self, action: Action, answered: &BTreeSet<RequestId>) {
        match action {
            Action::Send { request, expires_at, .. } => {
                let open = self.open.entry(request).or_default();
                let (attempt, any_node) = (open.sends, open.any_node);
                open.sends += 1;
                self.seen.sends += 1;
                self.seen.retries += u64::from(attempt > 0);
                self.seen.new_objects += u64::from(any_node);
                let due = self.now + latency(&mut self.rng);
                let (due, outcome) = match expires_at < due {
                    true => (expires_at, AttemptOutcome::Timeout),
                    false => (due, outcome(&mut self.rng)),
                };
                self.out.push(Out { request, attempt, sent: self.now, due, outcome });
            }
            Action::Cancel { request, attempt } => {
                let cancelled = self.open.contains_key(&request) && !answered.contains(&request);
                self.seen.cancelled += u64::from(cancelled);
                let crossed = self.sample(0.1);
                let now = self.now + self.rng.random_range(0.0..0.002);
                let same = |out: &&mut Out| (out.request, out.attempt) == (request, attempt);
                if let Some(out) = self.out.iter_mut().find(same) {
                    out.due = now;
                    out.outcome = if crossed { out.outcome } else { AttemptOutcome::Cancelled };
                }
            }
            Action::Reject { request, .. } => {
                self.seen.rejections += 1;
                self.open.remove(&request);
            }
            Action::Fail { request } => {
                self.seen.failures += 1;
                self.open.remove(&request);
            }
            Action::WakeUp { delay_s: delay } => {
                self.seen.wake_ups += 1;
                self.wake_at = self.now + delay;
            }
            Action::PollEndpoints => self.seen.polls += 1,
            Action::CheckHealth { .. } | Action::Log(_) => {}
        }
    }
}

fn ended(
    request: RequestId,
    attempt: usize,
    outcome: AttemptOutcome,
    (elapsed, done, last): (f64, bool, bool),
) -> Event {
    let (used, elsewhere, report) = (None, 0.0, LoadReport::default());
    Event::AttemptEnded {
        request,
        attempt,
        outcome,
        elapsed_s: elapsed,
        request_done: done,
        not_resendable: last,
        usage: used,
        usage_elsewhere: elsewhere,
        load_report: report,
    }
}
