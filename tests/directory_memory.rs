//! Memory of an endpoint directory with 7,100 nodes, measured as the growth of this process's resident memory over many
//! directories. No other test may run in this process. `cargo test --release --test directory_memory -- --nocapture` prints
//! the figures.

use flaxgap::core::{Clock, Dispatcher};
use flaxgap::discovery::EndpointDirectory;
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap::exclusions::Exclusions;
use flaxgap::metrics::counters::Counters;
use flaxgap::node::{NodeAddress, NodeTransport, NodeTransportSettings};
use flaxgap::resources::descriptors::DescriptorBudget;
use flaxgap::resources::memory::MemoryBudget;
use flaxgap::scheduler::{NodeId, NodeState, UpdateKind};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::{EndpointList, Entry, NodeState as ListedState};
use flaxgap_membership::{Membership, NodeChange, SourceCursor};
use std::rc::Rc;
use std::time::Duration;

mod peers;

const NODES: usize = 7100;
const COPIES: usize = 50;
/// Maximum number of bytes per node, without the scheduler's share.
const MAX_BYTES_PER_NODE: f64 = 200.0;

/// Returns a complete list with all nodes as ready.
fn complete_list() -> EndpointList {
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

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a size");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") * 1024.0
}

/// Returns the bytes per node that `create` allocates, averaged over many values. The first value is not counted, since it
/// also allocates what all of them share.
fn bytes_per_node<T>(create: impl Fn() -> T) -> f64 {
    let _first = create();
    let before = resident_bytes();
    let copies: Vec<T> = (0..COPIES).map(|_| create()).collect();
    let grown = resident_bytes() - before;
    drop(copies);
    grown / (COPIES * NODES) as f64
}

fn nodes(counters: &Rc<Counters>) -> Rc<NodeTransport> {
    NodeTransport::new(
        DescriptorBudget::new(100, counters.clone()),
        MemoryBudget::new(64),
        counters.clone(),
        NodeTransportSettings { connect_timeout_s: 0.5, node_idle_timeout_s: 15.0, heads: 1 },
    )
}

/// Builds the state that a directory keeps: the membership, and the node addresses of the transport.
fn membership_and_addresses(list: &CompactList) -> (Membership, Rc<NodeTransport>) {
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

/// Builds a directory with its scheduler, as in a running head.
fn directory(list: &CompactList) -> Rc<EndpointDirectory> {
    let (settings, notes) = flaxgap::config::read(peers::SETTINGS.as_bytes()).expect("settings");
    let counters = Counters::new(&notes.class_names);
    let dispatcher = Dispatcher::new(settings, 1, Clock::start(), counters.clone()).expect("served");
    let schedule = PollSchedule::new(4200, 1, SourceKind::LocalAgent, Duration::from_millis(250));
    let (nodes, exclusions) = (nodes(&counters), Rc::new(Exclusions::load(None, "n0")));
    let directory =
        EndpointDirectory::new(dispatcher, nodes, counters, exclusions, vec!["a".into()], schedule);
    directory.apply(list.clone(), &mut SourceCursor::default(), UpdateKind::Changes);
    assert_eq!(directory.gauges()[0], ("bricks_known", NODES));
    directory
}

#[test]
fn a_directory_of_7100_nodes_takes_less_than_200_bytes_per_node() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let list = CompactList::from(complete_list());
        let without_scheduler = bytes_per_node(|| membership_and_addresses(&list));
        println!(
            "membership and addresses: {without_scheduler:.0} bytes per node, {:.2} MB in all",
            without_scheduler * NODES as f64 / 1e6
        );
        let with_scheduler = bytes_per_node(|| directory(&list));
        println!(
            "with the scheduler: {with_scheduler:.0} bytes per node, {:.2} MB in all",
            with_scheduler * NODES as f64 / 1e6
        );
        assert!(without_scheduler < MAX_BYTES_PER_NODE, "{without_scheduler:.0} bytes per node");
    });
}
