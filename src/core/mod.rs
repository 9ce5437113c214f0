//! The core: one request's life round the decision module. It knows no wire.
//!
//! [`Dispatcher`] owns the one [`Scheduler`], its clock, its wake-ups and a mailbox for each request in
//! hand. A front takes a [`Call`] out of its protocol and awaits [`Dispatcher::serve`]; a [`Transport`]
//! carries attempts to nodes. Everything runs on one thread.

pub mod content;

use crate::Scheduler;
use crate::core::content::{Payload, StreamedBody, UploadStream};
use crate::metrics::counters::{Counters, FinalOutcome, InFlightRequest, SheddingGauges};
use crate::scheduler::{
    Action, AttemptOutcome, Class, ClassId, Event, ExtentId, Idempotency, IoRequest, LoadReport, NodeId,
    PlanId, RequestId, SchedulerSettings, SchedulerSettingsError, ShardId, SheddingLevel, VolumeId,
};
use crate::shedding::monitor::{LoadMonitor, ResourceGauges};
use bytes::Bytes;
use flaxgap_load_shedding::report::LevelTransition;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

/// Past a deadline, how long the module's answer is still awaited before the head words one itself.
const OVERDUE: Duration = Duration::from_millis(20);

/// How long an id stays known at least, or as long as the longest deadline of the settings, and how many are.
const KNOWN_FOR: Duration = Duration::from_secs(10);
const MOST_KNOWN: usize = 8192;

/// The ids of late, open requests' among them.
#[derive(Default)]
struct Ids {
    known: HashSet<Bytes>,
    order: VecDeque<(Instant, Bytes)>,
}

/// Sees requests and answers go by, and decides nothing.
pub trait Observer {
    /// A request was taken.
    fn taken(&self, call: &Call);
    /// It got its answer.
    fn answered(&self, call: &Call, answer: &Answer, after: Duration);
}

/// Longest wait that a client is told, in seconds.
const LONGEST_WAIT: f64 = 3600.0;

/// A monotonic clock whose figures are Unix time, read once at the start: what other machines say in
/// Unix time (a node's last start) needs no conversion, and the figures never run backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    unix: f64,
}

impl Clock {
    /// A clock anchored now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64());
        Clock { anchor: Instant::now(), unix }
    }

    /// Seconds of Unix time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The figure of an instant.
    pub fn at(&self, instant: Instant) -> f64 {
        self.unix + instant.saturating_duration_since(self.anchor).as_secs_f64()
    }

    /// The instant of a figure.
    pub fn instant(&self, at: f64) -> Instant {
        self.anchor + seconds(at - self.unix)
    }
}

/// A span from a number of seconds: none if negative, at most a day.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(if value > 0.0 { value.min(86_400.0) } else { 0.0 })
}

/// What an attempt does to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads it.
    Read,
    /// Writes it.
    Write,
}

/// What goes to a node unchanged.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// Read or write.
    pub operation: Operation,
    /// The object's name, as nodes know it.
    pub target: String,
    /// The request's id among all heads, as the client words it.
    pub id: Bytes,
    /// The key by which nodes know a repeat.
    pub idempotency_key: Option<Bytes>,
    /// The data of a write.
    pub payload: Payload,
}

/// Whoever waits for an answer, as its front knows it.
pub trait Client: fmt::Debug {
    /// Whether it still does, at this moment.
    fn is_connected(&self) -> bool;
}

/// A request as a front hands it over.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its class.
    pub class: ClassId,
    /// Its volume's plan.
    pub plan: PlanId,
    /// Its volume.
    pub volume: VolumeId,
    /// The data it is about.
    pub extent: Option<ExtentId>,
    /// The shard with the data, if it has one yet.
    pub shard: Option<ShardId>,
    /// Its size.
    pub units: f64,
    /// Number of heads that the volume's requests come through.
    pub heads: u32,
    /// Whether the client marked it as a retry of its own.
    pub client_retry: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// Who waits for it, where the front can tell at any moment; otherwise a client that leaves drops the call.
    pub client: Option<Rc<dyn Client>>,
    /// What is sent to the node.
    pub node_request: Rc<NodeRequest>,
}

/// How an attempt ended, and what came with it.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The body of a served request.
    pub body: StreamedBody,
    /// What the volume was served over all heads, in multiples of its plan's base rate.
    pub usage: Option<f64>,
    /// The node's load report.
    pub load_report: LoadReport,
}

impl AttemptResult {
    /// An attempt that brought nothing back.
    pub fn empty(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, body: Bytes::new().into(), usage: None, load_report: LoadReport::default() }
    }
}

/// How much of an attempt's request has been written to its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteProgress {
    /// Nothing: as far as the node goes, there was no attempt.
    #[default]
    Nothing,
    /// Some: the node can't have begun.
    Partial,
    /// All: it may have run.
    Complete,
}

/// Why an attempt's first byte may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitExpired {
    /// Its time is over.
    Deadline,
    /// The time in which its class allows a retry is over.
    RetryWindow,
    /// The head has to have answered everything by now.
    Shutdown,
    /// Its client has disconnected.
    ClientDisconnected,
}

/// An attempt's leave to begin, as the core knows it, and what has become of it. A transport asks it right before the
/// first byte: a connection may have taken long to come up, and what held when the module chose may hold no more.
#[derive(Debug)]
pub struct SendPermit {
    /// By when the attempt ends.
    pub expires_at: Instant,
    /// By when it has to have begun: for a further attempt, the end of its class's retry window.
    pub retry_window_ends_at: Option<Instant>,
    /// When the head is to have answered all; set while the attempt may be out.
    pub shutdown_deadline: Rc<Cell<Option<Instant>>>,
    /// Who waits for it.
    pub client: Option<Rc<dyn Client>>,
    /// What of it was written, for the core to read when the attempt is over.
    pub written: Cell<WriteProgress>,
}

impl SendPermit {
    /// For an attempt that has all its time, whose client waits.
    pub fn until(until: Instant) -> SendPermit {
        SendPermit {
            expires_at: until,
            retry_window_ends_at: None,
            shutdown_deadline: Rc::default(),
            client: None,
            written: Cell::default(),
        }
    }

    /// Why it may not begin at this moment, if it may not.
    pub fn expired(&self, now: Instant) -> Option<PermitExpired> {
        let over = |at: Option<Instant>| at.is_some_and(|at| now >= at);
        match self {
            _ if over(Some(self.expires_at)) => Some(PermitExpired::Deadline),
            _ if over(self.retry_window_ends_at) => Some(PermitExpired::RetryWindow),
            _ if over(self.shutdown_deadline.get()) => Some(PermitExpired::Shutdown),
            _ if self.client.as_ref().is_some_and(|client| !client.is_connected()) => {
                Some(PermitExpired::ClientDisconnected)
            }
            _ => None,
        }
    }

    /// The latest moment at which it makes sense to wait for a way to the node.
    pub fn begin_by(&self) -> Instant {
        [self.retry_window_ends_at, self.shutdown_deadline.get()]
            .into_iter()
            .flatten()
            .fold(self.expires_at, Instant::min)
    }
}

/// Carries attempts to nodes.
pub trait Transport {
    /// One attempt. It ends by its permit's time, or, once it has begun to pass data on that are not held, when these
    /// say so; before its first byte it asks the permit, and it notes there what it has written. Dropping it calls it
    /// off: when the drop returns, nothing of it can reach the node any more. It never sends twice.
    fn send(
        &self,
        node: NodeId,
        envelope: &NodeRequest,
        permit: &Rc<SendPermit>,
    ) -> impl Future<Output = AttemptResult>;
}

/// The one final answer.
#[derive(Debug)]
pub enum Answer {
    /// Served: the node's body. Whoever passes it on settles the request.
    Served(StreamedBody, InFlightRequest),
    /// Turned away; trying again does no harm.
    Rejected {
        /// Seconds after which a retry makes sense; 0 where nothing is known.
        retry_after_s: f64,
    },
    /// Failed; it may have run.
    Failed,
}

fn failed(flight: &InFlightRequest) -> Answer {
    flight.settle(FinalOutcome::Failed);
    Answer::Failed
}

fn refused(wait: f64, flight: &InFlightRequest) -> Answer {
    flight.settle(FinalOutcome::Rejected);
    Answer::Rejected { retry_after_s: wait.clamp(0.0, LONGEST_WAIT) }
}

/// The module's word on one request.
enum Choice {
    Send { attempt: usize, node: NodeId, abandon_at: f64, at: Instant },
    Cancel,
    Refuse { wait: f64 },
    Fail,
}

/// The module's choices for one request, until it takes them: mostly one at a time, so that no more is allocated.
#[derive(Default)]
struct Post {
    waiting: RefCell<VecDeque<Choice>>,
    arrived: Notify,
}

impl Post {
    fn send(&self, choice: Choice) {
        self.waiting.borrow_mut().push_back(choice);
        self.arrived.notify_one();
    }

    async fn recv(&self) -> Choice {
        loop {
            if let Some(choice) = self.waiting.borrow_mut().pop_front() {
                return choice;
            }
            self.arrived.notified().await;
        }
    }
}

/// The module's mail for one request, and which attempt it takes to be out.
struct Mailbox {
    mail: Rc<Post>,
    sends: usize,
    out: Option<(usize, f64)>,
}

struct State {
    scheduler: Scheduler,
    mailboxes: HashMap<RequestId, Mailbox>,
    wakes: BinaryHeap<Reverse<Instant>>,
    next_id: u32,
    pending: Vec<Event>,
    tick: Duration,
    next_call: Instant,
}

/// Owner of the one scheduler: hands it events and delivers its choices.
pub struct Dispatcher {
    state: RefCell<State>,
    clock: Clock,
    woken: Notify,
    counters: Rc<Counters>,
    observer: RefCell<Option<Rc<dyn Observer>>>,
    monitor: RefCell<Option<LoadMonitor>>,
    /// What the module has taken of the core since the monitor began.
    spent: Cell<Duration>,
    finish_by: watch::Sender<Option<Instant>>,
    /// The same, for permits.
    last: Rc<Cell<Option<Instant>>>,
    /// For how long after its first attempt that may have run each class may be sent again.
    windows: Vec<Option<Duration>>,
    known_for: Duration,
    ids: RefCell<Ids>,
}

impl Dispatcher {
    /// A dispatcher for a scheduler made with these settings.
    pub fn new(
        settings: SchedulerSettings,
        seed: u64,
        clock: Clock,
        counters: Rc<Counters>,
    ) -> Result<Rc<Dispatcher>, SchedulerSettingsError> {
        let tick = seconds(settings.tick_s);
        let window = |class: &Class| match class.idempotency {
            Idempotency::WithKey { window_s: window, .. } => Some(seconds(window)),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        let windows = settings.classes.iter().map(window).collect();
        let longest = settings.classes.iter().map(|class| class.deadline_s).fold(0.0, f64::max);
        let known_for = KNOWN_FOR.max(seconds(longest) + OVERDUE);
        let scheduler = Scheduler::new(settings, seed, clock.now())?;
        let (mailboxes, wakes, pending) = (HashMap::new(), BinaryHeap::new(), Vec::new());
        let next_call = Instant::now();
        let state = State { scheduler, mailboxes, wakes, next_id: 0, pending, tick, next_call };
        let state = RefCell::new(state);
        let (woken, observer) = (Notify::new(), RefCell::new(None));
        let (finish_by, ids) = (watch::Sender::new(None), RefCell::default());
        let (monitor, spent) = Default::default();
        let last = Rc::default();
        Ok(Rc::new(Dispatcher {
            state,
            clock,
            woken,
            counters,
            observer,
            monitor,
            spent,
            finish_by,
            last,
            windows,
            known_for,
            ids,
        }))
    }

    /// Has an observer see all requests from now on.
    pub fn observe(&self, observer: Rc<dyn Observer>) {
        self.observer.replace(Some(observer));
    }

    /// Has a monitor keep the levels of reduced service from now on; none leaves all at normal.
    pub fn monitor(&self, monitor: Option<LoadMonitor>) {
        self.monitor.replace(monitor);
        self.spent.set(Duration::ZERO);
        self.counters.set_levels(SheddingGauges::default());
        self.tell(&[Event::SheddingLevelChanged(SheddingLevel::default())]);
    }

    /// The monitor, for an operator's call, at this moment of the module's clock; none where levels are off.
    pub fn monitored<R>(&self, call: impl FnOnce(&mut LoadMonitor, f64) -> R) -> Option<R> {
        self.monitor.borrow_mut().as_mut().map(|monitor| call(monitor, self.clock.now()))
    }

    /// Tells the module of the levels in force, if it has not heard of them yet.
    pub fn apply_level(&self) {
        let level = self.monitored(|monitor, now| monitor.take_level_update(now)).flatten();
        level.into_iter().for_each(|level| self.tell(&[Event::SheddingLevelChanged(level)]));
    }

    /// Looks at the signals and tells the module what follows; the levels that changed. `memory` and
    /// `descriptors` are the parts in use.
    pub fn look(&self, memory: f64, descriptors: f64) -> Vec<LevelTransition> {
        let gauges = ResourceGauges { memory, descriptors, scheduler_cpu_s: self.spent.get().as_secs_f64() };
        let looked = self.monitored(|monitor, now| {
            let state = self.state.borrow();
            self.counters.withheld.follow(state.scheduler.shed_requests());
            let looked = monitor.evaluate(now, state.scheduler.reserved_work_stats(), gauges);
            let counts = monitor.levels().level_counts();
            self.counters.set_levels(SheddingGauges {
                level: counts.head_level as u64,
                halls: counts.reduced_zones as u64,
                pinned: counts.overrides as u64,
            });
            self.counters.level_changes.follow(monitor.levels().total_transitions());
            looked
        });
        let looked = looked.unwrap_or_default();
        if let Some(level) = looked.level_update {
            self.tell(&[Event::SheddingLevelChanged(level)]);
        }
        looked.transitions
    }

    /// Takes an id for one request; false where a request has or had it. Ids are fresh on every request, a
    /// repeat included, and nodes would take a second one for another attempt of the first.
    pub fn claim(&self, id: &Bytes) -> bool {
        let (ids, now) = (&mut *self.ids.borrow_mut(), Instant::now());
        while ids
            .order
            .front()
            .is_some_and(|(at, _)| *at + self.known_for <= now || ids.order.len() >= MOST_KNOWN)
        {
            if let Some((_, old)) = ids.order.pop_front() {
                ids.known.remove(&old);
            }
        }
        let fresh = ids.known.insert(id.clone());
        if fresh {
            ids.order.push_back((now, id.clone()));
        }
        fresh
    }

    /// What is in hand, and what is taken from now on, is answered by this moment, since the program ends. The
    /// module is not told: it would read the shorter time as a client's that has waited before.
    pub fn finish_by(&self, at: Instant) {
        self.last.set(Some(at));
        self.finish_by.send_replace(Some(at));
    }

    /// Waits for the moment by which all is to be answered; for ever where none is set.
    async fn finished(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let at = self.finish_by.subscribe().wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match at {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    }

    /// The clock that the module's figures are on.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Tells the module what happened, and delivers what it chooses. It is called once a tick at most, as
    /// its settings have it, since a call costs it a look at all that is held; what happens in between
    /// waits for the tick's end. News of the nodes are never kept waiting.
    pub fn tell(&self, events: &[Event]) {
        let mut actions = Vec::new();
        let state = &mut *self.state.borrow_mut();
        let (now, first) = (Instant::now(), state.pending.is_empty());
        state.pending.extend_from_slice(events);
        if now < state.next_call && !events.iter().any(|e| matches!(e, Event::EndpointUpdate { .. })) {
            if first {
                state.wakes.push(Reverse(state.next_call));
                self.woken.notify_one();
            }
            return;
        }
        state.next_call = now + state.tick;
        let events = std::mem::take(&mut state.pending);
        let now = self.clock.now();
        state.scheduler.handle(now, &events, &mut actions);
        if let Some(monitor) = self.monitor.borrow_mut().as_mut() {
            self.spent.set(self.spent.get() + Duration::from_secs_f64((self.clock.now() - now).max(0.0)));
            monitor.record(now, &events, &actions);
        }
        for action in actions {
            let (request, choice) = match action {
                Action::Send { request, node, expires_at: abandon_at } => {
                    let Some(mailbox) = state.mailboxes.get_mut(&request) else { continue };
                    let attempt = mailbox.sends;
                    mailbox.sends += 1;
                    mailbox.out = Some((attempt, self.clock.now()));
                    (request, Choice::Send { attempt, node, abandon_at, at: Instant::now() })
                }
                Action::Cancel { request, .. } => (request, Choice::Cancel),
                Action::Reject { request, retry_after_s: wait } => (request, Choice::Refuse { wait }),
                Action::Fail { request } => (request, Choice::Fail),
                Action::WakeUp { delay_s: delay } => {
                    let due = Instant::now() + seconds(delay);
                    if state.wakes.peek().is_none_or(|Reverse(first)| due < *first) {
                        self.woken.notify_one();
                    }
                    state.wakes.push(Reverse(due));
                    continue;
                }
                // Discovery is watched from the start, and nodes of this wire may not be probed.
                Action::PollEndpoints | Action::CheckHealth { .. } => continue,
                Action::Log(text) => {
                    log::info!("module: {text}");
                    continue;
                }
            };
            if let Some(mailbox) = state.mailboxes.get(&request) {
                mailbox.mail.send(choice);
            }
        }
    }

    /// Delivers the module's wake-ups; runs as long as the program.
    pub async fn keep_time(&self) {
        loop {
            let next = self.state.borrow().wakes.peek().map(|Reverse(at)| *at);
            match next {
                Some(at) if at <= Instant::now() => {
                    self.state.borrow_mut().wakes.pop();
                    self.tell(&[Event::WakeUp]);
                }
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.woken.notified() => {}
                },
                None => self.woken.notified().await,
            }
        }
    }

    /// One request's life, from its taking to its one final answer. Dropping it tells the module that
    /// the client has gone.
    pub async fn serve<T: Transport>(
        self: &Rc<Self>,
        transport: &T,
        call: Call,
        flight: InFlightRequest,
    ) -> Answer {
        flight.take();
        let (mut ticket, taken_at) = (self.take(&call), Instant::now());
        let observer = self.observer.borrow().clone();
        if let Some(observer) = &observer {
            observer.taken(&call);
        }
        let upload = call.node_request.payload.upload();
        let passing = || upload.is_some_and(|upload| upload.is_taken());
        let mut finished = std::pin::pin!(self.finished());
        let (mut overdue, mut cut) = (call.deadline + OVERDUE, false);
        // From the first attempt that may have run: whether there was one, and when a class with a window is past it.
        let (mut ran, mut window) = (false, None);
        let answer = loop {
            let choice = tokio::select! {
                biased;
                choice = ticket.mail.recv() => choice,
                () = finished.as_mut(), if !passing() => {
                    cut = true;
                    break if ran { failed(&flight) } else { refused(0.0, &flight) };
                }
                // Guards against a module that owes an answer: the client gets one in any case.
                () = sleep_until(overdue) => {
                    self.counters.overdue.add();
                    log::error!("core: no choice by the deadline of request {}", ticket.id.0);
                    return failed(&flight);
                }
            };
            match choice {
                Choice::Send { attempt, node, abandon_at, at } => {
                    let permit = Rc::new(SendPermit {
                        expires_at: self.clock.instant(abandon_at).min(overdue),
                        retry_window_ends_at: window,
                        shutdown_deadline: self.last.clone(),
                        client: call.client.clone(),
                        written: Cell::default(),
                    });
                    // The mail comes first: an attempt called off before its first byte is never written.
                    // A request that is held is not to carry the room of its attempt.
                    let mut sending = Box::pin(transport.send(node, &call.node_request, &permit));
                    let ended = loop {
                        tokio::select! {
                            biased;
                            later = ticket.mail.recv() => break Some(Err(later)),
                            reply = sending.as_mut() => break Some(Ok(reply)),
                            () = finished.as_mut(), if !passing() => break None,
                            // Data that pass on take their time; the module's clock for it stops.
                            () = started(upload) => {
                                self.tell(&[Event::StreamingStarted { request: ticket.id }]);
                            }
                        }
                    };
                    // From here on nothing of it can reach the node, and what was written of it is known.
                    drop(sending);
                    if passing() {
                        overdue = overdue.max(Instant::now() + OVERDUE);
                    }
                    let ended = ended.map(|ended| ended.map_err(|later| (later, called_off(&permit))));
                    let outcome = match &ended {
                        Some(Ok(reply)) => reply.outcome,
                        Some(Err((_, outcome))) => *outcome,
                        None => called_off(&permit),
                    };
                    if !outcome.never_ran() {
                        ran = true;
                        let closes =
                            self.windows.get(call.class.0).copied().flatten().map(|window| at + window);
                        window = window.or(closes);
                    }
                    match ended {
                        None => {
                            cut = true;
                            break if ran { failed(&flight) } else { refused(0.0, &flight) };
                        }
                        Some(Ok(reply)) => {
                            let served = reply.outcome == AttemptOutcome::Ok;
                            self.report(&ticket, attempt, &reply, upload);
                            if served {
                                break Answer::Served(reply.body, flight);
                            }
                        }
                        Some(Err((later, outcome))) => {
                            self.report(&ticket, attempt, &AttemptResult::empty(outcome), upload);
                            match later {
                                Choice::Refuse { wait } => break refused(wait, &flight),
                                Choice::Fail => break failed(&flight),
                                _ => {}
                            }
                        }
                    }
                }
                Choice::Cancel => {}
                Choice::Refuse { wait } => break refused(wait, &flight),
                Choice::Fail => break failed(&flight),
            }
        };
        // Cut short, the module still takes it to be held.
        ticket.answered = !cut;
        if let Some(observer) = &observer {
            observer.answered(&call, &answer, taken_at.elapsed());
        }
        answer
    }

    fn take(self: &Rc<Self>, call: &Call) -> Ticket {
        let mail = Rc::new(Post::default());
        let id = {
            let state = &mut *self.state.borrow_mut();
            let mut id = RequestId(state.next_id);
            while state.mailboxes.contains_key(&id) {
                id = RequestId(id.0.wrapping_add(1));
            }
            state.next_id = id.0.wrapping_add(1);
            state.mailboxes.insert(id, Mailbox { mail: mail.clone(), sends: 0, out: None });
            id
        };
        let ticket = Ticket { dispatcher: self.clone(), id, mail, answered: false };
        let remaining = call.deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        self.tell(&[Event::RequestArrived(IoRequest {
            id,
            class: call.class,
            plan: call.plan,
            volume: call.volume,
            extent: call.extent,
            shard: call.shard,
            remaining_s: remaining,
            units: call.units,
            heads: call.heads,
            client_retry: call.client_retry,
        })]);
        ticket
    }

    /// Reports an attempt's end, unless the module was told of it before.
    fn report(
        &self,
        ticket: &Ticket,
        attempt: usize,
        reply: &AttemptResult,
        upload: Option<&Rc<UploadStream>>,
    ) {
        let out = {
            let mut state = self.state.borrow_mut();
            let mailbox = state.mailboxes.get_mut(&ticket.id);
            mailbox.and_then(|m| m.out.take_if(|(number, _)| *number == attempt))
        };
        let Some((_, sent_at)) = out else { return };
        self.counters.outcome(reply.outcome);
        let last = upload.is_some_and(|upload| upload.is_taken());
        // What the data took to come is not the node's time.
        let from = match upload.and_then(|upload| upload.ended_at()) {
            Some(ended) => self.clock.at(ended).max(sent_at),
            None if last => self.clock.now(),
            None => sent_at,
        };
        self.tell(&[Event::AttemptEnded {
            request: ticket.id,
            attempt,
            outcome: reply.outcome,
            elapsed_s: self.clock.now() - from,
            request_done: reply.outcome == AttemptOutcome::Ok,
            not_resendable: last,
            usage: reply.usage,
            usage_elsewhere: 0.0,
            load_report: reply.load_report,
        }]);
    }
}

/// How an attempt ended that was called off: one that its node never had whole can't have run.
fn called_off(permit: &SendPermit) -> AttemptOutcome {
    match permit.written.get() {
        WriteProgress::Nothing | WriteProgress::Partial => AttemptOutcome::NotSent,
        WriteProgress::Complete => AttemptOutcome::Cancelled,
    }
}

/// Waits until data that are not held begin to pass on.
async fn started(upload: Option<&Rc<UploadStream>>) {
    match upload {
        Some(upload) => upload.wait_taken().await,
        None => std::future::pending().await,
    }
}

/// A request in hand. Dropped without an answer, it tells the module that the client has gone; either
/// way every attempt that the module takes to be out gets its outcome.
struct Ticket {
    dispatcher: Rc<Dispatcher>,
    id: RequestId,
    mail: Rc<Post>,
    answered: bool,
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let dispatcher = self.dispatcher.clone();
        if !self.answered {
            dispatcher.tell(&[Event::ClientDisconnected { request: self.id }]);
        }
        let out = dispatcher.state.borrow().mailboxes.get(&self.id).and_then(|m| m.out);
        if let Some((attempt, _)) = out {
            dispatcher.report(self, attempt, &AttemptResult::empty(AttemptOutcome::Cancelled), None);
        }
        dispatcher.state.borrow_mut().mailboxes.remove(&self.id);
    }
}
