//! Tests of the shard table: the serving node, the state of used shards, and the shards that an update affects.

use flaxgap_shard_table::{
    Endpoint, NodeId, NodeState, ServingNode, Shard, ShardId, ShardTable, UpdateKind, ZoneId,
};

/// The state of a used shard in these tests: records the serving nodes that the shard was notified of.
#[derive(Debug, Default)]
struct State {
    notified: Vec<ServingNode>,
}

fn node(node: u64, shard: u32, state: NodeState) -> Endpoint {
    Endpoint { node: NodeId(node), shard: ShardId(shard), started_at: 0.0, zone: ZoneId(0), state }
}

fn ready(shards: std::ops::Range<u32>) -> Vec<Endpoint> {
    shards.map(|shard| node(u64::from(shard), shard, NodeState::Ready)).collect()
}

/// Selects the first ready node.
fn select(nodes: &[Endpoint]) -> Option<&Endpoint> {
    nodes.iter().find(|endpoint| endpoint.state == NodeState::Ready)
}

fn update(table: &mut ShardTable<State>, kind: UpdateKind, nodes: &[Endpoint], now: f64) {
    table.apply_update(kind, nodes, now, select, |state, serving_node| {
        state.notified.push(serving_node.clone());
    });
}

fn serving(table: &ShardTable<State>, shard: u32) -> Option<NodeId> {
    Some(table.get(ShardId(shard))?.serving_node().endpoint?.node)
}

fn served(table: &ShardTable<State>) -> Vec<u32> {
    table.served_shards().iter().map(|shard| shard.0).collect()
}

#[test]
fn a_node_that_is_draining_gone_or_replaced_does_not_serve() {
    let mut table = ShardTable::default();
    update(&mut table, UpdateKind::Snapshot, &ready(0..3), 1.0);
    assert_eq!(served(&table), [0, 1, 2]);
    let changes =
        [node(0, 0, NodeState::Draining), node(1, 1, NodeState::Gone), node(9, 1, NodeState::Ready)];
    update(&mut table, UpdateKind::Changes, &changes, 2.0);
    assert_eq!([0, 1, 2].map(|shard| serving(&table, shard)), [None, Some(NodeId(9)), Some(NodeId(2))]);
    assert_eq!(served(&table), [1, 2]);
    update(&mut table, UpdateKind::CachedSnapshot, &ready(2..4), 3.0);
    assert_eq!(served(&table), [2, 3], "shards missing from a snapshot are no longer served");
    update(&mut table, UpdateKind::PollFailed, &[], 4.0);
    assert_eq!(served(&table), [2, 3]);
    assert_eq!(table.first_shard(), Some(ShardId(0)), "the table keeps shards without nodes");
}

#[test]
fn the_epoch_advances_when_the_node_changes_or_restarts() {
    let mut table = ShardTable::<State>::default();
    let started = |started_at| Endpoint { started_at, ..node(5, 0, NodeState::Ready) };
    let in_other_zone = Endpoint { zone: ZoneId(2), ..started(7.0) };
    let entries = [started(0.0), started(0.0), started(7.0), in_other_zone, node(5, 0, NodeState::Gone)];
    let mut seen = Vec::new();
    for (now, entry) in entries.iter().enumerate() {
        update(&mut table, UpdateKind::Changes, std::slice::from_ref(entry), now as f64);
        let serving_node = table.get(ShardId(0)).expect("known").serving_node();
        seen.push((serving_node.epoch, serving_node.changed_at, serving_node.zone()));
        assert_eq!(serving_node.shard_known_at, 0.0);
    }
    let (zone_0, zone_2) = (Some(ZoneId(0)), Some(ZoneId(2)));
    assert_eq!(
        seen,
        [(1, 0.0, zone_0), (1, 0.0, zone_0), (2, 2.0, zone_0), (2, 2.0, zone_2), (3, 4.0, None)]
    );
}

/// Guards against a state that misses changes of its shard before or after the shard's first use.
#[test]
fn state_is_created_at_first_use_and_notified_of_later_changes() {
    let mut table = ShardTable::default();
    update(&mut table, UpdateKind::Snapshot, &ready(0..2), 1.0);
    update(&mut table, UpdateKind::Changes, &[node(0, 0, NodeState::Draining)], 2.0);
    assert_eq!(table.states().count(), 0);
    let state = table.state_or_insert(ShardId(0), 3.0, |serving_node| State { notified: vec![serving_node] });
    assert_eq!(
        (state.notified[0].epoch, state.notified[0].changed_at, state.notified[0].shard_known_at),
        (2, 2.0, 1.0)
    );
    update(&mut table, UpdateKind::Changes, &[node(7, 0, NodeState::Ready)], 4.0);
    update(&mut table, UpdateKind::Changes, &[node(8, 1, NodeState::Ready)], 5.0);
    let state = table.state(ShardId(0)).expect("used");
    assert_eq!(state.notified.iter().map(|serving_node| serving_node.epoch).collect::<Vec<_>>(), [2, 3]);
    assert_eq!(table.states().count(), 1);
    let unlisted =
        table.state_or_insert(ShardId(77), 6.0, |serving_node| State { notified: vec![serving_node] });
    assert_eq!((unlisted.notified[0].epoch, unlisted.notified[0].shard_known_at), (0, 6.0));
}

/// Guards against updates whose cost depends on the number of nodes: only the shards of changed entries are touched.
#[test]
fn an_update_affects_only_the_shards_of_its_entries() {
    let mut table = ShardTable::<State>::default();
    let mut touched = 0;
    let mut count = |table: &mut ShardTable<State>, kind, nodes: &[Endpoint]| {
        let notify = |_: &mut State, _: &ServingNode| ();
        table.apply_update(
            kind,
            nodes,
            0.0,
            |nodes| {
                touched += 1;
                select(nodes)
            },
            notify,
        );
        std::mem::take(&mut touched)
    };
    assert_eq!(count(&mut table, UpdateKind::Snapshot, &ready(0..7100)), 7100);
    let gone = |shard: u32| node(u64::from(shard), shard, NodeState::Gone);
    assert_eq!(
        count(&mut table, UpdateKind::Changes, &(0..888).map(|at| gone(at * 8)).collect::<Vec<_>>()),
        888
    );
    assert_eq!(table.served_shards().len(), 7100 - 888);
    assert_eq!(count(&mut table, UpdateKind::Changes, &[gone(1), gone(1), gone(3)]), 2);
    assert_eq!(count(&mut table, UpdateKind::PollFailed, &[]), 0);
}

#[test]
fn served_shards_stay_sorted_across_updates_of_any_size() {
    let mut table = ShardTable::default();
    let mut shuffled = ready(0..200);
    shuffled.sort_by_key(|endpoint| endpoint.node.0 * 7919 % 211);
    update(&mut table, UpdateKind::Snapshot, &shuffled, 0.0);
    assert_eq!(served(&table), (0..200).collect::<Vec<_>>());
    for step in [1, 3, 40] {
        let some = |state| (0..200).step_by(step).map(|shard| node(u64::from(shard), shard, state)).collect();
        let (gone, back): (Vec<_>, Vec<_>) = (some(NodeState::Gone), some(NodeState::Ready));
        update(&mut table, UpdateKind::Changes, &gone, 1.0);
        assert_eq!(served(&table), (0..200).filter(|shard| shard % step as u32 != 0).collect::<Vec<_>>());
        update(&mut table, UpdateKind::Changes, &back, 2.0);
        assert_eq!(served(&table), (0..200).collect::<Vec<_>>());
    }
    assert_eq!(
        [0.0, 0.5, 0.999].map(|fraction| table.served_shard_at(fraction)),
        [0, 100, 199].map(|shard| Some(ShardId(shard)))
    );
    update(&mut table, UpdateKind::Snapshot, &[], 3.0);
    assert_eq!(table.served_shard_at(0.5), None);
}

#[test]
fn retain_in_index_keeps_the_used_shards_that_the_handler_selects() {
    let mut table = ShardTable::default();
    update(&mut table, UpdateKind::Snapshot, &ready(0..9), 0.0);
    for shard in [2, 5, 7] {
        table.state_or_insert(ShardId(shard), 0.0, |_| State::default());
    }
    let mut index = [7, 2, 3].map(ShardId).into();
    let mut seen = 0;
    table.retain_in_index(&mut index, |_| {
        seen += 1;
        seen == 2
    });
    assert_eq!((seen, index), (2, [ShardId(7)].into()));
}

/// Guards against growth of the record of an unused shard. Tests run thousands of heads, each with thousands of nodes,
/// in a single process.
#[test]
fn an_unused_shard_is_small() {
    assert!(size_of::<Shard<State>>() <= 64, "{} bytes", size_of::<Shard<State>>());
}
