//! Requests, answers, drains, leaving clients and the head's end in any order, in virtual time: the core and the module
//! as they are, round stand-ins for clients and nodes that act by seeds. A checker that knows nothing of either keeps
//! the protocol's rules, and is shown to find each of three broken ways to the nodes.

mod peers;

use bytes::Bytes;
use flaxgap::config;
use flaxgap::core::content::Payload;
use flaxgap::core::{
    Answer, AttemptResult, Call, Client, Clock, Dispatcher, NodeRequest, Operation, SendPermit, Transport,
    WriteProgress,
};
use flaxgap::metrics::counters::{Counters, FinalOutcome};
use flaxgap::scheduler::{
    AttemptOutcome, Class, ClassId, DeduplicationScope, Endpoint, Event, Idempotency, NodeId, NodeState,
    PlanId, SchedulerSettings, ShardId, UpdateKind, VolumeId, ZoneId,
};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// What the protocol adds to each of its times on sockets.
const SLACK: Duration = Duration::from_millis(50);
const GRACE: Duration = Duration::from_millis(250);

/// A way to the nodes, as it should be or broken.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Sound,
    /// It writes whatever the permit says.
    HeedsNoPermit,
    /// It writes to nodes that drain.
    HeedsNoDrain,
    /// What is called off goes on, unseen.
    OutlivesItsEnd,
}

/// Numbers by chance (xorshift).
struct Draws(Cell<u64>);

impl Draws {
    fn new(seed: u64) -> Draws {
        Draws(Cell::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1))
    }

    fn below(&self, most: u64) -> u64 {
        let mut state = self.0.get();
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.0.set(state);
        (state >> 11) % most
    }

    fn millis(&self, most: u64) -> Duration {
        Duration::from_micros(self.below(most * 1000))
    }
}

/// What is known of one request from outside.
#[derive(Default)]
struct Record {
    repeat: Option<Idempotency>,
    deadline: Option<Instant>,
    left: Option<Instant>,
    out: u32,
    /// When the first attempt began that may have run, and at which node.
    ran: Option<(Instant, NodeId)>,
    answered: Option<(Instant, &'static str)>,
}

/// Keeps the rules.
#[derive(Default)]
struct Checker {
    records: RefCell<HashMap<Bytes, Record>>,
    draining: RefCell<HashMap<NodeId, Instant>>,
    end: Cell<Option<Instant>>,
    broken: RefCell<Vec<String>>,
    first_bytes: Cell<u32>,
    further: Cell<u32>,
}

impl Checker {
    fn rule(&self, holds: bool, what: &str) {
        if !holds {
            self.broken.borrow_mut().push(what.into());
        }
    }

    /// An attempt's first byte is written.
    fn first_byte(&self, id: &Bytes, node: NodeId, now: Instant) {
        self.first_bytes.set(self.first_bytes.get() + 1);
        let (mut records, past) =
            (self.records.borrow_mut(), |at: Option<Instant>| at.is_some_and(|at| now > at));
        let Some(record) = records.get_mut(id) else {
            return self.rule(false, "a request that no client sent");
        };
        self.rule(record.out == 0, "two attempts of a request are out");
        self.rule(!past(record.left), "sent on after its client left");
        self.rule(!past(self.end.get()), "sent on past the head's last moment");
        self.rule(!past(record.deadline), "sent on past its deadline");
        self.rule(record.answered.is_none(), "sent on after its answer");
        let told = self.draining.borrow().get(&node).map(|at| *at + GRACE + SLACK);
        self.rule(!past(told), "sent to a node that drains");
        if let Some((at, ran_at)) = record.ran {
            self.further.set(self.further.get() + 1);
            match record.repeat {
                Some(Idempotency::NotIdempotent) => self.rule(false, "an unsafe request is sent again"),
                Some(Idempotency::WithKey { scope: group, window_s: window }) => {
                    let window = Duration::from_secs_f64(window) + SLACK;
                    self.rule(now <= at + window, "sent again past its window");
                    self.rule(
                        group == DeduplicationScope::AllNodes || ran_at == node,
                        "sent again outside its group",
                    );
                }
                _ => {}
            }
        }
        record.out += 1;
    }

    /// An attempt is over; whether it may have run.
    fn over(&self, id: &Bytes, node: NodeId, began: Instant, may_have_run: bool) {
        if let Some(record) = self.records.borrow_mut().get_mut(id) {
            record.out -= 1;
            if may_have_run {
                record.ran.get_or_insert((began, node));
            }
        }
    }

    fn answered(&self, id: &Bytes, word: &'static str, now: Instant) {
        let mut records = self.records.borrow_mut();
        let Some(record) = records.get_mut(id) else { return };
        self.rule(record.answered.replace((now, word)).is_none(), "a second final answer");
        self.rule(record.out == 0, "answered with an attempt still out");
        let free = matches!(
            record.repeat,
            Some(Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::AllNodes, .. })
        );
        self.rule(word != "refused" || free || record.ran.is_none(), "refused what may have run");
    }

    /// When all is over.
    fn at_the_end(&self) {
        for record in self.records.borrow().values() {
            let due = record.deadline.expect("a deadline").min(self.end.get().expect("an end")) + SLACK;
            match (record.answered, record.left) {
                (Some((at, _)), _) => self.rule(at <= due, "answered too late"),
                (None, left) => self.rule(left.is_some(), "never answered"),
            }
            self.rule(record.out == 0, "an attempt outlives the head");
        }
    }
}

/// Where nodes are to be reached.
struct Wire {
    way: Way,
    draws: Draws,
    checker: Rc<Checker>,
}

/// An attempt whose first byte was written, until it is over on the wire.
struct Out {
    checker: Rc<Checker>,
    id: Bytes,
    node: NodeId,
    began: Instant,
    permit: Rc<SendPermit>,
    outlives: Option<Duration>,
}

impl Drop for Out {
    fn drop(&mut self) {
        let (checker, id, node, began) = (self.checker.clone(), self.id.clone(), self.node, self.began);
        let ran = self.permit.written.get() == WriteProgress::Complete;
        match self.outlives {
            Some(time) => {
                spawn_local(async move {
                    sleep(time).await;
                    checker.over(&id, node, began, ran);
                });
            }
            None => checker.over(&id, node, began, ran),
        }
    }
}

impl Transport for Wire {
    async fn send(&self, node: NodeId, envelope: &NodeRequest, permit: &Rc<SendPermit>) -> AttemptResult {
        let (draws, began) = (&self.draws, Instant::now());
        let connect = match draws.below(4) {
            0 => draws.millis(1500),
            _ => draws.millis(3),
        };
        let by = if self.way == Way::HeedsNoPermit { permit.expires_at } else { permit.latest_start() };
        if began + connect > by {
            sleep_until(by).await;
            return AttemptResult::empty(AttemptOutcome::ConnectFailed);
        }
        sleep(connect).await;
        let drains = self.checker.draining.borrow().contains_key(&node);
        let late = permit.expired(Instant::now()).is_some() && self.way != Way::HeedsNoPermit;
        if late || drains && self.way != Way::HeedsNoDrain {
            return AttemptResult::empty(AttemptOutcome::NotSent);
        }
        self.checker.first_byte(&envelope.id, node, Instant::now());
        let outlives = (self.way == Way::OutlivesItsEnd).then(|| draws.millis(300));
        let (checker, id, permit) = (self.checker.clone(), envelope.id.clone(), permit.clone());
        let out = Out { checker, id, node, began, permit: permit.clone(), outlives };
        permit.written.set(WriteProgress::Partial);
        if draws.below(12) == 0 {
            return AttemptResult::empty(AttemptOutcome::ConnectFailed);
        }
        sleep(draws.millis(4)).await;
        permit.written.set(WriteProgress::Complete);
        let outcome = match draws.below(10) {
            0 => AttemptOutcome::Error,
            1 => AttemptOutcome::Reset,
            2 => {
                // Turned away unseen.
                permit.written.set(WriteProgress::Partial);
                AttemptOutcome::Rejected
            }
            3 => {
                sleep_until(permit.expires_at).await;
                return AttemptResult::empty(AttemptOutcome::Timeout);
            }
            4..=6 => AttemptOutcome::Ok,
            _ => {
                sleep(draws.millis(900)).await;
                AttemptOutcome::Ok
            }
        };
        sleep(draws.millis(40)).await;
        drop(out);
        AttemptResult::empty(outcome)
    }
}

/// A client that may leave.
#[derive(Debug)]
struct Waits(Rc<Cell<bool>>);

impl Client for Waits {
    fn is_connected(&self) -> bool {
        self.0.get()
    }
}

fn settings() -> SchedulerSettings {
    let class = |deadline, repeat| Class {
        latency_objective_s: 0.2,
        deadline_s: deadline,
        priority_weight: 1.0,
        late_fraction: 0.2,
        idempotency: repeat,
        ordered: false,
    };
    let (read, _) = config::read(peers::SETTINGS.as_bytes()).expect("settings");
    let classes = vec![
        class(1.0, Idempotency::Idempotent),
        class(2.0, Idempotency::WithKey { scope: DeduplicationScope::Shard, window_s: 0.4 }),
        class(2.0, Idempotency::WithKey { scope: DeduplicationScope::AllNodes, window_s: 0.7 }),
        class(1.5, Idempotency::NotIdempotent),
    ];
    SchedulerSettings { classes, plans: vec![], ..read }
}

/// One day of two nodes and some clients, by a seed; the checker that watched it.
fn day(way: Way, seed: u64) -> Rc<Checker> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let (draws, checker, settings) = (Draws::new(seed), Rc::new(Checker::default()), settings());
        let counters = Counters::new(&["a".into(), "b".into(), "c".into(), "d".into()]);
        let dispatcher =
            Dispatcher::new(settings.clone(), seed, Clock::start(), counters.clone()).expect("served");
        let keeper = dispatcher.clone();
        spawn_local(async move { keeper.run_timers().await });
        let wire = Rc::new(Wire { way, draws: Draws::new(seed ^ 0x55), checker: checker.clone() });
        let node = |number: u64, state| Endpoint {
            node: NodeId(number),
            shard: ShardId(number as u32 % 2),
            started_at: 0.0,
            zone: ZoneId(0),
            state,
        };
        let ready = [1, 2].map(|number| node(number, NodeState::Ready)).to_vec();
        dispatcher.notify(&[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: ready }]);
        let began = Instant::now();
        let end = began + Duration::from_millis(1500) + draws.millis(2500);
        let mut tasks = Vec::new();
        for number in 0..8 + draws.below(12) {
            // What comes later finds no head.
            let (at, class) = ((began + draws.millis(3000)).min(end), draws.below(4) as usize);
            let wait = Duration::from_secs_f64(settings.classes[class].deadline_s)
                .mul_f64(0.2 + 0.8 * draws.below(100) as f64 / 100.0);
            let leaves = (draws.below(3) == 0).then(|| draws.millis(1200));
            // What a front takes to notice.
            let notices = draws.millis(250);
            let id = Bytes::from(format!("{number:016x}"));
            let (repeat, shard) = (settings.classes[class].idempotency, draws.below(2) as u32);
            let (dispatcher, wire, checker, counters) =
                (dispatcher.clone(), wire.clone(), checker.clone(), counters.clone());
            tasks.push(spawn_local(async move {
                sleep_until(at).await;
                if at >= end {
                    return;
                }
                let (deadline, left) = (at + wait, leaves.map(|after| at + after));
                let record = Record { repeat: Some(repeat), deadline: Some(deadline), ..Record::default() };
                checker.records.borrow_mut().insert(id.clone(), record);
                let waits = Rc::new(Cell::new(true));
                let envelope = NodeRequest {
                    operation: Operation::Write,
                    target: "/a/1/2".into(),
                    id: id.clone(),
                    idempotency_key: None,
                    payload: Payload::Buffered(Bytes::new()),
                };
                let call = Call {
                    class: ClassId(class),
                    plan: PlanId(0),
                    volume: VolumeId(1),
                    extent: None,
                    shard: Some(ShardId(shard)),
                    units: 1.0,
                    heads: 1,
                    client_retry: false,
                    deadline,
                    client: Some(Rc::new(Waits(waits.clone()))),
                    node_request: Rc::new(envelope),
                };
                let gone = async {
                    let Some(left) = left else { return std::future::pending().await };
                    sleep_until(left).await;
                    waits.set(false);
                    if let Some(record) = checker.records.borrow_mut().get_mut(&id) {
                        record.left = Some(left);
                    }
                    sleep(notices).await;
                };
                let flight = counters.track_request(ClassId(class));
                let answer = tokio::select! {
                    biased;
                    () = gone => None,
                    answer = dispatcher.serve(&*wire, call, flight) => Some(answer),
                };
                let word = match answer {
                    None => return,
                    Some(Answer::Served(_, flight)) => {
                        flight.finish(FinalOutcome::Served);
                        "served"
                    }
                    Some(Answer::Rejected { .. }) => "refused",
                    Some(Answer::Failed) => "failed",
                };
                checker.answered(&id, word, Instant::now());
            }));
        }
        for number in [1, 2] {
            let (at, drains) = (began + draws.millis(4000), draws.below(2) == 0);
            let (dispatcher, checker) = (dispatcher.clone(), checker.clone());
            spawn_local(async move {
                sleep_until(at).await;
                if drains {
                    checker.draining.borrow_mut().insert(NodeId(number), at);
                    let nodes = vec![node(number, NodeState::Draining)];
                    dispatcher
                        .notify(&[Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints: nodes }]);
                }
            });
        }
        // Told some time before, as by SIGTERM.
        sleep_until(end - draws.millis(1000)).await;
        checker.end.set(Some(end));
        dispatcher.set_shutdown_deadline(end);
        sleep_until(end + Duration::from_secs(1)).await;
        for task in tasks {
            checker.rule(task.is_finished(), "a request outlives the head");
        }
        checker.at_the_end();
        let in_flight = counters.figures().into_iter().find(|(name, _)| *name == "in_flight");
        checker.rule(in_flight == Some(("in_flight", 0)), "something is still counted as in flight");
        checker
    })
}

/// A way to nodes on which an attempt comes so far and no further; whether one came.
struct Stuck(WriteProgress, Cell<bool>);

impl Transport for Stuck {
    async fn send(&self, _: NodeId, _: &NodeRequest, permit: &Rc<SendPermit>) -> AttemptResult {
        permit.written.set(self.0);
        self.1.set(true);
        std::future::pending().await
    }
}

/// The head's end comes while an unsafe request's attempt is still connecting, in the middle of writing, or waited for: only
/// what its node had whole may have run, and is no refusal.
#[test]
fn at_the_end_what_never_was_whole_at_its_node_is_refused() {
    for (written, refused) in
        [(WriteProgress::Nothing, true), (WriteProgress::Partial, true), (WriteProgress::Complete, false)]
    {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        LocalSet::new().block_on(&runtime.expect("a runtime"), async {
            let counters = Rc::new(Counters::default());
            let dispatcher =
                Dispatcher::new(settings(), 1, Clock::start(), counters.clone()).expect("served");
            let (node, shard, zone) = (NodeId(1), ShardId(0), ZoneId(0));
            let node = Endpoint { node, shard, started_at: 0.0, zone, state: NodeState::Ready };
            dispatcher.notify(&[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: vec![node] }]);
            let (now, keeper) = (Instant::now(), dispatcher.clone());
            spawn_local(async move { keeper.run_timers().await });
            dispatcher.set_shutdown_deadline(now + Duration::from_millis(500));
            let payload = Payload::Buffered(Bytes::new());
            let (verb, target, id) = (Operation::Write, "/d/1/2".into(), Bytes::from_static(b"1"));
            let envelope =
                Rc::new(NodeRequest { operation: verb, target, id, idempotency_key: None, payload });
            let call = Call {
                class: ClassId(3),
                plan: PlanId(0),
                volume: VolumeId(1),
                extent: None,
                shard: Some(ShardId(0)),
                units: 1.0,
                heads: 1,
                client_retry: false,
                deadline: now + Duration::from_secs(1),
                client: None,
                node_request: envelope,
            };
            let stuck = Stuck(written, Cell::new(false));
            let answer = dispatcher.serve(&stuck, call, counters.track_request(ClassId(3))).await;
            assert!(stuck.1.get(), "there was an attempt");
            assert_eq!(matches!(answer, Answer::Rejected { .. }), refused, "{written:?}: {answer:?}");
            assert!(now.elapsed() < Duration::from_millis(550), "{:?}", now.elapsed());
        });
    }
}

const SEEDS: u64 = 5000;

#[test]
fn the_rules_hold_in_every_order_of_requests_answers_drains_leaving_and_the_end() {
    let (mut sent, mut further) = (0, 0);
    for seed in 1..=SEEDS {
        let checker = day(Way::Sound, seed);
        assert!(checker.broken.borrow().is_empty(), "seed {seed}: {:?}", checker.broken.borrow());
        sent += checker.first_bytes.get();
        further += checker.further.get();
    }
    assert!(sent > 10 * SEEDS as u32 / 2 && further > SEEDS as u32 / 4, "{sent} sent, {further} again");
}

#[test]
fn the_checker_finds_a_way_to_the_nodes_that_is_broken() {
    let found = |way, words: &[&str]| {
        let all: Vec<String> =
            (1..=SEEDS / 10).flat_map(|seed| day(way, seed).broken.borrow().clone()).collect();
        for word in words {
            assert!(all.iter().any(|what| what == word), "{way:?}: not once {word:?}");
        }
    };
    let late = [
        "sent on after its client left",
        "sent on past the head's last moment",
        "sent again past its window",
    ];
    found(Way::HeedsNoPermit, &late);
    found(Way::HeedsNoDrain, &["sent to a node that drains"]);
    found(Way::OutlivesItsEnd, &["two attempts of a request are out", "answered with an attempt still out"]);
}
