//! Scheduler behaviour on failures and on unusual or invalid input.

mod common;
use common::*;
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Endpoint, Event, IoRequest, LoadReport, NodeId, NodeState, PlanId,
    RequestId, SchedulerSettings, ShardId, SlowStartSettings, UpdateKind, VolumeId,
};

#[test]
fn an_unreachable_node_gets_few_attempts() {
    let mut harness = Harness::new(settings());
    let mut attempts = 0;
    for id in 0..100 {
        let mut sent_ids = sent(&harness.submit(request(id, IDEMPOTENT)));
        sent_ids.extend(sent(&harness.advance(0.02)));
        for id in sent_ids {
            attempts += 1;
            harness.handle(vec![Event::AttemptEnded {
                request: RequestId(id),
                attempt: 0,
                outcome: AttemptOutcome::ConnectFailed,
                elapsed_s: 0.0,
                request_done: false,
                not_resendable: false,
                usage: None,
                usage_elsewhere: 0.0,
                load_report: LoadReport::default(),
            }]);
        }
    }
    assert!((2..20).contains(&attempts), "{attempts} attempts at an unreachable node in two seconds");
}

#[test]
fn a_replacement_node_serves_the_requests_that_wait_for_its_shard() {
    let mut harness = Harness::new(settings());
    let gone = Endpoint { state: NodeState::Gone, ..node(NODE.0, 0) };
    harness.update_endpoints(UpdateKind::Changes, vec![gone]);
    assert!(sent(&harness.submit(request(1, IDEMPOTENT))).is_empty());
    let actions = harness.update_endpoints(UpdateKind::Changes, vec![node(99, 0)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { node: NodeId(99), .. })));
}

#[test]
fn a_failed_poll_is_repeated_with_backoff_and_the_list_polled_at_the_start() {
    let mut config = settings();
    config.poll_interval_s = Some(10.0);
    let polls = |actions: &[Action]| actions.iter().filter(|a| **a == Action::PollEndpoints).count();
    let mut first = Vec::new();
    let list = Event::EndpointUpdate { kind: UpdateKind::CachedSnapshot, endpoints: vec![] };
    let fresh = flaxgap::Scheduler::new(config.clone(), 7, 100.0);
    fresh.expect("settings that can be served").handle(100.0, &[list], &mut first);
    assert_eq!(polls(&first), 1, "polled at the start, in spite of a cached list");
    let mut harness = Harness::new(config);
    harness.now += 0.002;
    let mut early = 0;
    for _ in 0..4 {
        early += polls(&harness.update_endpoints(UpdateKind::PollFailed, vec![]));
        early += polls(&harness.advance(0.2));
    }
    assert_eq!(early, 0, "not within the first back-off");
    assert_eq!(polls(&harness.advance(9.0)), 1);
    harness.update_endpoints(UpdateKind::Snapshot, vec![node(NODE.0, 0)]);
    assert_eq!(polls(&harness.advance(60.0)), 0, "no poll after a successful one");
}

#[test]
fn events_for_unknown_requests_and_nodes_are_ignored() {
    let mut harness = Harness::new(settings());
    harness.submit(request(1, IDEMPOTENT));
    for (id, attempt) in [(1, 7), (42, 0)] {
        assert!(sent(&harness.end_attempt(id, attempt, AttemptOutcome::Ok, 0.1)).is_empty());
    }
    harness.end_attempt(1, 0, AttemptOutcome::Ok, 0.1);
    assert!(
        sent(&harness.end_attempt(1, 0, AttemptOutcome::Error, 0.1)).is_empty(),
        "the attempt has already ended"
    );
    harness.handle(vec![
        Event::ClientDisconnected { request: RequestId(9) },
        Event::StreamingStarted { request: RequestId(9) },
        Event::HealthChecked { node: NodeId(5), healthy: true, load_report: LoadReport::default() },
    ]);
    let unknown_class = IoRequest { class: ClassId(9), plan: PlanId(9), ..request(2, IDEMPOTENT) };
    assert_eq!(rejected(&harness.submit(unknown_class)), [2]);
}

#[test]
fn unusual_requests_are_served_or_rejected_once() {
    let mut harness = Harness::new(settings());
    let requests = [
        IoRequest { units: 0.0, ..request(1, IDEMPOTENT) },
        IoRequest { units: f64::NAN, heads: 0, ..request(2, IDEMPOTENT) },
        IoRequest { plan: PlanId(77), extent: None, ..request(3, IDEMPOTENT) },
        IoRequest { shard: Some(ShardId(4000)), ..request(4, IDEMPOTENT) },
        IoRequest { remaining_s: 0.0, ..request(5, IDEMPOTENT) },
        IoRequest { units: 1e9, plan: LIMITED, ..request(6, IDEMPOTENT) },
    ];
    let actions = harness.handle(requests.into_iter().map(Event::RequestArrived).collect());
    assert_eq!(sent(&actions), [1, 2, 3]);
    assert_eq!(rejected(&actions), [5, 6], "no time left, and more units than the limit's burst");
    for id in [1, 2, 3] {
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.0);
    }
    let mut late = rejected(&harness.advance(1.1));
    late.sort();
    assert_eq!(late, [4]);
}

#[test]
fn extreme_settings_are_accepted() {
    let mut config = settings();
    config.classes.truncate(1);
    config.plans.clear();
    (config.heads, config.mechanisms.health_checks, config.load_reports_in_answers, config.tick_s) =
        (1, true, false, 0.0);
    config.slow_start = SlowStartSettings {
        units: 0.0,
        window_s: 0.0,
        initial_capacity: 0.0,
        warm_up_s: 0.0,
        overload_factor: 2.5,
    };
    let mut harness = Harness::new(config);
    assert_eq!(sent(&harness.submit(request(1, IDEMPOTENT))), [1]);
    assert!(
        harness.end_attempt(1, 0, AttemptOutcome::Ok, 0.1).iter().all(|a| matches!(a, Action::WakeUp { .. }))
    );
}

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    let rejected_field = |change: fn(&mut SchedulerSettings)| {
        let mut config = settings();
        change(&mut config);
        flaxgap::Scheduler::new(config, 1, 0.0).err().map(|e| e.field)
    };
    assert_eq!(rejected_field(|s| s.classes[1].deadline_s = 0.0).as_deref(), Some("classes[1].deadline"));
    assert_eq!(rejected_field(|s| s.plans[0].reserve = -1.0).as_deref(), Some("plans[0].reserve"));
    assert_eq!(rejected_field(|s| s.classes.clear()).as_deref(), Some("classes"));
    assert_eq!(rejected_field(|s| s.slow_start.window_s = f64::NAN).as_deref(), Some("slow_start.window"));
    assert_eq!(rejected_field(|_| ()), None);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = Harness::with_nodes(settings(), vec![node(10, 0), node(11, 1), node(12, 2)]);
        let mut all = Vec::new();
        for id in 0..60 {
            all.extend(harness.submit(IoRequest { shard: None, ..request(id, NOT_IDEMPOTENT) }));
            all.extend(harness.advance(0.01));
            all.extend(harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn after_a_cached_list_the_next_complete_list_replaces_it() {
    let mut harness = Harness::with_nodes(settings(), vec![node(10, 0), node(11, 1)]);
    let cold = Endpoint { started_at: 99.9, ..node(20, 0) };
    harness.update_endpoints(UpdateKind::Snapshot, vec![cold]);
    let big = IoRequest { units: 8.0, remaining_s: 9.0, ..request(1, IDEMPOTENT) };
    let mut first = sent(&harness.submit(big));
    first.extend(sent(&harness.advance(1.7)));
    assert_eq!(first, [1], "8 units at this head's share of a starting node's capacity, 5 units/s");
    assert!(
        sent(&harness.submit(IoRequest { units: 8.0, ..request(2, IDEMPOTENT) })).is_empty(),
        "the share is used up"
    );
    assert!(
        sent(&harness.submit(IoRequest { shard: Some(ShardId(1)), ..request(3, IDEMPOTENT) })).is_empty()
    );
}

#[test]
fn no_request_is_lost_while_the_clock_stands_still() {
    let mut harness = Harness::new(settings());
    for id in 0..50 {
        harness.submit(request(id, IDEMPOTENT));
    }
    let mut served = 0;
    for id in 0..50 {
        harness.handle(vec![Event::WakeUp]);
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.0);
        served += 1;
    }
    let rest = harness.advance(1.1);
    assert!(
        rejected(&rest).is_empty() && failed(&rest).is_empty(),
        "not all of the {served} requests were served"
    );
}

#[test]
fn a_long_list_with_duplicates_and_unknown_shards_is_applied() {
    let mut list: Vec<Endpoint> = (0..4000).map(|i| node(100 + u64::from(i), i)).collect();
    list.extend((0..2000).map(|i| node(100 + u64::from(i), i)));
    list.push(node(9, u32::MAX));
    let mut harness = Harness::with_nodes(settings(), list);
    let actions = harness.submit(IoRequest { shard: Some(ShardId(1999)), ..request(1, IDEMPOTENT) });
    assert!(actions.iter().any(|a| matches!(a, Action::Send { node: NodeId(2099), .. })));
    assert!(
        sent(&harness.submit(IoRequest { shard: Some(ShardId(5000)), ..request(2, IDEMPOTENT) })).is_empty()
    );
}

#[test]
fn a_volume_whose_requests_later_state_more_heads_keeps_the_smaller_share() {
    let mut harness = Harness::new(settings());
    harness.advance(20.0);
    let mut units = 0.0;
    for (id, heads) in [(1, 1), (2, 4), (3, 4), (4, 4), (5, 1)] {
        let limited = IoRequest { plan: LIMITED, volume: VolumeId(9), heads, ..request(id, IDEMPOTENT) };
        units += 2.0 * sent(&harness.submit(limited)).len() as f64;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.001);
    }
    assert!(
        (2.0..=6.0).contains(&units),
        "{units}: the initial share with four heads, after one request that stated one head"
    );
}

/// Guards against an attempt on a stalled connection that holds up the node's queue.
#[test]
fn an_overdue_attempt_is_cancelled_once_its_node_answered_later_ones() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(1, IDEMPOTENT))), [1]);
    let mut actions = Vec::new();
    for id in 2..=5 {
        actions.extend(harness.advance(0.01));
        actions.extend(harness.submit(request(id, IDEMPOTENT)));
        actions.extend(harness.advance(0.01));
        actions.extend(harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01));
    }
    assert_eq!(sent(&actions), [2, 3, 4, 5]);
    let cancelled = Action::Cancel { request: RequestId(1), attempt: 0 };
    assert!(!actions.contains(&cancelled), "not overdue yet");
    let later = harness.advance(0.3);
    assert_eq!(later.iter().filter(|a| **a == cancelled).count(), 1);
    assert_eq!(
        sent(&harness.end_attempt(1, 0, AttemptOutcome::Cancelled, 0.3)),
        [1],
        "the request is retried"
    );
}

/// Guards against late requests that occupy the connections which clients need for reserved work.
#[test]
fn late_work_is_rejected_at_once_while_half_the_clients_connections_wait() {
    let mut config = settings();
    config.max_pending = 20;
    let mut harness = Harness::with_nodes(config, vec![]);
    let late = |id| IoRequest { remaining_s: 0.7, ..request(id, IDEMPOTENT) };
    harness.submit(late(0));
    assert!(rejected(&harness.advance(0.1)).is_empty(), "a late request may wait while few are pending");
    for id in 1..10 {
        assert!(rejected(&harness.submit(request(id, IDEMPOTENT))).is_empty());
    }
    let both = vec![Event::RequestArrived(late(10)), Event::RequestArrived(request(11, IDEMPOTENT))];
    assert_eq!(rejected(&harness.handle(both)), [0]);
    assert_eq!(rejected(&harness.advance(0.004)), [10], "requests in time may still wait");
}
