//! The fair queue, the window and the order within a class.

mod common;
use common::*;
use flaxgap::scheduler::{
    Action, AttemptOutcome, ClassId, Event, IoRequest, NodeId, Plan, PlanId, SchedulerSettings, ShardId,
    VolumeId,
};

/// A volume on a plan without a limit whose reserve is long used up.
fn spare(id: u32, class: ClassId, volume: u64) -> IoRequest {
    IoRequest { plan: PlanId(2), volume: VolumeId(volume), remaining_s: 9.0, ..request(id, class) }
}

fn patient() -> SchedulerSettings {
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
    let mut harness = Harness::new(patient());
    let arrivals = (0..10).map(|id| Event::RequestArrived(spare(id, IDEMPOTENT, 1))).collect();
    assert_eq!(sent(&harness.handle(arrivals)), [0, 1, 2, 3]);
    harness.now += 0.01;
    assert_eq!(
        sent(&harness.end_attempt(2, 0, AttemptOutcome::Ok, 0.01)),
        [4],
        "a free place is taken at once"
    );
}

#[test]
fn classes_with_even_weights_get_even_units() {
    let mut harness = Harness::new(patient());
    let mut arrivals = Vec::new();
    for id in 0..30 {
        let mut small = spare(id, IDEMPOTENT, 1);
        small.units = 1.0;
        arrivals.push(Event::RequestArrived(small));
        arrivals.push(Event::RequestArrived(spare(100 + id, WITH_KEY, 2)));
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
    assert!((15..=17).contains(&small), "{small} of one unit against {} of two", 24 - small);
}

#[test]
fn shared_work_is_divided_by_the_plans_weights() {
    let mut config = patient();
    config.plans.push(Plan { weight: 3.0, ..config.plans[2].clone() });
    let mut harness = Harness::new(config);
    let mut arrivals = Vec::new();
    for id in 0..40 {
        arrivals.push(Event::RequestArrived(spare(id, IDEMPOTENT, 1)));
        arrivals.push(Event::RequestArrived(IoRequest { plan: PlanId(3), ..spare(100 + id, IDEMPOTENT, 2) }));
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
    assert!((17..=19).contains(&heavy), "{heavy} of 24 for weight 3 against 1");
}

#[test]
fn reserved_work_goes_before_shared_work_of_any_class() {
    let mut harness = Harness::new(patient());
    let mut arrivals: Vec<Event> = (0..8).map(|id| Event::RequestArrived(spare(id, WITH_KEY, 1))).collect();
    arrivals.push(Event::RequestArrived(IoRequest { remaining_s: 9.0, ..request(50, IDEMPOTENT) }));
    assert_eq!(sent(&harness.handle(arrivals))[0], 50);
}

#[test]
fn a_window_widens_near_its_best_and_halves_past_twice_that() {
    let mut harness = Harness::new(patient());
    let arrivals = (0..400).map(|id| Event::RequestArrived(spare(id, IDEMPOTENT, 1))).collect();
    let mut out = sent(&harness.handle(arrivals));
    let mut most = out.len();
    for _ in 0..60 {
        harness.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.1)));
        most = most.max(out.len());
    }
    assert!((8..=16).contains(&most), "about one wider for each sample: {most}");
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
        assert!(!out.is_empty(), "never below its least");
    }
}

#[test]
fn late_work_leaves_a_limits_bucket_to_work_in_time() {
    let mut harness = Harness::new(settings());
    let limited = |id| IoRequest { plan: LIMITED, volume: VolumeId(9), heads: 1, ..request(id, IDEMPOTENT) };
    harness.advance(1.8);
    let mut late = limited(1);
    (late.client_retry, late.remaining_s) = (true, 0.5);
    assert!(sent(&harness.submit(late)).is_empty(), "half a second past its objective already");
    harness.advance(0.36);
    assert_eq!(sent(&harness.submit(limited(2))), [2], "work in time may have it");
}

#[test]
fn only_reserved_work_fills_the_window_of_a_node_under_pressure() {
    let mut config = settings();
    config.plans.push(Plan { reserve: 0.0, limit: None, ..config.plans[0].clone() });
    config.max_request_units = 2.0;
    let mut harness = Harness::new(config);
    let spare = |id| IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, IDEMPOTENT) };
    for id in 0..40 {
        if sent(&harness.submit(spare(id))).is_empty() {
            break;
        }
        harness.now += 0.15;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.15);
    }
    let shared = sent(&harness.handle((100..104).map(|id| Event::RequestArrived(spare(id))).collect()));
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
    assert!(silent < 14, "{silent} of 60 went to the silent node; blind choice sends 20");
}

/// A head among `heads` that has heard 0.15 s, of an objective of 0.2 s, from the node of shard 0 only.
fn head_with_pressed_node(heads: u32) -> Harness {
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
fn an_idle_nodes_latency_estimate_fades_to_the_fleets() {
    let mut harness = head_with_pressed_node(3);
    let other = |id| Event::RequestArrived(IoRequest { shard: Some(ShardId(1)), ..spare_now(id) });
    assert_eq!(
        sent(&harness.handle((100..104).map(other).collect())),
        [100],
        "one, as at a node under pressure"
    );
    let mut harness = head_with_pressed_node(3);
    harness.advance(4.0);
    assert_eq!(sent(&harness.handle((200..203).map(other).collect())).len(), 3, "forgotten by then");
}

fn spare_now(id: u32) -> IoRequest {
    IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, IDEMPOTENT) }
}

#[test]
fn of_many_heads_few_keep_shared_work_in_flight_at_a_node_under_pressure() {
    let sends = |heads| {
        let mut harness = head_with_pressed_node(heads);
        let mut sends = 0;
        for id in 100..140 {
            sends += sent(&harness.submit(IoRequest { shard: Some(ShardId(1)), ..spare_now(id) })).len();
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
        let mut harness = head_with_pressed_node(heads);
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
        "a send unanswered for 3 objectives: few heads fill their windows with reserved work"
    );
    assert!(sends(200) < 2, "many would make the queue longer than any objective");
}
