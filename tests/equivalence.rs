//! Differential test of the scheduler against its previous implementation (`tests/reference`): both get the same random
//! events in a simulation that carries out their actions, and must return bit-identical actions from each call.

mod common;
#[path = "equivalence/pair.rs"]
mod pair;
#[path = "equivalence/random_inputs.rs"]
mod random_inputs;
mod reference;
#[path = "equivalence/world.rs"]
mod world;

use common::{node, request};
use flaxgap::scheduler::{Endpoint, Event, IoRequest, ShardId, UpdateKind};
use pair::Pair;
use world::{Coverage, RunSize, World};

/// Many short runs with few nodes, which together cover every kind of event often.
#[test]
fn thousands_of_short_runs_decide_as_the_reference() {
    let mut coverage = Coverage::default();
    for seed in 0..6000 {
        let size = RunSize { nodes: 1 + (seed % 12) as u32, steps: 120, requests: 3 };
        coverage.add(&World::new(seed, size).run());
    }
    println!("{coverage:?}");
    assert!(coverage.rarest() >= 100, "a kind of action or change occurred too rarely: {coverage:?}");
}

/// Long runs, in which many requests are pending at once.
#[test]
fn long_runs_decide_as_the_reference() {
    for seed in 0..12 {
        World::new(10_000 + seed, RunSize { nodes: 60, steps: 1500, requests: 6 }).run();
    }
}

/// Runs with as many nodes as the largest deployments.
#[test]
fn runs_with_thousands_of_nodes_decide_as_the_reference() {
    for (seed, nodes) in [(20_000, 1024), (20_001, 2048), (20_002, 7100)] {
        World::new(seed, RunSize { nodes, steps: 150, requests: 8 }).run();
    }
}

/// Guards against a shard whose state is compacted while it is idle and restored differently when the next request uses
/// it.
#[test]
fn the_first_request_to_an_idle_node_is_sent_as_by_the_reference() {
    let nodes: Vec<Endpoint> = (0..7100).map(|shard| node(u64::from(shard), shard)).collect();
    for since in [0.0, 95.0, 99.9] {
        let mut pair = Pair::new(common::settings(), 7, 100.0);
        pair.handle(100.0, &[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: nodes.clone() }]);
        // The node of the requests restarts twice while this head has no work for it.
        for at in [101.0, 103.0] {
            let restarted = Endpoint { started_at: since + at - 101.0, ..nodes[4711].clone() };
            pair.handle(
                at,
                &[Event::EndpointUpdate { kind: UpdateKind::Changes, endpoints: vec![restarted] }],
            );
        }
        let arrival = |id| IoRequest { shard: Some(ShardId(4711)), ..request(id, common::IDEMPOTENT) };
        let mut sent = Vec::new();
        for id in 0..20 {
            let now = 104.0 + f64::from(id) * 0.05;
            sent.extend(common::sent(
                &pair.handle(now, &[Event::RequestArrived(arrival(id)), Event::WakeUp]),
            ));
        }
        assert!(sent.contains(&0), "{sent:?}");
    }
}
