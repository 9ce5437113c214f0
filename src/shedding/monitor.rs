//! Measures the signals of load shedding from the events and actions that are exchanged between dispatcher and
//! scheduler, and passes the readings to the [`LevelManager`], which decides about the levels. The monitor reads no
//! clock, and discards its state of a request when the request ends.

use crate::scheduler::{
    Action, Admission, AttemptOutcome, ClassId, Endpoint, Event, NodeId, NodeState, RequestId,
    ReservedWorkStats, SchedulerSettings, SheddingLevel, UpdateKind, ZoneAdmission, ZoneId,
};
use crate::shedding::pending_requests::PendingRequests;
use crate::shedding::reserved_work::{ReservedWork, sliding_sums};
use crate::shedding::usage_reports::UsageReports;
use flaxgap_load_shedding::level_manager::EffectiveAdmission;
use flaxgap_load_shedding::measurement::node_silence::{AttemptEnd, NodeSilence};
use flaxgap_load_shedding::measurement::sliding_sums::SlidingSums;
use flaxgap_load_shedding::report::LevelTransition;
use flaxgap_load_shedding::settings::{Admission as LevelAdmission, AdmissionTable};
use flaxgap_load_shedding::{LevelManager, Scope, SheddingSettings, Signal};
use std::collections::{BTreeMap, HashMap};

/// Seconds after which an attempt is removed if no event has reported its end.
const ATTEMPT_EXPIRY_S: f64 = 120.0;
/// Change of the levels' earliest end, in seconds, above which the scheduler is notified. The `Retry-After` of rejected
/// requests is derived from the earliest end.
const EARLIEST_END_TOLERANCE_S: f64 = 0.5;

/// Resource usage that is measured by the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceGauges {
    /// Fraction of the memory for request and response bodies that is in use.
    pub memory: f64,
    /// Fraction of the file descriptors that is in use.
    pub descriptors: f64,
    /// CPU time of the scheduler since the start, in seconds.
    pub scheduler_cpu_s: f64,
}

/// The result of an evaluation.
#[derive(Debug, Default)]
pub struct Evaluation {
    /// The transitions that were made.
    pub transitions: Vec<LevelTransition>,
    /// The level to notify the scheduler of, if it has changed since the last notification.
    pub level_update: Option<SheddingLevel>,
}

/// An attempt that has not ended.
struct InFlightAttempt {
    node: NodeId,
    sent_at: f64,
}

/// The scheduler's CPU time since the start, sampled at `at`.
struct CpuSample {
    at: f64,
    cpu_s: f64,
}

/// Measures the signals of one head and evaluates its levels.
pub struct LoadMonitor {
    levels: LevelManager,
    pending: PendingRequests,
    reserved_work: ReservedWork,
    usage_reports: UsageReports,
    /// The nodes that take requests, with their zones.
    nodes: BTreeMap<NodeId, ZoneId>,
    node_silence: NodeSilence,
    in_flight: HashMap<RequestId, InFlightAttempt>,
    /// The number of attempts, and of requests by their first attempt. The ratio is [`Signal::Attempts`].
    attempts: SlidingSums,
    last_cpu_sample: CpuSample,
    /// The level that the scheduler was last notified of.
    notified: SheddingLevel,
}

impl LoadMonitor {
    /// Creates a monitor of a head whose scheduler has these settings.
    pub fn new(levels: LevelManager, scheduler: &SchedulerSettings, now: f64) -> LoadMonitor {
        let settings = levels.settings();
        let objectives_s = scheduler.classes.iter().map(|class| class.latency_objective_s).collect();
        LoadMonitor {
            pending: PendingRequests::new(scheduler.max_pending),
            reserved_work: ReservedWork::new(objectives_s),
            usage_reports: UsageReports::new(),
            nodes: BTreeMap::new(),
            node_silence: NodeSilence::new(settings.silent_after_s, settings.node_known_for_s),
            in_flight: HashMap::new(),
            attempts: sliding_sums(settings.span_s),
            last_cpu_sample: CpuSample { at: now, cpu_s: 0.0 },
            notified: SheddingLevel::default(),
            levels,
        }
    }

    /// The level manager.
    pub fn levels(&self) -> &LevelManager {
        &self.levels
    }

    /// The level manager, for changes by an operator. After a change, [`LoadMonitor::take_level_update`] returns the
    /// level to notify the scheduler of.
    pub fn levels_mut(&mut self) -> &mut LevelManager {
        &mut self.levels
    }

    /// The number of pending requests.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Records the events that the scheduler was notified of at `now`, and the actions that it returned.
    pub fn record(&mut self, now: f64, events: &[Event], actions: &[Action]) {
        for event in events {
            self.record_event(now, event);
        }
        for action in actions {
            self.record_action(now, action);
        }
    }

    fn record_event(&mut self, now: f64, event: &Event) {
        match event {
            Event::EndpointUpdate { kind, endpoints } => self.update_nodes(*kind, endpoints),
            Event::RequestArrived(request) => self.pending.add(now, request),
            Event::AttemptEnded { request, outcome, request_done, usage, .. } => {
                self.record_attempt_end(now, *request, *outcome);
                if let (Some(usage), Some(volume)) = (usage, self.pending.volume(*request)) {
                    self.usage_reports.record(now, volume, *usage);
                }
                if *request_done {
                    self.pending.remove(*request);
                }
            }
            Event::StreamingStarted { request } => self.pending.set_streaming(*request),
            Event::ClientDisconnected { request } => self.pending.remove(*request),
            Event::HealthChecked { .. }
            | Event::WakeUp
            | Event::ProcessShareChanged { .. }
            | Event::SheddingLevelChanged(_) => {}
        }
    }

    fn record_action(&mut self, now: f64, action: &Action) {
        match action {
            Action::Send { request, node, .. } => self.record_send(now, *request, *node),
            Action::Reject { request, .. } | Action::Fail { request } => self.pending.remove(*request),
            _ => {}
        }
    }

    fn record_send(&mut self, now: f64, request: RequestId, node: NodeId) {
        self.node_silence.record_sent(now, node.0);
        self.in_flight.insert(request, InFlightAttempt { node, sent_at: now });
        let first_attempts = if self.pending.record_sent(request) { 1.0 } else { 0.0 };
        self.attempts.add(now, 1.0, first_attempts);
    }

    fn record_attempt_end(&mut self, now: f64, request: RequestId, outcome: AttemptOutcome) {
        if let Some(attempt) = self.in_flight.remove(&request) {
            let end = attempt_end(outcome);
            self.node_silence.record_end(now, attempt.node.0, attempt.sent_at, end);
        }
    }

    fn update_nodes(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        if matches!(kind, UpdateKind::Snapshot | UpdateKind::CachedSnapshot) {
            let listed: Vec<u64> = endpoints.iter().map(|endpoint| endpoint.node.0).collect();
            self.node_silence.retain_nodes(|node| listed.contains(&node));
            self.nodes.retain(|node, _| listed.contains(&node.0));
        }
        for endpoint in endpoints {
            match endpoint.state {
                NodeState::Ready => {
                    self.node_silence.add_node(endpoint.node.0, endpoint.zone.0);
                    self.nodes.insert(endpoint.node, endpoint.zone);
                }
                NodeState::Draining | NodeState::Gone => {
                    self.node_silence.remove_node(endpoint.node.0);
                    self.nodes.remove(&endpoint.node);
                }
            }
        }
    }

    /// Reads all signals and evaluates the levels if the next evaluation is due. `reserved_work` contains the
    /// scheduler's totals since its start.
    pub fn evaluate(
        &mut self,
        now: f64,
        reserved_work: &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
        gauges: ResourceGauges,
    ) -> Evaluation {
        if now < self.levels.next_evaluation() {
            return Evaluation::default();
        }
        let span_s = self.levels.settings().span_s;
        self.reserved_work.record(now, reserved_work, span_s);
        self.reserved_work.read(now, &mut self.levels);
        self.read_pending(now);
        self.read_resources(now, gauges);
        self.read_lost_nodes(now);
        self.read_report_lag(now);
        let transitions = self.levels.evaluate(now);
        Evaluation { transitions, level_update: self.take_level_update(now) }
    }

    /// Returns the level in force if the scheduler has to be notified of it, and marks it as notified.
    pub fn take_level_update(&mut self, now: f64) -> Option<SheddingLevel> {
        let level = shedding_level(self.levels.admission(now));
        if !self.is_update(&level) {
            return None;
        }
        self.notified = level.clone();
        Some(level)
    }

    fn is_update(&self, level: &SheddingLevel) -> bool {
        let end_moved = (level.ends_at - self.notified.ends_at).abs() > EARLIEST_END_TOLERANCE_S;
        level.admission != self.notified.admission
            || level.zone_admission != self.notified.zone_admission
            || level.is_shedding() && end_moved
    }

    /// Replaces the settings and returns the transitions that follow. A scope whose level has the same name in the new
    /// settings keeps it, otherwise it returns to `normal`. Measurements over a span start anew.
    pub fn configure(&mut self, settings: SheddingSettings, now: f64) -> Vec<LevelTransition> {
        self.reserved_work.clear_sums();
        self.attempts = sliding_sums(settings.span_s);
        self.node_silence = NodeSilence::new(settings.silent_after_s, settings.node_known_for_s);
        for (node, zone) in &self.nodes {
            self.node_silence.add_node(node.0, zone.0);
        }
        self.in_flight.clear();
        self.levels.configure(settings, now)
    }

    fn record_head_reading(&mut self, signal: Signal, value: f64, read_at: f64) {
        self.levels.record_reading(Scope::Head, signal, value, read_at);
    }

    fn read_pending(&mut self, now: f64) {
        self.pending.remove_expired(now);
        self.in_flight.retain(|_, attempt| now - attempt.sent_at <= ATTEMPT_EXPIRY_S);
        self.usage_reports.remove_expired(now);
        self.record_head_reading(Signal::Pending, self.pending.fill_fraction(), now);
        self.record_head_reading(Signal::OldestPendingAge, self.pending.max_relative_age(now), now);
        let min_requests = self.levels.settings().min_requests;
        if let Some(attempts) = self.attempts.ratio(now, min_requests) {
            self.record_head_reading(Signal::Attempts, attempts, now);
        }
    }

    fn read_resources(&mut self, now: f64, gauges: ResourceGauges) {
        self.record_head_reading(Signal::Memory, gauges.memory, now);
        self.record_head_reading(Signal::Descriptors, gauges.descriptors, now);
        let sample = CpuSample { at: now, cpu_s: gauges.scheduler_cpu_s };
        let last = std::mem::replace(&mut self.last_cpu_sample, sample);
        if now > last.at {
            let fraction = (gauges.scheduler_cpu_s - last.cpu_s) / (now - last.at);
            self.record_head_reading(Signal::SchedulerCpu, fraction, now);
        }
    }

    fn read_lost_nodes(&mut self, now: f64) {
        for (zone, nodes) in self.node_silence.zones(now) {
            if let Some(lost) = nodes.lost_fraction() {
                self.levels.record_reading(Scope::Zone(zone), Signal::NodesLost, lost, now);
            }
        }
    }

    fn read_report_lag(&mut self, now: f64) {
        if let Some(lag) = self.usage_reports.lag(now) {
            self.record_head_reading(Signal::ReportLag, lag.lag_s, lag.read_at);
        }
    }
}

/// Classifies an attempt's outcome as evidence of whether the node is alive.
fn attempt_end(outcome: AttemptOutcome) -> AttemptEnd {
    match outcome {
        AttemptOutcome::Ok | AttemptOutcome::Error | AttemptOutcome::Rejected => AttemptEnd::Answered,
        AttemptOutcome::Timeout | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
            AttemptEnd::Unanswered
        }
        AttemptOutcome::Cancelled | AttemptOutcome::NotSent => AttemptEnd::Cancelled,
    }
}

/// Converts the admission of the levels in force to the type that the scheduler is notified with.
fn shedding_level(admission: EffectiveAdmission) -> SheddingLevel {
    let mut zone_admission = Vec::new();
    for (zone, table) in admission.zones {
        zone_admission.push(ZoneAdmission { zone: ZoneId(zone), admission: scheduler_table(table) });
    }
    SheddingLevel {
        admission: scheduler_table(admission.head),
        zone_admission,
        ends_at: admission.earliest_end,
    }
}

fn scheduler_table(table: AdmissionTable) -> Vec<Vec<Admission>> {
    let mut classes = Vec::new();
    for plans in table.into_rows() {
        classes.push(plans.into_iter().map(scheduler_admission).collect());
    }
    classes
}

/// Converts an admission to the scheduler's type. The types are separate because neither of their modules depends on
/// the other. The match is exhaustive, so that a variant added to the levels' type must be handled here.
fn scheduler_admission(admission: LevelAdmission) -> Admission {
    match admission {
        LevelAdmission::All => Admission::All,
        LevelAdmission::WithinQuota => Admission::WithinQuota,
        LevelAdmission::WithinReserve => Admission::WithinReserve,
        LevelAdmission::TrialOnly => Admission::TrialOnly,
    }
}
