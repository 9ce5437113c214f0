//! The decision module: decides when and where the gateway sends requests, and how their attempts end.
//!
//! The module has no clock, files or sockets of its own. [`Scheduler::handle`] takes the events ([`Event`]) since its
//! last call and returns the actions ([`Action`]) to take. Times are arguments and random numbers come from a seeded
//! generator, so the same events give the same actions.
//!
//! Path of a request: `arrivals` -> node queue (`node_queues`, `node_queue`) -> `dispatch`, which selects by
//! `evaluation` -> attempt -> `attempt_results` -> `completion`. The central mechanisms (`docs/design.md`) are the
//! fair queue (`fair_queue`), the adapted weights (`class_weights`) and the concurrency window (`concurrency_window`).
//! The other submodules handle cases that these do not cover.

mod arrivals;
mod attempt_results;
mod class_weights;
mod completion;
mod concurrency_window;
mod dispatch;
mod endpoint_polling;
mod evaluation;
mod expiry;
mod extent_order;
mod fair_queue;
mod fleet_latency;
mod interface;
mod load_shedding;
mod node_backoff;
mod node_latency;
mod node_queue;
mod node_queues;
mod pending_requests;
mod placement;
mod random;
mod retry_budget;
mod retry_rules;
mod settings;
mod slow_start;
mod timers;
mod volume_quotas;

pub use interface::{
    Action, Admission, AttemptOutcome, ClassId, Endpoint, Event, ExtentId, IoRequest, LoadReport, NodeId,
    NodeState, PlanId, RequestId, ReservedWorkStats, ShardId, SheddingLevel, UpdateKind, VolumeId,
    ZoneAdmission, ZoneId,
};
pub use settings::{
    Class, DeduplicationScope, Idempotency, OptionalMechanisms, Plan, RateLimit, RetryBudget,
    SchedulerSettings, SchedulerSettingsError, SlowStartSettings,
};

use class_weights::ClassWeights;
use endpoint_polling::EndpointPolling;
use extent_order::ExtentOrder;
use flaxgap_attempts::AttemptEnd;
use fleet_latency::FleetLatency;
use load_shedding::LoadShedding;
use node_queues::NodeQueues;
use pending_requests::PendingRequests;
use random::RandomNumbers;
use retry_budget::RetryBudgetWindow;
use slow_start::SlowStartLimit;
use std::collections::BTreeMap;
use timers::Timers;
use volume_quotas::VolumeQuotas;

/// The scheduler of one head. Each component handles one concern; the scheduler calls the components in order.
pub struct Scheduler {
    settings: SchedulerSettings,
    /// The lowest latency objective of all classes, in seconds.
    tightest_objective_s: f64,
    now: f64,
    random: RandomNumbers,
    requests: PendingRequests,
    node_queues: NodeQueues,
    class_weights: ClassWeights,
    volume_quotas: VolumeQuotas,
    extent_order: ExtentOrder,
    retry_budget: RetryBudgetWindow,
    slow_start: SlowStartLimit,
    load_shedding: LoadShedding,
    fleet_latency: FleetLatency,
    polling: EndpointPolling,
    timers: Timers,
    reserved_work: BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats>,
}

impl Scheduler {
    /// Creates a scheduler without nodes and requests. `seed` initialises its random number generator.
    ///
    /// # Errors
    ///
    /// Returns an error if a value in `settings` is invalid.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        now: f64,
    ) -> Result<Scheduler, SchedulerSettingsError> {
        settings.check()?;
        let objectives = settings.classes.iter().map(|class| class.latency_objective_s);
        let tightest_objective_s = objectives.fold(f64::INFINITY, f64::min);
        Ok(Scheduler {
            tightest_objective_s,
            now,
            random: RandomNumbers::new(seed),
            requests: PendingRequests::default(),
            node_queues: NodeQueues::new(&settings),
            class_weights: ClassWeights::new(&settings.classes),
            volume_quotas: VolumeQuotas::new(&settings, tightest_objective_s, now),
            extent_order: ExtentOrder::default(),
            retry_budget: RetryBudgetWindow::new(settings.retry_budget, settings.tick_s),
            slow_start: SlowStartLimit::new(&settings, tightest_objective_s),
            load_shedding: LoadShedding::new(tightest_objective_s, now),
            fleet_latency: FleetLatency::new(tightest_objective_s),
            polling: EndpointPolling::new(settings.poll_interval_s, now),
            timers: Timers::new(now),
            reserved_work: BTreeMap::new(),
            settings,
        })
    }

    /// Processes the events up to `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: f64, events: &[Event], actions: &mut Vec<Action>) {
        self.now = now.max(self.now);
        for event in events {
            self.handle_event(event, actions);
        }
        while self.timers.take_due_tick(self.now) {
            self.handle_sampling_tick();
        }
        self.expire_requests(actions);
        self.timers.reset_next_evaluation();
        self.cancel_overdue_attempts(actions);
        self.dispatch(actions);
        self.shed_load(actions);
        self.expire_late_work(actions);
        self.polling.poll_if_due(self.now, actions);
        self.request_wake_up(actions);
    }

    /// Returns the statistics on reserved work, by the zone of the node and the request class.
    pub fn reserved_work_stats(&self) -> &BTreeMap<(Option<ZoneId>, ClassId), ReservedWorkStats> {
        &self.reserved_work
    }

    /// Returns the number of requests rejected by load shedding since the start.
    pub fn shed_requests(&self) -> u64 {
        self.load_shedding.shed_requests()
    }

    fn handle_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointUpdate { kind, endpoints } => self.handle_endpoint_update(*kind, endpoints),
            Event::RequestArrived(request) => self.accept_request(request, actions),
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                elapsed_s,
                request_done,
                not_resendable,
                ..
            } => {
                let end = AttemptEnd {
                    outcome: *outcome,
                    elapsed_s: *elapsed_s,
                    request_done: *request_done,
                    not_resendable: *not_resendable,
                };
                self.handle_attempt_end(*request, *attempt, end, actions);
            }
            Event::StreamingStarted { request } => self.handle_streaming_started(*request),
            Event::ClientDisconnected { request } => {
                self.cancel_attempts(*request, actions);
                self.complete(*request);
            }
            Event::HealthChecked { .. } => {}
            Event::WakeUp => self.timers.record_wake_up(),
            Event::SheddingLevelChanged(level) => self.load_shedding.set_level(level, self.now),
            Event::ProcessShareChanged { fraction } => {
                self.volume_quotas.set_process_share(*fraction, self.now);
                self.slow_start.set_process_share(*fraction);
            }
        }
    }

    fn handle_endpoint_update(&mut self, kind: UpdateKind, endpoints: &[Endpoint]) {
        self.polling.record_update(kind, self.now, &mut self.random);
        self.node_queues.apply_update(kind, endpoints, self.now);
        self.reassign_new_objects();
    }

    /// Handles a sampling tick: removes unused state and, if due, adapts the class weights.
    fn handle_sampling_tick(&mut self) {
        self.volume_quotas.remove_idle(self.now);
        self.extent_order.remove_idle(self.now);
        self.retry_budget.remove_expired(self.now);
        self.node_queues.remove_idle_volumes();
        self.class_weights.end_tick();
    }

    /// Requests a wake-up for the earliest time at which a timer or deadline expires.
    fn request_wake_up(&mut self, actions: &mut Vec<Action>) {
        let expiry_at = self.requests.next_deadline_at() - self.answer_margin_s();
        let other_due_at = expiry_at.min(self.polling.next_poll_at());
        self.timers.request_wake_up(self.now, other_due_at, self.settings.tick_s, actions);
    }
}

#[cfg(test)]
mod class_weights_tests;
#[cfg(test)]
#[path = "../../tests/common/mod.rs"]
mod common;
#[cfg(test)]
mod memory_tests;
