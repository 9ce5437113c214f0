//! The state machine of one watch: the lines and heartbeats that it sends, when it sends nothing, and when it ends.

use flaxgap_distribution::replica::{Replica, ReplicaLimits};
use flaxgap_distribution::watcher::{EndReason, StallAction, WatchAction, Watcher};
use flaxgap_membership::REWIND_AFTER_S;
use flaxgap_membership::list::{EndpointList, Entry, NodeState};

const NOW: f64 = 1000.0;

fn entry(started_at: f64) -> Entry {
    let address = Some(([10, 1, 0, 18], 8080).into());
    Entry { name: "a".into(), address, zone: "a".into(), shard: Some(3), state: NodeState::Ready, started_at }
}

fn list(version: u64, is_snapshot: bool) -> EndpointList {
    EndpointList { version, is_snapshot, entries: vec![entry(version as f64)], unreadable: vec![] }
}

fn replica() -> Replica {
    let mut replica = Replica::new(ReplicaLimits::default());
    replica.apply(list(41, true), NOW).expect("applied");
    replica
}

/// The version of the list that an action sends.
fn sent_version(action: WatchAction) -> u64 {
    let WatchAction::Send(text) = action else { panic!("no list is sent: {action:?}") };
    EndpointList::parse(&text).expect("a valid list").version
}

/// Checks the first list of a watch that knows the replica's version: a list of that version without entries.
fn assert_no_changes(action: WatchAction, version: u64) {
    let WatchAction::Send(text) = action else { panic!("no list is sent: {action:?}") };
    let expected = EndpointList { version, is_snapshot: false, entries: vec![], unreadable: vec![] };
    assert_eq!(EndpointList::parse(&text).expect("a valid list"), expected);
}

/// Given no changes, when time passes, then the watch sends a list without entries at once, and a heartbeat every 2 s.
#[test]
fn an_idle_watch_gets_a_heartbeat_every_2_s() {
    let mut replica = replica();
    let mut watcher = Watcher::new(41, replica.generation(), NOW);
    assert_no_changes(watcher.poll(&replica, NOW), 41);
    let (mut heartbeats, mut now) = (Vec::new(), NOW);
    while now < NOW + 7.0 {
        replica.renew_lease(now);
        match watcher.poll(&replica, now) {
            WatchAction::Heartbeat => heartbeats.push(now - NOW),
            WatchAction::Wait { until } => now = until,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(heartbeats, [2.0, 4.0, 6.0]);
}

/// Given changes, when a watch is polled, then it sends each change once, in order, and the next heartbeat is due 2 s
/// after the last change.
#[test]
fn each_change_is_sent_once_in_order() {
    let mut replica = replica();
    let mut watcher = Watcher::new(41, replica.generation(), NOW);
    for version in 42..45 {
        replica.apply(list(version, false), NOW).expect("applied");
    }
    assert_eq!([42, 43, 44], [(); 3].map(|()| sent_version(watcher.poll(&replica, NOW + 1.0))));
    assert_eq!(watcher.poll(&replica, NOW + 1.0), WatchAction::Wait { until: NOW + 3.0 });
    replica.apply(list(45, false), NOW + 1.5).expect("applied");
    assert_eq!(sent_version(watcher.poll(&replica, NOW + 1.5)), 45);
}

/// Given a watch at a compacted version, when it is polled, then it requests the complete list once, sends heartbeats
/// until the request is admitted, and continues after the version of the complete list.
#[test]
fn a_watch_waits_for_the_snapshot_and_follows_the_log_after_it() {
    let mut replica = replica();
    let mut watcher = Watcher::new(7, replica.generation(), NOW);
    assert_eq!(watcher.poll(&replica, NOW), WatchAction::RequestSnapshot);
    assert_eq!(watcher.poll(&replica, NOW), WatchAction::Heartbeat);
    replica.apply(list(42, false), NOW + 1.0).expect("applied");
    assert_eq!(watcher.poll(&replica, NOW + 1.0), WatchAction::Wait { until: NOW + 2.0 });
    let snapshot = watcher.take_snapshot(&mut replica, NOW + 1.0).expect("encoded").expect("current");
    assert_eq!(EndpointList::parse(&snapshot).expect("a valid list").version, 42);
    assert_eq!(watcher.poll(&replica, NOW + 1.0), WatchAction::Wait { until: NOW + 3.0 });
    replica.apply(list(43, false), NOW + 1.0).expect("applied");
    assert_eq!(sent_version(watcher.poll(&replica, NOW + 1.0)), 43);
}

/// Given a request for the complete list that is admitted after the lease has expired, when the list is taken, then
/// nothing is sent, and the watch requests the list again once the replica is current.
#[test]
fn no_snapshot_is_sent_after_the_lease_expired() {
    let mut replica = replica();
    let mut watcher = Watcher::new(7, replica.generation(), NOW);
    assert_eq!(watcher.poll(&replica, NOW), WatchAction::RequestSnapshot);
    let expired_at = NOW + replica.limits().lease_s;
    assert_eq!(watcher.take_snapshot(&mut replica, expired_at).expect("encoded"), None);
    assert!(matches!(watcher.poll(&replica, expired_at), WatchAction::Wait { .. }));
    replica.renew_lease(expired_at);
    assert_eq!(watcher.poll(&replica, expired_at), WatchAction::RequestSnapshot);
}

/// Given an expired lease, when a watch is polled at any later time, then it sends neither a change nor a heartbeat.
#[test]
fn nothing_is_sent_after_the_lease_expired() {
    let mut replica = replica();
    let mut following = Watcher::new(41, replica.generation(), NOW);
    assert_no_changes(following.poll(&replica, NOW), 41);
    replica.apply(list(42, false), NOW + 0.5).expect("applied");
    let mut starting = Watcher::new(42, replica.generation(), NOW);
    let mut ahead = Watcher::new(43, replica.generation(), NOW);
    let expires_at = replica.lease_expires_at().expect("a lease");
    for tenths in 0..100 {
        let now = expires_at + f64::from(tenths) / 10.0;
        for watcher in [&mut following, &mut starting, &mut ahead] {
            assert!(matches!(watcher.poll(&replica, now), WatchAction::Wait { .. }), "at {now}");
        }
    }
    replica.renew_lease(expires_at + 10.0);
    assert_eq!(sent_version(following.poll(&replica, expires_at + 10.0)), 42);
}

/// Given a watch that knows a newer version than the replica, when the replica reaches that version in time, then the
/// watch starts with a list without changes and needs no complete list. Until then it sends heartbeats only.
#[test]
fn a_watch_that_is_ahead_is_waited_for() {
    let mut replica = replica();
    let mut watcher = Watcher::new(43, replica.generation(), NOW);
    assert_eq!(watcher.poll(&replica, NOW), WatchAction::Heartbeat);
    replica.apply(list(42, false), NOW + 1.0).expect("applied");
    assert_eq!(watcher.poll(&replica, NOW + 1.0), WatchAction::Wait { until: NOW + 2.0 });
    replica.apply(list(43, false), NOW + 3.0).expect("applied");
    assert_no_changes(watcher.poll(&replica, NOW + 3.0), 43);
    replica.apply(list(44, false), NOW + 3.0).expect("applied");
    assert_eq!(sent_version(watcher.poll(&replica, NOW + 3.0)), 44);
}

/// Given a watch that stays ahead of the replica, when `catch_up_s` has passed, then it requests the complete list, and
/// not before.
#[test]
fn a_watch_that_stays_ahead_gets_the_snapshot_in_time() {
    let mut replica = replica();
    let mut watcher = Watcher::new(43, replica.generation(), NOW);
    let (mut now, mut polls) = (NOW, 0);
    let requested_at = loop {
        polls += 1;
        assert!(polls <= 20, "complete list not requested by {now}");
        replica.renew_lease(now);
        match watcher.poll(&replica, now) {
            WatchAction::Heartbeat => {}
            WatchAction::Wait { until } => now = until,
            WatchAction::RequestSnapshot => break now,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(requested_at, NOW + replica.limits().catch_up_s);
}

/// Given a reader that accepts no data, when its time limit is over, then the watch ends. The time limit restarts when
/// the reader accepts data.
#[test]
fn a_slow_reader_is_disconnected() {
    let mut replica = replica();
    let mut watcher = Watcher::new(41, replica.generation(), NOW);
    replica.apply(list(42, false), NOW).expect("applied");
    assert_eq!(sent_version(watcher.poll(&replica, NOW)), 42);
    let limit = replica.limits().slow_reader_s;
    assert_eq!(watcher.write_stalled(&replica, NOW), StallAction::Wait { until: NOW + limit });
    assert_eq!(watcher.write_stalled(&replica, NOW + limit - 1.0), StallAction::Wait { until: NOW + limit });
    watcher.write_progressed();
    assert_eq!(watcher.write_stalled(&replica, NOW + limit), StallAction::Wait { until: NOW + 2.0 * limit });
    assert_eq!(watcher.write_stalled(&replica, NOW + 2.0 * limit), StallAction::End(EndReason::SlowReader));
}

/// Given a watch whose position in the log was compacted, when it is polled or its write is stalled, then it ends, and
/// a new watch may request the complete list.
#[test]
fn a_watch_whose_position_was_compacted_ends() {
    let mut replica = Replica::new(ReplicaLimits { log_records: 3, ..ReplicaLimits::default() });
    replica.apply(list(41, true), NOW).expect("applied");
    let mut watcher = Watcher::new(41, replica.generation(), NOW);
    let mut stalled = Watcher::new(41, replica.generation(), NOW);
    assert_no_changes(watcher.poll(&replica, NOW), 41);
    assert_no_changes(stalled.poll(&replica, NOW), 41);
    for version in 42..45 {
        replica.apply(list(version, false), NOW).expect("applied");
    }
    assert!(matches!(stalled.write_stalled(&replica, NOW), StallAction::Wait { .. }));
    replica.apply(list(45, false), NOW).expect("applied");
    assert_eq!(watcher.poll(&replica, NOW), WatchAction::End(EndReason::TooFarBehind));
    assert_eq!(stalled.write_stalled(&replica, NOW), StallAction::End(EndReason::TooFarBehind));
    let mut reopened = Watcher::new(41, replica.generation(), NOW);
    assert_eq!(reopened.poll(&replica, NOW), WatchAction::RequestSnapshot);
}

/// Given a source that restarts its numbering, when watches of the earlier generation are polled, stalled or given the
/// complete list, then they end without sending it.
#[test]
fn watches_of_an_earlier_generation_end() {
    let mut replica = Replica::new(ReplicaLimits::default());
    replica.apply(list(900, true), NOW).expect("applied");
    let generation = replica.generation();
    let mut watchers = [900, 7, 950].map(|since| Watcher::new(since, generation, NOW));
    for watcher in &mut watchers {
        watcher.poll(&replica, NOW);
    }
    replica.apply(list(1, true), NOW).expect("applied");
    let now = NOW + REWIND_AFTER_S;
    assert!(replica.apply(list(1, true), now).expect("applied").renumbered);
    for watcher in &mut watchers {
        assert_eq!(watcher.take_snapshot(&mut replica, now).expect("encoded"), None);
        assert_eq!(watcher.write_stalled(&replica, now), StallAction::End(EndReason::Renumbered));
        assert_eq!(watcher.poll(&replica, now), WatchAction::End(EndReason::Renumbered));
    }
}
