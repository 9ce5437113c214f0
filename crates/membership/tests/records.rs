//! Which record on a node stands: cases that were thought of, then histories drawn from seeds, told by sources that lag,
//! to heads that restart. The checker is shown to catch a head that takes each list as it comes.

use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{EntryChange, Membership, REWIND_AFTER_S, SourceCursor};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

fn entry(name: &str, state: NodeState, boot: f64) -> Entry {
    let address = Some(([127, 0, 0, 1], 80).into());
    Entry { name: name.into(), address, zone: String::new(), shard: Some(0), state, started_at: boot }
}

fn list(rev: u64, all: bool, entries: &[Entry]) -> EndpointList {
    EndpointList { version: rev, is_snapshot: all, entries: entries.to_vec(), unreadable: vec![] }
}

/// The states of the nodes that a head takes to be listed.
#[derive(Default)]
struct Head {
    membership: Membership,
    holds: BTreeMap<String, NodeState>,
}

impl Head {
    fn hear(&mut self, list: EndpointList, source: &mut SourceCursor, now: f64) {
        for change in self.membership.apply_named(list, source, now) {
            match change {
                EntryChange::Updated(entry) => _ = self.holds.insert(entry.name, entry.state),
                EntryChange::Removed(name) => _ = self.holds.remove(&name),
            }
        }
    }

    fn state(&self, name: &str) -> Option<NodeState> {
        self.holds.get(name).copied()
    }
}

use NodeState::{Draining, Gone, Ready};

/// Guards against a source that is behind the one before it, or behind an earlier life's list: by its whole list, and
/// by its changes, which tell again what is past.
#[test]
fn an_older_list_calls_no_leaving_node_ready() {
    for whole in [true, false] {
        let (mut head, mut source) = (Head::default(), SourceCursor::default());
        head.hear(list(9, true, &[entry("a", Draining, 0.0), entry("b", Ready, 5.0)]), &mut source, 100.0);
        let mut other = SourceCursor::at(9);
        head.hear(list(7, whole, &[entry("a", Ready, 0.0), entry("c", Ready, 50.0)]), &mut other, 101.0);
        assert!(other.is_behind());
        // What version 9 lacked had left by then, and what it had is not gone since an older list lacks it.
        assert_eq!([head.state("a"), head.state("b"), head.state("c")], [Some(Draining), Some(Ready), None]);
        // A drain counts whoever tells it.
        head.hear(list(8, false, &[entry("b", Draining, 5.0)]), &mut other, 101.1);
        assert_eq!(head.state("b"), Some(Draining));
        // Caught up, what it says stands.
        head.hear(list(10, false, &[entry("a", Ready, 0.0), entry("c", Ready, 102.0)]), &mut other, 102.0);
        assert!(!other.is_behind());
        assert_eq!([head.state("a"), head.state("c")], [Some(Ready), Some(Ready)]);
    }
}

/// Guards against a name that comes back: by a later start, or by a newer record, and by nothing else.
#[test]
fn what_is_gone_comes_back_by_a_later_start_or_a_newer_word() {
    let (mut head, mut source) = (Head::default(), SourceCursor::default());
    head.hear(list(3, true, &[entry("a", Ready, 10.0), entry("b", Ready, 0.0)]), &mut source, 100.0);
    head.hear(list(4, false, &[entry("a", Gone, 0.0), entry("b", Draining, 0.0)]), &mut source, 101.0);
    let mut late = SourceCursor::default();
    head.hear(list(3, false, &[entry("a", Ready, 10.0), entry("b", Ready, 40.0)]), &mut late, 102.0);
    assert_eq!(
        (head.state("a"), head.state("b")),
        (None, Some(Draining)),
        "a start from before that record is no news"
    );
    head.hear(list(3, false, &[entry("a", Ready, 101.5), entry("b", Ready, 101.5)]), &mut late, 102.0);
    assert_eq!((head.state("a"), head.state("b")), (Some(Ready), Some(Ready)));
    head.hear(list(5, false, &[entry("a", Gone, 0.0), entry("b", Gone, 0.0)]), &mut source, 103.0);
    head.hear(list(6, true, &[entry("b", Ready, 101.5)]), &mut source, 104.0);
    assert_eq!((head.state("a"), head.state("b")), (None, Some(Ready)));
}

/// Guards against a source that counts anew: it stands once it has been behind for too long to be merely late, and
/// even then its list brings back nothing that was told to leave; its own later record does.
#[test]
fn a_source_that_counts_anew_stands_in_time_and_brings_no_leaving_node_back() {
    let (mut head, mut old) = (Head::default(), SourceCursor::default());
    let told = [entry("a", Draining, 0.0), entry("b", Ready, 0.0), entry("d", Ready, 0.0)];
    head.hear(list(900, true, &told), &mut old, 100.0);
    let anew = [entry("a", Ready, 0.0), entry("b", Ready, 0.0), entry("c", Ready, 0.0)];
    let mut new = SourceCursor::default();
    for tenths in 0..60 {
        let now = 100.0 + f64::from(tenths) / 10.0;
        head.hear(list(1, true, &anew), &mut new, now);
        let stands = now - 100.0 >= REWIND_AFTER_S;
        assert_eq!(new.is_behind(), !stands, "at {now}");
        assert_eq!(head.state("a"), Some(Draining));
        assert_eq!(
            [head.state("c"), head.state("d")],
            if stands { [Some(Ready), None] } else { [None, Some(Ready)] }
        );
    }
    head.hear(list(2, false, &[entry("a", Draining, 0.0)]), &mut new, 107.0);
    head.hear(list(3, false, &[entry("a", Ready, 0.0)]), &mut new, 108.0);
    assert_eq!(head.state("a"), Some(Ready));
}

/// One true history: at each version the nodes that are listed, and what that version changed.
struct History {
    states: Vec<BTreeMap<String, (NodeState, f64)>>,
    changes: Vec<Vec<Entry>>,
}

impl History {
    fn draw(chance: &mut ChaCha8Rng, versions: usize) -> History {
        let first: BTreeMap<_, _> = (0..12).map(|n| (format!("s-{n}"), (Ready, 0.0))).collect();
        let (mut states, mut changes) = (vec![first], vec![vec![]]);
        for version in 1..versions {
            let (mut now, mut changed) = (states[version - 1].clone(), vec![]);
            for _ in 0..chance.random_range(0..5) {
                let name = format!("s-{}", chance.random_range(0..20));
                let next = match now.get(&name) {
                    None => (Ready, version as f64),
                    Some((Ready, boot)) if chance.random_bool(0.9) => (Draining, *boot),
                    Some((Draining, _)) if chance.random_bool(0.2) => (Ready, version as f64),
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

    fn whole(&self, version: usize) -> EndpointList {
        let entries: Vec<_> = self.states[version].iter().map(|(name, s)| entry(name, s.0, s.1)).collect();
        list(version as u64, true, &entries)
    }

    /// What a source that is at a version tells one that asks for what came after another.
    fn since(&self, version: usize, after: usize, whole: bool) -> Vec<EndpointList> {
        match after > version || whole {
            true => vec![self.whole(version)],
            false => (after + 1..=version).map(|v| list(v as u64, false, &self.changes[v])).collect(),
        }
    }

    /// The latest version at which a node's state stood that held at `version`, if it left by then, with its start.
    fn leaving(&self, name: &str, version: usize) -> bool {
        self.states[version].get(name).is_none_or(|(state, _)| *state != Ready)
    }
}

/// A head that takes each list as it comes, as a checker has to catch it.
fn as_it_comes(holds: &mut BTreeMap<String, NodeState>, list: &EndpointList) {
    if list.is_snapshot {
        holds.clear();
    }
    for entry in &list.entries {
        match entry.state {
            Gone => _ = holds.remove(&entry.name),
            state => _ = holds.insert(entry.name.clone(), state),
        }
    }
}

/// How often, over a history, a head held a node for ready that by the newest version told to it was not; and whether
/// it held the truth once its source had told all.
fn play(seed: u64, naive: bool) -> (usize, bool) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let history = History::draw(&mut chance, 40);
    let (mut head, mut told, mut now) = (Head::default(), 0, 0);
    let mut sources = [(SourceCursor::default(), 0), (SourceCursor::default(), 0)];
    let mut late = 0;
    for _ in 0..200 {
        now = (now + usize::from(chance.random_bool(0.3))).min(39);
        let which = *[0, 1].choose(&mut chance).expect("two");
        let (source, at) = &mut sources[which];
        // Each source lags by chance, and never goes back.
        *at = (*at).max(now.saturating_sub(chance.random_range(0..8)));
        if chance.random_bool(0.05) {
            // The head restarts with a list of its own, as it was at some version that it was told.
            let known = chance.random_range(0..=told);
            (head, told) = (Head::default(), known);
            let whole = history.whole(known);
            if naive {
                as_it_comes(&mut head.holds, &whole);
            }
            head.hear_unless(naive, whole, &mut SourceCursor::default(), now as f64);
            sources.iter_mut().for_each(|(source, _)| *source = SourceCursor::at(known as u64));
            continue;
        }
        let whole = chance.random_bool(0.2);
        for list in history.since(*at, source.version() as usize, whole) {
            let version = list.version as usize;
            if naive {
                as_it_comes(&mut head.holds, &list);
                *source = SourceCursor::at(list.version);
            }
            head.hear_unless(naive, list, source, now as f64);
            told = told.max(version);
            let ready = head.holds.iter().filter(|(_, state)| **state == Ready);
            late += ready.filter(|(name, _)| history.leaving(name, told)).count();
        }
    }
    let (source, _) = &mut sources[0];
    for list in history.since(39, source.version() as usize, true) {
        if naive {
            as_it_comes(&mut head.holds, &list);
        }
        head.hear_unless(naive, list, source, 40.0);
    }
    let truth: BTreeMap<String, NodeState> =
        history.states[39].iter().map(|(n, s)| (n.clone(), s.0)).collect();
    (late, head.holds == truth)
}

impl Head {
    fn hear_unless(&mut self, naive: bool, list: EndpointList, source: &mut SourceCursor, now: f64) {
        if !naive {
            self.hear(list, source, now);
        }
    }
}

/// Guards against any order of lists that calls a node ready which the newest list told had leaving; and against a head
/// that never gets back to the truth.
#[test]
fn no_order_of_lists_brings_a_leaving_node_back() {
    for seed in 0..400 {
        let (late, true_at_end) = play(seed, false);
        assert_eq!((late, true_at_end), (0, true), "seed {seed}");
    }
    let caught = (0..50).filter(|seed| play(*seed, true).0 > 0).count();
    assert!(caught >= 45, "the checker catches a head that takes lists as they come on {caught} of 50 seeds");
}

/// Guards against names without end, and against a list of a size that a larger fleet has.
#[test]
fn lists_of_a_thousand_names_stand_and_what_left_is_forgotten_in_the_end() {
    let (mut head, mut source) = (Head::default(), SourceCursor::default());
    for round in 0..12u64 {
        let names =
            (0..1024).map(|n| entry(&format!("s-{round}-{n}"), Ready, round as f64)).collect::<Vec<_>>();
        head.hear(list(round + 1, true, &names), &mut source, round as f64);
        assert_eq!(head.holds.len(), 1024);
    }
    assert!(
        !head.membership.knows("s-0-5")
            && head.membership.knows("s-10-5")
            && head.membership.knows("s-11-1023")
    );
}
