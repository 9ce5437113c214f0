//! Heads with the real module and the real levels, before modelled nodes, in virtual time. The same day and the same
//! policy give the same outcome to the last digit.

use crate::clock::Agenda;
use crate::fleet::{Fleet, SAVE};
use crate::load::Arrival;
use crate::node::{Ends, Node, Token};
use flaxgap::Scheduler;
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId, NodeState,
    PlanId, RequestId, ShardId, UpdateKind, VolumeId, ZoneId,
};
use flaxgap::shedding::monitor::{LoadMonitor, ResourceGauges};
use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use flaxgap_load_shedding::report::LevelTransition;
use flaxgap_load_shedding::{LevelManager, Scope, SheddingSettings};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// The module's clock at the start: a node's last start at 0 would mean long ago.
const EPOCH: f64 = 1000.0;
/// Seconds after which a connection that does not come up has failed.
const CONNECT: f64 = 0.25;
/// Connections to a node that a head keeps.
const POOL: u32 = 8;
/// Seconds after a change until the list tells of it.
const LIST_LATE: f64 = 1.5;
/// Seconds after a period until its use report comes, by the usual.
const REPORT_LATE: f64 = 0.9;
/// Part of the clients that try once more, and how long they wait before.
const RETRIES: (f64, f64) = (0.5, 0.15);
/// Seconds past the last arrival until all is answered.
const TAIL: f64 = 5.0;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The links between one hall and the others are cut; its nodes may come back cold.
    Cut {
        /// The hall.
        zone: u16,
        /// From when, in seconds.
        at: f64,
        /// For how long.
        seconds: f64,
        /// Whether its nodes start anew.
        cold: bool,
    },
    /// All nodes are slower by a factor.
    Slow {
        /// From when, in seconds.
        at: f64,
        /// For how long.
        seconds: f64,
        /// Times their usual speed.
        factor: f64,
    },
    /// Use reports come later by so many seconds; without a number, not at all.
    Lag {
        /// From when, in seconds.
        at: f64,
        /// For how long.
        seconds: f64,
        /// Seconds later.
        extra: Option<f64>,
    },
}

impl Fault {
    fn span(&self) -> (f64, f64) {
        let (Fault::Cut { at, seconds, .. }
        | Fault::Slow { at, seconds, .. }
        | Fault::Lag { at, seconds, .. }) = self;
        (*at, at + seconds)
    }
}

/// What heads do about pressure beyond the module's own guards.
#[derive(Clone, Debug)]
pub enum Policy {
    /// Nothing.
    Plain,
    /// Levels of reduced service.
    Levels(Box<SheddingSettings>),
    /// Each arrival is refused by chance, with the part of its five seconds.
    Random(Vec<f64>),
    /// One head is held at a level for the whole day, the others at none.
    Pinned {
        /// The head.
        head: usize,
        /// The level.
        level: String,
        /// What is settled.
        settings: Box<SheddingSettings>,
    },
}

/// A day to play.
pub struct Day<'a> {
    /// The installation.
    pub fleet: &'a Fleet,
    /// All first tries.
    pub arrivals: &'a [Arrival],
    /// What goes wrong.
    pub faults: &'a [Fault],
    /// Seconds of arrivals.
    pub seconds: f64,
    /// Seed of all that is drawn while it is played.
    pub seed: u64,
}

/// How a first try and its retry ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ending {
    /// When the last answer came; 0 if none.
    pub at: f64,
    /// Whether it was served.
    pub served: bool,
}

/// What a day brought.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Played {
    /// By arrival.
    pub endings: Vec<Ending>,
    /// Changes of level, by head.
    pub changes: Vec<Vec<LevelTransition>>,
    /// Requests refused for a level or by chance, of those that came, in each five seconds.
    pub withheld: Vec<(u64, u64)>,
    /// Arrivals that found no connection.
    pub crowded_out: u64,
    /// Final answers that did not come by their deadline, or came twice.
    pub broken: u64,
    /// Reserved work whose aim was met, and all that ended, as the modules count it.
    pub kept: (u64, u64),
    /// Calls of the module.
    pub calls: u64,
}

enum Due {
    Arrive { arrival: usize, again: bool },
    Call { head: usize, wake: bool },
    Look { head: usize },
    Reach { token: Token },
    Done { node: usize, turn: u64 },
    Answer { token: Token, outcome: AttemptOutcome },
    GiveUp { token: Token },
    Unconnected { token: Token },
    Drop { node: usize, token: Token },
    Pause { node: usize },
    Flush { node: usize },
    Begin { fault: usize },
    End { fault: usize },
    List { node: usize },
}

struct Attempt {
    head: usize,
    request: RequestId,
    nth: usize,
    node: usize,
    sent: f64,
}

struct Open {
    arrival: usize,
    again: bool,
    sends: usize,
    out: Option<Token>,
}

struct Head {
    zone: u16,
    scheduler: Scheduler,
    monitor: Option<LoadMonitor>,
    pending: Vec<Event>,
    planned: bool,
    next_call: f64,
    open: HashMap<RequestId, Open>,
    pool: Vec<u32>,
    next_id: u32,
    withheld: u64,
}

struct World<'a> {
    day: &'a Day<'a>,
    policy: &'a Policy,
    agenda: Agenda<Due>,
    heads: Vec<Head>,
    nodes: Vec<Node>,
    attempts: HashMap<Token, Attempt>,
    next_token: Token,
    cut: Vec<u16>,
    lag: Option<f64>,
    used: Vec<Vec<f64>>,
    chance: ChaCha8Rng,
    played: Played,
}

/// Plays a day.
///
/// # Errors
///
/// The scheduler rejects the fleet's settings, or the level manager the override of a pinned level.
pub fn play(day: &Day<'_>, policy: &Policy) -> Result<Played, String> {
    let mut world = World::new(day, policy)?;
    world.run();
    Ok(world.played)
}

impl<'a> World<'a> {
    fn new(day: &'a Day<'a>, policy: &'a Policy) -> Result<World<'a>, String> {
        let fleet = day.fleet;
        let cold = (fleet.settings.slow_start.initial_capacity, fleet.settings.slow_start.warm_up_s);
        let mut heads = Vec::new();
        for (number, zone) in fleet.heads.iter().enumerate() {
            let seed = day.seed.wrapping_mul(31).wrapping_add(number as u64);
            let scheduler =
                Scheduler::new(fleet.settings.clone(), seed, EPOCH).map_err(|problem| problem.to_string())?;
            let levels = match policy {
                Policy::Levels(settings) => Some(LevelManager::new((**settings).clone(), EPOCH)),
                Policy::Pinned { head, level, settings } if *head == number => {
                    let mut levels = LevelManager::new((**settings).clone(), EPOCH);
                    let request = OverrideRequest {
                        level_name: level.clone(),
                        duration_s: day.seconds + TAIL,
                        note: OperatorNote { operator: "lab".into(), reason: "a day of it".into() },
                    };
                    levels
                        .set_override(EPOCH, Scope::Head, &request)
                        .map_err(|problem| problem.to_string())?;
                    Some(levels)
                }
                _ => None,
            };
            heads.push(Head {
                zone: *zone,
                scheduler,
                monitor: levels.map(|levels| LoadMonitor::new(levels, &fleet.settings, EPOCH)),
                pending: Vec::new(),
                planned: false,
                next_call: 0.0,
                open: HashMap::new(),
                pool: vec![2; fleet.nodes.len()],
                next_id: 0,
                withheld: 0,
            });
        }
        let nodes: Vec<Node> = fleet.nodes.iter().map(|spec| Node::new(spec.clone(), cold)).collect();
        let windows = (day.seconds / 5.0) as usize + 2;
        let played = Played {
            endings: vec![Ending::default(); day.arrivals.len()],
            changes: vec![Vec::new(); heads.len()],
            withheld: vec![(0, 0); windows],
            ..Played::default()
        };
        let seconds = (day.seconds + TAIL) as usize + 2;
        let mut world = World {
            day,
            policy,
            agenda: Agenda::default(),
            heads,
            nodes,
            attempts: HashMap::new(),
            next_token: 1,
            cut: Vec::new(),
            lag: Some(0.0),
            used: vec![vec![0.0; seconds]; fleet.volumes.len()],
            chance: ChaCha8Rng::seed_from_u64(day.seed ^ 0xc4a),
            played,
        };
        world.plan_all();
        Ok(world)
    }

    fn plan_all(&mut self) {
        let list: Vec<Endpoint> = (0..self.nodes.len()).map(|node| self.info(node)).collect();
        for head in 0..self.heads.len() {
            self.tell(head, Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: list.clone() });
            if self.heads[head].monitor.is_some() {
                self.agenda.plan(0.1 + 0.03 * head as f64, Due::Look { head });
            }
        }
        for (node, spec) in self.day.fleet.nodes.iter().enumerate() {
            let first: f64 = self.chance.random();
            self.agenda.plan(first * spec.pause_every, Due::Pause { node });
            self.agenda.plan(first * spec.flush_every, Due::Flush { node });
        }
        for (fault, what) in self.day.faults.iter().enumerate() {
            let (from, until) = what.span();
            self.agenda.plan(from, Due::Begin { fault });
            self.agenda.plan(until, Due::End { fault });
        }
        if let Some(first) = self.day.arrivals.first() {
            self.agenda.plan(first.at, Due::Arrive { arrival: 0, again: false });
        }
    }

    fn run(&mut self) {
        let end = self.day.seconds + TAIL;
        while let Some(due) = self.agenda.advance() {
            if self.agenda.now() > end {
                break;
            }
            self.go(due);
        }
        for kept in self.heads.iter().flat_map(|head| head.scheduler.reserved_work_stats().values()) {
            self.played.kept.0 += kept.met_objective;
            self.played.kept.1 += kept.completed;
        }
        self.played.broken += self.heads.iter().map(|head| head.open.len() as u64).sum::<u64>();
    }

    fn go(&mut self, due: Due) {
        let now = self.agenda.now();
        match due {
            Due::Arrive { arrival, again } => self.arrive(arrival, again),
            Due::Call { head, wake } => {
                if wake {
                    self.tell(head, Event::WakeUp);
                } else {
                    self.call(head);
                }
            }
            Due::Look { head } => self.look(head),
            Due::Reach { token } => self.reach(token),
            Due::Done { node, turn } => {
                let mut ends = Ends::new();
                let done = self.nodes[node].done(now, turn, &mut ends);
                self.plan_ends(node, ends);
                if let Some(token) = done {
                    self.answer(node, token, AttemptOutcome::Ok);
                }
            }
            Due::Answer { token, outcome } => self.ended(token, outcome, true),
            Due::Unconnected { token } => self.ended(token, AttemptOutcome::ConnectFailed, false),
            Due::GiveUp { token } => {
                if let Some(attempt) = self.attempts.get(&token) {
                    let node = attempt.node;
                    self.drop_at_node(attempt.head, node, token);
                    self.ended(token, AttemptOutcome::Timeout, false);
                }
            }
            Due::Drop { node, token } => {
                let mut ends = Ends::new();
                self.nodes[node].drop_attempt(now, token, &mut ends);
                self.plan_ends(node, ends);
            }
            Due::Pause { node } => {
                let mut ends = Ends::new();
                let next = self.nodes[node].pause(now, &mut ends);
                self.plan_ends(node, ends);
                self.agenda.plan(next, Due::Pause { node });
            }
            Due::Flush { node } => {
                let mut ends = Ends::new();
                let next = self.nodes[node].flush(now, &mut ends);
                self.plan_ends(node, ends);
                self.agenda.plan(next, Due::Flush { node });
            }
            Due::Begin { fault } => self.fault(fault, true),
            Due::End { fault } => self.fault(fault, false),
            Due::List { node } => {
                let info = self.info(node);
                for head in 0..self.heads.len() {
                    self.tell(
                        head,
                        Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints: vec![info.clone()] },
                    );
                }
            }
        }
    }

    fn info(&self, node: usize) -> Endpoint {
        Endpoint {
            node: NodeId(node as u64),
            shard: ShardId(node as u32),
            started_at: self.nodes[node].since().map_or(0.0, |since| since + EPOCH),
            zone: ZoneId(self.nodes[node].zone()),
            state: NodeState::Ready,
        }
    }

    fn plan_ends(&mut self, node: usize, ends: Ends) {
        for (at, turn) in ends {
            self.agenda.plan(at, Due::Done { node, turn });
        }
    }

    fn linked(&self, head: usize, node: usize) -> bool {
        let (a, b) = (self.heads[head].zone, self.nodes[node].zone());
        a == b || !(self.cut.contains(&a) || self.cut.contains(&b))
    }

    fn delay(&self, head: usize, node: usize) -> f64 {
        let (far, near) = self.day.fleet.delay;
        if self.heads[head].zone == self.nodes[node].zone() { near } else { far }
    }

    fn fault(&mut self, fault: usize, begins: bool) {
        let now = self.agenda.now();
        match self.day.faults[fault] {
            Fault::Cut { zone, .. } if begins => self.cut.push(zone),
            Fault::Cut { zone, cold, .. } => {
                self.cut.retain(|cut| *cut != zone);
                let back = (0..self.nodes.len()).filter(|node| cold && self.nodes[*node].zone() == zone);
                for node in back.collect::<Vec<_>>() {
                    self.nodes[node].restart(now);
                    self.agenda.plan(now + LIST_LATE, Due::List { node });
                }
            }
            Fault::Slow { factor, .. } => {
                let factor = if begins { factor } else { 1.0 };
                self.nodes.iter_mut().for_each(|node| node.slow(factor));
            }
            Fault::Lag { extra, .. } => self.lag = if begins { extra } else { Some(0.0) },
        }
    }

    fn tell(&mut self, head: usize, event: Event) {
        let at = self.heads[head].next_call;
        self.heads[head].pending.push(event);
        if !std::mem::replace(&mut self.heads[head].planned, true) {
            self.agenda.plan(at, Due::Call { head, wake: false });
        }
    }

    fn arrive(&mut self, number: usize, again: bool) {
        let (now, arrival) = (self.agenda.now(), self.day.arrivals[number]);
        if let (false, Some(next)) = (again, self.day.arrivals.get(number + 1)) {
            self.agenda.plan(next.at, Due::Arrive { arrival: number + 1, again: false });
        }
        let window = (now / 5.0) as usize;
        if let Some(counts) = self.played.withheld.get_mut(window) {
            counts.1 += 1;
        }
        if let Policy::Random(parts) = self.policy {
            if self.chance.random::<f64>() < parts.get(window).copied().unwrap_or(0.0) {
                return self.finish(number, again, false);
            }
        }
        let settings = &self.day.fleet.settings;
        let head = &mut self.heads[arrival.head];
        if head.open.len() >= settings.max_pending {
            self.played.crowded_out += 1;
            return self.finish(number, again, false);
        }
        let id = RequestId(head.next_id);
        head.next_id += 1;
        head.open.insert(id, Open { arrival: number, again, sends: 0, out: None });
        let volume = &self.day.fleet.volumes[arrival.volume];
        let remaining = arrival.at + settings.classes[arrival.class].deadline_s - now;
        let ask = IoRequest {
            id,
            class: ClassId(arrival.class),
            plan: PlanId(volume.plan),
            volume: VolumeId(arrival.volume as u64),
            extent: Some(ExtentId(number as u64)),
            shard: Some(ShardId(arrival.shard)),
            remaining_s: remaining,
            units: arrival.units,
            heads: volume.heads.len() as u32,
            client_retry: false,
        };
        self.tell(arrival.head, Event::RequestArrived(ask));
    }

    /// A try has its answer: the client may come once more.
    fn finish(&mut self, number: usize, again: bool, served: bool) {
        let (now, arrival) = (self.agenda.now(), self.day.arrivals[number]);
        let deadline = arrival.at + self.day.fleet.settings.classes[arrival.class].deadline_s;
        if now > deadline + 0.05 {
            self.played.broken += 1;
        }
        // Whose client comes again is the arrival's own, whatever else was drawn before.
        let eager = (arrival.effort * 1e4).fract() < RETRIES.0;
        if !served && !again && eager && now + RETRIES.1 + 0.1 < deadline {
            return self.agenda.plan(now + RETRIES.1, Due::Arrive { arrival: number, again: true });
        }
        self.played.endings[number] = Ending { at: now, served };
    }

    fn call(&mut self, number: usize) {
        let now = self.agenda.now();
        let (tick, mut actions) = (self.day.fleet.settings.tick_s, Vec::new());
        self.played.calls += 1;
        let head = &mut self.heads[number];
        (head.planned, head.next_call) = (false, now + tick);
        let events = std::mem::take(&mut head.pending);
        head.scheduler.handle(now + EPOCH, &events, &mut actions);
        if let Some(monitor) = &mut head.monitor {
            monitor.record(now + EPOCH, &events, &actions);
        }
        let withheld = head.scheduler.shed_requests();
        let more = withheld - std::mem::replace(&mut head.withheld, withheld);
        if let Some(counts) = self.played.withheld.get_mut((now / 5.0) as usize) {
            counts.0 += more;
        }
        for action in actions {
            match action {
                Action::Send { request, node, expires_at: abandon_at } => {
                    self.send(number, request, node.0 as usize, abandon_at - EPOCH);
                }
                Action::Cancel { request, .. } => self.call_off(number, request),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.call_off(number, request);
                    if let Some(open) = self.heads[number].open.remove(&request) {
                        self.finish(open.arrival, open.again, false);
                    } else {
                        self.played.broken += 1;
                    }
                }
                Action::WakeUp { delay_s: delay } => {
                    self.agenda.plan(now + delay, Due::Call { head: number, wake: true });
                }
                Action::CheckHealth { .. } | Action::PollEndpoints | Action::Log(_) => {}
            }
        }
    }

    fn send(&mut self, head: usize, request: RequestId, node: usize, abandon_at: f64) {
        let now = self.agenda.now();
        let Some(open) = self.heads[head].open.get_mut(&request) else { return };
        if open.out.is_some() {
            self.played.broken += 1;
        }
        let token = self.next_token;
        self.next_token += 1;
        (open.out, open.sends) = (Some(token), open.sends + 1);
        let nth = open.sends - 1;
        self.attempts.insert(token, Attempt { head, request, nth, node, sent: now });
        let (linked, delay) = (self.linked(head, node), self.delay(head, node));
        let pooled = self.heads[head].pool[node] > 0;
        self.heads[head].pool[node] -= u32::from(pooled);
        match (linked, pooled) {
            (true, true) => self.agenda.plan(now + delay, Due::Reach { token }),
            (true, false) => self.agenda.plan(now + 3.0 * delay, Due::Reach { token }),
            // Written to an open connection, it is lost without a sign.
            (false, true) => {}
            (false, false) => self.agenda.plan(now + CONNECT, Due::Unconnected { token }),
        }
        self.agenda.plan(abandon_at, Due::GiveUp { token });
    }

    fn reach(&mut self, token: Token) {
        let now = self.agenda.now();
        let Some(attempt) = self.attempts.get(&token) else { return };
        let (node, head, request) = (attempt.node, attempt.head, attempt.request);
        if !self.linked(head, node) {
            return;
        }
        let Some(open) = self.heads[head].open.get(&request) else { return };
        let (fleet, arrival) = (self.day.fleet, self.day.arrivals[open.arrival]);
        let work =
            fleet.work[arrival.class] * arrival.units / fleet.settings.mean_request_units * arrival.effort;
        let off = if arrival.class == SAVE { fleet.deferred * work } else { 0.0 };
        let mut ends = Ends::new();
        let taken = self.nodes[node].take(now, token, work - off, off, &mut ends);
        self.plan_ends(node, ends);
        if !taken {
            self.answer(node, token, AttemptOutcome::Rejected);
        }
    }

    /// A node's answer sets out.
    fn answer(&mut self, node: usize, token: Token, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.get(&token) else { return };
        if self.linked(attempt.head, node) {
            let at = self.agenda.now() + self.delay(attempt.head, node);
            self.agenda.plan(at, Due::Answer { token, outcome });
        }
    }

    fn drop_at_node(&mut self, head: usize, node: usize, token: Token) {
        if self.linked(head, node) {
            let at = self.agenda.now() + self.delay(head, node);
            self.agenda.plan(at, Due::Drop { node, token });
        }
    }

    fn call_off(&mut self, head: usize, request: RequestId) {
        let Some(token) = self.heads[head].open.get(&request).and_then(|open| open.out) else { return };
        let Some(attempt) = self.attempts.get(&token) else { return };
        self.drop_at_node(head, attempt.node, token);
        self.ended(token, AttemptOutcome::Cancelled, false);
    }

    /// An attempt has its outcome.
    fn ended(&mut self, token: Token, outcome: AttemptOutcome, keeps: bool) {
        let Some(attempt) = self.attempts.remove(&token) else { return };
        let now = self.agenda.now();
        let Attempt { head, request, nth, node, sent } = attempt;
        if keeps && self.heads[head].pool[node] < POOL {
            self.heads[head].pool[node] += 1;
        }
        let Some(open) = self.heads[head].open.get_mut(&request) else { return };
        open.out = None;
        let (number, again) = (open.arrival, open.again);
        let arrival = self.day.arrivals[number];
        let done = outcome == AttemptOutcome::Ok;
        let mut used = None;
        if keeps {
            if done {
                self.used[arrival.volume][now as usize] += arrival.units;
            }
            let rate = self.day.fleet.rate(&self.day.fleet.volumes[arrival.volume]);
            let period = self.lag.map(|extra| now - REPORT_LATE - extra - 1.0).filter(|at| *at >= 0.0);
            used = period.map(|at| self.used[arrival.volume][at as usize] / rate);
        }
        self.tell(
            head,
            Event::AttemptEnded {
                request,
                attempt: nth,
                outcome,
                elapsed_s: now - sent,
                request_done: done,
                not_resendable: false,
                usage: used,
                usage_elsewhere: 0.0,
                load_report: LoadReport::default(),
            },
        );
        if done {
            self.heads[head].open.remove(&request);
            self.finish(number, again, true);
        }
    }

    fn look(&mut self, number: usize) {
        let now = self.agenda.now();
        let most = self.day.fleet.settings.max_pending as f64;
        let head = &mut self.heads[number];
        let descriptors = head.open.len() as f64 / most;
        let Some(monitor) = &mut head.monitor else { return };
        let gauges = ResourceGauges { memory: 0.0, descriptors, scheduler_cpu_s: 0.0 };
        let looked = monitor.evaluate(now + EPOCH, head.scheduler.reserved_work_stats(), gauges);
        let next = (monitor.levels().next_evaluation() - EPOCH).max(now + 0.001);
        self.played.changes[number].extend(looked.transitions.into_iter().map(|mut change| {
            change.at -= EPOCH;
            change
        }));
        if let Some(level) = looked.level_update {
            self.tell(number, Event::SheddingLevelChanged(level));
        }
        self.agenda.plan(next, Due::Look { head: number });
    }
}
