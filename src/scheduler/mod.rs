//! Every decision of the gateway. The interface is in `interface.rs` and `settings.rs`.
//! A request's path: `take` -> its lane's class queue -> `dispatch` -> `send` -> `outcome` -> answer.
//! A lane is the queue before the node that holds one shard. The mechanism (`docs/design.md`) is the
//! fair queue in `pick`, the weights in `adapt` and the window in `Lane::learn`; the rest are guards.

mod interface;
mod settings;

pub use interface::{
    Action, Admission, AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId,
    NodeState, PlanId, RequestId, ReservedWorkStats, ShardId, SheddingLevel, UpdateKind, VolumeId, ZoneId,
};
pub use settings::{
    Class, DeduplicationScope, Idempotency, Plan, RateLimit, RetryBudget, SchedulerSettings,
    SchedulerSettingsError, SlowStartSettings,
};

use flaxgap_attempts::{Attempt, Attempts, End};
use flaxgap_shard_table::{Server, ShardTable, WorkIndex};
use flaxgap_slow_start::{Pace, SlowStart};
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
/// Part of its time that late work waits for its first send: later, a refusal costs more than it earns.
const PATIENCE: f64 = 0.45;
/// Seconds after which a volume's stores are full again, unless its limit takes longer.
const MEMORY: f64 = 60.0;
/// Multiples of the tightest aim that a request is waited for that shows whether a cut way is open again.
const TRIAL: f64 = 2.0;
/// Ticks of the caller's clock before a client's deadline at which a held request is answered.
const ANSWER_TICKS: f64 = 2.0;

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
    attempts: Attempts,
}

impl Held {
    /// Rule 2: whether a refusal, which tells the client that a repeat is harmless, may be given.
    fn may_refuse(&self, repeat: Idempotency) -> bool {
        let free = matches!(
            repeat,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. }
        );
        free || self.attempts.may_have_run().next().is_none()
    }

    /// Rule 2: when the time for another attempt ends.
    fn window_end(&self, repeat: Idempotency) -> f64 {
        let Idempotency::WithKey { window_s: window, .. } = repeat else { return f64::INFINITY };
        self.attempts.may_have_run().map(|a| a.at + window).fold(f64::INFINITY, f64::min)
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
        let in_time = now + margin < self.window_end(repeat);
        !self.attempts.is_out() && in_time && self.attempts.may_have_run().all(allowed)
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
struct FleetLatency {
    latency: f64,
    heard: f64,
    fade: f64,
}

/// The request that goes next from a lane, and by what: its band, then its class's tag, then its key.
struct Picked {
    order: (u8, f64, f64),
    class: usize,
    place: usize,
}

/// An attempt that is out: when sent, whose, and how many sent after it were answered before it.
struct Out {
    at: f64,
    id: RequestId,
    passed: u32,
}

/// The queues before one shard's node, and what is known of that node.
#[derive(Default)]
struct Lane {
    server: Server,
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
    /// As if made when the shard was heard of: nothing was due to this head there until now.
    fn new(classes: usize, warm_within: f64, server: Server) -> Lane {
        let (queues, finish, latency) = (vec![Vec::new(); classes], vec![0.0; classes], vec![0.0; classes]);
        let mut ramp = SlowStart::new(warm_within, server.shard_known);
        ramp.started(server.since);
        Lane { server, queues, finish, latency, ramp, window: WINDOW_START, ..Lane::default() }
    }

    /// Follows the list: a node that took over is learnt afresh.
    fn follow(&mut self, server: &Server) {
        if server.epoch != self.server.epoch {
            self.ramp.started(server.since);
            let (queues, ramp) = (std::mem::take(&mut self.queues), self.ramp);
            *self = Lane { queues, ramp, ..Lane::new(self.finish.len(), 0.0, server.clone()) };
        }
        self.server = server.clone();
    }

    fn is_queued(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    fn is_passed_over(&self) -> bool {
        self.out.iter().any(|out| out.passed >= PASSED)
    }

    /// The node's recent latency: a send unanswered for longer counts (the node stands still or is
    /// silent), and with nothing out it fades to that of all nodes: many hosts hear little of each.
    fn latency_now(&self, now: f64, fleet: FleetLatency) -> f64 {
        let all = fleet.latency * (-(now - fleet.heard) / fleet.fade).exp();
        let known = all + (self.recent - all) * (-(now - self.heard) / fleet.fade).exp();
        self.out.first().map_or(known, |oldest| known.max(now - oldest.at))
    }

    /// Whether one more request may go out: the window, or one after a failure until an answer.
    fn room(&self, now: f64) -> bool {
        let window = if self.failures > 0 { 1 } else { self.window as usize };
        self.server.node.is_some() && self.out.len() < window && now >= self.closed_until
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
        self.ramp.failed();
    }
}

/// The node that a shard's work goes to: the one started last among the ready ones.
fn serving(nodes: &[Endpoint]) -> Option<&Endpoint> {
    let ready = nodes.iter().filter(|n| n.state == NodeState::Ready);
    ready.max_by(|a, b| a.started_at.total_cmp(&b.started_at).then(b.node.cmp(&a.node)))
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
    lanes: ShardTable<Lane>,
    held: BTreeMap<RequestId, Held>,
    index: WorkIndex<RequestId>,
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
    fleet: FleetLatency,
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
            lanes: ShardTable::default(),
            held: BTreeMap::new(),
            index: WorkIndex::default(),
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
            fleet: FleetLatency { fade: FADES * tightest, ..FleetLatency::default() },
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
    pub fn reserved_work_stats(&self) -> &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats> {
        &self.kept
    }

    /// Requests that were answered because of a level of reduced service, since the start.
    pub fn shed_requests(&self) -> u64 {
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
                let end = End { outcome: *outcome, elapsed: *elapsed, done: *done, last: *last };
                self.outcome(*request, *attempt, end, actions);
            }
            Event::StreamingStarted { request } => self.answer_began(*request),
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
        self.lanes.follow(kind, nodes, self.now, serving, Lane::follow);
        self.place_again();
    }

    fn lane(&mut self, shard: ShardId) -> &mut Lane {
        let (classes, warm_within) = (self.set.classes.len(), self.set.slow_start.warm_up_s);
        self.lanes.lane_or_insert(shard, self.now, |server| Lane::new(classes, warm_within, server))
    }

    /// No deadline runs any more, and the send takes no more room at its node.
    fn answer_began(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id) else { return };
        self.expiry.remove(&(held.deadline.to_bits(), id));
        if let Some(lane) = held.attempts.out_at().and_then(|shard| self.lanes.lane_mut(shard)) {
            lane.out.retain(|o| o.id != id);
        }
    }

    /// New objects held before a node that went away go to another.
    fn place_again(&mut self) {
        let busy = self.index.busy.iter().filter_map(|shard| self.lanes.lane(*shard));
        let lost = busy.filter(|l| l.server.node.is_none()).flat_map(|l| l.queues.iter().flatten());
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
            attempts: Attempts::default(),
        };
        let units = held.ask.units;
        self.held.insert(id, held);
        self.expiry.insert((deadline.to_bits(), id));
        self.enqueue(id);
        if reserved {
            let (shard, now) = (self.held[&id].lane, self.now);
            self.lane(shard).ramp.due(now, units);
        }
    }

    fn enqueue(&mut self, id: RequestId) {
        let shard = self.held[&id].ask.shard;
        let shard = shard.unwrap_or_else(|| self.place());
        let class = self.held[&id].ask.class.0;
        self.lane(shard).queues[class].push(id);
        self.index.enqueued(id, shard);
        if let Some(held) = self.held.get_mut(&id) {
            (held.lane, held.queued) = (shard, true);
        }
    }

    fn unqueue(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.queued) else { return };
        held.queued = false;
        let (shard, class) = (held.lane, held.ask.class.0);
        if let Some(lane) = self.lanes.lane_mut(shard) {
            lane.queues[class].retain(|other| *other != id);
            self.index.dequeued(&id, shard, !lane.is_queued());
        }
    }

    /// A new object goes to the better of two nodes drawn by chance: the single best would draw a herd.
    fn place(&mut self) -> ShardId {
        if self.lanes.open().is_empty() {
            return self.lanes.first().unwrap_or(ShardId(0));
        }
        let (a, b) = (self.chance(), self.chance());
        let (Some(a), Some(b)) = (self.lanes.open_at(a), self.lanes.open_at(b)) else { return ShardId(0) };
        if self.expected_wait(b) < self.expected_wait(a) { b } else { a }
    }

    fn expected_wait(&self, shard: ShardId) -> f64 {
        let Some(shard) = self.lanes.get(shard) else { return f64::INFINITY };
        let unused = Lane::new(self.set.classes.len(), self.set.slow_start.warm_up_s, shard.server());
        let lane = shard.lane().unwrap_or(&unused);
        let queued: usize = lane.queues.iter().map(Vec::len).sum();
        let work = 1.0 + queued as f64 / lane.window + lane.out.len() as f64 / lane.window;
        let cold = if self.cold_rate(lane).is_some() { 4.0 } else { 1.0 };
        let down =
            if lane.failures > 0 || self.level.excludes_zone(lane.server.zone()) { 100.0 } else { 1.0 };
        work * lane.latency_now(self.now, self.fleet).max(1e-3) * cold * down
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
        let due =
            near.filter(|(bits, id)| f64::from_bits(*bits) <= self.now || !self.held[id].attempts.is_out());
        for id in due.map(|(_, id)| *id).collect::<Vec<_>>() {
            self.answer(id, actions);
        }
    }

    /// Answers at once a repeat past its window, and work that its volume's limit lets pass neither before it
    /// is late nor, being late, within `PATIENCE` of its time.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        // Exception: with half the clients' connections waiting, late work waits no more; others need them.
        let patience = if self.held.len() > self.set.max_pending / 2 { 0.0 } else { PATIENCE };
        let queued: Vec<RequestId> = self.index.queued.iter().copied().collect();
        for id in queued {
            let (held, now) = (&self.held[&id], self.now);
            let (class, first, taken) = (held.ask.class.0, held.attempts.is_empty(), held.attempts.taken());
            let ends = held.window_end(self.set.classes[class].idempotency);
            let Some(lane) = self.lanes.lane(held.lane) else { continue };
            let late_at = held.aim_at - lane.latency[class];
            let last = held.arrived + if first { patience } else { 1.0 } * (held.deadline - held.arrived);
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
    fn admits(&self, ask: &IoRequest, lane: &Lane) -> Admission {
        let pass = self.level.admission(ask.class, ask.plan, lane.server.zone());
        let silent = lane.out.first().is_some_and(|o| self.now - o.at > self.tightest);
        let back = lane.heard >= self.level_since && lane.failures == 0 && !silent;
        if pass == Admission::TrialOnly && back { Admission::WithinQuota } else { pass }
    }

    /// Answers at once what the level in force does not let wait: of each volume, oldest first, what neither
    /// its reserve nor, where shares pass, its part by weight of the lane's pace will serve in time.
    fn withhold(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let queued: Vec<RequestId> = self.index.queued.iter().copied().collect();
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
            let Some(lane) = self.lanes.lane(shard) else { continue };
            let pass = self.admits(&ask, lane);
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
        let Some(lane) = self.lanes.lane(self.held[&id].lane) else { return BACKOFF.1 };
        let node = (lane.closed_until - self.now).max(lane.latency_now(self.now, self.fleet));
        let node = if lane.server.node.is_some() { node } else { BACKOFF.1 };
        let level = match self.admits(&self.held[&id].ask, lane) {
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
        let Some(held) = self.held.get(&id).filter(|_| self.set.cancellation) else { return };
        for (attempt, _) in held.attempts.out() {
            actions.push(Action::Cancel { request: id, attempt });
        }
    }

    /// The request is over. It stays known, for rule 6, until its last attempt has an outcome.
    fn end(&mut self, id: RequestId) {
        self.unqueue(id);
        let Some(held) = self.held.get_mut(&id) else { return };
        held.over = true;
        self.expiry.remove(&(held.deadline.to_bits(), id));
        if held.attempts.is_out() {
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
            let zone = self.lanes.lane(held.lane).and_then(|lane| lane.server.zone());
            let kept = self.kept.entry((zone, held.ask.class)).or_default();
            kept.record(served && self.now <= held.aim_at, delay);
        }
    }

    fn outcome(&mut self, id: RequestId, nth: usize, end: End, actions: &mut Vec<Action>) {
        let (End { outcome, elapsed, done, last }, now) = (end, self.now);
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(Attempt { shard, epoch, at, .. }) = held.attempts.end(nth, outcome) else { return };
        let (class, units, arrived) = (held.ask.class.0, held.ask.units, held.arrived);
        let undue = if held.reserved { 0.0 } else { units };
        let rests = outcome.may_still_run() && self.set.classes[class].ordered;
        let ordered = held.ask.extent.filter(|_| rests);
        if let Some((_, rest)) = ordered.and_then(|extent| self.order.get_mut(&extent)) {
            *rest = rest.max(now + self.set.ordering_pause_s);
        }
        if matches!(outcome, AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Timeout) {
            self.fleet.latency += BLEND * (elapsed - self.fleet.latency);
            self.fleet.heard = now;
        }
        if let Some(lane) = self.lanes.lane_mut(shard).filter(|l| l.server.epoch == epoch) {
            lane.out.retain(|o| o.id != id);
            match outcome {
                AttemptOutcome::Ok | AttemptOutcome::Error => {
                    (lane.heard, lane.failures) = (now, 0);
                    lane.out.iter_mut().filter(|o| o.at < at).for_each(|o| o.passed += 1);
                    self.index.passed_over.extend(lane.is_passed_over().then_some(shard));
                    lane.ramp.due(now, undue);
                    lane.ramp.answered(match elapsed / self.tightest {
                        quick if quick < PRESSED => Pace::Quick,
                        slow if slow > 1.0 => Pace::Slow,
                        _ => Pace::Fair,
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
            && (repeat != Idempotency::NotIdempotent || held.attempts.may_have_run().next().is_none());
        if allowed && self.budget_left() {
            self.enqueue(id);
        } else {
            self.answer(id, actions);
        }
    }

    /// Rule 7: whether one more attempt past a request's first fits the budget. What is too old is forgotten.
    fn budget_left(&mut self) -> bool {
        let Some(budget) = self.set.retry_budget else { return true };
        let from = self.now - budget.window_s;
        self.taken.drain(..self.taken.partition_point(|at| *at <= from + self.set.tick_s));
        self.further.drain(..self.further.partition_point(|at| *at < from - self.set.tick_s));
        (self.further.len() + 1) as f64 <= budget.min_retries + budget.ratio * self.taken.len() as f64
    }

    /// Rule 4: units a second this host may send a node that may still be cold. `None`: it is warm.
    fn cold_rate(&self, lane: &Lane) -> Option<f64> {
        let age = self.now - lane.server.node.as_ref().filter(|t| t.started_at > 0.0)?.started_at;
        let slow = lane.latency_now(self.now, self.fleet) > self.tightest;
        lane.ramp.rate(&self.set.slow_start, (f64::from(self.set.heads), self.part.0), self.now, age, slow)
    }

    /// Calls off an attempt that is overdue for its size while its node answered later ones: its connection
    /// fell silent or its answer is lost, and there is time for another.
    fn call_off(&mut self, actions: &mut Vec<Action>) {
        let (now, set, held) = (self.now, &self.set, &self.held);
        self.lanes.visit(&mut self.index.passed_over, |lane| {
            let overdue = (OVERDUE * lane.recent).max(self.tightest);
            lane.out.retain(|o| {
                let held = held.get(&o.id).filter(|h| o.passed >= PASSED && set.cancellation && !h.over);
                let Some(held) = held.filter(|h| h.attempts.len() < set.max_attempts) else { return true };
                let repeat = set.classes[held.ask.class.0].idempotency;
                let late = now - o.at > overdue * (held.ask.units / set.mean_request_units).max(1.0);
                let left = held.deadline.min(held.window_end(repeat)) - now;
                let lost = late && left > overdue && repeat != Idempotency::NotIdempotent;
                let attempt = held.attempts.len() - 1;
                actions.extend(lost.then_some(Action::Cancel { request: o.id, attempt }));
                !lost
            });
            lane.is_passed_over()
        });
    }

    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        for shard in self.index.busy.iter().copied().collect::<Vec<_>>() {
            while let Some(picked) = self.pick(shard) {
                self.send(shard, picked, actions);
            }
            let Some(lane) = self.lanes.lane(shard) else { continue };
            if lane.closed_until > self.now && lane.is_queued() {
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
        let lane = self.lanes.lane_mut(shard).filter(|l| l.room(now))?;
        let tags: Vec<f64> = lane.finish.iter().map(|f| f.max(lane.virtual_time)).collect();
        let queues = std::mem::take(&mut lane.queues);
        let mut best: Option<Picked> = None;
        for (class, queue) in queues.iter().enumerate() {
            for (place, id) in queue.iter().enumerate() {
                let Some((band, key)) = self.standing(shard, *id) else { continue };
                let order = (band, tags[class], key);
                if best.as_ref().is_none_or(|best| order < best.order) {
                    best = Some(Picked { order, class, place });
                }
            }
        }
        self.lanes.lane_mut(shard)?.queues = queues;
        best
    }

    /// The guards, each in one place: whether this request may go to the lane's node now; its band and order.
    fn standing(&mut self, shard: ShardId, id: RequestId) -> Option<(u8, f64)> {
        let (volume, plan) = (self.held[&id].ask.volume, self.held[&id].ask.plan);
        let reserve = self.refill(volume, plan).map_or(-1.0, |(v, _)| v.reserve);
        let (held, lane) = (&self.held[&id], self.lanes.lane(shard)?);
        let (now, tick, units) = (self.now, self.set.tick_s, held.ask.units);
        let class = &self.set.classes[held.ask.class.0];
        if !held.may_send(class.idempotency, lane.server.node.as_ref()?, now, tick) {
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
            let (draw, size) = (held.draw, (units, held.reserved));
            let wait = self.lanes.lane_mut(shard)?.ramp.wait(&self.set.slow_start, rate, now, size, draw);
            if wait > 0.0 {
                self.blocked_until = self.blocked_until.min(now + wait.max(tick));
                return None;
            }
        }
        let lane = self.lanes.lane(shard)?;
        let late = now + lane.latency[held.ask.class.0] > held.aim_at;
        let tag = lane.volume_finish.get(&volume).copied().unwrap_or(0.0).max(lane.volume_time);
        let latency = lane.latency_now(now, self.fleet) / (PRESSED * self.tightest);
        let standing = match late {
            true => (LATE, held.deadline),
            false if reserve >= units => (RESERVED, held.aim_at),
            false => (SHARED, tag),
        };
        // A level lets what it does not reserve go only to a node that this host has nothing out at.
        let (idle, pass) = (lane.out.is_empty(), self.admits(&held.ask, lane));
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
        let (further, taken) = (!held.attempts.is_empty(), held.attempts.taken());
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
        let Picked { order: (band, ..), class, place } = picked;
        let (now, weight) = (self.now, self.classes[class].weight);
        let next =
            self.lanes.lane(shard).and_then(|l| Some((l, self.held.get(l.queues[class].get(place)?)?)));
        let tries = next.is_some_and(|(lane, held)| self.admits(&held.ask, lane) == Admission::TrialOnly);
        let Some(lane) = self.lanes.lane_mut(shard) else { return };
        let Some(target) = lane.server.node.clone() else { return };
        let id = lane.queues[class].remove(place);
        self.index.dequeued(&id, shard, !lane.is_queued());
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
            self.index.tagged.insert(shard);
        }
        lane.ramp.sent(units);
        lane.out.push(Out { at: now, id, passed: 0 });
        lane.was_full |= lane.out.len() >= lane.window as usize;
        let (first, taken) = (held.attempts.is_empty(), held.attempts.taken());
        held.queued = false;
        let (zone, epoch) = (target.zone, lane.server.epoch);
        held.attempts.push(Attempt { shard, zone, epoch, at: now, outcome: None });
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
        self.budget_left();
        self.lanes.visit(&mut self.index.tagged, |lane| {
            lane.volume_finish.retain(|_, finish| *finish > lane.volume_time);
            false
        });
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

#[cfg(test)]
mod adapt_tests;
