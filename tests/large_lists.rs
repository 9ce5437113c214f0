//! A head among 4,200 before 7,100 nodes: what a change, a whole list and an idle second of control cost it.
//! `cargo test --release --test large_lists -- --nocapture` prints the figures.

mod peers;
use peers::*;

use flaxgap::core::content::Payload;
use flaxgap::core::{Clock, Dispatcher, NodeRequest, Operation, SendPermit, Transport};
use flaxgap::discovery::EndpointDirectory;
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap::exclusions::Exclusions;
use flaxgap::metrics::counters::Counters;
use flaxgap::node::{NodeTransport, NodeTransportSettings};
use flaxgap::resources::descriptors::DescriptorBudget;
use flaxgap::resources::memory::BodyMemory;
use flaxgap::scheduler::{AttemptOutcome, NodeId, UpdateKind};
use flaxgap_membership::SourceCursor;
use flaxgap_membership::compact::CompactList;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 7100;
const DRAINED: usize = 888;

/// Nodes that nothing listens at.
fn node_entry(n: usize, state: &str) -> String {
    let address = ([127, 1 + (n >> 16) as u8, (n >> 8) as u8, n as u8], 9).into();
    entry(&format!("s-{n:08x}"), address, n as u32, state)
}

fn entries(state: impl Fn(usize) -> &'static str) -> Vec<String> {
    (0..NODES).map(|n| node_entry(n, state(n))).collect()
}

fn parsed(rev: u64, all: bool, entries: &[String]) -> CompactList {
    CompactList::parse(list(rev, all, entries).as_bytes()).expect("a list")
}

/// A directory with the core and the transport that it feeds, without a socket.
struct View {
    directory: Rc<EndpointDirectory>,
    nodes: Rc<NodeTransport>,
    counters: Rc<Counters>,
    source: SourceCursor,
}

impl View {
    /// One that holds all nodes as ready.
    fn full() -> View {
        let (settings, notes) = flaxgap::config::read(SETTINGS.as_bytes()).expect("settings");
        let counters = Counters::new(&notes.class_names);
        let budget = DescriptorBudget::new(100, counters.clone());
        let nodes = NodeTransport::new(
            budget,
            BodyMemory::new(64),
            counters.clone(),
            NodeTransportSettings { connect_timeout_s: 0.5, node_idle_timeout_s: 15.0, heads: 1 },
        );
        let dispatcher = Dispatcher::new(settings, 1, Clock::start(), counters.clone()).expect("served");
        let schedule = PollSchedule::new(4200, 1, SourceKind::LocalAgent, Duration::from_millis(250));
        let bans = Rc::new(Exclusions::load(None, "n0"));
        let zones = vec!["a".into()];
        let directory =
            EndpointDirectory::new(dispatcher, nodes.clone(), counters.clone(), bans, zones, schedule);
        let mut view = View { directory, nodes, counters, source: SourceCursor::default() };
        view.apply(parsed(1, true, &entries(|_| "ready")));
        assert_eq!(view.known_and_excluded(), (NODES, 0));
        view
    }

    fn apply(&mut self, list: CompactList) -> Duration {
        let began = Instant::now();
        self.directory.apply(list, &mut self.source, UpdateKind::Changes);
        began.elapsed()
    }

    fn known_and_excluded(&self) -> (usize, usize) {
        let gauges = self.directory.gauges();
        (gauges[0].1, gauges[1].1)
    }

    /// How an attempt at the n-th node ends that is made now.
    async fn attempt(&self, n: usize) -> AttemptOutcome {
        let envelope = NodeRequest {
            operation: Operation::Read,
            target: "/play-fetch/1/2".into(),
            id: "1".into(),
            idempotency_key: None,
            payload: Payload::Buffered(Default::default()),
        };
        let until = tokio::time::Instant::now() + Duration::from_secs(5);
        self.nodes.send(NodeId(n as u64), &envelope, &Rc::new(SendPermit::expiring_at(until))).await.outcome
    }
}

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(test);
}

/// Given 7,100 nodes, when 888 of them drain in one list of changes, then that is one change, and no attempt that is made
/// right after it begins at any of them, while the others are tried as before.
#[test]
fn a_drain_of_888_of_7100_nodes_is_one_change_and_holds_at_once() {
    run(async {
        let mut view = View::full();
        let drains: Vec<String> = (0..DRAINED).map(|n| node_entry(n * 7, "draining")).collect();
        let drains = parsed(2, false, &drains);
        let (before, span) = (view.counters.list_changes.get(), view.apply(drains));
        println!("a change of {DRAINED} entries: {span:?}");
        assert_eq!(view.counters.list_changes.get(), before + 1);
        assert_eq!(view.known_and_excluded(), (NODES, DRAINED));
        for n in 0..DRAINED {
            assert_eq!(view.attempt(n * 7).await, AttemptOutcome::NotSent, "node {}", n * 7);
        }
        assert_eq!(view.counters.node_connections.get(), 0, "no connection was made to any of them");
        for n in [1, 8, NODES - 1] {
            assert_eq!(view.attempt(n).await, AttemptOutcome::ConnectFailed, "node {n} is tried");
        }
        assert!(span < Duration::from_millis(500), "{span:?}");
    });
}

/// Given the whole list again, the same or with three changes, then what has changed is in force, and a list without a
/// change costs less than the first one did.
#[test]
fn whole_lists_of_7100_nodes_cost_by_what_they_change() {
    run(async {
        let mut view = View::full();
        let three = |n: usize| if [5, 4000, 7099].contains(&n) { "draining" } else { "ready" };
        let same = view.apply(parsed(2, true, &entries(|_| "ready")));
        let changed = view.apply(parsed(3, true, &entries(three)));
        let again = view.apply(parsed(3, true, &entries(three)));
        println!("a whole list without a change: {same:?}, with three: {changed:?}, that again: {again:?}");
        assert_eq!(view.known_and_excluded(), (NODES, 3));
        for (n, outcome) in [
            (5, AttemptOutcome::NotSent),
            (6, AttemptOutcome::ConnectFailed),
            (4000, AttemptOutcome::NotSent),
        ] {
            assert_eq!(view.attempt(n).await, outcome, "node {n}");
        }
        // What left does not come back by the older list.
        view.apply(parsed(4, true, &entries(|_| "ready")[1..]));
        view.apply(parsed(3, true, &entries(|_| "ready")));
        assert_eq!(view.known_and_excluded(), (NODES - 1, 0));
        assert_eq!(view.attempt(0).await, AttemptOutcome::NotSent);
        assert!(same.max(again) < Duration::from_millis(200), "{same:?}, {again:?}");
    });
}

/// Processor time of a process so far, in seconds.
fn spent(head: &Head) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", head.pid())).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
    fields[11..13].iter().map(|ticks| ticks.parse::<f64>().expect("ticks")).sum::<f64>() / 100.0
}

/// What control cost a head in a span of time in which nothing changed, for each second of it.
#[derive(Debug)]
struct Idle {
    calls: f64,
    messages: f64,
    bytes: f64,
    load: f64,
}

fn idle(head: &Head, span: Duration) -> Idle {
    let figures = || {
        ["discovery_calls", "discovery_messages", "discovery_bytes_received"].map(|name| head.counter(name))
    };
    let (before, spent_before) = (figures(), spent(head));
    thread::sleep(span);
    let (after, spent_after) = (figures(), spent(head));
    let [calls, messages, bytes] =
        [0, 1, 2].map(|place| (after[place] - before[place]) as f64 / span.as_secs_f64());
    Idle { calls, messages, bytes, load: (spent_after - spent_before) / span.as_secs_f64() }
}

/// A head of 4,200 whose agent answers watches with the whole list, or with changes; and the address of its one node that
/// serves. The agent has all nodes as ready until `drained`, and the one that serves as draining from then on.
fn head_before(served: &Brick, whole: bool, drained: &Arc<AtomicBool>) -> (Agent, Head) {
    let texts = ["ready", "draining"].map(|state| {
        let mut entries = entries(|_| "ready");
        entries[0] = entry("s-served", served.address, 0, state);
        let rev = if state == "ready" { 1 } else { 2 };
        list(rev, true, &entries)
    });
    let drained = drained.clone();
    let agent = Agent::start(move |_, line| match !whole && line.contains("follow=1") {
        true => vec![Say::Line(list(1, false, &[]))],
        false => vec![Say::Line(texts[usize::from(drained.load(Ordering::SeqCst))].clone())],
    });
    let text = config_at(agent.address, 1024, "null").replace(r#""n_instances":1"#, r#""n_instances":4200"#);
    let head = Head::start_text(&text, None, &[]);
    (agent, head)
}

/// Given an agent that answers each watch with the whole list of 7,100 nodes, when nothing changes, then control costs
/// little; when one node drains, then that is in force soon after the next renewal.
#[test]
fn an_agent_that_answers_with_whole_lists_costs_little_and_is_heard() {
    const IDLE: Duration = Duration::from_secs(5);
    let read = Client::request("play-fetch", "network", 1, 2.0, 0);
    for whole in [false, true] {
        let served = Brick::start(|_, _| Step::Serve(b"ok".to_vec()));
        let drained = Arc::new(AtomicBool::new(false));
        let (_agent, head) = head_before(&served, whole, &drained);
        assert_eq!(Client::new(head.http).ask(&read, b"").body, b"ok");
        thread::sleep(Duration::from_millis(500));
        let changes = head.counter("list_changes");
        let idle = idle(&head, IDLE);
        println!("idle, whole lists: {whole}: {idle:.3?} a second");
        assert!(idle.calls > 8.0 && idle.messages > 8.0, "it asks, and hears its agent");
        assert!(idle.bytes < 15e3, "{:.0} bytes a second", idle.bytes);
        // A debug build on a busy machine takes several times what a release takes.
        assert!(idle.load < 0.1, "{:.1}% of a core", idle.load * 100.0);
        assert_eq!(head.counter("list_changes"), changes);
        if whole {
            drained.store(true, Ordering::SeqCst);
            let told = Instant::now();
            wait(|| (head.counter("list_changes") > changes).then_some(()));
            println!("a drain in a whole list: in force after {:?}", told.elapsed());
            assert_ne!(Client::new(head.http).ask(&read, b"").body, b"ok");
            assert!(told.elapsed() < Duration::from_secs(5), "{:?}", told.elapsed());
        }
    }
}
