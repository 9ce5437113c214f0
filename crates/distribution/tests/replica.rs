//! A relay's replica: the lists for its watchers, the versions from which they resume, and the lease.

use bytes::Bytes;
use flaxgap_distribution::replica::{ReadRecord, Replica, ReplicaLimits, ReplicaStatus, Resume};
use flaxgap_membership::compact::CompactList;
use flaxgap_membership::list::{EndpointList, Entry, EntryProblem, NodeState, UnreadableEntry};
use flaxgap_membership::{EntryChange, Membership, REWIND_AFTER_S, SourceCursor};
use std::collections::BTreeMap;

const NOW: f64 = 1000.0;

use NodeState::{Draining, Gone, Ready};

fn entry(name: &str, state: NodeState, started_at: f64) -> Entry {
    let address = Some(([10, 1, 0, 18], 8080).into());
    Entry { name: name.into(), address, zone: "a".into(), shard: Some(3), state, started_at }
}

fn list(version: u64, is_snapshot: bool, entries: &[Entry]) -> EndpointList {
    EndpointList { version, is_snapshot, entries: entries.to_vec(), unreadable: vec![] }
}

fn parse(text: &Bytes) -> EndpointList {
    assert_eq!(text.iter().filter(|byte| **byte == b'\n').count(), 1, "one line");
    assert_eq!(text.last(), Some(&b'\n'));
    EndpointList::parse(text).expect("a valid list")
}

/// A replica to which one complete list was applied.
fn replica(version: u64, entries: &[Entry], limits: ReplicaLimits) -> Replica {
    let mut replica = Replica::new(limits);
    replica.apply(list(version, true, entries), NOW).expect("applied");
    replica
}

/// The lists in the log that a watcher at version `since` is sent.
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

/// A head that applies each list that it receives.
#[derive(Default)]
struct Head {
    membership: Membership,
    source: SourceCursor,
    listed: BTreeMap<String, NodeState>,
}

impl Head {
    fn receive(&mut self, list: EndpointList, now: f64) {
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

/// Given a replica, when its complete list and its records are parsed, then they equal the lists from upstream, and the
/// encoding is that of the published protocol.
#[test]
fn lists_are_encoded_in_the_published_protocol() {
    let entries = [entry("a", Ready, 12.5), entry("b", Draining, 0.0)];
    let mut replica = replica(41, &entries, ReplicaLimits::default());
    let text = replica.snapshot().expect("a list");
    assert_eq!(
        std::str::from_utf8(&text).expect("valid UTF-8"),
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

/// Guards against an encoding per watcher: at the planned fleet size the list must be encoded once per version only.
#[test]
fn a_snapshot_is_encoded_once_for_each_version() {
    let mut replica = replica(41, &[entry("a", Ready, 0.0)], ReplicaLimits::default());
    let (first, second) = (replica.snapshot().expect("a list"), replica.snapshot().expect("a list"));
    assert_eq!(first.as_ptr(), second.as_ptr());
    replica.apply(list(42, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    let third = replica.snapshot().expect("a list");
    assert_eq!((parse(&third).version, parse(&third).entries[0].state), (42, Draining));
}

/// Given consecutive versions, when a watcher resumes from each of them, then it receives exactly the later ones.
#[test]
fn a_watcher_resumes_exactly_after_the_version_that_it_knows() {
    let mut replica = replica(41, &[entry("a", Ready, 0.0)], ReplicaLimits::default());
    for version in 42..50 {
        replica.apply(list(version, false, &[entry("a", Ready, version as f64)]), NOW).expect("applied");
    }
    for since in 41..50 {
        let versions: Vec<u64> =
            records_since(&replica, since, NOW).iter().map(|list| list.version).collect();
        assert_eq!(versions, (since + 1..50).collect::<Vec<_>>(), "since {since}");
    }
    assert_eq!(replica.resume(40, NOW), Resume::Snapshot);
    assert_eq!(replica.resume(0, NOW), Resume::Snapshot);
    assert_eq!(replica.resume(50, NOW), Resume::WatcherAhead);
}

/// Given more changes than the log may hold, by number or by bytes, when a watcher resumes, then it receives changes
/// from the compacted version on, and the complete list below that version. The log keeps its bounds at each step.
#[test]
fn the_log_keeps_its_bounds_and_serves_from_its_compacted_version() {
    let limited_records = ReplicaLimits { log_records: 5, ..ReplicaLimits::default() };
    let limited_bytes = ReplicaLimits { log_bytes: 700, ..ReplicaLimits::default() };
    for limits in [limited_records, limited_bytes] {
        let mut replica = replica(41, &[entry("a", Ready, 0.0)], limits.clone());
        for version in 42..100 {
            replica.apply(list(version, false, &[entry("a", Ready, version as f64)]), NOW).expect("applied");
            assert!(replica.log().bytes() <= limits.log_bytes && replica.log().len() <= limits.log_records);
            let compacted = replica.log().compacted_version();
            assert_eq!(compacted + replica.log().len() as u64, version);
            assert_eq!(records_since(&replica, compacted, NOW).len(), replica.log().len());
            assert_eq!(replica.resume(compacted - 1, NOW), Resume::Snapshot);
        }
        assert!(replica.log().compacted_version() >= 94, "the log was full");
    }
}

/// Given a change that exceeds the log's bound alone, when it is applied, then it is compacted at once, and watchers at
/// earlier versions are sent the complete list.
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

/// Given a complete list from upstream in place of changes, when it has a new version, then the record contains only
/// the entries that differ and the departed nodes.
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
    // The same list again causes no record.
    assert_eq!(replica.apply(list(42, true, &second), NOW).expect("applied").changed_entries, 0);
    assert_eq!(records_since(&replica, 41, NOW).len(), 1);
}

/// Given a node that drained and returned to ready in versions that the relay did not receive, when a watcher at a
/// version in between resumes, then it is sent the complete list, because the record of the difference omits the node.
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
    // A list of changes contains all nodes that changed in the skipped versions, and serves all watchers.
    replica.apply(list(47, false, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    let records = records_since(&replica, 45, NOW);
    assert_eq!((records[0].version, records[0].entries[0].name.as_str()), (47, "a"));
}

/// Given a list that is older than the replica and announces a drain, when it is applied, then heads at the replica's
/// version receive the drain; and when a list of the same version reverts it, all heads receive that with the next
/// version.
#[test]
fn a_late_drain_reaches_all_heads_and_is_reverted_for_all() {
    let ready = [entry("a", Ready, 0.0), entry("b", Ready, 0.0)];
    let mut replica = replica(41, &ready, ReplicaLimits::default());
    let (mut early, mut late) = (Head::default(), Head::default());
    early.receive(parse(&replica.snapshot().expect("a list")), NOW);
    let applied = replica.apply(list(40, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    assert!(applied.is_behind && applied.changed_entries == 1 && replica.version() == 41);
    for list in records_since(&replica, 41, NOW) {
        early.receive(list, NOW);
    }
    late.receive(parse(&replica.snapshot().expect("a list")), NOW);
    assert_eq!((early.state("a"), late.state("a")), (Some(Draining), Some(Draining)));
    // The source catches up without an entry for the node: the complete list is needed.
    replica.apply(list(41, false, &[]), NOW).expect("applied");
    assert!(replica.needs_relist(NOW));
    replica.apply(list(41, true, &ready), NOW).expect("applied");
    assert!(!replica.needs_relist(NOW));
    replica.apply(list(42, false, &[entry("b", Ready, 0.0)]), NOW).expect("applied");
    for list in records_since(&replica, 41, NOW) {
        early.receive(list.clone(), NOW);
        late.receive(list, NOW);
    }
    assert_eq!((early.state("a"), late.state("a")), (Some(Ready), Some(Ready)));
}

/// Given an entry that can't be parsed, when a head that knows the node receives the relay's complete list, then it
/// keeps the node; and when the node departs, then the head receives the departure.
#[test]
fn an_unparsed_entry_removes_no_node_from_a_head() {
    let unparsed = UnreadableEntry { index: 1, name: Some("b".into()), problem: EntryProblem::NameMissing };
    let mut replica = Replica::new(ReplicaLimits::default());
    let snapshot = EndpointList { unreadable: vec![unparsed], ..list(41, true, &[entry("a", Ready, 0.0)]) };
    let applied = replica.apply(snapshot, NOW).expect("applied");
    assert_eq!(applied.unparsed, 1);
    let mut head = Head::default();
    head.receive(list(40, true, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)]), NOW);
    head.receive(parse(&replica.snapshot().expect("a list")), NOW);
    assert_eq!(head.state("b"), Some(Ready));
    replica.apply(list(42, false, &[entry("b", Gone, 0.0)]), NOW).expect("applied");
    for list in records_since(&replica, 41, NOW) {
        head.receive(list, NOW);
    }
    assert_eq!(head.state("b"), None);
    assert_eq!(CompactList::from(parse(&replica.snapshot().expect("a list"))).names().count(), 1);
}

/// Given a list of changes in which a known node's entry can't be parsed, when it is applied, then the stored entry of
/// the node is unchanged.
#[test]
fn an_unparsed_change_leaves_the_known_entry() {
    let mut replica =
        replica(41, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    let unparsed = UnreadableEntry { index: 0, name: Some("a".into()), problem: EntryProblem::NameMissing };
    replica
        .apply(
            EndpointList { unreadable: vec![unparsed], ..list(42, false, &[entry("b", Draining, 0.0)]) },
            NOW,
        )
        .expect("applied");
    let snapshot = parse(&replica.snapshot().expect("a list"));
    let states: Vec<NodeState> = snapshot.entries.iter().map(|entry| entry.state).collect();
    assert_eq!((snapshot.version, states, snapshot.unreadable.len()), (42, vec![Ready, Draining], 0));
}

/// Given a drain without address, shard, zone and start time, when it is applied, then the missing fields are those of
/// the stored entry.
#[test]
fn a_drain_is_completed_from_the_known_entry() {
    let mut replica = replica(41, &[entry("a", Ready, 7.0)], ReplicaLimits::default());
    let incomplete = Entry { address: None, shard: None, zone: String::new(), ..entry("a", Draining, 0.0) };
    replica.apply(list(42, false, &[incomplete]), NOW).expect("applied");
    assert_eq!(parse(&replica.snapshot().expect("a list")).entries, [entry("a", Draining, 7.0)]);
}

/// Given versions that decrease, repeat and skip, when the lists are applied, then the replica's version never
/// decreases, and a head that watches the replica lists the same nodes as a head that watches upstream directly. An
/// entry that is newer than a node's drain ends the drain, also in a list that is behind.
#[test]
fn lists_with_stale_repeated_or_skipped_versions_do_no_harm() {
    let mut replica =
        replica(41, &[entry("a", Draining, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    let mut head = Head::default();
    head.receive(parse(&replica.snapshot().expect("a list")), NOW);
    let mut direct = Head::default();
    direct.receive(parse(&replica.snapshot().expect("a list")), NOW);
    let received = [
        list(40, true, &[entry("a", Ready, 0.0), entry("c", Ready, 0.0)]),
        list(41, false, &[entry("b", Ready, 0.0)]),
        list(41, true, &[entry("a", Draining, 0.0), entry("b", Ready, 0.0)]),
        list(60, false, &[]),
        list(43, false, &[entry("a", Ready, 0.0)]),
        list(60, false, &[entry("b", Draining, 0.0)]),
    ];
    for list in received {
        direct.receive(list.clone(), NOW + 1.0);
        let drains = list.version != 43 && head.state("a") == Some(Draining);
        let before = replica.version();
        let known = head.membership.version();
        let applied = replica.apply(list, NOW + 1.0).expect("applied");
        assert!(replica.version() >= before && !applied.renumbered);
        for record in records_since(&replica, known, NOW + 1.0) {
            assert!(record.version >= head.membership.version());
            head.receive(record, NOW + 1.0);
        }
        assert_eq!(head.membership.version(), replica.version());
        assert_eq!(head.listed, direct.listed);
        assert_eq!((head.state("a"), head.state("c")), (Some(if drains { Draining } else { Ready }), None));
    }
    assert_eq!((replica.version(), head.state("b")), (60, Some(Draining)));
    assert_eq!(replica.generation(), 0);
}

/// Given a source that restarts its numbering, when it has been behind for [`REWIND_AFTER_S`], then its complete list
/// is applied in a new generation, and no watcher resumes from the earlier log.
#[test]
fn a_renumbered_source_resets_log_and_generation() {
    let mut replica =
        replica(900, &[entry("a", Ready, 0.0), entry("b", Ready, 0.0)], ReplicaLimits::default());
    replica.apply(list(901, false, &[entry("a", Draining, 0.0)]), NOW).expect("applied");
    let renumbered = [entry("a", Ready, 0.0), entry("c", Ready, 0.0)];
    replica.apply(list(1, true, &renumbered), NOW + 1.0).expect("applied");
    assert_eq!((replica.version(), replica.generation()), (901, 0));
    assert!(!replica.needs_relist(NOW + 1.0 + REWIND_AFTER_S - 0.1));
    assert!(replica.needs_relist(NOW + 1.0 + REWIND_AFTER_S));
    let applied = replica.apply(list(1, true, &renumbered), NOW + 1.0 + REWIND_AFTER_S).expect("applied");
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

/// Given a lease, when it expires, then the replica is not current until a message from upstream renews the lease.
#[test]
fn an_expired_lease_ends_serving() {
    let mut replica = Replica::new(ReplicaLimits::default());
    replica.renew_lease(NOW);
    assert_eq!((replica.status(NOW), replica.resume(0, NOW)), (ReplicaStatus::Empty, Resume::NotCurrent));
    replica.apply(list(41, false, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    assert_eq!(replica.status(NOW), ReplicaStatus::Empty, "changes without a complete list");
    replica.apply(list(41, true, &[entry("a", Ready, 0.0)]), NOW).expect("applied");
    let lease = replica.limits().lease_s;
    assert_eq!(replica.lease_expires_at(), Some(NOW + lease));
    assert_eq!(replica.status(NOW + lease - 0.001), ReplicaStatus::Current);
    assert_eq!(replica.status(NOW + lease), ReplicaStatus::Expired);
    assert_eq!(replica.resume(41, NOW + lease), Resume::NotCurrent);
    replica.renew_lease(NOW + lease + 1.0);
    assert_eq!(replica.status(NOW + lease + 1.0), ReplicaStatus::Current);
    // A renewal at an earlier time does not shorten the lease.
    replica.renew_lease(NOW);
    assert_eq!(replica.lease_expires_at(), Some(NOW + 2.0 * lease + 1.0));
}
