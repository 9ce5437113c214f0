//! What endpoint lists of 7,100 nodes cost one of 4,200 heads: applying an update, applying a complete list, and discovery
//! while nothing changes. `cargo test --release --test large_lists -- --nocapture` prints the figures.

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
use flaxgap::resources::memory::MemoryBudget;
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

/// Returns the entry of the n-th node, at a loopback address that nothing listens on.
fn node_entry(n: usize, state: &str) -> String {
    let address = ([127, 1 + (n >> 16) as u8, (n >> 8) as u8, n as u8], 9).into();
    entry(&format!("s-{n:08x}"), address, n as u32, state)
}

fn entries(state: impl Fn(usize) -> &'static str) -> Vec<String> {
    (0..NODES).map(|n| node_entry(n, state(n))).collect()
}

fn parsed(rev: u64, complete: bool, entries: &[String]) -> CompactList {
    CompactList::parse(list(rev, complete, entries).as_bytes()).expect("a list")
}

/// An endpoint directory with the dispatcher and the node transport that it updates, without a discovery connection.
struct DirectoryUnderTest {
    directory: Rc<EndpointDirectory>,
    nodes: Rc<NodeTransport>,
    counters: Rc<Counters>,
    source: SourceCursor,
}

impl DirectoryUnderTest {
    /// Creates a directory that lists all nodes as ready.
    fn with_all_ready() -> DirectoryUnderTest {
        let (settings, notes) = flaxgap::config::read(SETTINGS.as_bytes()).expect("settings");
        let counters = Counters::new(&notes.class_names);
        let budget = DescriptorBudget::new(100, counters.clone());
        let nodes = NodeTransport::new(
            budget,
            MemoryBudget::new(64),
            counters.clone(),
            NodeTransportSettings { connect_timeout_s: 0.5, node_idle_timeout_s: 15.0, heads: 1 },
        );
        let dispatcher = Dispatcher::new(settings, 1, Clock::start(), counters.clone()).expect("served");
        let schedule = PollSchedule::new(4200, 1, SourceKind::LocalAgent, Duration::from_millis(250));
        let exclusions = Rc::new(Exclusions::load(None, "n0"));
        let zones = vec!["a".into()];
        let directory =
            EndpointDirectory::new(dispatcher, nodes.clone(), counters.clone(), exclusions, zones, schedule);
        let mut directory =
            DirectoryUnderTest { directory, nodes, counters, source: SourceCursor::default() };
        directory.apply(parsed(1, true, &entries(|_| "ready")));
        assert_eq!(directory.known_and_excluded(), (NODES, 0));
        directory
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

    /// Sends an attempt to the n-th node and returns its outcome.
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

/// An update that drains 888 of 7,100 nodes counts as one change and takes effect at once: no attempt after it is sent to
/// a draining node, and the other nodes still get attempts.
#[test]
fn a_drain_of_888_of_7100_nodes_is_one_change_and_takes_effect_at_once() {
    run(async {
        let mut directory = DirectoryUnderTest::with_all_ready();
        let drains: Vec<String> = (0..DRAINED).map(|n| node_entry(n * 7, "draining")).collect();
        let drains = parsed(2, false, &drains);
        let (before, elapsed) = (directory.counters.list_changes.get(), directory.apply(drains));
        println!("an update of {DRAINED} entries: {elapsed:?}");
        assert_eq!(directory.counters.list_changes.get(), before + 1);
        assert_eq!(directory.known_and_excluded(), (NODES, DRAINED));
        for n in 0..DRAINED {
            assert_eq!(directory.attempt(n * 7).await, AttemptOutcome::NotSent, "node {}", n * 7);
        }
        assert_eq!(directory.counters.node_connections.get(), 0, "no connection to a draining node");
        for n in [1, 8, NODES - 1] {
            assert_eq!(directory.attempt(n).await, AttemptOutcome::ConnectFailed, "node {n} gets attempts");
        }
        assert!(elapsed < Duration::from_millis(500), "{elapsed:?}");
    });
}

/// A complete list that repeats the known one, or changes three of its entries, is applied within 200 ms; its changes take
/// effect, and an older list does not undo them.
#[test]
fn complete_lists_of_7100_nodes_are_cheap_if_little_changes() {
    run(async {
        let mut directory = DirectoryUnderTest::with_all_ready();
        let three = |n: usize| if [5, 4000, 7099].contains(&n) { "draining" } else { "ready" };
        let same = directory.apply(parsed(2, true, &entries(|_| "ready")));
        let changed = directory.apply(parsed(3, true, &entries(three)));
        let again = directory.apply(parsed(3, true, &entries(three)));
        println!("a complete list without a change: {same:?}, with three: {changed:?}, repeated: {again:?}");
        assert_eq!(directory.known_and_excluded(), (NODES, 3));
        for (n, outcome) in [
            (5, AttemptOutcome::NotSent),
            (6, AttemptOutcome::ConnectFailed),
            (4000, AttemptOutcome::NotSent),
        ] {
            assert_eq!(directory.attempt(n).await, outcome, "node {n}");
        }
        // A list with an older version does not bring back a node that was removed.
        directory.apply(parsed(4, true, &entries(|_| "ready")[1..]));
        directory.apply(parsed(3, true, &entries(|_| "ready")));
        assert_eq!(directory.known_and_excluded(), (NODES - 1, 0));
        assert_eq!(directory.attempt(0).await, AttemptOutcome::NotSent);
        assert!(same.max(again) < Duration::from_millis(200), "{same:?}, {again:?}");
    });
}

/// Returns the CPU time that the head's process has used so far, in seconds.
fn cpu_seconds(head: &Head) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", head.pid())).expect("its times");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split_whitespace().collect();
    fields[11..13].iter().map(|ticks| ticks.parse::<f64>().expect("ticks")).sum::<f64>() / 100.0
}

/// Cost of discovery per second while the endpoint list does not change; `cpu` is the fraction of one core.
#[derive(Debug)]
struct IdleCost {
    calls: f64,
    messages: f64,
    bytes: f64,
    cpu: f64,
}

/// Measures the cost of discovery over `span`.
fn idle_cost(head: &Head, span: Duration) -> IdleCost {
    let figures = || {
        ["discovery_calls", "discovery_messages", "discovery_bytes_received"].map(|name| head.counter(name))
    };
    let (before, spent_before) = (figures(), cpu_seconds(head));
    thread::sleep(span);
    let (after, spent_after) = (figures(), cpu_seconds(head));
    let [calls, messages, bytes] =
        [0, 1, 2].map(|place| (after[place] - before[place]) as f64 / span.as_secs_f64());
    IdleCost { calls, messages, bytes, cpu: (spent_after - spent_before) / span.as_secs_f64() }
}

/// Starts one of 4,200 heads and the agent that it watches. The agent answers each renewal of the watch with the complete
/// list if `always_complete`, and otherwise with an empty update. `served` is the only node that accepts connections; the
/// agent lists it as ready until `drained` is set, and as draining from then on.
fn head_with_agent(served: &Brick, always_complete: bool, drained: &Arc<AtomicBool>) -> (Agent, Head) {
    let texts = ["ready", "draining"].map(|state| {
        let mut entries = entries(|_| "ready");
        entries[0] = entry("s-served", served.address, 0, state);
        let rev = if state == "ready" { 1 } else { 2 };
        list(rev, true, &entries)
    });
    let drained = drained.clone();
    let agent = Agent::start(move |_, line| match !always_complete && line.contains("follow=1") {
        true => vec![Say::Line(list(1, false, &[]))],
        false => vec![Say::Line(texts[usize::from(drained.load(Ordering::SeqCst))].clone())],
    });
    let text = config_at(agent.address, 1024, "null").replace(r#""n_instances":1"#, r#""n_instances":4200"#);
    let head = Head::start_text(&text, None, &[]);
    (agent, head)
}

/// An agent that answers each renewal of a watch with the complete list of 7,100 nodes costs a head little while nothing
/// changes, and a drain in such a list takes effect within 5 s.
#[test]
fn an_agent_that_answers_with_complete_lists_costs_little_and_its_drains_take_effect() {
    const IDLE_SPAN: Duration = Duration::from_secs(5);
    let read = Client::request("play-fetch", "network", 1, 2.0, 0);
    for always_complete in [false, true] {
        let served = Brick::start(|_, _| Step::Serve(b"ok".to_vec()));
        let drained = Arc::new(AtomicBool::new(false));
        let (_agent, head) = head_with_agent(&served, always_complete, &drained);
        assert_eq!(Client::new(head.http).ask(&read, b"").body, b"ok");
        thread::sleep(Duration::from_millis(500));
        let changes = head.counter("list_changes");
        let idle = idle_cost(&head, IDLE_SPAN);
        println!("idle, always complete lists: {always_complete}: {idle:.3?} a second");
        assert!(idle.calls > 8.0 && idle.messages > 8.0, "the head polls, and the agent answers");
        assert!(idle.bytes < 15e3, "{:.0} bytes a second", idle.bytes);
        // The bound leaves room for a debug build on a busy machine, which uses several times the CPU of a release build.
        assert!(idle.cpu < 0.1, "{:.1}% of a core", idle.cpu * 100.0);
        assert_eq!(head.counter("list_changes"), changes);
        if always_complete {
            drained.store(true, Ordering::SeqCst);
            let drained_at = Instant::now();
            wait(|| (head.counter("list_changes") > changes).then_some(()));
            println!("a drain in a complete list took effect after {:?}", drained_at.elapsed());
            assert_ne!(Client::new(head.http).ask(&read, b"").body, b"ok");
            assert!(drained_at.elapsed() < Duration::from_secs(5), "{:?}", drained_at.elapsed());
        }
    }
}
