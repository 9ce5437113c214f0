//! What a head's view of 7,100 nodes takes of memory: the growth of this process's resident memory over many views, so the
//! one test stands alone in its program. `cargo test --release --test directory_memory -- --nocapture` prints it.

use flaxgap::core::{Clock, Dispatcher};
use flaxgap::discovery::EndpointDirectory;
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap::exclusions::Exclusions;
use flaxgap::metrics::counters::Counters;
use flaxgap::node::{NodeAddress, NodeTransport, NodeTransportSettings};
use flaxgap::resources::descriptors::DescriptorBudget;
use flaxgap::resources::memory::BodyMemory;
use flaxgap::scheduler::{NodeId, NodeState, UpdateKind};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::{EndpointList, Entry, NodeState as ListedState};
use flaxgap_membership::{Membership, NodeChange, SourceCursor};
use std::rc::Rc;
use std::time::Duration;

mod peers;

const NODES: usize = 7100;
const VIEWS: usize = 50;
/// At most so many bytes for each node in a view, the decision module's part apart.
const MOST: f64 = 200.0;

fn whole() -> EndpointList {
    let entry = |n: usize| {
        let address = Some(([127, (n >> 16) as u8, (n >> 8) as u8, n as u8], 80).into());
        let (name, zone) = (format!("s-{n:08x}"), "a".into());
        Entry { name, address, zone, shard: Some(n as u32), state: ListedState::Ready, started_at: 0.0 }
    };
    EndpointList {
        version: 1,
        is_snapshot: true,
        entries: (0..NODES).map(entry).collect(),
        unreadable: vec![],
    }
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") * 1024.0
}

/// Bytes for each node that a view takes, over many views; the first one, which takes what all share, is not counted.
fn bytes_a_node<V>(view: impl Fn() -> V) -> f64 {
    let _first = view();
    let before = resident();
    let views: Vec<V> = (0..VIEWS).map(|_| view()).collect();
    let taken = resident() - before;
    drop(views);
    taken / (VIEWS * NODES) as f64
}

fn nodes(counters: &Rc<Counters>) -> Rc<NodeTransport> {
    NodeTransport::new(
        DescriptorBudget::new(100, counters.clone()),
        BodyMemory::new(64),
        counters.clone(),
        NodeTransportSettings { connect_timeout_s: 0.5, node_idle_timeout_s: 15.0, heads: 1 },
    )
}

/// What the directory keeps: membership, and the places that the transport knows.
fn membership_and_places(list: &CompactList) -> (Membership, Rc<NodeTransport>) {
    let counters = Counters::new(&[]);
    let (nodes, mut membership) = (nodes(&counters), Membership::default());
    for change in membership.apply(list, &mut SourceCursor::default(), 1.0) {
        let NodeChange::Updated { node, .. } = change else { panic!("{change:?}") };
        let address = node.address.expect("an address");
        nodes.set_address(
            NodeId(u64::from(node.id)),
            NodeAddress { name: node.name, address, state: NodeState::Ready },
        );
    }
    (membership, nodes)
}

/// The same with the decision module, as a head has it.
fn directory(list: &CompactList) -> Rc<EndpointDirectory> {
    let (settings, notes) = flaxgap::config::read(peers::SETTINGS.as_bytes()).expect("settings");
    let counters = Counters::new(&notes.class_names);
    let dispatcher = Dispatcher::new(settings, 1, Clock::start(), counters.clone()).expect("served");
    let schedule = PollSchedule::new(4200, 1, SourceKind::LocalAgent, Duration::from_millis(250));
    let (nodes, bans) = (nodes(&counters), Rc::new(Exclusions::load(None, "n0")));
    let directory = EndpointDirectory::new(dispatcher, nodes, counters, bans, vec!["a".into()], schedule);
    directory.apply(list.clone(), &mut SourceCursor::default(), UpdateKind::Changes);
    assert_eq!(directory.gauges()[0], ("bricks_known", NODES));
    directory
}

#[test]
fn a_view_of_7100_nodes_takes_less_than_200_bytes_for_each() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let list = CompactList::from(whole());
        let own = bytes_a_node(|| membership_and_places(&list));
        println!("membership and places: {own:.0} bytes a node, {:.2} MB a view", own * NODES as f64 / 1e6);
        let all = bytes_a_node(|| directory(&list));
        println!(
            "with the decision module: {all:.0} bytes a node, {:.2} MB a view",
            all * NODES as f64 / 1e6
        );
        assert!(own < MOST, "{own:.0} bytes a node");
    });
}
