//! Edge cases of the scheduler's seven rules.

mod common;
use common::*;
use flaxgap::scheduler::{
    Action, AttemptOutcome, Endpoint, Event, ExtentId, IoRequest, NodeState, RequestId, RetryBudget,
    SchedulerSettings, UpdateKind, VolumeId,
};

/// Guards against a client that waits in vain: a rejection after half of the deadline costs more than the wait can gain.
#[test]
fn late_work_that_was_never_sent_is_rejected_before_half_its_time() {
    let mut harness = Harness::with_nodes(settings(), vec![]);
    let mut short = request(1, IDEMPOTENT);
    short.remaining_s = 0.25;
    assert!(harness.submit(short).iter().all(|a| matches!(a, Action::WakeUp { .. })));
    assert!(rejected(&harness.advance(0.11)).is_empty());
    assert_eq!(rejected(&harness.advance(0.006)), [1]);
    assert!(rejected(&harness.advance(2.0)).is_empty(), "answered only once");
}

#[test]
fn a_request_that_was_sent_before_is_answered_before_its_own_deadline() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(1, IDEMPOTENT))), [1]);
    harness.update_endpoints(UpdateKind::Snapshot, vec![]);
    harness.now += 0.01;
    harness.end_attempt(1, 0, AttemptOutcome::Rejected, 0.01);
    assert!(rejected(&harness.advance(0.98)).is_empty(), "a node may still become available");
    assert_eq!(rejected(&harness.advance(0.007)), [1]);
    assert!(harness.now < 101.0);
}

#[test]
fn a_timeout_at_the_deadline_is_answered_at_once() {
    let mut harness = Harness::new(settings());
    for (id, class) in [(1, IDEMPOTENT), (2, NOT_IDEMPOTENT)] {
        assert_eq!(sent(&harness.submit(request(id, class))), [id]);
    }
    harness.now += 0.999;
    assert_eq!(rejected(&harness.end_attempt(1, 0, AttemptOutcome::Timeout, 0.999)), [1]);
    harness.now += 2.0;
    assert_eq!(failed(&harness.end_attempt(2, 0, AttemptOutcome::Timeout, 2.999)), [2]);
}

#[test]
fn an_answer_is_given_even_if_the_outcome_is_late() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(2, NOT_IDEMPOTENT))), [2]);
    assert_eq!(failed(&harness.advance(3.002)), [2]);
    let late = harness.end_attempt(2, 0, AttemptOutcome::Timeout, 3.01);
    assert!(sent(&late).is_empty() && failed(&late).is_empty() && rejected(&late).is_empty());
}

#[test]
fn a_request_that_is_not_idempotent_is_retried_only_if_it_never_ran() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(1, NOT_IDEMPOTENT))), [1]);
    harness.now += 0.01;
    assert!(failed(&harness.end_attempt(1, 0, AttemptOutcome::Rejected, 0.01)).is_empty());
    assert_eq!(sent(&harness.advance(0.2)), [1], "rejected by the node before it ran: retried");
    assert_eq!(
        failed(&harness.end_attempt(1, 1, AttemptOutcome::Reset, 0.01)),
        [1],
        "may have run: not retried"
    );
    assert!(sent(&harness.advance(1.0)).is_empty());
}

#[test]
fn a_request_with_a_key_is_retried_within_its_window_only() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(1, WITH_KEY))), [1]);
    harness.now += 0.1;
    let again = harness.end_attempt(1, 0, AttemptOutcome::Error, 0.1);
    assert_eq!(sent(&again), [1]);
    harness.now += 0.95;
    let end = harness.end_attempt(1, 1, AttemptOutcome::Error, 0.95);
    assert!(sent(&end).is_empty());
    let later = harness.advance(1.0);
    assert!(sent(&later).is_empty() && rejected(&later).is_empty(), "past the window of the first send");
    assert_eq!(failed(&end).len() + failed(&later).len(), 1, "it may have run: failed, never rejected");
}

#[test]
fn no_new_attempt_is_sent_to_a_draining_node() {
    let mut harness = Harness::new(settings());
    let queued: Vec<Event> = (1..20).map(|id| Event::RequestArrived(request(id, IDEMPOTENT))).collect();
    let out = sent(&harness.handle(queued));
    assert!(!out.is_empty() && out.len() < 19, "some wait");
    let mut info = node(NODE.0, 0);
    info.state = NodeState::Draining;
    harness.update_endpoints(UpdateKind::Changes, vec![info]);
    for id in out {
        assert!(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01)).is_empty());
    }
    let end = harness.advance(1.1);
    assert!(sent(&end).is_empty());
    assert!(!rejected(&end).is_empty());
}

#[test]
fn a_node_missing_from_a_snapshot_gets_no_attempt() {
    let mut harness = Harness::new(settings());
    harness.update_endpoints(UpdateKind::Snapshot, vec![node(11, 1)]);
    assert!(sent(&harness.submit(request(1, IDEMPOTENT))).is_empty());
}

#[test]
fn a_starting_node_gets_at_most_this_heads_share_of_its_units() {
    let mut cold = node(NODE.0, 0);
    cold.started_at = 100.0;
    let mut harness = Harness::with_nodes(settings(), vec![cold]);
    harness.now += 0.1;
    let mut units = 0.0;
    for id in 0..200 {
        for id in sent(&harness.submit(request(id, IDEMPOTENT))) {
            units += 2.0;
            harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.15);
        }
        harness.now += 0.009;
    }
    assert!(units > 0.0 && units <= 30.0 / 3.0 + 2.0, "sent {units} units within one window");
}

#[test]
fn an_ordered_extent_runs_one_request_at_a_time_and_pauses_after_a_timeout() {
    let mut config = settings();
    config.classes[2].ordered = true;
    let mut harness = Harness::new(config);
    let arrival = |harness: &mut Harness, id| {
        let mut r = request(id, NOT_IDEMPOTENT);
        r.extent = Some(ExtentId(77));
        harness.submit(r)
    };
    assert_eq!(sent(&arrival(&mut harness, 1)), [1]);
    assert!(sent(&arrival(&mut harness, 2)).is_empty());
    assert!(sent(&arrival(&mut harness, 3)).is_empty());
    harness.now += 0.05;
    assert_eq!(failed(&harness.end_attempt(1, 0, AttemptOutcome::Timeout, 0.05)), [1]);
    assert!(sent(&harness.advance(0.098)).is_empty(), "the extent is paused");
    assert_eq!(sent(&harness.advance(0.006)), [2]);
    assert_eq!(sent(&harness.end_attempt(2, 0, AttemptOutcome::Ok, 0.05)), [3]);
}

#[test]
fn the_order_of_an_extent_holds_while_a_cancelled_request_has_an_attempt_in_flight() {
    let mut config = settings();
    config.classes[2].ordered = true;
    let mut harness = Harness::new(config);
    for id in [1, 2] {
        let mut r = request(id, NOT_IDEMPOTENT);
        r.extent = Some(ExtentId(77));
        harness.submit(r);
    }
    harness.handle(vec![Event::ClientDisconnected { request: RequestId(1) }]);
    assert!(sent(&harness.advance(0.3)).is_empty());
    harness.end_attempt(1, 0, AttemptOutcome::Cancelled, 0.3);
    assert!(sent(&harness.advance(0.09)).is_empty());
    assert_eq!(sent(&harness.advance(0.02)), [2]);
}

#[test]
fn the_retry_budget_is_not_exceeded() {
    let mut config = settings();
    config.retry_budget = Some(RetryBudget { min_retries: 2.0, ratio: 0.0, window_s: 5.0 });
    let mut harness = Harness::new(config);
    let mut retries = 0;
    for id in 0..6 {
        assert_eq!(sent(&harness.submit(request(id, IDEMPOTENT))), [id]);
        retries += sent(&harness.end_attempt(id, 0, AttemptOutcome::Error, 0.01)).len();
        for attempt in 1..3 {
            retries += sent(&harness.end_attempt(id, attempt, AttemptOutcome::Error, 0.01)).len();
        }
        harness.now += 0.1;
    }
    assert_eq!(retries, 2);
    harness.now += 5.0;
    assert_eq!(sent(&harness.submit(request(9, IDEMPOTENT))), [9]);
    assert_eq!(sent(&harness.end_attempt(9, 0, AttemptOutcome::Error, 0.01)), [9], "the window has moved on");
}

#[test]
fn a_limit_holds_after_a_start_and_is_split_among_heads() {
    // An even share of two heads is 3 units/s, plus at the start the head's share of the initial burst and the slack.
    let mut harness = Harness::new(settings());
    let mut units = 0.0;
    for id in 0..500 {
        let mut r = request(id, IDEMPOTENT);
        (r.plan, r.heads, r.volume) = (LIMITED, 2, VolumeId(9));
        let mut now = sent(&harness.submit(r));
        now.extend(sent(&harness.advance(0.02)));
        while let Some(id) = now.pop() {
            units += 2.0;
            now.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01)));
        }
        let passed = harness.now - 100.0;
        assert!(units <= 3.0 * passed + 5.25, "{units} units in {passed} s");
    }
    assert!(units > 20.0, "the limit is used");
}

/// Guards against exceeding a limit while a zone is cut off. A request whose attempt did not reach a node, or was lost on
/// the way, is charged again for its retry. If only the first attempt is charged, the volume's bucket has refilled by the
/// time of the retry, and the retry and a full burst are sent at once.
#[test]
fn an_attempt_that_reached_no_node_is_charged_again_when_it_is_retried() {
    for outcome in [AttemptOutcome::ConnectFailed, AttemptOutcome::Reset, AttemptOutcome::Timeout] {
        let mut harness = Harness::new(settings());
        let limited = |id| IoRequest { plan: LIMITED, volume: VolumeId(9), ..request(id, IDEMPOTENT) };
        let first = IoRequest { units: 10.48, ..limited(9) };
        assert_eq!(sent(&harness.submit(first)), [9], "the initial burst and the slack");
        let again = harness.end_attempt(9, 0, outcome, 0.001);
        let (sent, rejected) = (sent(&again), rejected(&again));
        assert_eq!(
            (sent, rejected),
            (vec![], vec![9]),
            "{outcome:?}: the bucket does not refill in time for the retry"
        );
    }
}

#[test]
fn a_retry_of_a_received_request_is_not_charged_to_the_limit() {
    let mut harness = Harness::new(settings());
    let limited = |id| IoRequest { plan: LIMITED, volume: VolumeId(9), ..request(id, IDEMPOTENT) };
    let first = IoRequest { units: 10.48, ..limited(9) };
    assert_eq!(sent(&harness.submit(first)), [9], "the initial burst and the slack");
    harness.end_attempt(9, 0, AttemptOutcome::Ok, 0.001);
    assert!(sent(&harness.submit(limited(1))).is_empty(), "the bucket is empty");
    assert!(sent(&harness.advance(0.36)).is_empty(), "late by then");
    assert_eq!(sent(&harness.submit(limited(2))), [2], "2 units were refilled, at 6 units/s");
    assert_eq!(
        sent(&harness.end_attempt(2, 0, AttemptOutcome::Error, 0.01)),
        [2],
        "although the bucket is empty"
    );
}

#[test]
fn a_volume_first_seen_late_gets_the_refill_since_the_start_and_no_more() {
    let mut harness = Harness::new(settings());
    harness.advance(2.5);
    let mut units = 0.0;
    for id in 0..20 {
        let limited = IoRequest { plan: LIMITED, volume: VolumeId(9), ..request(id, IDEMPOTENT) };
        units += 2.0 * sent(&harness.submit(limited)).len() as f64;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.001);
    }
    assert_eq!(units, 24.0, "6 units/s for 2.5 s on top of the initial units, in requests of 2 units");
}

/// Returns the lowest level of a volume's bucket, common to all heads, when `heads` heads send as much as they may and
/// `restarted` of them restart.
fn lowest_common_bucket(heads: u32, restarted: u32) -> f64 {
    let (mut bucket, mut lowest, mut id) = (30.0f64, 30.0f64, 0);
    let mut harnesses: Vec<Harness> = (0..heads).map(|_| Harness::new(settings())).collect();
    harnesses.iter_mut().for_each(|harness| harness.now += 20.0);
    for step in 0..300 {
        if step == 250 {
            for harness in harnesses.iter_mut().take(restarted as usize) {
                let now = harness.now;
                *harness = Harness::new(settings());
                harness.scheduler = flaxgap::Scheduler::new(settings(), 9, now).expect("settings");
                harness.now = now;
                harness.update_endpoints(UpdateKind::CachedSnapshot, vec![node(NODE.0, 0)]);
            }
        }
        for harness in &mut harnesses {
            harness.now += 0.02;
            id += 1;
            let mut out =
                sent(&harness.submit(IoRequest { plan: LIMITED, heads, ..request(id, IDEMPOTENT) }));
            while let Some(id) = out.pop() {
                bucket -= 2.0;
                out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.001)));
            }
        }
        lowest = lowest.min(bucket);
        bucket = (bucket + 6.0 * 0.02).min(30.0);
    }
    lowest
}

#[test]
fn a_limit_holds_over_restarts() {
    for (heads, restarted) in [(1, 1), (3, 3), (5, 5), (12, 12)] {
        let lowest = lowest_common_bucket(heads, restarted);
        assert!((-6.0..6.0).contains(&lowest), "{restarted} of {heads} heads restarted: {lowest}");
    }
}

/// Guards against two processes of one head that each spend the head's whole share during an upgrade.
#[test]
fn a_limit_holds_over_upgrades() {
    let share =
        |harness: &mut Harness, fraction| harness.handle(vec![Event::ProcessShareChanged { fraction }]);
    let (mut harnesses, mut bucket, mut id) = (vec![Harness::new(settings())], 30.0f64, 0);
    harnesses[0].now += 20.0;
    for step in 0..600 {
        if step % 100 == 50 {
            share(&mut harnesses[0], 0.5);
            let mut successor = Harness::new(settings());
            successor.now = harnesses[0].now;
            successor.scheduler = flaxgap::Scheduler::new(settings(), 9, successor.now).expect("settings");
            successor.update_endpoints(UpdateKind::CachedSnapshot, vec![node(NODE.0, 0)]);
            share(&mut successor, 0.5);
            harnesses.push(successor);
        } else if step % 100 == 99 {
            harnesses.remove(0);
            share(&mut harnesses[0], 1.0);
        }
        for harness in &mut harnesses {
            harness.now += 0.02;
            id += 1;
            let mut out = sent(&harness.submit(IoRequest { plan: LIMITED, ..request(id, IDEMPOTENT) }));
            while let Some(id) = out.pop() {
                bucket -= 2.0;
                out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.001)));
            }
        }
        assert!(bucket >= -1.0, "{bucket} at step {step}");
        bucket = (bucket + 6.0 * 0.02).min(30.0);
    }
    assert!(bucket < 20.0, "the limit is used: {bucket}");
}

/// Returns how many units `heads` heads send to a node in the first `windows` slow-start windows after its start, if each
/// head always has unreserved requests waiting.
fn units_sent_to_starting_node(heads: u32, windows: f64) -> f64 {
    let mut config = settings();
    config.heads = heads;
    let mut units = 0.0;
    for head in 0..heads {
        let cold = Endpoint { started_at: 100.0, ..node(NODE.0, 0) };
        let mut harness = Harness::new(config.clone());
        let seed = 0x9E37_79B9_7F4A_7C15u64.wrapping_mul(u64::from(head) + 1);
        harness.scheduler = flaxgap::Scheduler::new(config.clone(), seed, 100.0).expect("settings");
        let mut out = sent(&harness.update_endpoints(UpdateKind::CachedSnapshot, vec![cold]));
        for id in 0..(windows * 20.0) as u32 {
            out.extend(sent(&harness.submit(IoRequest {
                plan: LIMITED,
                remaining_s: 9.0,
                ..request(id, NOT_IDEMPOTENT)
            })));
            harness.now += config.slow_start.window_s / 20.0;
            for id in std::mem::take(&mut out) {
                units += 2.0;
                out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.5)));
            }
        }
    }
    units
}

#[test]
fn even_shares_below_one_request_accumulate_and_sum_to_the_guaranteed_units() {
    for heads in [60, 200] {
        let units = units_sent_to_starting_node(heads, 1.0);
        assert!((15.0..45.0).contains(&units), "{units} of 30 units by {heads} heads in the first window");
    }
}

#[test]
fn a_head_that_used_a_node_much_may_send_it_more_after_a_restart() {
    let units_after_restart = |requests_before: u32| {
        let mut harness = Harness::new(SchedulerSettings { heads: 200, ..settings() });
        for id in 0..requests_before {
            harness.submit(request(id, IDEMPOTENT));
            harness.now += 0.05;
            harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.05);
        }
        harness.update_endpoints(
            UpdateKind::Changes,
            vec![Endpoint { started_at: harness.now, ..node(NODE.0, 0) }],
        );
        let mut units = 0.0;
        for id in 1000..1100 {
            for id in sent(&harness.submit(request(id, IDEMPOTENT))) {
                units += 2.0;
                harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.1);
            }
            harness.now += 0.05;
        }
        units
    };
    let (unused, used) = (units_after_restart(0), units_after_restart(400));
    assert!(unused <= 8.0 && used > 20.0, "{unused} units without earlier use, {used} with it");
    assert!(
        used < 0.5 * 2.5 * 0.7 * 200.0,
        "{used}: not under half of what the rule allows at 0.7 of 40 units/s"
    );
}

/// Returns the retry-after time of each rejection.
fn retry_after_times(actions: &[Action]) -> Vec<f64> {
    let waits = actions.iter().filter_map(|a| match a {
        Action::Reject { retry_after_s: wait, .. } => Some(*wait),
        _ => None,
    });
    waits.collect()
}

/// Guards against holding a request until its deadline if the volume's limit cannot admit it before then.
#[test]
fn work_that_its_limit_rules_out_is_rejected_at_once_with_retry_after() {
    let mut harness = Harness::new(settings());
    let limited = |id, units| IoRequest { plan: LIMITED, units, remaining_s: 1.0, ..request(id, IDEMPOTENT) };
    assert_eq!(
        sent(&harness.submit(limited(1, 10.0))),
        [1],
        "within the head's share of the initial burst and the slack"
    );
    let out = harness.submit(limited(2, 8.0));
    assert_eq!(rejected(&out), [2]);
    let wait = retry_after_times(&out)[0];
    assert!((1.0..1.5).contains(&wait), "{wait} s to refill 7.5 units at 6 units/s");
    harness.end_attempt(1, 0, AttemptOutcome::Ok, 0.05);
    harness.now += wait + 0.002;
    assert_eq!(sent(&harness.submit(limited(3, 8.0))), [3], "admitted after the retry-after time");
}

#[test]
fn work_that_its_limit_admits_in_time_waits_for_it() {
    let mut harness = Harness::new(settings());
    let limited = |id, units| IoRequest { plan: LIMITED, units, ..request(id, IDEMPOTENT) };
    assert_eq!(sent(&harness.submit(limited(1, 10.0))), [1]);
    harness.end_attempt(1, 0, AttemptOutcome::Ok, 0.05);
    let waiting = harness.submit(limited(2, 1.0));
    assert!(sent(&waiting).is_empty() && rejected(&waiting).is_empty());
    assert_eq!(sent(&harness.advance(0.19)), [2], "admitted before it becomes late");
}

/// Guards against holding a retry with an idempotency key whose window ends while no node is available.
#[test]
fn a_retry_past_its_window_fails_at_once() {
    let mut harness = Harness::new(settings());
    assert_eq!(sent(&harness.submit(request(1, WITH_KEY))), [1]);
    harness.update_endpoints(UpdateKind::Snapshot, vec![]);
    harness.now += 0.1;
    assert!(
        failed(&harness.end_attempt(1, 0, AttemptOutcome::Reset, 0.1)).is_empty(),
        "a node may still become available"
    );
    assert!(failed(&harness.advance(0.89)).is_empty());
    assert_eq!(failed(&harness.advance(0.02)), [1], "1 s after the send, and 1 s before the deadline");
}

/// Guards against treating a client's retry that is not marked as one like a fresh request.
#[test]
fn an_unmarked_client_retry_counts_as_late() {
    let mut harness = Harness::new(settings());
    let mut retry = request(1, IDEMPOTENT);
    (retry.plan, retry.remaining_s) = (LIMITED, 0.5);
    assert!(sent(&harness.submit(retry)).is_empty(), "late work leaves the bucket to requests in time");
    assert_eq!(sent(&harness.submit(IoRequest { plan: LIMITED, ..request(2, IDEMPOTENT) })), [2]);
}

/// Guards against a restarted head that sends a starting node too little reserved work. A volume's reserve starts full, so
/// its first request is within it; with a reserve that started empty, the first request was within it only after 3 s.
#[test]
fn a_restarted_head_of_many_sends_what_is_due_to_a_starting_node_with_the_right_probability() {
    let mut first = 0;
    for head in 0..200u64 {
        let config = SchedulerSettings { heads: 200, ..settings() };
        let mut harness = Harness::new(config.clone());
        let seed = 0x9E37_79B9_7F4A_7C15u64.wrapping_mul(head + 1);
        harness.scheduler = flaxgap::Scheduler::new(config, seed, 100.0).expect("settings");
        harness.update_endpoints(
            UpdateKind::CachedSnapshot,
            vec![Endpoint { started_at: 99.0, ..node(NODE.0, 0) }],
        );
        first += sent(&harness.submit(request(1, IDEMPOTENT))).len();
    }
    // 0.75 of 2.5 times a fifth of the capacity: 0.375.
    assert!((50..100).contains(&first), "{first} of 200 heads sent their first request at once");
}
