//! Membership keeps compact records and notes once what a whole list says of all that it lacks. It must hold the same nodes
//! as the plainest form of its rules does, after every list of any history.

mod eager;

use eager::{EagerMembership, EagerSource};
use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, Membership, SourceCursor};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const LISTS: usize = 150;
const SEEDS: u64 = 1500;

/// What is known of a node from outside, without what only an eager table tells of an entry that changed nothing.
type Known = BTreeMap<String, (NodeState, Option<std::net::SocketAddr>, Option<u32>)>;

fn apply(known: &mut Known, changes: Vec<EntryChange>) {
    for change in changes {
        match change {
            EntryChange::Removed(name) => _ = known.remove(&name),
            EntryChange::Updated(entry) => {
                let before = known.get(&entry.name).copied();
                let address = entry.address.or(before.and_then(|before| before.1));
                let shard = entry.shard.or(before.and_then(|before| before.2)).or(Some(0));
                known.insert(entry.name, (entry.state, address, shard));
            }
        }
    }
}

fn draw_entry(chance: &mut ChaCha8Rng, now: f64) -> Entry {
    let state = match chance.random_range(0..6) {
        0..3 => NodeState::Ready,
        3..5 => NodeState::Draining,
        _ => NodeState::Gone,
    };
    let ready = state == NodeState::Ready;
    let address =
        (ready || chance.random_bool(0.5)).then(|| ([127, 0, 0, chance.random_range(1..3)], 80).into());
    let shard = (ready || chance.random_bool(0.5)).then(|| chance.random_range(0..3));
    let boot = if chance.random_bool(0.5) { 0.0 } else { now - chance.random_range(-1.0..10.0) };
    let name = format!("s-{}", chance.random_range(0..12));
    Entry { name, address, zone: String::new(), shard, state, started_at: boot }
}

/// Guards against a record that is read other than the last list left it: lists whole and partial, versions that repeat,
/// go back and are counted anew, from two sources.
#[test]
fn any_history_leaves_the_nodes_that_the_plainest_rules_leave() {
    for seed in 0..SEEDS {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let (mut compact, mut eager) = (Membership::default(), EagerMembership::default());
        let mut sources: [(SourceCursor, EagerSource); 2] = Default::default();
        let (mut known, mut expected) = (Known::new(), Known::new());
        let (mut now, mut version) = (100.0, 20);
        for step in 0..LISTS {
            now += if chance.random_bool(0.05) { 6.0 } else { chance.random_range(0.0..1.0) };
            version += u64::from(chance.random_bool(0.5));
            let back = if chance.random_bool(0.3) { chance.random_range(0..6) } else { 0 };
            let entries = (0..chance.random_range(0..8)).map(|_| draw_entry(&mut chance, now)).collect();
            let list = EndpointList {
                version: version.saturating_sub(back),
                is_snapshot: chance.random_bool(0.4),
                entries,
                unreadable: vec![],
            };
            if chance.random_bool(0.01) {
                version = 1;
            }
            let (source, eager_source) = &mut sources[usize::from(chance.random_bool(0.3))];
            apply(&mut known, compact.apply_named(list.clone(), source, now));
            apply(&mut expected, eager.take(list, eager_source, now));
            assert_eq!(known, expected, "seed {seed}, list {step}");
        }
    }
}
