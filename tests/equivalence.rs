//! The decision module and the one before it (`tests/reference`) decide alike: the same events, drawn at random and
//! answered by what the modules arrival for, go through both, and each call's actions have to be equal bit for bit.

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
use world::{RunSize, Seen, World};

/// Short runs of a head with few nodes, so that each meets many events of every kind.
#[test]
fn thousands_of_short_runs_decide_as_the_reference() {
    let mut seen = Seen::default();
    for seed in 0..6000 {
        let size = RunSize { nodes: 1 + (seed % 12) as u32, steps: 120, requests: 3 };
        seen.add(&World::new(seed, size).play());
    }
    println!("{seen:?}");
    assert!(seen.rarest() >= 100, "each kind of action and of change has to be met: {seen:?}");
}

/// Long runs, in which much is pending.
#[test]
fn long_runs_decide_as_the_reference() {
    for seed in 0..12 {
        World::new(10_000 + seed, RunSize { nodes: 60, steps: 1500, requests: 6 }).play();
    }
}

/// Runs at the size of a whole fleet.
#[test]
fn runs_with_thousands_of_nodes_decide_as_the_reference() {
    for (seed, nodes) in [(20_000, 1024), (20_001, 2048), (20_002, 7100)] {
        World::new(seed, RunSize { nodes, steps: 150, requests: 8 }).play();
    }
}

/// Guards against a shard that is made small while nothing goes to it and comes back as another.
#[test]
fn the_first_request_for_an_unused_node_goes_as_in_the_reference() {
    let nodes: Vec<Endpoint> = (0..7100).map(|shard| node(u64::from(shard), shard)).collect();
    for since in [0.0, 95.0, 99.9] {
        let mut pair = Pair::new(common::settings(), 7, 100.0);
        pair.handle(100.0, &[Event::EndpointUpdate { kind: UpdateKind::Snapshot, endpoints: nodes.clone() }]);
        // The node that the request is for starts again, twice, while nothing is due to this head there.
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
