//! Compares `Membership` with a reference implementation. `Membership` stores compact records, and confirms earlier
//! removals once per complete list instead of in each record. After every list of a random history, both must have the
//! same nodes.

mod reference;

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, Membership, SourceCursor};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reference::{ReferenceMembership, ReferenceSource};
use std::collections::BTreeMap;

/// Lists per random history.
const LISTS: usize = 150;
/// Number of random histories.
const SEEDS: u64 = 1500;

/// State, address and shard of each listed node by name, according to the reported changes. The reference also reports
/// entries without a change; applying these has no effect.
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

fn random_entry(rng: &mut ChaCha8Rng, now: f64) -> Entry {
    let state = match rng.random_range(0..6) {
        0..3 => NodeState::Ready,
        3..5 => NodeState::Draining,
        _ => NodeState::Gone,
    };
    let ready = state == NodeState::Ready;
    let address = (ready || rng.random_bool(0.5)).then(|| ([127, 0, 0, rng.random_range(1..3)], 80).into());
    let shard = (ready || rng.random_bool(0.5)).then(|| rng.random_range(0..3));
    let started_at = if rng.random_bool(0.5) { 0.0 } else { now - rng.random_range(-1.0..10.0) };
    let name = format!("s-{}", rng.random_range(0..12));
    Entry { name, address, zone: String::new(), shard, state, started_at }
}

/// Applies random complete and partial lists from two sources, whose versions repeat, go back and restart.
#[test]
fn membership_agrees_with_the_reference_after_any_history() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut compact, mut reference) = (Membership::default(), ReferenceMembership::default());
        let mut sources: [(SourceCursor, ReferenceSource); 2] = Default::default();
        let (mut known, mut expected) = (Known::new(), Known::new());
        let (mut now, mut version) = (100.0, 20);
        for step in 0..LISTS {
            now += if rng.random_bool(0.05) { 6.0 } else { rng.random_range(0.0..1.0) };
            version += u64::from(rng.random_bool(0.5));
            let back = if rng.random_bool(0.3) { rng.random_range(0..6) } else { 0 };
            let entries = (0..rng.random_range(0..8)).map(|_| random_entry(&mut rng, now)).collect();
            let list = EndpointList {
                version: version.saturating_sub(back),
                is_snapshot: rng.random_bool(0.4),
                entries,
                unreadable: vec![],
            };
            if rng.random_bool(0.01) {
                version = 1;
            }
            let (source, reference_source) = &mut sources[usize::from(rng.random_bool(0.3))];
            apply(&mut known, compact.apply_named(list.clone(), source, now));
            apply(&mut expected, reference.apply(list, reference_source, now));
            assert_eq!(known, expected, "seed {seed}, list {step}");
        }
    }
}
