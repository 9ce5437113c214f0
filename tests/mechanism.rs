//! The fair queue, the concurrency window of a node, and the order within a class.

mod common;
use common::*;
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Event, IoRequest, NodeId, Plan, PlanId, SchedulerSettings, ShardId,
    VolumeId,
};

/// Returns a request on a plan without a limit and without a reserve.
fn shared_request(id: u32, class: ClassId, volume: u64) -> IoRequest {
    IoRequest { plan: PlanId(2), volume: VolumeId(volume), remaining_s: 9.0, ..request(id, class) }
}

/// Returns settings with long objectives and deadlines, and a third plan without reserve and limit.
fn long_deadline_settings() -> SchedulerSettings {
    let mut config = settings();
    for class in &mut config.classes {
        (class.latency_objective_s, class.deadline_s) = (5.0, 9.0);
    }
    let plan = Plan { reserve: 0.0, limit: None, ..config.plans[0].clone() };
    config.plans.push(plan);
    config.max_request_units = 0.0;
    config
}

#[test]
fn a_window_starts_at_four_and_is_kept_full() {
    let mut harness = Harness::new(long_deadline_settings());
    let arrivals = (0..10).map(|id| Event::RequestArrived(shared_request(id, IDEMPOTENT, 1))).collect();
    assert_eq!(sent(&harness.handle(arrivals)), [0, 1, 2, 3]);
    harness.now += 0.01;
    assert_eq!(
        sent(&harness.end_attempt(2, 0, AttemptOutcome::Ok, 0.01)),
        [4],
        "a freed slot is used at once"
    );
}

#[test]
fn classes_with_equal_weights_get_equal_units() {
    let mut harness = Harness::new(long_deadline_settings());
    let mut arrivals = Vec::new();
    for id in 0..30 {
        let mut small = shared_request(id, IDEMPOTENT, 1);
        small.units = 1.0;
        arrivals.push(Event::RequestArrived(small));
        arrivals.push(Event::RequestArrived(shared_request(100 + id, WITH_KEY, 2)));
    }
    let mut order = sent(&harness.handle(arrivals));
    let mut next = 0;
    while order.len() < 24 {
        harness.now += 0.01;
        let more = sent(&harness.end_attempt(order[next], 0, AttemptOutcome::Ok, 0.01));
        order.extend(more);
        next += 1;
    }
    let small = order[..24].iter().filter(|id| **id < 100).count();
    assert!((15..=17).contains(&small), "{small} requests of one unit, {} of two units", 24 - small);
}

#[test]
fn shared_work_is_divided_by_the_plans_weights() {
    let mut config = long_deadline_settings();
    config.plans.push(Plan { weight: 3.0, ..config.plans[2].clone() });
    let mut harness = Harness::new(config);
    let mut arrivals = Vec::new();
    for id in 0..40 {
        arrivals.push(Event::RequestArrived(shared_request(id, IDEMPOTENT, 1)));
        arrivals.push(Event::RequestArrived(IoRequest {
            plan: PlanId(3),
            ..shared_request(100 + id, IDEMPOTENT, 2)
        }));
    }
    let mut order = sent(&harness.handle(arrivals));
    let mut next = 0;
    while order.len() < 24 {
        harness.now += 0.01;
        let more = sent(&harness.end_attempt(order[next], 0, AttemptOutcome::Ok, 0.01));
        order.extend(more);
        next += 1;
    }
    let heavy = order[..24].iter().filter(|id| **id >= 100).count();
    assert!((17..=19).contains(&heavy), "{heavy} of 24 for the plan of weight 3 beside one of weight 1");
}

#[test]
fn reserved_work_goes_before_shared_work_of_any_class() {
    let mut harness = Harness::new(long_deadline_settings());
    let mut arrivals: Vec<Event> =
        (0..8).map(|id| Event::RequestArrived(shared_request(id, WITH_KEY, 1))).collect();
    arrivals.push(Event::RequestArrived(IoRequest { remaining_s: 9.0, ..request(50, IDEMPOTENT) }));
    assert_eq!(sent(&harness.handle(arrivals))[0], 50);
}

#[test]
fn a_window_grows_near_the_best_latency_and_halves_beyond_twice_that() {
    let mut harness = Harness::new(long_deadline_settings());
    let arrivals = (0..400).map(|id| Event::RequestArrived(shared_request(id, IDEMPOTENT, 1))).collect();
    let mut out = sent(&harness.handle(arrivals));
    let mut most = out.len();
    for _ in 0..60 {
        harness.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.1)));
        most = most.max(out.len());
    }
    assert!((8..=16).contains(&most), "the window grows by about one for each sample: {most}");
    for _ in 0..2 * most {
        harness.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.3)));
    }
    assert!(out.len() <= most / 2 + 1, "halved from {most}: {}", out.len());
    for _ in 0..60 {
        harness.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 3.0)));
        assert!(!out.is_empty(), "the window never closes");
    }
}

#[test]
fn late_work_leaves_a_limits_bucket_to_work_in_time() {
    let mut harness = Harness::new(settings());
    let limited = |id| IoRequest { plan: LIMITED, volume: VolumeId(9), heads: 1, ..request(id, IDEMPOTENT) };
    harness.advance(1.8);
    let mut late = limited(1);
    (late.client_retry, late.remaining_s) = (true, 0.5);
    assert!(
        sent(&harness.submit(late)).is_empty(),
        "already late: the client's retry has spent its objective"
    );
    harness.advance(0.36);
    assert_eq!(sent(&harness.submit(limited(2))), [2], "work in time may use the units");
}

#[test]
fn only_reserved_work_fills_the_window_of_a_node_under_pressure() {
    let mut config = settings();
    config.plans.push(Plan { reserve: 0.0, limit: None, ..config.plans[0].clone() });
    config.max_request_units = 2.0;
    let mut harness = Harness::new(config);
    let shared = |id| IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, IDEMPOTENT) };
    for id in 0..40 {
        if sent(&harness.submit(shared(id))).is_empty() {
            break;
        }
        harness.now += 0.15;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.15);
    }
    let shared = sent(&harness.handle((100..104).map(|id| Event::RequestArrived(shared(id))).collect()));
    assert_eq!(shared.len(), 1, "answers take 0.15 s of an objective of 0.2 s");
    assert_eq!(sent(&harness.submit(request(200, IDEMPOTENT))), [200]);
}

#[test]
fn new_objects_avoid_a_node_that_does_not_answer() {
    let mut harness = Harness::with_nodes(settings(), vec![node(10, 0), node(11, 1), node(12, 2)]);
    for id in 0..30 {
        harness.submit(IoRequest {
            shard: Some(ShardId(id % 3)),
            volume: VolumeId(5),
            ..request(id, IDEMPOTENT)
        });
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.02);
        harness.now += 0.01;
    }
    harness.submit(IoRequest { shard: Some(ShardId(0)), ..request(50, NOT_IDEMPOTENT) });
    harness.now += 1.5;
    for shard in [1, 2] {
        harness.submit(IoRequest { shard: Some(ShardId(shard)), ..request(50 + shard, NOT_IDEMPOTENT) });
    }
    let mut silent = 0;
    for id in 100..160 {
        let actions = harness.submit(IoRequest {
            shard: None,
            volume: VolumeId(u64::from(id)),
            ..request(id, NOT_IDEMPOTENT)
        });
        silent += actions.iter().filter(|a| matches!(a, Action::Send { node: NodeId(10), .. })).count();
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.02);
        harness.now += 0.01;
    }
    assert!(silent < 14, "{silent} of 60 were sent to the silent node; a uniform choice sends 20");
}

/// Returns one of `heads` heads that has measured a latency of 0.15 s, of an objective of 0.2 s, at the node of shard 0
/// only.
fn head_with_node_under_pressure(heads: u32) -> Harness {
    let mut config = settings();
    config.plans.push(Plan { reserve: 0.0, limit: None, ..config.plans[0].clone() });
    (config.max_request_units, config.heads) = (0.0, heads);
    let mut harness = Harness::with_nodes(config, vec![node(10, 0), node(11, 1)]);
    let mut out = Vec::new();
    for id in 0..40 {
        out.extend(sent(&harness.submit(request(id, IDEMPOTENT))));
        harness.now += 0.15;
        for id in std::mem::take(&mut out) {
            out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.15)));
        }
    }
    harness
}

#[test]
fn an_idle_nodes_latency_estimate_decays_to_the_average_of_all_nodes() {
    let mut harness = head_with_node_under_pressure(3);
    let other = |id| {
        Event::RequestArrived(IoRequest { shard: Some(ShardId(1)), ..shared_request_with_usual_deadline(id) })
    };
    assert_eq!(
        sent(&harness.handle((100..104).map(other).collect())),
        [100],
        "one request, as at a node under pressure"
    );
    let mut harness = head_with_node_under_pressure(3);
    harness.advance(4.0);
    assert_eq!(sent(&harness.handle((200..203).map(other).collect())).len(), 3, "the estimate has decayed");
}

/// Returns a request on the plan without a reserve, with the usual deadline.
fn shared_request_with_usual_deadline(id: u32) -> IoRequest {
    IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, IDEMPOTENT) }
}

#[test]
fn of_many_heads_few_keep_shared_work_in_flight_at_a_node_under_pressure() {
    let sends = |heads| {
        let mut harness = head_with_node_under_pressure(heads);
        let mut sends = 0;
        for id in 100..140 {
            sends += sent(
                &harness
                    .submit(IoRequest { shard: Some(ShardId(1)), ..shared_request_with_usual_deadline(id) }),
            )
            .len();
            harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.15);
            harness.now += 0.02;
            harness.submit(request(1000 + id, IDEMPOTENT));
            harness.end_attempt(1000 + id, 0, AttemptOutcome::Ok, 0.15);
        }
        sends
    };
    assert_eq!(sends(3), 40);
    assert!(sends(200) < 20, "{} of 40 by one of 200 heads", sends(200));
}

#[test]
fn of_many_heads_few_send_reserved_work_to_a_node_past_every_objective() {
    let sends = |heads| {
        let mut harness = head_with_node_under_pressure(heads);
        harness.advance(4.0);
        harness.submit(IoRequest {
            shard: Some(ShardId(1)),
            remaining_s: 9.0,
            ..request(99, NOT_IDEMPOTENT)
        });
        harness.now += 0.6;
        let reserved = |id: u32| IoRequest {
            shard: Some(ShardId(1)),
            volume: VolumeId(id.into()),
            ..request(id, IDEMPOTENT)
        };
        (200..203).map(|id| sent(&harness.submit(reserved(id))).len()).sum::<usize>()
    };
    assert_eq!(
        sends(3),
        3,
        "an attempt unanswered for 3 objectives: a few heads still fill their windows with reserved work"
    );
    assert!(sends(200) < 2, "200 heads would make the node's queue longer than any objective");
}
