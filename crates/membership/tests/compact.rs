//! Tests that the typed parser returns the same entries as the parser that reads field by field, and that applying a
//! large list returns only the changes.

use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::{EndpointList, Entry, NodeState};
use flaxgap_membership::{MIN_DEPARTED, Membership, NodeChange, SourceCursor};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashSet;

const NODES: usize = 7100;

fn entry(n: usize, state: NodeState) -> Entry {
    let address = Some(([127, (n >> 16) as u8, (n >> 8) as u8, n as u8], 80).into());
    let (name, zone) = (format!("s-{n:08x}"), format!("z{}", n % 3));
    Entry { name, address, zone, shard: Some(n as u32), state, started_at: 0.0 }
}

fn list(version: u64, is_snapshot: bool, entries: Vec<Entry>) -> CompactList {
    EndpointList { version, is_snapshot, entries, unreadable: vec![] }.into()
}

/// Returns a membership in which all nodes are ready at version 1, and the source of that list.
fn synced_membership() -> (Membership, SourceCursor) {
    let (mut membership, mut source) = (Membership::default(), SourceCursor::default());
    let entries = (0..NODES).map(|n| entry(n, NodeState::Ready)).collect();
    assert_eq!(membership.apply(&list(1, true, entries), &mut source, 1.0).len(), NODES);
    (membership, source)
}

/// Parses entries with random combinations of valid and invalid field values, in random order.
#[test]
fn typed_parser_agrees_with_field_by_field_parser() {
    let parts: [&[&str]; 7] = [
        &[r#""uid":"s-1""#, r#""uid":"s-\"\u00e9""#, r#""uid":"""#, r#""uid":7"#, r#""uid":null"#, ""],
        &[
            r#""endpoint":"127.0.0.1:80""#,
            r#""endpoint":"[::1]:80""#,
            r#""endpoint":"127.0.0.1\u003a80""#,
            r#""endpoint":"nowhere""#,
            r#""endpoint":null"#,
            r#""endpoint":7"#,
            "",
        ],
        &[r#""az":"a""#, r#""az":"\u0061\n""#, r#""az":null"#, r#""az":7"#, ""],
        &[
            r#""pod_group":3"#,
            r#""pod_group":-1"#,
            r#""pod_group":4294967296"#,
            r#""pod_group":1.0"#,
            r#""pod_group":"1""#,
            r#""pod_group":null"#,
            "",
        ],
        &[
            r#""state":"ready""#,
            r#""state":"ready""#,
            r#""state":"draining""#,
            r#""state":"gone""#,
            r#""state":"rea\u0064y""#,
            r#""state":"leaving""#,
            r#""state":null"#,
            r#""state":1"#,
            "",
        ],
        &[
            r#""boot_ms":1700000000000"#,
            r#""boot_ms":1.5e3"#,
            r#""boot_ms":-4"#,
            r#""boot_ms":"now""#,
            r#""boot_ms":null"#,
            "",
        ],
        &[r#""model":{"a":[1,{"b":null}]},"capacity_hint":1e3"#, r#""model":"m""#, ""],
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20_000 {
        let mut fields: Vec<&str> = parts.iter().map(|part| *part.choose(&mut rng).expect("one")).collect();
        fields.retain(|field| !field.is_empty());
        fields.shuffle(&mut rng);
        if rng.random_bool(0.05) {
            // The last value of a repeated field is used.
            fields.push(r#""state":"draining""#);
        }
        let good = r#"{"uid":"s-9","state":"draining"}"#;
        let text = format!(r#"{{"rev":7,"all":true,"targets":[{{{}}},{good}]}}"#, fields.join(","));
        let value = serde_json::from_str(&text).expect("a value");
        let by_field = EndpointList::from_value(value).expect("a list");
        assert_eq!(EndpointList::parse(text.as_bytes()).expect("a list"), by_field, "{text}");
    }
}

/// A complete list in which 3 of 7,100 nodes differ from the known list causes only 3 changes. The same entries again
/// cause no change, with the same or a later version.
#[test]
fn complete_list_gives_only_the_differences() {
    let (mut membership, mut source) = synced_membership();
    let mut entries: Vec<Entry> = (0..NODES).map(|n| entry(n, NodeState::Ready)).collect();
    entries[17].state = NodeState::Draining;
    entries[4000].address = Some(([127, 0, 0, 9], 81).into());
    let removed = entries.remove(7000);
    for (version, expected) in [(2, 3), (2, 0), (3, 0)] {
        let changes = membership.apply(&list(version, true, entries.clone()), &mut source, 2.0);
        let names: Vec<&str> = changes
            .iter()
            .map(|change| match change {
                NodeChange::Removed(node) | NodeChange::Updated { node, .. } => &*node.name,
            })
            .collect();
        let all = [removed.name.as_str(), entries[17].name.as_str(), entries[4000].name.as_str()];
        assert_eq!(names, all[..expected], "version {version}");
    }
    assert_eq!((membership.len(), membership.ready()), (NODES - 1, NODES - 2));
}

/// The record of an unchanged entry gets the newer version: an older list must not override a value that a newer list
/// has confirmed.
#[test]
fn unchanged_entry_updates_the_version_of_its_record() {
    let (mut membership, mut source) = synced_membership();
    membership.apply(&list(9, false, vec![entry(5, NodeState::Ready)]), &mut source, 2.0);
    let mut other = SourceCursor::default();
    let moved = Entry { address: Some(([127, 0, 0, 9], 81).into()), ..entry(5, NodeState::Ready) };
    assert_eq!(membership.apply(&list(8, false, vec![moved.clone()]), &mut other, 3.0), []);
    assert_eq!(membership.apply(&list(10, false, vec![moved]), &mut other, 3.0).len(), 1);
}

/// A difference in a single field is a change. A change of the shard contains the previous shard, and a node whose
/// entry has no address and no shard keeps its known ones.
#[test]
fn each_field_that_differs_is_a_change() {
    let (mut membership, mut source) = synced_membership();
    let base = entry(5, NodeState::Ready);
    let changed_entries = [
        Entry { zone: "other".into(), ..base.clone() },
        Entry { started_at: 1.5, ..base.clone() },
        Entry { shard: Some(9), ..base.clone() },
        Entry { address: Some("[::1]:80".parse().expect("an address")), ..base.clone() },
        Entry { address: None, shard: None, state: NodeState::Draining, ..base.clone() },
    ];
    let mut seen = vec![];
    for (index, changed) in changed_entries.into_iter().enumerate() {
        let version = 2 + index as u64;
        let changes = membership.apply(&list(version, false, vec![changed.clone()]), &mut source, 2.0);
        let [NodeChange::Updated { node, previous_shard }] = &changes[..] else {
            panic!("{changed:?}: {changes:?}")
        };
        seen.push((node.shard, *previous_shard, node.address.map(|address| address.is_ipv6())));
        assert_eq!(membership.apply(&list(version, false, vec![changed]), &mut source, 2.0), []);
    }
    let (v4, v6) = (Some(false), Some(true));
    assert_eq!(seen, [(5, None, v4), (5, None, v4), (9, Some(5), v4), (5, Some(9), v6), (5, None, v6)]);
}

/// A node that is listed again after its removal gets a new ID, so that it is not mistaken for the earlier run.
#[test]
fn returning_node_gets_a_new_id() {
    let (mut membership, mut source) = synced_membership();
    let before = membership.node("s-00000005").expect("listed").id;
    let changes = membership.apply(&list(2, false, vec![entry(5, NodeState::Gone)]), &mut source, 2.0);
    assert!(matches!(&changes[..], [NodeChange::Removed(node)] if node.id == before));
    assert_eq!((membership.node("s-00000005"), membership.knows("s-00000005")), (None, true));
    membership.apply(&list(3, false, vec![entry(5, NodeState::Ready)]), &mut source, 3.0);
    let back = membership.node("s-00000005").expect("listed").id;
    let ids: HashSet<u32> = membership.nodes().map(|node| node.id).collect();
    assert!(back != before && ids.len() == NODES && !ids.contains(&before));
}

/// Applies random histories of lists from sources that lag, in which about 2,000 of 7,100 nodes are replaced at each
/// of ten versions. An older list must not add a node again that was removed by the newest version received, even
/// when more nodes were removed than `MIN_DEPARTED`.
#[test]
fn older_list_brings_back_none_of_thousands_of_departed_nodes() {
    for seed in 0..3 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The range of the numbers of the listed nodes at each version; its end is exclusive.
        let mut spans = vec![(0, NODES)];
        for version in 1..10 {
            let replaced = rng.random_range(1500..2500);
            spans.push((spans[version - 1].0 + replaced, spans[version - 1].1 + replaced));
        }
        let complete = |version: usize| {
            let entries = (spans[version].0..spans[version].1).map(|n| entry(n, NodeState::Ready));
            list(version as u64, true, entries.collect())
        };
        // The changes after one version, up to and including another.
        let change = |after: usize, version: usize| {
            let (before, now) = (spans[after], spans[version]);
            let gone = (before.0..now.0).map(|n| entry(n, NodeState::Gone));
            let came = (before.1.max(now.0)..now.1).map(|n| entry(n, NodeState::Ready));
            list(version as u64, false, gone.chain(came).collect())
        };
        let (mut membership, mut newest, mut present) = (Membership::default(), 0, 0);
        let mut sources: [SourceCursor; 2] = Default::default();
        membership.apply(&complete(0), &mut sources[0], 0.0);
        for step in 0..60 {
            let now = step as f64 / 100.0;
            present = (present + usize::from(rng.random_bool(0.4))).min(9);
            let version = present.saturating_sub(rng.random_range(0..3));
            let source = &mut sources[usize::from(rng.random_bool(0.5))];
            let after = source.version() as usize;
            let list = match after > version || rng.random_bool(0.5) {
                true => complete(version),
                false => change(after, version),
            };
            membership.apply(&list, source, now);
            newest = newest.max(version);
            let first = format!("s-{:08x}", spans[newest].0);
            let stale = membership.nodes().filter(|node| *node.name < *first).count();
            assert_eq!(stale, 0, "seed {seed}, step {step}: version {version} after {newest}");
        }
        assert_eq!(newest, 9, "seed {seed}");
        assert!(spans[9].0 > 3 * MIN_DEPARTED, "more nodes were removed than the minimum that is remembered");
        assert!(membership.knows("s-00000000"), "the first removed node is still remembered");
    }
}

/// The number of remembered removals is limited to four times the length of the longest list.
#[test]
fn departed_names_are_dropped_beyond_four_times_the_longest_list() {
    let (mut membership, mut source) = synced_membership();
    for round in 1..8 {
        let entries = (0..NODES).map(|n| entry(round * NODES + n, NodeState::Ready)).collect();
        membership.apply(&list(round as u64 + 1, true, entries), &mut source, round as f64);
    }
    let known = |round: usize| membership.knows(&format!("s-{:08x}", round * NODES + 5));
    let known: Vec<bool> = (0..8).map(known).collect();
    assert_eq!(known, [false, false, false, true, true, true, true, true]);
}

/// A node with an invalid entry in a complete list is not removed: its known record stays valid.
#[test]
fn node_with_an_unreadable_entry_stays_listed() {
    let (mut membership, mut source) = synced_membership();
    let broken = r#"{"uid":"s-00000005","endpoint":"nowhere","state":"ready"}"#;
    let good = r#"{"uid":"s-00000006","endpoint":"127.0.0.6:80","az":"z0","pod_group":6,"state":"ready"}"#;
    let text = format!(r#"{{"rev":2,"all":true,"targets":[{broken},{good}]}}"#);
    let complete = CompactList::parse(text.as_bytes()).expect("a list");
    membership.apply(&complete, &mut source, 2.0);
    assert_eq!((membership.len(), membership.ready()), (2, 2));
    assert_eq!(
        membership.node("s-00000005").and_then(|node| node.address),
        entry(5, NodeState::Ready).address
    );
}
