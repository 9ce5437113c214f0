//! The dispatcher: passes events to the scheduler and executes the actions that it returns.

use crate::Scheduler;
use crate::core::decision::{Decision, PendingDecisions};
use crate::core::request_ids::RequestIds;
use crate::core::request_table::{RequestTable, UnreportedAttempt};
use crate::core::shedding::SheddingState;
use crate::core::timers::Timers;
use crate::core::upload::UploadStream;
use crate::core::{AttemptResult, Clock, Observer, ShutdownDeadline, seconds};
use crate::metrics::counters::Counters;
use crate::scheduler::{
    Action, AttemptOutcome, Class, ClassId, Event, Idempotency, RequestId, SchedulerSettings,
    SchedulerSettingsError,
};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long after a request's deadline the dispatcher still waits for the scheduler's decision before it answers the
/// request itself.
pub(super) const OVERDUE_AFTER: Duration = Duration::from_millis(20);

/// Minimum time for which a request id is remembered; longer if a class has a longer deadline.
const MIN_ID_RETENTION: Duration = Duration::from_secs(10);

/// The scheduler, and the events queued until its current tick ends.
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

/// When the scheduler processes the queued events.
enum NextRun {
    /// Immediately.
    Now,
    /// At this instant, for which a timer has to be set.
    Schedule(Instant),
    /// At an instant for which a timer has been set.
    Scheduled,
}

/// Owns the scheduler, passes events to it and executes the actions that it returns.
pub struct Dispatcher {
    pub(super) queue: RefCell<SchedulerQueue>,
    pub(super) shedding: SheddingState,
    pub(super) counters: Rc<Counters>,
    pub(super) observer: RefCell<Option<Rc<dyn Observer>>>,
    pub(super) shutdown_deadline: Rc<ShutdownDeadline>,
    /// By class: whether a request may be sent again after an attempt that a node may have executed.
    retryable_classes: Vec<bool>,
    /// Maximum number of attempts of a request.
    max_attempts: usize,
    /// By class: how long after its first attempt that a node may have executed a request may be retried.
    pub(super) retry_windows: Vec<Option<Duration>>,
    clock: Clock,
    requests: RefCell<RequestTable>,
    request_ids: Rc<RequestIds>,
    timers: Timers,
}

impl Dispatcher {
    /// Creates a scheduler with these settings and its dispatcher.
    ///
    /// # Errors
    ///
    /// Returns an error if the scheduler rejects the settings.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Rc<Dispatcher>, SchedulerSettingsError> {
        let tick = seconds(settings.tick_s);
        let retry_windows = settings.classes.iter().map(retry_window).collect();
        let id_retention = id_retention(&settings.classes);
        let is_retryable = |class: &Class| class.idempotency != Idempotency::NotIdempotent;
        let retryable_classes = settings.classes.iter().map(is_retryable).collect();
        let max_attempts = settings.max_attempts;
        let scheduler = Scheduler::new(settings, seed, clock.now())?;
        Ok(Rc::new(Dispatcher {
            queue: RefCell::new(SchedulerQueue::new(scheduler, tick)),
            shedding: SheddingState::default(),
            counters,
            observer: RefCell::new(None),
            shutdown_deadline: Rc::default(),
            retryable_classes,
            max_attempts,
            retry_windows,
            clock,
            requests: RefCell::default(),
            request_ids: RequestIds::new(id_retention),
            timers: Timers::default(),
        }))
    }

    /// The clock of the scheduler's timestamps.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sets the observer of all requests that arrive from now on.
    pub fn set_observer(&self, observer: Rc<dyn Observer>) {
        self.observer.replace(Some(observer));
    }

    /// Whether another attempt of a request may follow the attempt with this index, whatever that one has done.
    pub(super) fn may_retry(&self, class: ClassId, attempt: usize) -> bool {
        self.is_retryable(class) && attempt + 1 < self.max_attempts
    }

    /// Whether requests of a class may run twice.
    pub(super) fn is_retryable(&self, class: ClassId) -> bool {
        self.retryable_classes.get(class.0).copied().unwrap_or(false)
    }

    /// The request ids that can't be claimed.
    ///
    /// Clients must use a new id for each request, including their own retries: a node would treat a second request
    /// with the same id as a further attempt of the first.
    pub fn request_ids(&self) -> &Rc<RequestIds> {
        &self.request_ids
    }

    /// Sets the shutdown deadline, by which all requests, in flight or still to arrive, must be answered because the
    /// process exits. The scheduler is not notified: it would attribute the shorter remaining time to a client that has
    /// already waited.
    pub fn set_shutdown_deadline(&self, at: Instant) {
        self.shutdown_deadline.set(at);
    }

    /// Waits until the shutdown deadline has passed; forever while none is set.
    pub async fn shutdown_deadline_passed(&self) {
        self.shutdown_deadline.passed().await;
    }

    /// Passes events to the scheduler and executes the actions that it returns.
    ///
    /// The scheduler runs at most once per tick, since each run visits all pending requests; events that arrive in
    /// between are queued until the tick ends. Endpoint list updates are never delayed.
    pub fn notify(&self, events: &[Event]) {
        match self.queue_events(events) {
            NextRun::Now => {
                let actions = self.run_scheduler();
                self.execute(actions);
            }
            NextRun::Schedule(at) => self.timers.schedule(at),
            NextRun::Scheduled => {}
        }
    }

    /// Queues events and returns when the scheduler has to process them.
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

    /// Passes all queued events to the scheduler and returns the requested actions.
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

    fn execute(&self, actions: Vec<Action>) {
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
                // The endpoint list is watched continuously, and the node protocol has no health check.
                Action::PollEndpoints | Action::CheckHealth { .. } => {}
                Action::Log(text) => log::info!("scheduler: {text}"),
            }
        }
    }

    /// Notifies the scheduler of each wake-up when it is due. Never returns.
    pub async fn run_timers(&self) {
        loop {
            self.timers.next().await;
            self.notify(&[Event::WakeUp]);
        }
    }

    /// Adds a request to the requests in flight; the scheduler's decisions on it are sent to `decisions`.
    pub(super) fn insert_request(&self, decisions: Rc<PendingDecisions>) -> RequestId {
        self.requests.borrow_mut().insert(decisions)
    }

    /// The request's attempt whose end has not been reported to the scheduler, if any.
    pub(super) fn unreported_attempt(&self, id: RequestId) -> Option<UnreportedAttempt> {
        self.requests.borrow().unreported(id)
    }

    /// Removes a request from the requests in flight.
    pub(super) fn remove_request(&self, id: RequestId) {
        self.requests.borrow_mut().remove(id);
    }

    /// Reports the end of an attempt to the scheduler, unless it has already been reported.
    pub(super) fn report_attempt(
        &self,
        id: RequestId,
        number: usize,
        result: &AttemptResult,
        upload: Option<&Rc<UploadStream>>,
    ) {
        let Some(attempt) = self.requests.borrow_mut().take_unreported(id, number) else { return };
        self.counters.count_attempt(result.outcome);
        let node_time_start = self.node_time_start(attempt, upload);
        self.notify(&[Event::AttemptEnded {
            request: id,
            attempt: number,
            outcome: result.outcome,
            elapsed_s: self.clock.now() - node_time_start,
            request_done: result.outcome == AttemptOutcome::Ok,
            not_resendable: upload.is_some_and(|upload| upload.is_taken()),
            usage: result.usage,
            usage_elsewhere: 0.0,
            load_report: result.load_report,
        }]);
    }

    /// Start of the time that an attempt spent at its node, on the scheduler's clock. The time that the client takes to
    /// send a streamed body is excluded.
    fn node_time_start(&self, attempt: UnreportedAttempt, upload: Option<&Rc<UploadStream>>) -> f64 {
        let Some(upload) = upload else { return attempt.sent_at };
        match upload.ended_at() {
            Some(ended) => self.clock.at(ended).max(attempt.sent_at),
            None if upload.is_taken() => self.clock.now(),
            None => attempt.sent_at,
        }
    }
}

/// How long after its first attempt that a node may have executed a request of this class may be retried; `None` if
/// there is no time limit.
fn retry_window(class: &Class) -> Option<Duration> {
    match class.idempotency {
        Idempotency::WithKey { window_s, .. } => Some(seconds(window_s)),
        Idempotency::Idempotent | Idempotency::NotIdempotent => None,
    }
}

/// How long request ids are remembered: longer than any request of these classes can be in flight.
fn id_retention(classes: &[Class]) -> Duration {
    let longest_deadline_s = classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
    MIN_ID_RETENTION.max(seconds(longest_deadline_s) + OVERDUE_AFTER)
}
