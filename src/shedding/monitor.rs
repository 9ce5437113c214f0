//! Watches what the decision module hears and says, and keeps the levels of reduced service by it. It decides on
//! levels alone, through `flaxgap_load_shedding`; it reads no clock and holds nothing of a request past its end.

use crate::scheduler::{
    Action, Admission, AttemptOutcome, ClassId, Endpoint, Event, NodeId, NodeState, RequestId,
    ReservedWorkStats, SchedulerSettings, SheddingLevel, UpdateKind, VolumeId, ZoneId,
};
use flaxgap_load_shedding::estimate::{End, Lag, Silence, Sliding};
use flaxgap_load_shedding::governor::Effect;
use flaxgap_load_shedding::report::Change;
use flaxgap_load_shedding::settings::{Pass as Lets, Passes};
use flaxgap_load_shedding::{Governor, Of, Scope, Signal};
use std::collections::{BTreeMap, HashMap};

/// Seconds that what is known of a volume's figure, or of a request that never ended, is kept.
const MEMORY: f64 = 60.0;
/// Seconds that a report's own stamp may be ahead of the clock.
const TOLERANCE: f64 = 0.5;
/// Steps of a sliding span.
const STEPS: f64 = 8.0;
/// Change of the earliest end that the module is told of, in seconds.
const UNTIL_MOVES: f64 = 0.5;

/// A request in hand.
struct Open {
    taken: f64,
    wait: f64,
    volume: VolumeId,
    sent: bool,
    /// Data that pass on: its age says nothing of the head.
    passes: bool,
}

/// Sums of one class and zone.
struct Sums {
    met: Sliding,
    delay: Sliding,
}

/// What is measured outside the module.
#[derive(Clone, Copy, Debug, Default)]
pub struct Gauges {
    /// Part of the memory for bodies in use.
    pub memory: f64,
    /// Part of the descriptors in use.
    pub descriptors: f64,
    /// Seconds that the module has taken, since the start.
    pub module: f64,
}

/// What a look brought.
#[derive(Debug, Default)]
pub struct Looked {
    /// Levels that changed.
    pub changes: Vec<Change>,
    /// What the module has to be told.
    pub level: Option<SheddingLevel>,
}

/// The monitor of one head.
pub struct LoadMonitor {
    governor: Governor,
    aims: Vec<f64>,
    most_held: usize,
    silence: Silence,
    lag: Lag,
    nodes: BTreeMap<NodeId, ZoneId>,
    open: BTreeMap<RequestId, Open>,
    out: HashMap<RequestId, (NodeId, f64)>,
    figures: BTreeMap<VolumeId, (f64, f64)>,
    known: BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
    sums: BTreeMap<(Option<ZoneId>, usize), Sums>,
    attempts: Sliding,
    module: (f64, f64),
    told: SheddingLevel,
}

impl LoadMonitor {
    /// A monitor of a head with these settings of the module.
    pub fn new(governor: Governor, settings: &SchedulerSettings, now: f64) -> LoadMonitor {
        let s = governor.settings();
        let (silent_after, recent, span) = (s.silent_after, s.recent, s.span);
        LoadMonitor {
            silence: Silence::new(silent_after, recent),
            attempts: Sliding::new(span, span / STEPS),
            governor,
            aims: settings.classes.iter().map(|class| class.latency_objective_s).collect(),
            most_held: settings.max_pending,
            lag: Lag::new(TOLERANCE),
            nodes: BTreeMap::new(),
            open: BTreeMap::new(),
            out: HashMap::new(),
            figures: BTreeMap::new(),
            known: BTreeMap::new(),
            sums: BTreeMap::new(),
            module: (now, 0.0),
            told: SheddingLevel::default(),
        }
    }

    /// The levels themselves.
    pub fn governor(&self) -> &Governor {
        &self.governor
    }

    /// The same, for an operator's call. The next look tells the module what follows from it.
    pub fn governor_mut(&mut self) -> &mut Governor {
        &mut self.governor
    }

    /// Requests in hand, for as long as the module holds them.
    pub fn held(&self) -> usize {
        self.open.len()
    }

    /// Takes in what the module was told at `now`, and what it chose.
    pub fn heed(&mut self, now: f64, events: &[Event], actions: &[Action]) {
        for event in events {
            match event {
                Event::EndpointUpdate { kind, endpoints: nodes } => self.list(*kind, nodes),
                Event::RequestArrived(ask) => {
                    let open = Open {
                        taken: now,
                        wait: ask.remaining_s,
                        volume: ask.volume,
                        sent: false,
                        passes: false,
                    };
                    self.open.insert(ask.id, open);
                }
                Event::AttemptEnded { request, outcome, request_done: done, usage: used, .. } => {
                    let end = match outcome {
                        AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected => {
                            End::Answered
                        }
                        AttemptOutcome::Timeout | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                            End::Unanswered
                        }
                        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => End::CalledOff,
                    };
                    if let Some((node, sent_at)) = self.out.remove(request) {
                        self.silence.ended(now, node.0, sent_at, end);
                    }
                    if let (Some(used), Some(open)) = (used, self.open.get(request)) {
                        let known = self.figures.insert(open.volume, (*used, now));
                        if known.is_none_or(|(figure, _)| figure != *used) {
                            self.lag.heard(now, None);
                        }
                    }
                    if *done {
                        self.open.remove(request);
                    }
                }
                Event::StreamingStarted { request } => {
                    self.open.get_mut(request).into_iter().for_each(|open| open.passes = true);
                }
                Event::ClientDisconnected { request } => _ = self.open.remove(request),
                Event::HealthChecked { .. }
                | Event::WakeUp
                | Event::ProcessShareChanged { .. }
                | Event::SheddingLevelChanged(_) => {}
            }
        }
        for action in actions {
            match action {
                Action::Send { request, node, .. } => {
                    self.silence.sent(now, node.0);
                    self.out.insert(*request, (*node, now));
                    let first =
                        self.open.get_mut(request).is_some_and(|o| !std::mem::replace(&mut o.sent, true));
                    self.attempts.add(now, 1.0, f64::from(u8::from(first)));
                }
                Action::Reject { request, .. } | Action::Fail { request } => _ = self.open.remove(request),
                _ => {}
            }
        }
    }

    fn list(&mut self, kind: UpdateKind, nodes: &[Endpoint]) {
        if matches!(kind, UpdateKind::Snapshot | UpdateKind::CachedSnapshot) {
            let listed: Vec<u64> = nodes.iter().map(|info| info.node.0).collect();
            self.silence.keep(|node| listed.contains(&node));
            self.nodes.retain(|node, _| listed.contains(&node.0));
        }
        for info in nodes {
            match info.state {
                NodeState::Ready => {
                    self.silence.listed(info.node.0, info.zone.0);
                    self.nodes.insert(info.node, info.zone);
                }
                NodeState::Draining | NodeState::Gone => {
                    self.silence.gone(info.node.0);
                    self.nodes.remove(&info.node);
                }
            }
        }
    }

    /// A look, when one is due: reads everything, decides, and says what the module has to be told.
    pub fn look(
        &mut self,
        now: f64,
        kept: &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
        gauges: Gauges,
    ) -> Looked {
        if now < self.governor.next_look() {
            return Looked::default();
        }
        self.read_kept(now, kept);
        self.read_load(now, gauges);
        for (zone, hall) in self.silence.halls(now) {
            if let Some(lost) = hall.lost_part() {
                self.governor.read(Scope::Hall(zone), Signal::NodesLost, lost, now);
            }
        }
        if let Some((lag, at)) = self.lag.reading(now) {
            // The lag is known for as long as answers that should carry reports come.
            let asked = self.figures.values().any(|(_, heard)| now - heard < MEMORY);
            self.governor.read(Scope::Head, Signal::ReportLag, lag, if asked { now } else { at });
        }
        let changes = self.governor.decide(now);
        Looked { changes, level: self.moved(now) }
    }

    /// What the module has to be told, if it has not heard of it yet.
    pub fn moved(&mut self, now: f64) -> Option<SheddingLevel> {
        let level = level(self.governor.effect(now));
        let moved = level.admission != self.told.admission
            || level.zone_admission != self.told.zone_admission
            || level.is_shedding() && (level.ends_at - self.told.ends_at).abs() > UNTIL_MOVES;
        moved.then(|| {
            self.told = level.clone();
            level
        })
    }

    /// Other settings hold from now on; levels go on under them where they have the same name.
    pub fn configure(&mut self, settings: flaxgap_load_shedding::Settings, now: f64) -> Vec<Change> {
        let (span, recent, silent_after) = (settings.span, settings.recent, settings.silent_after);
        let changes = self.governor.configure(settings, now);
        (self.sums, self.attempts) = (BTreeMap::new(), Sliding::new(span, span / STEPS));
        self.silence = Silence::new(silent_after, recent);
        self.nodes.iter().for_each(|(node, zone)| self.silence.listed(node.0, zone.0));
        self.out.clear();
        changes
    }

    /// The aims of reserved work: of each hall, and over all that no hall's own level accounts for.
    fn read_kept(&mut self, now: f64, kept: &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>) {
        let (span, least) = (self.governor.settings().span, self.governor.settings().least);
        for ((zone, class), kept) in kept {
            let known = self.known.insert((*zone, *class), *kept).unwrap_or_default();
            let (met, all, delay) = (
                kept.met_objective - known.met_objective,
                kept.completed - known.completed,
                kept.total_delay_s - known.total_delay_s,
            );
            if all == 0 {
                continue;
            }
            let sums = self.sums.entry((*zone, class.0)).or_insert_with(|| Sums {
                met: Sliding::new(span, span / STEPS),
                delay: Sliding::new(span, span / STEPS),
            });
            sums.met.add(now, met as f64, all as f64);
            sums.delay.add(now, delay, all as f64);
        }
        // Of the head: met, delay and all, by class, over the halls without a level of their own at this moment.
        let mut whole: BTreeMap<usize, (f64, f64, f64)> = BTreeMap::new();
        for ((zone, class), sums) in &mut self.sums {
            let ((met, all), (delay, _)) = (sums.met.sums(now), sums.delay.sums(now));
            let aim = self.aims.get(*class).copied().unwrap_or(f64::INFINITY);
            if let Some(zone) = zone.filter(|_| all >= least) {
                let hall = Scope::Hall(zone.0);
                self.governor.read(hall, Signal::Aims(Of::Class(*class)), met / all, now);
                self.governor.read(hall, Signal::Delay(Of::Class(*class)), delay / all / aim, now);
            }
            if zone.is_none_or(|zone| !self.governor.reduced(zone.0)) {
                let sum = whole.entry(*class).or_default();
                *sum = (sum.0 + met, sum.1 + delay, sum.2 + all);
            }
        }
        for (class, (met, delay, all)) in whole.into_iter().filter(|(_, sum)| sum.2 >= least) {
            let aim = self.aims.get(class).copied().unwrap_or(f64::INFINITY);
            self.governor.read(Scope::Head, Signal::Aims(Of::Class(class)), met / all, now);
            self.governor.read(Scope::Head, Signal::Delay(Of::Class(class)), delay / all / aim, now);
        }
    }

    fn read_load(&mut self, now: f64, gauges: Gauges) {
        let old = |taken: f64, wait: f64| now - taken > wait + MEMORY;
        self.open.retain(|_, open| open.passes || !old(open.taken, open.wait));
        self.out.retain(|_, (_, sent_at)| !old(*sent_at, MEMORY));
        self.figures.retain(|_, (_, heard)| now - *heard < MEMORY);
        let held = self.open.len() as f64 / self.most_held.max(1) as f64;
        let waits = self.open.values().filter(|open| !open.passes);
        let age = waits.map(|open| (now - open.taken) / open.wait.max(1e-3)).fold(0.0, f64::max);
        let least = self.governor.settings().least;
        let head = [(Signal::Held, held), (Signal::HeldAge, age)];
        let machine = [(Signal::Memory, gauges.memory), (Signal::Descriptors, gauges.descriptors)];
        for (signal, value) in head.into_iter().chain(machine) {
            self.governor.read(Scope::Head, signal, value, now);
        }
        if let Some(attempts) = self.attempts.ratio(now, least) {
            self.governor.read(Scope::Head, Signal::Attempts, attempts, now);
        }
        let (at, spent) = std::mem::replace(&mut self.module, (now, gauges.module));
        if now > at {
            self.governor.read(Scope::Head, Signal::ModuleCpu, (gauges.module - spent) / (now - at), now);
        }
    }
}

/// What the levels in force let pass, as the module is told it.
fn level(effect: Effect) -> SheddingLevel {
    let table = |passes: Passes| -> Vec<Vec<Admission>> {
        let pass = |lets: Lets| match lets {
            Lets::All => Admission::All,
            Lets::Share => Admission::WithinQuota,
            Lets::Reserve => Admission::WithinReserve,
            Lets::Nothing => Admission::TrialOnly,
        };
        passes.0.into_iter().map(|plans| plans.into_iter().map(pass).collect()).collect()
    };
    SheddingLevel {
        admission: table(effect.head),
        zone_admission: effect
            .halls
            .into_iter()
            .map(|(hall, passes)| (ZoneId(hall), table(passes)))
            .collect(),
        ends_at: effect.until,
    }
}
