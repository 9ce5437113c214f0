//! Tests which record of a node is valid: single cases, then random histories of lists from sources that lag,
//! received by heads that restart. The random test also verifies that it detects a head that replaces its list with
//! every list that it receives.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, Membership, REWIND_AFTER_S, SourceCursor};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

fn entry(name: &str, state: NodeState, started_at: f64) -> Entry {
    let address = Some(([127, 0, 0, 1], 80).into());
    Entry { name: name.into(), address, zone: String::new(), shard: Some(0), state, started_at }
}

fn list(version: u64, is_snapshot: bool, entries: &[Entry]) -> EndpointList {
    EndpointList { version, is_snapshot, entries: entries.to_vec(), unreadable: vec![] }
}

/// A head: its membership, and the states of its listed nodes according to the changes that the membership returned.
#[derive(Default)]
struct Head {
    membership: Membership,
    states_by_name: BTreeMap<String, NodeState>,
}

impl Head {
    fn receive(&mut self, list: EndpointList, source: &mut SourceCursor, now: f64) {
        for change in self.membership.apply_named(list, source, now) {
            match change {
                EntryChange::Updated(entry) => _ = self.states_by_name.insert(entry.name, entry.state),
                EntryChange::Removed(name) => _ = self.states_by_name.remove(&name),
            }
        }
    }

    fn state(&self, name: &str) -> Option<NodeState> {
        self.states_by_name.get(name).copied()
    }
}

use NodeState::{Draining, Gone, Ready};

/// A source that is behind the previous source or the cached list sends an old complete list or repeats old changes. A
/// draining node must not become ready.
#[test]
fn older_list_does_not_make_a_draining_node_ready() {
    for complete in [true, false] {
        let (mut head, mut source) = (Head::default(), SourceCursor::default());
        head.receive(list(9, true, &[entry("a", Draining, 0.0), entry("b", Ready, 5.0)]), &mut source, 100.0);
        let mut other = SourceCursor::at(9);
        head.receive(
            list(7, complete, &[entry("a", Ready, 0.0), entry("c", Ready, 50.0)]),
            &mut other,
            101.0,
        );
        assert!(other.is_behind());
        // Node c is not in version 9, so it was removed before; node b stays although it is not in the older list.
        assert_eq!([head.state("a"), head.state("b"), head.state("c")], [Some(Draining), Some(Ready), None]);
        // A drain is accepted from any source.
        head.receive(list(8, false, &[entry("b", Draining, 5.0)]), &mut other, 101.1);
        assert_eq!(head.state("b"), Some(Draining));
        // Once the source has caught up, its records are accepted.
        head.receive(list(10, false, &[entry("a", Ready, 0.0), entry("c", Ready, 102.0)]), &mut other, 102.0);
        assert!(!other.is_behind());
        assert_eq!([head.state("a"), head.state("c")], [Some(Ready), Some(Ready)]);
    }
}

/// A node that was reported as gone or draining becomes ready only by a later start or a newer record.
#[test]
fn departed_node_returns_by_a_later_start_or_a_newer_record() {
    let (mut head, mut source) = (Head::default(), SourceCursor::default());
    head.receive(list(3, true, &[entry("a", Ready, 10.0), entry("b", Ready, 0.0)]), &mut source, 100.0);
    head.receive(list(4, false, &[entry("a", Gone, 0.0), entry("b", Draining, 0.0)]), &mut source, 101.0);
    let mut late = SourceCursor::default();
    head.receive(list(3, false, &[entry("a", Ready, 10.0), entry("b", Ready, 40.0)]), &mut late, 102.0);
    assert_eq!(
        (head.state("a"), head.state("b")),
        (None, Some(Draining)),
        "a start from before the removal does not make a node ready"
    );
    head.receive(list(3, false, &[entry("a", Ready, 101.5), entry("b", Ready, 101.5)]), &mut late, 102.0);
    assert_eq!((head.state("a"), head.state("b")), (Some(Ready), Some(Ready)));
    head.receive(list(5, false, &[entry("a", Gone, 0.0), entry("b", Gone, 0.0)]), &mut source, 103.0);
    head.receive(list(6, true, &[entry("b", Ready, 101.5)]), &mut source, 104.0);
    assert_eq!((head.state("a"), head.state("b")), (None, Some(Ready)));
}

/// The lists of a source that has restarted its version count are accepted after `REWIND_AFTER_S`. Its first list
/// must not make a draining node ready; a later record of that source may.
#[test]
fn restarted_numbering_is_accepted_and_brings_back_no_draining_node() {
    let (mut head, mut old) = (Head::default(), SourceCursor::default());
    let entries = [entry("a", Draining, 0.0), entry("b", Ready, 0.0), entry("d", Ready, 0.0)];
    head.receive(list(900, true, &entries), &mut old, 100.0);
    let restarted = [entry("a", Ready, 0.0), entry("b", Ready, 0.0), entry("c", Ready, 0.0)];
    let mut new = SourceCursor::default();
    for tenths in 0..60 {
        let now = 100.0 + f64::from(tenths) / 10.0;
        head.receive(list(1, true, &restarted), &mut new, now);
        let is_accepted = now - 100.0 >= REWIND_AFTER_S;
        assert_eq!(new.is_behind(), !is_accepted, "at {now}");
        assert_eq!(head.state("a"), Some(Draining));
        assert_eq!(
            [head.state("c"), head.state("d")],
            if is_accepted { [Some(Ready), None] } else { [None, Some(Ready)] }
        );
    }
    head.receive(list(2, false, &[entry("a", Draining, 0.0)]), &mut new, 107.0);
    head.receive(list(3, false, &[entry("a", Ready, 0.0)]), &mut new, 108.0);
    assert_eq!(head.state("a"), Some(Ready));
}

/// A random history of the endpoint list: the listed nodes at each version, and the changes of each version.
struct History {
    states: Vec<BTreeMap<String, (NodeState, f64)>>,
    changes: Vec<Vec<Entry>>,
}

impl History {
    fn random(rng: &mut ChaCha8Rng, versions: usize) -> History {
        let first: BTreeMap<_, _> = (0..12).map(|n| (format!("s-{n}"), (Ready, 0.0))).collect();
        let (mut states, mut changes) = (vec![first], vec![vec![]]);
        for version in 1..versions {
            let (mut now, mut changed) = (states[version - 1].clone(), vec![]);
            for _ in 0..rng.random_range(0..5) {
                let name = format!("s-{}", rng.random_range(0..20));
                let next = match now.get(&name) {
                    None => (Ready, version as f64),
                    Some((Ready, boot)) if rng.random_bool(0.9) => (Draining, *boot),
                    Some((Draining, _)) if rng.random_bool(0.2) => (Ready, version as f64),
                    Some((_, boot)) => (Gone, *boot),
                };
                changed.retain(|e: &Entry| e.name != name);
                changed.push(entry(&name, next.0, next.1));
                match next.0 {
                    Gone => _ = now.remove(&name),
                    _ => _ = now.insert(name, next),
                }
            }
            states.push(now);
            changes.push(changed);
        }
        History { states, changes }
    }

    fn complete(&self, version: usize) -> EndpointList {
        let entries: Vec<_> = self.states[version].iter().map(|(name, s)| entry(name, s.0, s.1)).collect();
        list(version as u64, true, &entries)
    }

    /// The lists that a source at `version` sends to a new watch for the changes after version `after`.
    fn since(&self, version: usize, after: usize, complete: bool) -> Vec<EndpointList> {
        match after > version || complete {
            true => vec![self.complete(version)],
            false => (after + 1..=version).map(|v| list(v as u64, false, &self.changes[v])).collect(),
        }
    }

    /// Whether a node was not ready at `version`.
    fn is_not_ready(&self, name: &str, version: usize) -> bool {
        self.states[version].get(name).is_none_or(|(state, _)| *state != Ready)
    }
}

/// Replaces the states with a list, regardless of its version. The test has to detect this fault.
fn replace_list(states_by_name: &mut BTreeMap<String, NodeState>, list: &EndpointList) {
    if list.is_snapshot {
        states_by_name.clear();
    }
    for entry in &list.entries {
        match entry.state {
            Gone => _ = states_by_name.remove(&entry.name),
            state => _ = states_by_name.insert(entry.name.clone(), state),
        }
    }
}

/// Simulates a head that receives lists of one random history. Returns how often a node was ready at the head but not
/// in the newest version received, and whether the head's list was correct after its source had sent all changes.
fn simulate(seed: u64, replaces_list: bool) -> (usize, bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = History::random(&mut rng, 40);
    let (mut head, mut received, mut now) = (Head::default(), 0, 0);
    let mut sources = [(SourceCursor::default(), 0), (SourceCursor::default(), 0)];
    let mut violations = 0;
    for _ in 0..200 {
        now = (now + usize::from(rng.random_bool(0.3))).min(39);
        let source_index = *[0, 1].choose(&mut rng).expect("two");
        let (source, at) = &mut sources[source_index];
        // Each source lags by a random number of versions, and its version never decreases.
        *at = (*at).max(now.saturating_sub(rng.random_range(0..8)));
        if rng.random_bool(0.05) {
            // The head restarts with a cached list of a random version that it has received.
            let known = rng.random_range(0..=received);
            (head, received) = (Head::default(), known);
            let complete = history.complete(known);
            if replaces_list {
                replace_list(&mut head.states_by_name, &complete);
            }
            head.receive_unless(replaces_list, complete, &mut SourceCursor::default(), now as f64);
            sources.iter_mut().for_each(|(source, _)| *source = SourceCursor::at(known as u64));
            continue;
        }
        let complete = rng.random_bool(0.2);
        for list in history.since(*at, source.version() as usize, complete) {
            let version = list.version as usize;
            if replaces_list {
                replace_list(&mut head.states_by_name, &list);
                *source = SourceCursor::at(list.version);
            }
            head.receive_unless(replaces_list, list, source, now as f64);
            received = received.max(version);
            let ready = head.states_by_name.iter().filter(|(_, state)| **state == Ready);
            violations += ready.filter(|(name, _)| history.is_not_ready(name, received)).count();
        }
    }
    let (source, _) = &mut sources[0];
    for list in history.since(39, source.version() as usize, true) {
        if replaces_list {
            replace_list(&mut head.states_by_name, &list);
        }
        head.receive_unless(replaces_list, list, source, 40.0);
    }
    let truth: BTreeMap<String, NodeState> =
        history.states[39].iter().map(|(n, s)| (n.clone(), s.0)).collect();
    (violations, head.states_by_name == truth)
}

impl Head {
    fn receive_unless(
        &mut self,
        replaces_list: bool,
        list: EndpointList,
        source: &mut SourceCursor,
        now: f64,
    ) {
        if !replaces_list {
            self.receive(list, source, now);
        }
    }
}

/// In any order of lists, a node that is draining or gone in the newest version received is not ready, and the final
/// list is correct.
#[test]
fn no_order_of_lists_brings_a_draining_node_back() {
    for seed in 0..400 {
        let (violations, is_right_at_end) = simulate(seed, false);
        assert_eq!((violations, is_right_at_end), (0, true), "seed {seed}");
    }
    let detected = (0..50).filter(|seed| simulate(*seed, true).0 > 0).count();
    assert!(detected >= 45, "a head that replaces its list is detected for {detected} of 50 seeds");
}

/// Applies complete lists of 1,024 nodes with new names each time. The names of nodes removed long ago must be
/// forgotten.
#[test]
fn lists_of_1024_names_are_applied_and_departed_names_dropped() {
    let (mut head, mut source) = (Head::default(), SourceCursor::default());
    for round in 0..12u64 {
        let names =
            (0..1024).map(|n| entry(&format!("s-{round}-{n}"), Ready, round as f64)).collect::<Vec<_>>();
        head.receive(list(round + 1, true, &names), &mut source, round as f64);
        assert_eq!(head.states_by_name.len(), 1024);
    }
    assert!(
        !head.membership.knows("s-0-5")
            && head.membership.knows("s-10-5")
            && head.membership.knows("s-11-1023")
    );
}
