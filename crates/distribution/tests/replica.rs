//! A relay's copy: what its watchers are told, from which version, and for how long.

use bytes::Bytes;
use flaxgap_distribution::replica::{ReadRecord, Replica, ReplicaLimits, ReplicaStatus, Resume};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::{EndpointList, Entry, EntryProblem, NodeState, UnreadableEntry};
use flaxgap_membership::{EntryChange, Membership, REWIND_AFTER_S, SourceCursor};
use std::collections::BTreeMap;

const NOW: f64 = 1000.0;

use NodeState::{Draining, Gone, Ready};

fn entry(name: &str, state: NodeState, boot: f64) -> Entry {
    let address = Some(([10, 1, 0, 18], 8080).into());
    Entry { name: name.into(), address, zone: "a".into(), shard: Some(3), state, started_at: boot }
}

fn list(rev: u64, all: bool, entries: &[Entry]) -> EndpointList {
    EndpointList { version: rev, is_snapshot: all, entries: entries.to_vec(), unreadable: vec![] }
}

fn parse(text: &Bytes) -> EndpointList {
    assert_eq!(text.iter().filter(|byte| **byte == b'\n').count(), 1, "one line");
    assert_eq!(text.last(), Some(&b'\n'));
    EndpointList::parse(text).expect("a list that can be read")
}

/// A copy that has heard one complete list.
fn replica(rev: u64, entries: &[Entry], limits: ReplicaLimits) -> Replica {
    let mut replica = Replica::new(limits);
    replica.apply(list(rev, true, entries), NOW).expect("applied");
    replica
}

/// The lists that one who knows a version is sent from the log.
fn records_since(replica: &Replica, since: u64, now: f64) -> Vec<EndpointList> {
    let Resume::Changes { from } = replica.resume(since, now) else {
        panic!("no changes after {since}: {:?}", replica.resume(since, now))
    };
    let mut lists = Vec::new();
    let mut position = from;
    while let ReadRecord::Text(text) = replica.read(position) {
        lists.push(parse(&text));
        position = position.next();
    }
    lists
}

/// A head that takes whatever it is sent.
#[derive(Default)]
struct Head {
    membership: Membership,
    source: SourceCursor,
    listed: BTreeMap<String, NodeState>,
}

impl Head {
    fn hear(&mut self, list: EndpointList, now: f64) {
        for change in self.membership.apply_named(list, &mut self.source, now) {
            match change {
                EntryChange::Updated(entry) => _ = self.listed.insert(entry.name, entry.state),
                EntryChange::Removed(name) => _ = self.listed.remove(&name),
            }
        }
    }

    fn state(&self, name: &str) -> Option<NodeState> {
        self.listed.get(name).copied()
    }
}

/// Given a copy, when its complete list and its records are read, then they hold what upstream said, in the published form.
#[test]
fn lists_are_written_in_the_published_form() {
    let entries = [entry("a", Ready, 12.5), entry("b", Draining, 0.0)];
    let mut replica = replica(41, &entries, ReplicaLimits::default());
    let text = replica.snapshot().expect("a list");
    assert_eq!(
        std::str::from_utf8(&text).expect("text"),
        concat!(
            r#"{"rev":41,"all":true,"targets":["#,
            r#"{"uid":"a","endpoint":"10.1.0.18:8080","az":"a","pod_group":3,"state":"ready","boot_ms":12500},"#,
            r#"{"uid":"b","endpoint":"10.1.0.18:8080","az":"a","pod_group":3,"state":"draining","boot_ms":0}]}"#,
            "\n"
        )
    );
    assert_eq!(parse(&text), list(41, true, &entries));
    replica.apply(list(42, false, &[entry("b", Gone, 0.0)]), NOW).expect("applied");
    let records = records_since(&replica, 41, NOW);
    assert_eq!((records[0].version, records[0].is_snapshot, records[0].entries[0].state), (42, false, Gone));
}

/// Guards against a text for each reader: a list of the coming size is encoded once for each version.
#[test]
fn a_snapshot_is_encoded_once_for_each_version() {
    let mut replica = replica(41, &[entry("a", Ready, 0.0)], ReplicaLimits::default());
    let (first, second) = (replica.snapshot().expect("a list"), replica.snapshot().expect("a list"));
    assert_eq!(first.as_ptr(), second.as_ptr());
    replica.apply(list(42, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    let third = replica.snapshot().expect("a list");
    assert_eq!((parse(&third).version, parse(&third).entries[0].state), (42, Draining));
}

/// Given versions one after the other, when a watcher resumes from each, then it gets exactly what came after.
#[test]
fn a_watcher_resumes_exactly_after_the_version_that_it_knows() {
    let mut replica = replica(41, &[entry("a", Ready, 0.0)], ReplicaLimits::default());
    for rev in 42..50 {
        replica.apply(list(rev, false, &[entry("a", Ready, rev as f64)]), NOW).expect("applied");
    }
    for since in 41..50 {
        let revs: Vec<u64> = records_since(&replica, since, NOW).iter().map(|list| list.version).collect();
        assert_eq!(revs, (since + 1..50).collect::<Vec<_>>(), "since {since}");
    }
    assert_eq!(replica.resume(40, NOW), Resume::Snapshot);
    assert_eq!(replica.resume(0, NOW), Resume::Snapshot);
    assert_eq!(replica.resume(50, NOW), Resume::WatcherAhead);
}

/// Given more changes than the log may hold, by number or by bytes, when one resumes, then the first version that the log
/// leads on from serves, and the one below it gets the complete list; the log keeps its bounds at each step.
#[test]
fn the_log_keeps_its_bounds_and_serves_from_its_compacted_version() {
    let by_number = ReplicaLimits { log_records: 5, ..ReplicaLimits::default() };
    let by_bytes = ReplicaLimits { log_bytes: 700, ..ReplicaLimits::default() };
    for limits in [by_number, by_bytes] {
        let mut replica = replica(41, &[entry("a", Ready, 0.0)], limits.clone());
        for rev in 42..100 {
            replica.apply(list(rev, false, &[entry("a", Ready, rev as f64)]), NOW).expect("applied");
            assert!(replica.log().bytes() <= limits.log_bytes && replica.log().len() <= limits.log_records);
            let base = replica.log().compacted_version();
            assert_eq!(base + replica.log().len() as u64, rev);
            assert_eq!(records_since(&replica, base, NOW).len(), replica.log().len());
            assert_eq!(replica.resume(base - 1, NOW), Resume::Snapshot);
        }
        assert!(replica.log().compacted_version() >= 94, "the log was full");
    }
}

/// Given a change that is larger than the whole log, when it comes, then it is not split, and all get the complete list.
#[test]
fn a_record_over_the_bound_is_compacted_at_once() {
    let limits = ReplicaLimits { log_bytes: 300, ..ReplicaLimits::default() };
    let mut replica = replica(41, &[], limits);
    let Resume::Changes { from } = replica.resume(41, NOW) else { panic!("current") };
    let many: Vec<Entry> = (0..10).map(|n| entry(&format!("s-{n}"), Ready, 0.0)).collect();
    replica.apply(list(42, false, &many), NOW).expect("applied");
    assert_eq!((replica.log().bytes(), replica.log().compacted_version()), (0, 42));
    assert_eq!(replica.read(from), ReadRecord::Compacted);
    assert_eq!(replica.resume(41, NOW), Resume::Snapshot);
    assert!(matches!(replica.resume(42, NOW), Resume::Changes { .. }));
}

/// Given a complete list in place of changes, when it has a new version, then the record has what differs, and who left.
#[test]
fn of_a_snapshot_from_upstream_only_changes_are_sent() {
    let first = [entry("a", Ready, 0.0), entry("b", Ready, 0.0), entry("c", Ready, 0.0)];
    let mut replica = replica(41, &first, ReplicaLimits::default());
    let second = [entry("a", Ready, 0.0), entry("b", Draining, 0.0), entry("d", Ready, 7.0)];
    let applied = replica.apply(list(42, true, &second), NOW).expect("applied");
    assert_eq!((applied.changed_entries, applied.version), (3, 42));
    let records = records_since(&replica, 41, NOW);
    let sent: BTreeMap<&str, NodeState> =
        records[0].entries.iter().map(|entry| (entry.name.as_str(), entry.state)).collect();
    assert_eq!(sent, [("b", Draining), ("c", Gone), ("d", Ready)].into());
    // The same once more says nothing.
    assert_eq!(replica.apply(list(42, true, &second), NOW).expect("applied").changed_entries, 0);
    assert_eq!(records_since(&replica, 41, NOW).len(), 1);
}

/// Given a node that drained and was called back while the relay heard nothing, when one who saw the drain elsewhere
/// comes, then it gets the complete list: the record of what differs does not name the node.
#[test]
fn a_record_that_skips_versions_serves_no_watcher_in_between() {
    let first = [entry("a", Ready, 0.0), entry("b", Ready, 0.0)];
    let mut replica = replica(41, &first, ReplicaLimits::default());
    replica
        .apply(list(44, true, &[entry("a", Ready, 0.0), entry("b", Draining, 0.0)]), NOW)
        .expect("applied");
    assert_eq!(records_since(&replica, 41, NOW).len(), 1);
    assert_eq!([replica.resume(42, NOW), replica.resume(43, NOW)], [Resume::Snapshot, Resume::Snapshot]);
    assert_eq!(records_since(&replica, 44, NOW), []);
    // Changes over skipped versions name all nodes that changed meanwhile, and serve all.
    replica.apply(list(47, false, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    let records = records_since(&replica, 45, NOW);
    assert_eq!((records[0].version, records[0].entries[0].name.as_str()), (47, "a"));
}

/// Given a list that is older than what is known, when it says that a node drains, then all who know this version are
/// told; and when the node is called back by a list as new, then every head has it back with the next version.
#[test]
fn a_late_drain_reaches_all_heads_and_is_reverted_for_all() {
    let ready = [entry("a", Ready, 0.0), entry("b", Ready, 0.0)];
    let mut replica = replica(41, &ready, ReplicaLimits::default());
    let (mut early, mut late) = (Head::default(), Head::default());
    early.hear(parse(&replica.snapshot().expect("a list")), NOW);
    let applied = replica.apply(list(40, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    assert!(applied.is_behind && applied.changed_entries == 1 && replica.version() == 41);
    for list in records_since(&replica, 41, NOW) {
        early.hear(list, NOW);
    }
    late.hear(parse(&replica.snapshot().expect("a list")), NOW);
    assert_eq!((early.state("a"), late.state("a")), (Some(Draining), Some(Draining)));
    // The source catches up without a word on the node: the complete list is wanted.
    replica.apply(list(41, false, &[]), NOW).expect("applied");
    assert!(replica.needs_relist(NOW));
    replica.apply(list(41, true, &ready), NOW).expect("applied");
    assert!(!replica.needs_relist(NOW));
    replica.apply(list(42, false, &[entry("b", Ready, 0.0)]), NOW).expect("applied");
    for list in records_since(&replica, 41, NOW) {
        early.hear(list.clone(), NOW);
        late.hear(list, NOW);
    }
    assert_eq!((early.state("a"), late.state("a")), (Some(Ready), Some(Ready)));
}

/// Given a new entry that can't be read, when a head that knows its node gets the relay's complete list, then it keeps the
/// node; and when the node leaves, then it is told so.
#[test]
fn an_unparsed_entry_removes_no_node_from_a_head() {
    let spoilt = UnreadableEntry { index: 1, name: Some("b".into()), problem: EntryProblem::NameMissing };
    let mut replica = Replica::new(ReplicaLimits::default());
    let snapshot = EndpointList { unreadable: vec![spoilt], ..list(41, true, &[entry("a", Ready, 0.0)]) };
    let applied = replica.apply(snapshot, NOW).expect("applied");
    assert_eq!(applied.unparsed, 1);
    let mut head = Head::default();
    head.hear(list(40, true, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)]), NOW);
    head.hear(parse(&replica.snapshot().expect("a list")), NOW);
    assert_eq!(head.state("b"), Some(Ready));
    replica.apply(list(42, false, &[entry("b", Gone, 0.0)]), NOW).expect("applied");
    for list in records_since(&replica, 41, NOW) {
        head.hear(list, NOW);
    }
    assert_eq!(head.state("b"), None);
    assert_eq!(CompactList::from(parse(&replica.snapshot().expect("a list"))).names().count(), 1);
}

/// Given a change in which a known node can't be read, when it is taken in, then what was known of the node stands.
#[test]
fn an_unparsed_change_leaves_the_known_entry() {
    let mut replica =
        replica(41, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    let spoilt = UnreadableEntry { index: 0, name: Some("a".into()), problem: EntryProblem::NameMissing };
    replica
        .apply(
            EndpointList { unreadable: vec![spoilt], ..list(42, false, &[entry("b", Draining, 0.0)]) },
            NOW,
        )
        .expect("applied");
    let snapshot = parse(&replica.snapshot().expect("a list"));
    let states: Vec<NodeState> = snapshot.entries.iter().map(|entry| entry.state).collect();
    assert_eq!((snapshot.version, states, snapshot.unreadable.len()), (42, vec![Ready, Draining], 0));
}

/// Given a drain without an address, a shard or a start, when it is passed on, then it has what was known of the node.
#[test]
fn a_drain_is_completed_from_the_known_entry() {
    let mut replica = replica(41, &[entry("a", Ready, 7.0)], ReplicaLimits::default());
    let bare = Entry { address: None, shard: None, zone: String::new(), ..entry("a", Draining, 0.0) };
    replica.apply(list(42, false, &[bare]), NOW).expect("applied");
    assert_eq!(parse(&replica.snapshot().expect("a list")).entries, [entry("a", Draining, 7.0)]);
}

/// Given versions that go back, repeat and skip, when they are taken in, then the copy's version never goes back, and a
/// head behind it lists what one that hears upstream itself does. A word that is newer than a node's drain ends it, also
/// in a list that is behind.
#[test]
fn lists_with_stale_repeated_or_skipped_versions_do_no_harm() {
    let mut replica =
        replica(41, &[entry("a", Draining, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    let mut head = Head::default();
    head.hear(parse(&replica.snapshot().expect("a list")), NOW);
    let mut direct = Head::default();
    direct.hear(parse(&replica.snapshot().expect("a list")), NOW);
    let received = [
        list(40, true, &[entry("a", Ready, 0.0), entry("c", Ready, 0.0)]),
        list(41, false, &[entry("b", Ready, 0.0)]),
        list(41, true, &[entry("a", Draining, 0.0), entry("b", Ready, 0.0)]),
        list(60, false, &[]),
        list(43, false, &[entry("a", Ready, 0.0)]),
        list(60, false, &[entry("b", Draining, 0.0)]),
    ];
    for list in received {
        direct.hear(list.clone(), NOW + 1.0);
        let drains = list.version != 43 && head.state("a") == Some(Draining);
        let before = replica.version();
        let known = head.membership.version();
        let applied = replica.apply(list, NOW + 1.0).expect("applied");
        assert!(replica.version() >= before && !applied.renumbered);
        for record in records_since(&replica, known, NOW + 1.0) {
            assert!(record.version >= head.membership.version());
            head.hear(record, NOW + 1.0);
        }
        assert_eq!(head.membership.version(), replica.version());
        assert_eq!(head.listed, direct.listed);
        assert_eq!((head.state("a"), head.state("c")), (Some(if drains { Draining } else { Ready }), None));
    }
    assert_eq!((replica.version(), head.state("b")), (60, Some(Draining)));
    assert_eq!(replica.generation(), 0);
}

/// Given a source with its own numbering, when it has been behind for the time that membership states, then its complete list
/// stands: the generation is another, and nobody resumes from the old one's log.
#[test]
fn a_renumbered_source_resets_log_and_generation() {
    let mut replica =
        replica(900, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    replica.apply(list(901, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    let anew = [entry("a", Ready, 0.0), entry("c", Ready, 0.0)];
    replica.apply(list(1, true, &anew), NOW + 1.0).expect("applied");
    assert_eq!((replica.version(), replica.generation()), (901, 0));
    assert!(!replica.needs_relist(NOW + 1.0 + REWIND_AFTER_S - 0.1));
    assert!(replica.needs_relist(NOW + 1.0 + REWIND_AFTER_S));
    let applied = replica.apply(list(1, true, &anew), NOW + 1.0 + REWIND_AFTER_S).expect("applied");
    assert!(applied.renumbered);
    assert_eq!((replica.version(), replica.generation(), replica.log().len()), (1, 1, 0));
    let now = NOW + 1.0 + REWIND_AFTER_S;
    assert_eq!([replica.resume(901, now), replica.resume(0, now)], [Resume::WatcherAhead, Resume::Snapshot]);
    let snapshot = parse(&replica.snapshot().expect("a list"));
    let listed: Vec<(&str, NodeState)> =
        snapshot.entries.iter().map(|entry| (entry.name.as_str(), entry.state)).collect();
    assert_eq!(listed, [("a", Draining), ("c", Ready)]);
    replica.apply(list(2, false, &[entry("c", Draining, 0.0)]), now).expect("applied");
    assert_eq!(records_since(&replica, 1, now).len(), 1);
}

/// Given the lease, when its end comes, then the copy says of itself that it is not current, until upstream is heard.
#[test]
fn an_expired_lease_ends_serving() {
    let mut replica = Replica::new(ReplicaLimits::default());
    replica.renew_lease(NOW);
    assert_eq!((replica.status(NOW), replica.resume(0, NOW)), (ReplicaStatus::Empty, Resume::NotCurrent));
    replica.apply(list(41, false, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    assert_eq!(replica.status(NOW), ReplicaStatus::Empty, "changes alone are no list");
    replica.apply(list(41, true, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    let lease = replica.limits().lease_s;
    assert_eq!(replica.lease_expires_at(), Some(NOW + lease));
    assert_eq!(replica.status(NOW + lease - 0.001), ReplicaStatus::Current);
    assert_eq!(replica.status(NOW + lease), ReplicaStatus::Expired);
    assert_eq!(replica.resume(41, NOW + lease), Resume::NotCurrent);
    replica.renew_lease(NOW + lease + 1.0);
    assert_eq!(replica.status(NOW + lease + 1.0), ReplicaStatus::Current);
    // A word from the past does not shorten it.
    replica.renew_lease(NOW);
    assert_eq!(replica.lease_expires_at(), Some(NOW + 2.0 * lease + 1.0));
}
