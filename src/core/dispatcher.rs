//! The dispatcher: it notifies the scheduler of events and carries out the actions that the scheduler asks for.

use crate::Scheduler;
use crate::core::decision::{Decision, PendingDecisions};
use crate::core::request_ids::RecentRequestIds;
use crate::core::request_table::{RequestTable, UnreportedAttempt};
use crate::core::shedding::SheddingState;
use crate::core::timers::Timers;
use crate::core::upload::UploadStream;
use crate::core::{AttemptResult, Clock, Observer, ShutdownDeadline, seconds};
use crate::metrics::counters::Counters;
use crate::scheduler::{
    Action, AttemptOutcome, Class, Event, Idempotency, RequestId, SchedulerSettings, SchedulerSettingsError,
};
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Past a request's deadline, how long the scheduler's answer is still awaited before the core gives one itself.
pub(super) const OVERDUE_AFTER: Duration = Duration::from_millis(20);

/// How long a request's id is remembered at least; longer where the settings have a longer deadline.
const MIN_ID_RETENTION: Duration = Duration::from_secs(10);

/// The scheduler, and the events that wait for the end of its tick.
pub(super) struct SchedulerQueue {
    pub(super) scheduler: Scheduler,
    pending_events: Vec<Event>,
    tick: Duration,
    next_run_at: Instant,
}

impl SchedulerQueue {
    fn new(scheduler: Scheduler, tick: Duration) -> SchedulerQueue {
        SchedulerQueue { scheduler, pending_events: Vec::new(), tick, next_run_at: Instant::now() }
    }
}

/// Whether queued events go to the scheduler now or later.
enum NextRun {
    /// Now.
    Now,
    /// At a moment that a timer is needed for.
    Schedule(Instant),
    /// At a moment that a timer was set for.
    Scheduled,
}

/// Owner of the one scheduler: notifies it of events and carries out the actions that it asks for.
pub struct Dispatcher {
    pub(super) queue: RefCell<SchedulerQueue>,
    pub(super) shedding: SheddingState,
    pub(super) counters: Rc<Counters>,
    pub(super) observer: RefCell<Option<Rc<dyn Observer>>>,
    pub(super) shutdown_deadline: Rc<ShutdownDeadline>,
    /// By class: for how long after its first attempt that may have run a request may be sent again.
    pub(super) retry_windows: Vec<Option<Duration>>,
    clock: Clock,
    requests: RefCell<RequestTable>,
    request_ids: RefCell<RecentRequestIds>,
    timers: Timers,
}

impl Dispatcher {
    /// A dispatcher of a scheduler with these settings.
    ///
    /// # Errors
    ///
    /// The scheduler can't work with the settings.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Rc<Dispatcher>, SchedulerSettingsError> {
        let tick = seconds(settings.tick_s);
        let retry_windows = settings.classes.iter().map(retry_window).collect();
        let id_retention = id_retention(&settings.classes);
        let scheduler = Scheduler::new(settings, seed, clock.now())?;
        Ok(Rc::new(Dispatcher {
            queue: RefCell::new(SchedulerQueue::new(scheduler, tick)),
            shedding: SheddingState::default(),
            counters,
            observer: RefCell::new(None),
            shutdown_deadline: Rc::default(),
            retry_windows,
            clock,
            requests: RefCell::default(),
            request_ids: RefCell::new(RecentRequestIds::new(id_retention)),
            timers: Timers::default(),
        }))
    }

    /// The clock that the scheduler's times are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sets the observer of all requests from now on.
    pub fn set_observer(&self, observer: Rc<dyn Observer>) {
        self.observer.replace(Some(observer));
    }

    /// Claims an id for one request; false if another request has it or recently had it. Clients use a fresh id for
    /// each request, retries included, and nodes would take a second request of the same id for a further attempt of
    /// the first.
    pub fn claim_request_id(&self, id: &Bytes) -> bool {
        self.request_ids.borrow_mut().claim(id)
    }

    /// Sets the moment by which all requests, in flight or still to come, are answered since the process ends. The
    /// scheduler is not notified: it would take the shorter time for that of a client that has waited before.
    pub fn set_shutdown_deadline(&self, at: Instant) {
        self.shutdown_deadline.set(at);
    }

    /// Notifies the scheduler of events and carries out the actions that it asks for.
    ///
    /// The scheduler runs at most once a tick of its settings, since each run visits all pending requests: events in
    /// between are queued until the tick ends. Updates of the endpoint list are never delayed.
    pub fn notify(&self, events: &[Event]) {
        match self.queue_events(events) {
            NextRun::Now => {
                let actions = self.run_scheduler();
                self.carry_out(actions);
            }
            NextRun::Schedule(at) => self.timers.schedule(at),
            NextRun::Scheduled => {}
        }
    }

    /// Queues events until the tick ends, and returns whether it has.
    fn queue_events(&self, events: &[Event]) -> NextRun {
        let queue = &mut *self.queue.borrow_mut();
        let was_empty = queue.pending_events.is_empty();
        queue.pending_events.extend_from_slice(events);
        let is_urgent = events.iter().any(|event| matches!(event, Event::EndpointUpdate { .. }));
        if is_urgent || Instant::now() >= queue.next_run_at {
            NextRun::Now
        } else if was_empty {
            NextRun::Schedule(queue.next_run_at)
        } else {
            NextRun::Scheduled
        }
    }

    /// Hands all queued events to the scheduler and returns the actions that it asks for.
    fn run_scheduler(&self) -> Vec<Action> {
        let queue = &mut *self.queue.borrow_mut();
        queue.next_run_at = Instant::now() + queue.tick;
        let events = std::mem::take(&mut queue.pending_events);
        let mut actions = Vec::new();
        let started_at = self.clock.now();
        queue.scheduler.handle(started_at, &events, &mut actions);
        self.shedding.record_run(started_at, self.clock, &events, &actions);
        actions
    }

    fn carry_out(&self, actions: Vec<Action>) {
        let requests = &mut *self.requests.borrow_mut();
        for action in actions {
            match action {
                Action::Send { request, node, expires_at } => {
                    requests.deliver_send(request, node, expires_at, self.clock);
                }
                Action::Cancel { request, .. } => requests.deliver(request, Decision::Cancel),
                Action::Reject { request, retry_after_s } => {
                    requests.deliver(request, Decision::Reject { retry_after_s });
                }
                Action::Fail { request } => requests.deliver(request, Decision::Fail),
                Action::WakeUp { delay_s } => self.timers.schedule(Instant::now() + seconds(delay_s)),
                // The endpoint list is watched all the time, and the nodes' protocol has no health check.
                Action::PollEndpoints | Action::CheckHealth { .. } => {}
                Action::Log(text) => log::info!("scheduler: {text}"),
            }
        }
    }

    /// Notifies the scheduler of each wake-up that is due; runs as long as the process.
    pub async fn run_timers(&self) {
        loop {
            self.timers.next().await;
            self.notify(&[Event::WakeUp]);
        }
    }

    /// Adds a request to those in flight, whose decisions go to `decisions`.
    pub(super) fn insert_request(&self, decisions: Rc<PendingDecisions>) -> RequestId {
        self.requests.borrow_mut().insert(decisions)
    }

    /// The attempt of a request whose end was not reported yet.
    pub(super) fn unreported_attempt(&self, id: RequestId) -> Option<UnreportedAttempt> {
        self.requests.borrow().unreported(id)
    }

    /// Removes a request from those in flight.
    pub(super) fn remove_request(&self, id: RequestId) {
        self.requests.borrow_mut().remove(id);
    }

    /// Notifies the scheduler of the end of an attempt, unless that was done before.
    pub(super) fn report_attempt(
        &self,
        id: RequestId,
        number: usize,
        result: &AttemptResult,
        upload: Option<&Rc<UploadStream>>,
    ) {
        let Some(attempt) = self.requests.borrow_mut().take_unreported(id, number) else { return };
        self.counters.count_attempt(result.outcome);
        let node_time_from = self.node_time_from(attempt, upload);
        self.notify(&[Event::AttemptEnded {
            request: id,
            attempt: number,
            outcome: result.outcome,
            elapsed_s: self.clock.now() - node_time_from,
            request_done: result.outcome == AttemptOutcome::Ok,
            not_resendable: upload.is_some_and(|upload| upload.is_taken()),
            usage: result.usage,
            usage_elsewhere: 0.0,
            load_report: result.load_report,
        }]);
    }

    /// From when on an attempt's time counts as its node's: what the client took to send a streamed body does not.
    fn node_time_from(&self, attempt: UnreportedAttempt, upload: Option<&Rc<UploadStream>>) -> f64 {
        let Some(upload) = upload else { return attempt.sent_at };
        match upload.ended_at() {
            Some(ended) => self.clock.at(ended).max(attempt.sent_at),
            None if upload.is_taken() => self.clock.now(),
            None => attempt.sent_at,
        }
    }
}

/// For how long after its first attempt that may have run a request of the class may be sent again; `None` where time
/// does not limit it.
fn retry_window(class: &Class) -> Option<Duration> {
    match class.idempotency {
        Idempotency::WithKey { window_s, .. } => Some(seconds(window_s)),
        Idempotency::Idempotent | Idempotency::NotIdempotent => None,
    }
}

/// How long a request's id is remembered: longer than any request of these classes is in flight.
fn id_retention(classes: &[Class]) -> Duration {
    let longest_deadline_s = classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    MIN_ID_RETENTION.max(seconds(longest_deadline_s) + OVERDUE_AFTER)
}
