//! The decision module as it was before its work followed only what is queued, out or changed: it looks at every
//! shard and every request on each call. `tests/equivalence.rs` plays the same events through both and compares
//! what they decide, and `crates/lab/benches/module.rs` compares what they cost. Nothing else uses it. It may be
//! removed, with both, at the first change that is meant to decide differently.
#![allow(dead_code, missing_docs)]

use flaxgap::scheduler::{
    Action, Admission, AttemptOutcome, Class, ClassId, DeduplicationScope, Endpoint, Event, ExtentId,
    Idempotency, IoRequest, NodeId, NodeState, PlanId, RateLimit, RequestId, ReservedWorkStats,
    SchedulerSettings, SchedulerSettingsError, ShardId, SheddingLevel, UpdateKind, VolumeId, ZoneId,
};
use flaxgap_slow_start::{AnswerSpeed, NodeCondition, SenderShare, SlowStart, WaitingRequest};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of a sampling tick, s; the paper's 5 s is slower than the surges are long.
const TICK: f64 = 0.5;
/// Ticks between two adaptations while nothing has to settle, and at most (8 s).
const ADAPT_TICKS: u32 = 4;
const SETTLE_TICKS: u32 = 16;
/// Weight of the past in a class's averaged delay; part of a computed donation that is committed.
const ALPHA: f64 = 0.5;
const BETA: f64 = 0.5;
/// Half-width of the band around an aim in which a class is balanced.
const EPSILON: f64 = 0.1;
/// No class falls under this part of an even share: a starved class shows no delay to learn from.
const WEIGHT_FLOOR: f64 = 0.1;
/// Least slope, in parts of the first guess; the part by which share and delay both have to move for a refit.
const SLOPE_FLOOR: f64 = 0.05;
const MOVED: f64 = 0.02;
/// Requests out at one node: where the window starts, and its bounds.
const WINDOW_START: f64 = 4.0;
const WINDOW_MIN: f64 = 2.0;
const WINDOW_MAX: f64 = 32.0;
/// Multiples of the recent best latency per unit under which the window widens, and past which it halves.
const NEAR_BEST: f64 = 1.25;
const FAR_FROM_BEST: f64 = 2.0;
/// Answers that make one latency sample (fewer swing with heavy requests); how fast the best is forgotten.
const SAMPLE_ANSWERS: u32 = 6;
const BEST_FADES: f64 = 0.02;
/// Weight of a sample in running means of latency and in a node's recent one; the part of the tightest aim
/// past which that is pressed.
const BLEND: f64 = 0.1;
const RECENT: f64 = 0.2;
const PRESSED: f64 = 0.35;
/// Later answers that show that a send was passed over; the multiple of recent latency that is overdue.
const PASSED: u32 = 4;
const OVERDUE: f64 = 12.0;
/// Shared requests that all hosts together keep out at a pressed node, so that it is heard of.
const LONE: f64 = 6.0;
/// What is not known of a node fades, within this many of the tightest aim, to what is heard of all.
const FADES: f64 = 4.0;
/// Part of a limit's store that is left unspent: with the slack it covers one restart of every host.
const CUSHION: f64 = 0.15;
/// Bands of held work: reserved, past the reserve, and what would be late.
const RESERVED: u8 = 0;
const SHARED: u8 = 1;
const LATE: u8 = 2;
/// First and longest pause, s: of a lane whose node refused or dropped, and before a list call is repeated.
const BACKOFF: (f64, f64) = (0.05, 1.0);
const ASK: (f64, f64) = (0.5, 8.0);
/// Fraction of its deadline that late work waits for its first send: later, a refusal costs more than it earns.
const LATE_WAIT_FRACTION: f64 = 0.45;
/// Seconds after which a volume's stores are full again, unless its limit takes longer.
const MEMORY: f64 = 60.0;
/// Multiples of the tightest aim that a request is waited for that shows whether a cut way is open again.
const TRIAL: f64 = 2.0;
/// Ticks of the caller's clock before a client's deadline at which a held request is answered.
const ANSWER_TICKS: f64 = 2.0;

/// How an attempt ended, after how long, whether its request is over, and whether it can't be sent again.
type End = (AttemptOutcome, f64, bool, bool);

/// One send of a request.
struct Attempt {
    shard: ShardId,
    zone: ZoneId,
    epoch: u64,
    at: f64,
    outcome: Option<AttemptOutcome>,
}

/// A request that is held, out, or over with an attempt still out.
struct Held {
    ask: IoRequest,
    arrived: f64,
    aim_at: f64,
    reserved: bool,
    deadline: f64,
    lane: ShardId,
    queued: bool,
    over: bool,
    draw: f64,
    attempts: Vec<Attempt>,
}

impl Held {
    fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.outcome.is_none())
    }

    /// Attempts that ran, may have run or may yet run.
    fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|a| a.outcome.is_none_or(|o| !o.never_ran()))
    }

    /// Rule 5: whether a node is known to have had it whole; until then each attempt may be what counts.
    fn taken(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| matches!(a.outcome, Some(AttemptOutcome::Rejected | AttemptOutcome::Error)))
    }

    /// Rule 2: whether a refusal, which tells the client that a repeat is harmless, may be given.
    fn may_refuse(&self, repeat: Idempotency) -> bool {
        let free = matches!(
            repeat,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. }
        );
        free || self.may_have_run().next().is_none()
    }

    /// Rule 2: when the time for another attempt ends.
    fn window_end(&self, repeat: Idempotency) -> f64 {
        let Idempotency::WithKey { window_s: window, .. } = repeat else { return f64::INFINITY };
        self.may_have_run().map(|a| a.at + window).fold(f64::INFINITY, f64::min)
    }

    /// Rule 2: whether another attempt may go to this node now. Two are never out at once.
    fn may_send(&self, repeat: Idempotency, to: &Endpoint, now: f64, margin: f64) -> bool {
        let allowed = |a: &Attempt| match repeat {
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. } => {
                true
            }
            Idempotency::NotIdempotent => false,
            Idempotency::WithKey { scope: DeduplicationScope::Zone, .. } => a.zone == to.zone,
            Idempotency::WithKey { scope: DeduplicationScope::Shard, .. } => a.shard == to.shard,
        };
        !self.out() && now + margin < self.window_end(repeat) && self.may_have_run().all(allowed)
    }
}

/// The adaptation's view of one class on this host.
#[derive(Default)]
struct ClassState {
    weight: f64,
    delay: Option<f64>,
    slope: Option<f64>,
    fitted: Option<(f64, f64)>,
    tick: (f64, u32),
    samples: (f64, u32),
}

/// A volume's stores: the limit's even part (rule 5) and what of its reserve is not sent, and not asked, yet.
struct Volume {
    hosts: f64,
    limit: f64,
    reserve: f64,
    due: f64,
    at: f64,
}

/// What this host hears of all nodes together: a running mean of latency, when last, how fast it fades.
#[derive(Clone, Copy, Default)]
struct Weather {
    latency: f64,
    heard: f64,
    fade: f64,
}

/// The request that goes next from a lane: its band, its class's tag and its key, then its class and place.
type Picked = (u8, f64, f64, usize, usize);

/// An attempt that is out: when sent, whose, and how many sent after it were answered before it.
struct Out {
    at: f64,
    id: RequestId,
    passed: u32,
}

/// The queues before one shard's node, and what is known of that node.
#[derive(Default)]
struct Lane {
    nodes: BTreeMap<NodeId, Endpoint>,
    target: Option<Endpoint>,
    epoch: u64,
    queues: Vec<Vec<RequestId>>,
    finish: Vec<f64>,
    virtual_time: f64,
    volume_finish: BTreeMap<VolumeId, f64>,
    volume_time: f64,
    out: Vec<Out>,
    window: f64,
    was_full: bool,
    sample: (f64, f64, u32),
    best: f64,
    recent: f64,
    heard: f64,
    latency: Vec<f64>,
    failures: u32,
    closed_until: f64,
    ramp: SlowStart,
}

impl Lane {
    fn new(classes: usize, ramp: SlowStart) -> Lane {
        let (queues, finish, latency) = (vec![Vec::new(); classes], vec![0.0; classes], vec![0.0; classes]);
        Lane { queues, finish, latency, ramp, window: WINDOW_START, ..Lane::default() }
    }

    /// Follows the list: the node started last among the ready ones; a new one is learnt afresh.
    fn choose_target(&mut self, now: f64) {
        let ready = self.nodes.values().filter(|n| n.state == NodeState::Ready);
        let best =
            ready.max_by(|a, b| a.started_at.total_cmp(&b.started_at).then(b.node.cmp(&a.node))).cloned();
        let key = |n: &Option<Endpoint>| n.as_ref().map(|n| (n.node, n.started_at));
        if key(&best) != key(&self.target) {
            let (queues, nodes) = (std::mem::take(&mut self.queues), std::mem::take(&mut self.nodes));
            self.ramp.record_node_start(now);
            *self = Lane { queues, nodes, epoch: self.epoch + 1, ..Lane::new(self.finish.len(), self.ramp) };
        }
        self.target = best;
    }

    /// The node's recent latency: a send unanswered for longer counts (the node stands still or is
    /// silent), and with nothing out it fades to that of all nodes: many hosts hear little of each.
    fn latency_now(&self, now: f64, weather: Weather) -> f64 {
        let all = weather.latency * (-(now - weather.heard) / weather.fade).exp();
        let known = all + (self.recent - all) * (-(now - self.heard) / weather.fade).exp();
        self.out.first().map_or(known, |oldest| known.max(now - oldest.at))
    }

    /// Whether one more request may go out: the window, or one after a failure until an answer.
    fn room(&self, now: f64) -> bool {
        let window = if self.failures > 0 { 1 } else { self.window as usize };
        self.target.is_some() && self.out.len() < window && now >= self.closed_until
    }

    /// The window's step: one wider near the recent best latency per unit, halved past twice that.
    fn learn(&mut self, elapsed: f64, work: f64) {
        self.recent += RECENT * (elapsed - self.recent);
        self.sample = (self.sample.0 + elapsed, self.sample.1 + work, self.sample.2 + 1);
        if self.sample.2 < SAMPLE_ANSWERS.max(self.window as u32) || self.sample.1 <= 0.0 {
            return;
        }
        let per_unit = self.sample.0 / self.sample.1;
        let best = if self.best > 0.0 { self.best * (1.0 + BEST_FADES) } else { per_unit };
        self.best = best.min(per_unit);
        if per_unit > FAR_FROM_BEST * self.best {
            self.window = (self.window / 2.0).max(WINDOW_MIN);
        } else if per_unit <= NEAR_BEST * self.best && self.was_full {
            self.window = (self.window + 1.0).min(WINDOW_MAX);
        }
        (self.sample, self.was_full) = ((0.0, 0.0, 0), false);
    }

    /// Guards against a node that is down or full: one request at a time after a pause that doubles.
    fn back_off(&mut self, now: f64) {
        self.closed_until = now + (BACKOFF.0 * f64::from(1 << self.failures.min(6))).min(BACKOFF.1);
        self.failures += 1;
        self.window = (self.window / 2.0).max(WINDOW_MIN);
        self.ramp.record_failure();
    }
}

/// The scheduler of one host.
pub struct Scheduler {
    set: SchedulerSettings,
    tightest: f64,
    started: f64,
    /// This process's part of what is the host's, and whether a volume starts with something unearned.
    part: (f64, f64),
    random: u64,
    now: f64,
    classes: Vec<ClassState>,
    lanes: BTreeMap<ShardId, Lane>,
    held: BTreeMap<RequestId, Held>,
    volumes: BTreeMap<VolumeId, Volume>,
    order: BTreeMap<ExtentId, (VecDeque<RequestId>, f64)>,
    expiry: BTreeSet<(u64, RequestId)>,
    taken: VecDeque<f64>,
    further: VecDeque<f64>,
    next_tick: f64,
    ticks_left: u32,
    interval: u32,
    ask_at: Option<f64>,
    ask_pause: f64,
    wake_at: f64,
    blocked_until: f64,
    weather: Weather,
    level: SheddingLevel,
    level_since: f64,
    kept: BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
    withheld: u64,
}

impl Scheduler {
    /// A scheduler that knows nothing yet; refuses settings that can't be served.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        now: f64,
    ) -> Result<Scheduler, SchedulerSettingsError> {
        settings.check()?;
        let even = 1.0 / settings.classes.len() as f64;
        let tightest = settings.classes.iter().map(|c| c.latency_objective_s).fold(f64::INFINITY, f64::min);
        let class = |_: &Class| ClassState { weight: even, ..ClassState::default() };
        Ok(Scheduler {
            classes: settings.classes.iter().map(class).collect(),
            tightest,
            started: now,
            part: (1.0, 1.0),
            random: seed | 1,
            now,
            lanes: BTreeMap::new(),
            held: BTreeMap::new(),
            volumes: BTreeMap::new(),
            order: BTreeMap::new(),
            expiry: BTreeSet::new(),
            taken: VecDeque::new(),
            further: VecDeque::new(),
            next_tick: now + TICK,
            ticks_left: ADAPT_TICKS,
            interval: ADAPT_TICKS,
            ask_at: settings.poll_interval_s.map(|_| now),
            ask_pause: ASK.0,
            wake_at: f64::INFINITY,
            blocked_until: f64::INFINITY,
            weather: Weather { fade: FADES * tightest, ..Weather::default() },
            level: SheddingLevel::default(),
            level_since: now,
            kept: BTreeMap::new(),
            withheld: 0,
            set: settings,
        })
    }

    /// Takes in all that happened by `now`, then decides what to do about it.
    pub fn handle(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.take_in(event, actions);
        }
        while self.now >= self.next_tick {
            self.next_tick += TICK;
            self.tick();
        }
        self.expire(actions);
        self.blocked_until = f64::INFINITY;
        self.call_off(actions);
        self.dispatch(actions);
        if self.level.is_shedding() {
            self.withhold(actions);
        }
        self.give_up(actions);
        if let Some(at) = self.ask_at.filter(|at| self.now >= *at) {
            actions.push(Action::PollEndpoints);
            self.ask_at = Some(at + self.set.poll_interval_s.unwrap_or(ASK.1));
        }
        self.set_wake_up(actions);
    }

    /// How reserved work has ended, by the zone of its node and its class.
    pub fn kept(&self) -> &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats> {
        &self.kept
    }

    /// Requests that were answered because of a level of reduced service, since the start.
    pub fn withheld(&self) -> u64 {
        self.withheld
    }

    fn take_in(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints: nodes } => self.follow_list(*kind, nodes),
            Event::RequestArrived(ask) => self.take(ask, actions),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed_s: elapsed,
                request_done: done,
                not_resendable: last,
                ..
            } => {
                self.outcome(*request, *attempt, (*outcome, *elapsed, *done, *last), actions);
            }
            Event::StreamingStarted { request } => {
                self.expiry.retain(|(_, id)| id != request);
                self.lanes.values_mut().for_each(|lane| lane.out.retain(|o| o.id != *request));
            }
            Event::ClientDisconnected { request } => {
                self.cancel(*request, actions);
                self.end(*request);
            }
            Event::HealthChecked { .. } => {}
            Event::WakeUp => self.wake_at = f64::INFINITY,
            Event::SheddingLevelChanged(level) => {
                let same = self.level.zone_admission == level.zone_admission;
                self.level_since = if same { self.level_since } else { self.now };
                self.level = level.clone();
            }
            Event::ProcessShareChanged { fraction: part } => {
                (self.part, self.started) = ((*part, 0.0), self.now);
                self.volumes.values_mut().for_each(|volume| volume.at = self.now);
            }
        }
    }

    fn follow_list(&mut self, kind: UpdateKind, nodes: &[Endpoint]) {
        let asks = self.set.poll_interval_s.is_some();
        if kind == UpdateKind::PollFailed && asks {
            // Renewed with backoff: the list service fails when all hosts ask at once.
            self.ask_at = Some(self.now + self.ask_pause * (0.5 + self.chance()));
            self.ask_pause = (self.ask_pause * 2.0).min(ASK.1);
        } else if kind != UpdateKind::CachedSnapshot && asks {
            (self.ask_at, self.ask_pause) = (None, ASK.0);
        }
        if !matches!(kind, UpdateKind::Changes | UpdateKind::PollFailed) {
            self.lanes.values_mut().for_each(|lane| lane.nodes.clear());
        }
        for info in nodes {
            let lane = self.lane(info.shard);
            if info.state == NodeState::Gone {
                lane.nodes.remove(&info.node);
            } else {
                lane.nodes.insert(info.node, info.clone());
            }
        }
        self.lanes.values_mut().for_each(|lane| lane.choose_target(self.now));
        self.place_again();
    }

    fn lane(&mut self, shard: ShardId) -> &mut Lane {
        let (classes, ramp) =
            (self.set.classes.len(), SlowStart::new(self.set.slow_start.warm_up_s, self.now));
        self.lanes.entry(shard).or_insert_with(|| Lane::new(classes, ramp))
    }

    /// New objects held before a node that went away go to another.
    fn place_again(&mut self) {
        let lost = self.lanes.values().filter(|l| l.target.is_none()).flat_map(|l| l.queues.iter().flatten());
        let lost = lost.filter(|id| self.held[id].ask.shard.is_none()).copied();
        for id in lost.collect::<Vec<_>>() {
            self.unqueue(id);
            self.enqueue(id);
        }
    }

    fn take(&mut self, ask: &IoRequest, actions: &mut Vec<Action>) {
        if self.held.contains_key(&ask.id) {
            return;
        }
        self.taken.extend(self.set.retry_budget.map(|_| self.now));
        let Some(class) = self.set.classes.get(ask.class.0).filter(|_| ask.remaining_s > 0.0) else {
            return actions.push(Action::Reject { request: ask.id, retry_after_s: 0.0 });
        };
        let deadline = self.now + ask.remaining_s;
        // Not every site marks repeats: who waits for less than the class's time has waited before.
        let aim_at = class.latency_objective_s + self.now.min(deadline - class.deadline_s);
        let ask = IoRequest { units: ask.units.max(0.0), ..ask.clone() };
        if let Some(extent) = ask.extent.filter(|_| class.ordered) {
            self.order.entry(extent).or_default().0.push_back(ask.id);
        }
        self.know_volume(&ask);
        let reserved = self.refill(ask.volume, ask.plan).is_none_or(|(volume, _)| {
            let inside = volume.due >= ask.units;
            volume.due -= if inside { ask.units } else { 0.0 };
            inside
        });
        let id = ask.id;
        let held = Held {
            lane: ask.shard.unwrap_or(ShardId(0)),
            arrived: self.now,
            ask,
            aim_at,
            reserved,
            deadline,
            queued: false,
            over: false,
            draw: self.chance(),
            attempts: Vec::new(),
        };
        let units = held.ask.units;
        self.held.insert(id, held);
        self.expiry.insert((deadline.to_bits(), id));
        self.enqueue(id);
        if reserved {
            let (shard, now) = (self.held[&id].lane, self.now);
            self.lane(shard).ramp.record_demand(now, units);
        }
    }

    fn enqueue(&mut self, id: RequestId) {
        let shard = self.held[&id].ask.shard;
        let shard = shard.unwrap_or_else(|| self.place());
        let class = self.held[&id].ask.class.0;
        self.lane(shard).queues[class].push(id);
        if let Some(held) = self.held.get_mut(&id) {
            (held.lane, held.queued) = (shard, true);
        }
    }

    fn unqueue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.queued) else { return };
        held.queued = false;
        if let Some(lane) = self.lanes.get_mut(&held.lane) {
            lane.queues[held.ask.class.0].retain(|other| *other != id);
        }
    }

    /// A new object goes to the better of two nodes drawn by chance: the single best would draw a herd.
    fn place(&mut self) -> ShardId {
        let open: Vec<ShardId> = self.lanes.iter().filter(|l| l.1.target.is_some()).map(|l| *l.0).collect();
        if open.is_empty() {
            return self.lanes.keys().next().copied().unwrap_or(ShardId(0));
        }
        let mut draw = || open[(self.chance() * open.len() as f64) as usize % open.len()];
        let (a, b) = (draw(), draw());
        if self.expected_wait(b) < self.expected_wait(a) { b } else { a }
    }

    fn expected_wait(&self, shard: ShardId) -> f64 {
        let lane = &self.lanes[&shard];
        let queued: usize = lane.queues.iter().map(Vec::len).sum();
        let work = 1.0 + queued as f64 / lane.window + lane.out.len() as f64 / lane.window;
        let cold = if self.cold_rate(lane).is_some() { 4.0 } else { 1.0 };
        let cut = self.level.excludes_zone(lane.target.as_ref().map(|t| t.zone));
        let down = if lane.failures > 0 || cut { 100.0 } else { 1.0 };
        work * lane.latency_now(self.now, self.weather).max(1e-3) * cold * down
    }

    fn know_volume(&mut self, ask: &IoRequest) {
        let hosts = f64::from(ask.heads.max(1));
        let plan = self.set.plans.get(ask.plan.0);
        let reserve = plan.map_or(0.0, |p| p.reserve + self.set.max_request_units);
        let due = plan.filter(|p| p.reserve > 0.0).map_or(0.0, |_| reserve);
        // Rule 5: an earlier life may have spent its part, so a start gets its part of what is left unspent.
        let limit = plan.and_then(|p| p.limit).map_or(0.0, |l| (CUSHION * l.burst + l.slack) / hosts);
        let fresh = Volume { hosts, limit: limit * self.part.1, reserve, due, at: self.started };
        let volume = self.volumes.entry(ask.volume).or_insert(fresh);
        if hosts > volume.hosts {
            (volume.limit, volume.hosts) = (volume.limit.min(limit), hosts);
        }
    }

    /// Brings a volume's stores up to now.
    fn refill(&mut self, id: VolumeId, plan: PlanId) -> Option<(&mut Volume, Option<RateLimit>)> {
        let plan = self.set.plans.get(plan.0)?;
        let (volume, part) = (self.volumes.get_mut(&id)?, self.part.0);
        let passed = self.now - std::mem::replace(&mut volume.at, self.now);
        if let Some(l) = plan.limit {
            let part = part / volume.hosts;
            volume.limit = (volume.limit + passed * l.rate * part).min((1.0 - CUSHION) * l.burst * part);
        }
        let (most, more) =
            (plan.reserve + self.set.max_request_units, passed * plan.reserve / volume.hosts.sqrt());
        (volume.reserve, volume.due) = ((volume.reserve + more).min(most), (volume.due + more).min(most));
        Some((volume, plan.limit))
    }

    /// Answers what is held at the last moment, and what has an attempt out past its deadline.
    fn expire(&mut self, actions: &mut Vec<Action>) {
        let last = self.now + ANSWER_TICKS * self.set.tick_s;
        let near = self.expiry.range(..=(last.max(0.0).to_bits(), RequestId(u32::MAX)));
        let due = near.filter(|(bits, id)| f64::from_bits(*bits) <= self.now || !self.held[id].out());
        for id in due.map(|(_, id)| *id).collect::<Vec<_>>() {
            self.answer(id, actions);
        }
    }

    /// Answers at once a repeat past its window, and work that its volume's limit lets pass neither before it
    /// is late nor, being late, within `LATE_WAIT_FRACTION` of its time.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        // Exception: with half the clients' connections waiting, late work waits no more; others need them.
        let wait_fraction = if self.held.len() > self.set.max_pending / 2 { 0.0 } else { LATE_WAIT_FRACTION };
        let queued: Vec<RequestId> = self.held.iter().filter(|(_, h)| h.queued).map(|(id, _)| *id).collect();
        for id in queued {
            let (held, now) = (&self.held[&id], self.now);
            let (class, first, taken) = (held.ask.class.0, held.attempts.is_empty(), held.taken());
            let ends = held.window_end(self.set.classes[class].idempotency);
            let late_at = held.aim_at - self.lanes[&held.lane].latency[class];
            let last =
                held.arrived + if first { wait_fraction } else { 1.0 } * (held.deadline - held.arrived);
            let next = if late_at > now { late_at } else { last };
            self.blocked_until = self.blocked_until.min(if first { next.min(ends) } else { ends });
            let in_time = late_at > now && now + self.limit_in(id, false) <= late_at;
            let never = !taken && !in_time && now + self.limit_in(id, true) > last;
            if never || now + self.set.tick_s >= ends {
                self.answer(id, actions);
            }
        }
    }

    /// What the level in force lets pass of a request's kind at a lane. One behind a cut way is open again,
    /// but for spare work, once its node has answered since and answers still.
    fn lets(&self, ask: &IoRequest, lane: &Lane) -> Admission {
        let pass = self.level.admission(ask.class, ask.plan, lane.target.as_ref().map(|t| t.zone));
        let silent = lane.out.first().is_some_and(|o| self.now - o.at > self.tightest);
        let back = lane.heard >= self.level_since && lane.failures == 0 && !silent;
        if pass == Admission::TrialOnly && back { Admission::WithinQuota } else { pass }
    }

    /// Answers at once what the level in force does not let wait: of each volume, oldest first, what neither
    /// its reserve nor, where shares pass, its part by weight of the lane's pace will serve in time.
    fn withhold(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let queued: Vec<RequestId> = self.held.iter().filter(|(_, h)| h.queued).map(|(id, _)| *id).collect();
        let mut weights: BTreeMap<ShardId, BTreeMap<VolumeId, f64>> = BTreeMap::new();
        for held in queued.iter().map(|id| &self.held[id]) {
            let weight = self.set.plans.get(held.ask.plan.0).map_or(1.0, |p| p.weight.max(0.01));
            weights.entry(held.lane).or_default().insert(held.ask.volume, weight);
        }
        let mut ahead: BTreeMap<(Option<ShardId>, VolumeId), f64> = BTreeMap::new();
        for id in queued {
            let (ask, shard) = (self.held[&id].ask.clone(), self.held[&id].lane);
            let reserve = self.set.plans.get(ask.plan.0).map_or(0.0, |p| p.reserve);
            let store =
                self.refill(ask.volume, ask.plan).map_or((ask.units, 1.0), |(v, _)| (v.reserve, v.hosts));
            let lane = &self.lanes[&shard];
            let pass = self.lets(&ask, lane);
            let left = self.held[&id].aim_at - lane.latency[ask.class.0] - now;
            let covered = store.0 + left.max(0.0) * reserve / store.1.sqrt();
            let before = ahead.get(&(None, ask.volume)).copied().unwrap_or(0.0);
            let inside = left > 0.0 && before + ask.units <= covered;
            // What a host's window at a node is worth in units a second, by Little's law.
            let pace = lane.window * self.set.mean_request_units / lane.recent.max(1e-3);
            let part = weights[&shard][&ask.volume] / weights[&shard].values().sum::<f64>();
            let place = if inside { (None, ask.volume) } else { (Some(shard), ask.volume) };
            let waiting = ahead.entry(place).or_insert(0.0);
            let keeps = match pass {
                Admission::All => true,
                Admission::WithinQuota => inside || left > 0.0 && *waiting <= part * pace * left,
                Admission::WithinReserve => inside,
                Admission::TrialOnly => false,
            };
            *waiting += if keeps { ask.units } else { 0.0 };
            if !keeps {
                self.withheld += 1;
                self.answer(id, actions);
            }
        }
    }

    /// Seconds until a refused client should come again: the limit has its units, and the lane is open.
    fn come_again(&mut self, id: RequestId) -> f64 {
        let lane = &self.lanes[&self.held[&id].lane];
        let node = (lane.closed_until - self.now).max(lane.latency_now(self.now, self.weather));
        let node = if lane.target.is_some() { node } else { BACKOFF.1 };
        let level = match self.lets(&self.held[&id].ask, lane) {
            Admission::All | Admission::WithinQuota => 0.0,
            Admission::WithinReserve | Admission::TrialOnly => self.level.ends_at - self.now,
        };
        self.limit_in(id, false).max(node).max(level)
    }

    /// Rule 5: seconds until a first send fits its volume's limit, if none of the volume's goes before.
    fn limit_in(&mut self, id: RequestId, late: bool) -> f64 {
        let ask = &self.held[&id].ask;
        let (class, units, volume, plan, part) = (ask.class.0, ask.units, ask.volume, ask.plan, self.part.0);
        let stores = self.refill(volume, plan).map(|(v, l)| (v.limit, l, part / v.hosts));
        let Some((store, Some(limit), part)) = stores else { return 0.0 };
        // Kept for worthier work to come: of the store for late work, else what comes in within an aim.
        let most = self.set.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max);
        let class = &self.set.classes[class];
        let kept = match late {
            true => (1.0 - class.late_fraction.min(1.0)) * (1.0 - CUSHION) * limit.burst,
            false => (1.0 - class.priority_weight / most) * self.tightest * limit.rate,
        };
        ((units + kept * part - store + 0.01) / (limit.rate * part)).max(0.0)
    }

    /// Ends a request unserved: a refusal where rule 2 allows one, a failure otherwise.
    fn answer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let refuse = held.may_refuse(self.set.classes[held.ask.class.0].idempotency);
        self.cancel(id, actions);
        actions.push(match refuse {
            true => Action::Reject { request: id, retry_after_s: self.come_again(id) },
            false => Action::Fail { request: id },
        });
        let waited = self.held.get(&id).map_or(0.0, |h| self.now - h.arrived);
        self.note_delay(id, waited, false);
        self.end(id);
    }

    fn cancel(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id).filter(|_| self.set.mechanisms.cancellation) else { return };
        for (attempt, _) in held.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
            actions.push(Action::Cancel { request: id, attempt });
        }
    }

    /// The request is over. It stays known, for rule 6, until its last attempt has an outcome.
    fn end(&mut self, id: RequestId) {
        self.unqueue(id);
        let Some(held) = self.held.get_mut(&id) else { return };
        held.over = true;
        self.expiry.remove(&(held.deadline.to_bits(), id));
        if held.out() {
            return;
        }
        if let Some(extent) = held.ask.extent.filter(|_| self.set.classes[held.ask.class.0].ordered) {
            let Some((line, _)) = self.order.get_mut(&extent) else { return };
            line.retain(|other| *other != id);
        }
        self.held.remove(&id);
    }

    /// Exception: only what was inside its volume's reserve when it came is sampled: the rest of a hot
    /// volume's waits long, and would draw weight to the class it happens to be in.
    fn note_delay(&mut self, id: RequestId, delay: f64, served: bool) {
        if let Some(held) = self.held.get(&id).filter(|h| !h.over && h.reserved) {
            let tick = &mut self.classes[held.ask.class.0].tick;
            *tick = (tick.0 + delay, tick.1 + 1);
            let zone = self.lanes.get(&held.lane).and_then(|lane| Some(lane.target.as_ref()?.zone));
            let kept = self.kept.entry((zone, held.ask.class)).or_default();
            kept.met_objective += u64::from(served && self.now <= held.aim_at);
            (kept.completed, kept.total_delay_s) = (kept.completed + 1, kept.total_delay_s + delay);
        }
    }

    fn outcome(&mut self, id: RequestId, nth: usize, end: End, actions: &mut Vec<Action>) {
        let ((outcome, elapsed, done, last), now) = (end, self.now);
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(attempt) = held.attempts.get_mut(nth).filter(|a| a.outcome.is_none()) else { return };
        attempt.outcome = Some(outcome);
        let (shard, epoch, sent_at) = (attempt.shard, attempt.epoch, attempt.at);
        let (class, units, arrived) = (held.ask.class.0, held.ask.units, held.arrived);
        let undue = if held.reserved { 0.0 } else { units };
        let rests = outcome.may_still_run() && self.set.classes[class].ordered;
        let ordered = held.ask.extent.filter(|_| rests);
        if let Some((_, rest)) = ordered.and_then(|extent| self.order.get_mut(&extent)) {
            *rest = rest.max(now + self.set.ordering_pause_s);
        }
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Timeout) {
            self.weather.latency += BLEND * (elapsed - self.weather.latency);
            self.weather.heard = now;
        }
        if let Some(lane) = self.lanes.get_mut(&shard).filter(|l| l.epoch == epoch) {
            lane.out.retain(|o| o.id != id);
            match outcome {
                AttemptOutcome::Ok | AttemptOutcome::Error => {
                    (lane.heard, lane.failures) = (now, 0);
                    lane.out.iter_mut().filter(|o| o.at < sent_at).for_each(|o| o.passed += 1);
                    lane.ramp.record_demand(now, undue);
                    lane.ramp.record_answer(match elapsed / self.tightest {
                        quick if quick < PRESSED => AnswerSpeed::Fast,
                        slow if slow > 1.0 => AnswerSpeed::Slow,
                        _ => AnswerSpeed::Normal,
                    });
                    lane.latency[class] += BLEND * (elapsed - lane.latency[class]);
                    lane.learn(elapsed, units);
                }
                AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                    lane.back_off(now)
                }
                AttemptOutcome::Timeout => lane.window = (lane.window / 2.0).max(WINDOW_MIN),
                AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            }
        }
        if !done && outcome != AttemptOutcome::Ok && !self.held[&id].over {
            return if last { self.answer(id, actions) } else { self.try_again(id, actions) };
        }
        self.note_delay(id, now - arrived, outcome == AttemptOutcome::Ok);
        self.end(id);
    }

    fn try_again(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let held = &self.held[&id];
        let repeat = self.set.classes[held.ask.class.0].idempotency;
        let allowed = held.attempts.len() < self.set.max_attempts
            && held.deadline > self.now + ANSWER_TICKS * self.set.tick_s
            && (repeat != Idempotency::NotIdempotent || held.may_have_run().next().is_none());
        if allowed && self.budget_left() {
            self.enqueue(id);
        } else {
            self.answer(id, actions);
        }
    }

    /// Rule 7: whether one more attempt past a request's first fits the budget.
    fn budget_left(&mut self) -> bool {
        let Some(budget) = self.set.retry_budget else { return true };
        let from = self.now - budget.window_s;
        self.taken.retain(|at| *at > from + self.set.tick_s);
        self.further.retain(|at| *at >= from - self.set.tick_s);
        (self.further.len() + 1) as f64 <= budget.min_retries + budget.ratio * self.taken.len() as f64
    }

    /// Rule 4: units a second this host may send a node that may still be cold. `None`: it is warm.
    fn cold_rate(&self, lane: &Lane) -> Option<f64> {
        let age = self.now - lane.target.as_ref().filter(|t| t.started_at > 0.0)?.started_at;
        let slow = lane.latency_now(self.now, self.weather) > self.tightest;
        let sender = SenderShare { heads: f64::from(self.set.heads), process_share: self.part.0 };
        let node = NodeCondition { age_s: age, is_slow: slow };
        lane.ramp.allowed_rate(&self.set.slow_start, sender, node, self.now)
    }

    /// Calls off an attempt that is overdue for its size while its node answered later ones: its connection
    /// fell silent or its answer is lost, and there is time for another.
    fn call_off(&mut self, actions: &mut Vec<Action>) {
        let (now, set, held) = (self.now, &self.set, &self.held);
        for lane in self.lanes.values_mut() {
            let overdue = (OVERDUE * lane.recent).max(self.tightest);
            lane.out.retain(|o| {
                let held =
                    held.get(&o.id).filter(|h| o.passed >= PASSED && set.mechanisms.cancellation && !h.over);
                let Some(held) = held.filter(|h| h.attempts.len() < set.max_attempts) else { return true };
                let repeat = set.classes[held.ask.class.0].idempotency;
                let late = now - o.at > overdue * (held.ask.units / set.mean_request_units).max(1.0);
                let left = held.deadline.min(held.window_end(repeat)) - now;
                let lost = late && left > overdue && repeat != Idempotency::NotIdempotent;
                let attempt = held.attempts.len() - 1;
                actions.extend(lost.then_some(Action::Cancel { request: o.id, attempt }));
                !lost
            });
        }
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let busy = self.lanes.iter().filter(|(_, lane)| lane.queues.iter().any(|q| !q.is_empty()));
        for shard in busy.map(|(shard, _)| *shard).collect::<Vec<_>>() {
            while let Some(picked) = self.pick(shard) {
                self.send(shard, picked, actions);
            }
            let lane = &self.lanes[&shard];
            if lane.closed_until > self.now && lane.queues.iter().any(|q| !q.is_empty()) {
                self.blocked_until = self.blocked_until.min(lane.closed_until);
            }
        }
    }

    /// The fair queue: of the classes with sendable work, the one with the lowest start tag; within it,
    /// reserved work by aim, then shared work by its volume's start tag, then what would be late.
    /// Exception: a class whose best request is of a worse band waits for the others' better ones, since what
    /// is sent first delays the rest in the node's own queue.
    fn pick(&mut self, shard: ShardId) -> Option<Picked> {
        let now = self.now;
        let lane = self.lanes.get_mut(&shard).filter(|l| l.room(now))?;
        let tags: Vec<f64> = lane.finish.iter().map(|f| f.max(lane.virtual_time)).collect();
        let queues = std::mem::take(&mut lane.queues);
        let mut best: Option<Picked> = None;
        for (class, queue) in queues.iter().enumerate() {
            for (place, id) in queue.iter().enumerate() {
                let Some((band, key)) = self.standing(shard, *id) else { continue };
                let tag = tags[class];
                if best.is_none_or(|b| (band, tag, key) < (b.0, b.1, b.2)) {
                    best = Some((band, tag, key, class, place));
                }
            }
        }
        self.lanes.get_mut(&shard)?.queues = queues;
        best
    }

    /// The guards, each in one place: whether this request may go to the lane's node now; its band and order.
    fn standing(&mut self, shard: ShardId, id: RequestId) -> Option<(u8, f64)> {
        let (volume, plan) = (self.held[&id].ask.volume, self.held[&id].ask.plan);
        let reserve = self.refill(volume, plan).map_or(-1.0, |(v, _)| v.reserve);
        let (held, lane) = (&self.held[&id], &self.lanes[&shard]);
        let (now, tick, units) = (self.now, self.set.tick_s, held.ask.units);
        let class = &self.set.classes[held.ask.class.0];
        let target = lane.target.clone()?;
        if !held.may_send(class.idempotency, &target, now, tick) {
            return None;
        }
        // Rule 6: only the first in line of its extent, and not while the extent rests.
        let ordered = held.ask.extent.filter(|_| class.ordered);
        if let Some((line, rest)) = ordered.and_then(|extent| self.order.get(&extent)) {
            if line.front() != Some(&id) {
                return None;
            }
            if *rest > now && held.attempts.is_empty() {
                self.blocked_until = self.blocked_until.min(*rest);
                return None;
            }
        }
        if let Some(rate) = self.cold_rate(lane) {
            let request = WaitingRequest { units, is_reserved: held.reserved, sample: held.draw };
            let wait = self.lanes.get_mut(&shard)?.ramp.wait_s(&self.set.slow_start, rate, request, now);
            if wait > 0.0 {
                self.blocked_until = self.blocked_until.min(now + wait.max(tick));
                return None;
            }
        }
        let lane = &self.lanes[&shard];
        let late = now + lane.latency[held.ask.class.0] > held.aim_at;
        let tag = lane.volume_finish.get(&volume).copied().unwrap_or(0.0).max(lane.volume_time);
        let latency = lane.latency_now(now, self.weather) / (PRESSED * self.tightest);
        let standing = match late {
            true => (LATE, held.deadline),
            false if reserve >= units => (RESERVED, held.aim_at),
            false => (SHARED, tag),
        };
        // A level lets what it does not reserve go only to a node that this host has nothing out at.
        let (idle, pass) = (lane.out.is_empty(), self.lets(&held.ask, lane));
        if pass == Admission::TrialOnly && !idle
            || pass == Admission::WithinReserve && standing.0 != RESERVED && !(idle && latency < 1.0)
        {
            return None;
        }
        // Exception: past `PRESSED` the node's own queue would delay reserved work, so late work waits, and
        // shared work keeps one out; of many hosts only `LONE`, the rest by a mark drawn for each request.
        let crowd = held.draw * f64::from(self.set.heads) > LONE;
        let wait = match standing.0 {
            RESERVED => crowd && latency * PRESSED > 1.0 + held.draw,
            SHARED => latency > 1.0 && (!lane.out.is_empty() || crowd && latency > 1.0 + held.draw),
            _ => latency > 1.0,
        };
        if wait {
            self.blocked_until = self.blocked_until.min(now + self.tightest / 8.0);
            return None;
        }
        let (further, taken) = (!held.attempts.is_empty(), held.taken());
        if further && !self.budget_left() {
            return None;
        }
        let wait = if taken { 0.0 } else { self.limit_in(id, late) };
        if wait > 0.0 {
            self.blocked_until = self.blocked_until.min(now + wait);
        }
        (wait <= 0.0).then_some(standing)
    }

    fn send(&mut self, shard: ShardId, picked: Picked, actions: &mut Vec<Action>) {
        let (band, _, _, class, place) = picked;
        let (now, weight) = (self.now, self.classes[class].weight);
        let next =
            self.lanes.get(&shard).and_then(|l| Some((l, self.held.get(l.queues[class].get(place)?)?)));
        let tries = next.is_some_and(|(lane, held)| self.lets(&held.ask, lane) == Admission::TrialOnly);
        let Some(lane) = self.lanes.get_mut(&shard) else { return };
        let Some(target) = lane.target.clone() else { return };
        let id = lane.queues[class].remove(place);
        let Some(held) = self.held.get_mut(&id) else { return };
        let units = held.ask.units;
        let start = lane.finish[class].max(lane.virtual_time);
        (lane.virtual_time, lane.finish[class]) = (start, start + units / weight);
        if band != RESERVED {
            let plan_weight = self.set.plans.get(held.ask.plan.0).map_or(1.0, |p| p.weight.max(0.01));
            let tag = lane.volume_finish.entry(held.ask.volume).or_insert(0.0);
            let start = tag.max(lane.volume_time);
            *tag = start + units / plan_weight;
            lane.volume_time = start;
        }
        lane.ramp.record_sent(units);
        lane.out.push(Out { at: now, id, passed: 0 });
        lane.was_full |= lane.out.len() >= lane.window as usize;
        let (first, taken) = (held.attempts.is_empty(), held.taken());
        held.queued = false;
        held.attempts.push(Attempt { shard, zone: target.zone, epoch: lane.epoch, at: now, outcome: None });
        // What only shows whether the way is open need not wait out its client's time.
        let abandon_at = held.deadline.min(if tries { now + TRIAL * self.tightest } else { f64::INFINITY });
        actions.push(Action::Send { request: id, node: target.node, expires_at: abandon_at });
        let (volume, plan) = (held.ask.volume, held.ask.plan);
        self.further.extend(self.set.retry_budget.filter(|_| !first).map(|_| now));
        if let Some((volume, _)) = self.refill(volume, plan).filter(|_| !taken) {
            volume.reserve = (volume.reserve - if first { units } else { 0.0 }).max(0.0);
            volume.limit -= units;
        }
    }

    /// A sampling tick; every few, the weights are adapted. What is out of use is forgotten.
    fn tick(&mut self) {
        let limits = self.set.plans.iter().filter_map(|p| p.limit);
        let memory = limits.map(|l| l.burst / l.rate).fold(MEMORY, f64::max);
        self.volumes.retain(|_, volume| self.now - volume.at < memory);
        self.order.retain(|_, (line, rest)| !line.is_empty() || *rest > self.now);
        self.lanes.values_mut().for_each(|l| l.volume_finish.retain(|_, finish| *finish > l.volume_time));
        for class in self.classes.iter_mut().filter(|c| c.tick.1 > 0) {
            let (sum, count) = std::mem::take(&mut class.tick);
            class.samples = (class.samples.0 + sum / f64::from(count), class.samples.1 + 1);
        }
        self.ticks_left -= 1;
        if self.ticks_left == 0 {
            self.interval = if self.adapt() { (self.interval * 2).min(SETTLE_TICKS) } else { ADAPT_TICKS };
            self.ticks_left = self.interval;
        }
    }

    /// One adaptation: the worst underweight class is given what overweight ones can spare.
    fn adapt(&mut self) -> bool {
        for class in self.classes.iter_mut().filter(|c| c.samples.1 > 0) {
            let (sum, count) = std::mem::take(&mut class.samples);
            let mean = sum / f64::from(count);
            let delay = class.delay.map_or(mean, |past| ALPHA * past + (1.0 - ALPHA) * mean);
            class.delay = Some(delay);
            let first = delay / class.weight;
            // Before the first fit this is the first guess: delay over share.
            let (weight, past) = class.fitted.unwrap_or_default();
            let (moved, changed) = ((class.weight - weight).abs(), (delay - past).abs());
            if moved > MOVED * weight && changed > MOVED * past {
                class.slope = Some((changed / moved).max(SLOPE_FLOOR * first));
                class.fitted = Some((class.weight, delay));
            }
        }
        let aims = || self.set.classes.iter().map(|c| c.latency_objective_s);
        let state = self.classes.iter().zip(aims()).enumerate();
        let known = state.filter_map(|(i, (c, aim))| Some((i, c.weight, c.delay?, c.slope?, aim)));
        let known: Vec<_> = known.filter(|k| k.3 > 0.0).collect();
        let under = known.iter().filter(|(_, _, d, _, aim)| *d >= (1.0 + EPSILON) * aim);
        let Some(worst) = under.max_by(|a, b| (a.2 / a.4).total_cmp(&(b.2 / b.4))) else { return false };
        let need = (worst.2 - worst.4) / worst.3;
        let over: Vec<_> = known.iter().filter(|(_, _, d, _, aim)| *d <= (1.0 - EPSILON) * aim).collect();
        let surplus: f64 = over.iter().map(|(_, _, d, m, aim)| (aim - d) / m).sum();
        if surplus <= 0.0 {
            return false;
        }
        let floor = WEIGHT_FLOOR / self.classes.len() as f64;
        let mut given = 0.0;
        for (i, weight, delay, slope, aim) in over {
            let offer = need * ((aim - delay) / slope) / surplus;
            let clamp = ((1.0 - EPSILON) * aim - delay) / slope;
            let commit = (BETA * offer.min(clamp)).min(weight - floor).max(0.0);
            self.classes[*i].weight -= commit;
            given += commit;
        }
        self.classes[worst.0].weight += given;
        given > 0.0
    }

    /// One wake-up at the earliest moment at which something falls due.
    fn set_wake_up(&mut self, actions: &mut Vec<Action>) {
        let margin = ANSWER_TICKS * self.set.tick_s;
        let expiry = self.expiry.first().map_or(f64::INFINITY, |(bits, _)| f64::from_bits(*bits) - margin);
        let due =
            self.next_tick.min(expiry).min(self.ask_at.unwrap_or(f64::INFINITY)).min(self.blocked_until);
        let due = due.max(self.now + self.set.tick_s.max(1e-3));
        if due < self.wake_at {
            self.wake_at = due;
            actions.push(Action::WakeUp { delay_s: due - self.now });
        }
    }

    /// The next number of this host's own stream (xorshift), in [0, 1).
    fn chance(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }
}
