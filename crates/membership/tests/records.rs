//! Which record of a node is in force: single cases, then random histories from sources that lag, received by heads that
//! restart. The checker is shown to catch a head that overwrites its list with each list it receives.

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

/// A head: its membership, and the states of its listed nodes by the changes that the membership reported.
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

/// A source that is behind the previous one, or behind the cached list, sends a complete list or repeats past changes.
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
        // A node that version 9 lacked had departed by then; a node that it had is not gone because an older list lacks it.
        assert_eq!([head.state("a"), head.state("b"), head.state("c")], [Some(Draining), Some(Ready), None]);
        // A drain counts from any source.
        head.receive(list(8, false, &[entry("b", Draining, 5.0)]), &mut other, 101.1);
        assert_eq!(head.state("b"), Some(Draining));
        // Once the source has caught up, its records are in force.
        head.receive(list(10, false, &[entry("a", Ready, 0.0), entry("c", Ready, 102.0)]), &mut other, 102.0);
        assert!(!other.is_behind());
        assert_eq!([head.state("a"), head.state("c")], [Some(Ready), Some(Ready)]);
    }
}

/// A node that was reported as gone or draining is ready again by a later start or a newer record only.
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
        "a start from before that record is no news"
    );
    head.receive(list(3, false, &[entry("a", Ready, 101.5), entry("b", Ready, 101.5)]), &mut late, 102.0);
    assert_eq!((head.state("a"), head.state("b")), (Some(Ready), Some(Ready)));
    head.receive(list(5, false, &[entry("a", Gone, 0.0), entry("b", Gone, 0.0)]), &mut source, 103.0);
    head.receive(list(6, true, &[entry("b", Ready, 101.5)]), &mut source, 104.0);
    assert_eq!((head.state("a"), head.state("b")), (None, Some(Ready)));
}

/// A source that has restarted its numbering is taken over once it has been behind for too long to be merely lagging. Its
/// list brings back no node that was reported as leaving; its own later record does.
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

/// A history of the list: the nodes that are listed at each version, and the changes of that version.
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

    /// The lists that a source at `version` sends to a watch that starts after version `after`.
    fn since(&self, version: usize, after: usize, complete: bool) -> Vec<EndpointList> {
        match after > version || complete {
            true => vec![self.complete(version)],
            false => (after + 1..=version).map(|v| list(v as u64, false, &self.changes[v])).collect(),
        }
    }

    /// Whether a node was not ready at `version`.
    fn is_leaving(&self, name: &str, version: usize) -> bool {
        self.states[version].get(name).is_none_or(|(state, _)| *state != Ready)
    }
}

/// Overwrites the states with a list, whatever its version: the fault that the checker has to catch.
fn overwrite(states_by_name: &mut BTreeMap<String, NodeState>, list: &EndpointList) {
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

/// Plays one history. Returns how often a head had a node as ready that by the newest version received was not, and whether
/// its list was right in the end, once its source had sent everything.
fn play(seed: u64, overwrites: bool) -> (usize, bool) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let history = History::random(&mut rng, 40);
    let (mut head, mut received, mut now) = (Head::default(), 0, 0);
    let mut sources = [(SourceCursor::default(), 0), (SourceCursor::default(), 0)];
    let mut violations = 0;
    for _ in 0..200 {
        now = (now + usize::from(rng.random_bool(0.3))).min(39);
        let which = *[0, 1].choose(&mut rng).expect("two");
        let (source, at) = &mut sources[which];
        // Each source lags by a random number of versions, and never goes back.
        *at = (*at).max(now.saturating_sub(rng.random_range(0..8)));
        if rng.random_bool(0.05) {
            // The head restarts with a cached list of some version that it had received.
            let known = rng.random_range(0..=received);
            (head, received) = (Head::default(), known);
            let complete = history.complete(known);
            if overwrites {
                overwrite(&mut head.states_by_name, &complete);
            }
            head.receive_unless(overwrites, complete, &mut SourceCursor::default(), now as f64);
            sources.iter_mut().for_each(|(source, _)| *source = SourceCursor::at(known as u64));
            continue;
        }
        let complete = rng.random_bool(0.2);
        for list in history.since(*at, source.version() as usize, complete) {
            let version = list.version as usize;
            if overwrites {
                overwrite(&mut head.states_by_name, &list);
                *source = SourceCursor::at(list.version);
            }
            head.receive_unless(overwrites, list, source, now as f64);
            received = received.max(version);
            let ready = head.states_by_name.iter().filter(|(_, state)| **state == Ready);
            violations += ready.filter(|(name, _)| history.is_leaving(name, received)).count();
        }
    }
    let (source, _) = &mut sources[0];
    for list in history.since(39, source.version() as usize, true) {
        if overwrites {
            overwrite(&mut head.states_by_name, &list);
        }
        head.receive_unless(overwrites, list, source, 40.0);
    }
    let truth: BTreeMap<String, NodeState> =
        history.states[39].iter().map(|(n, s)| (n.clone(), s.0)).collect();
    (violations, head.states_by_name == truth)
}

impl Head {
    fn receive_unless(&mut self, overwrites: bool, list: EndpointList, source: &mut SourceCursor, now: f64) {
        if !overwrites {
            self.receive(list, source, now);
        }
    }
}

/// Whatever the order of lists, no node is ready that the newest list received has as leaving, and the list is right in the
/// end.
#[test]
fn no_order_of_lists_brings_a_draining_node_back() {
    for seed in 0..400 {
        let (violations, is_right_at_end) = play(seed, false);
        assert_eq!((violations, is_right_at_end), (0, true), "seed {seed}");
    }
    let caught = (0..50).filter(|seed| play(*seed, true).0 > 0).count();
    assert!(caught >= 45, "the checker catches a head that overwrites its list on {caught} of 50 seeds");
}

/// Lists of the size of a larger fleet, with new names each time: old names are dropped in the end.
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
