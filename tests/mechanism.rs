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
    let mut set = settings();
    for class in &mut set.classes {
        (class.latency_objective_s, class.deadline_s) = (5.0, 9.0);
    }
    let plan = Plan { reserve: 0.0, limit: None, ..set.plans[0].clone() };
    set.plans.push(plan);
    set.max_request_units = 0.0;
    set
}

#[test]
fn a_window_starts_at_four_and_is_never_left_idle() {
    let mut rig = Rig::new(patient());
    let asks = (0..10).map(|id| Event::RequestArrived(spare(id, SAFE, 1))).collect();
    assert_eq!(sent(&rig.tell(asks)), [0, 1, 2, 3]);
    rig.now += 0.01;
    assert_eq!(sent(&rig.outcome(2, 0, AttemptOutcome::Ok, 0.01)), [4], "a free place is taken at once");
}

#[test]
fn classes_with_even_weights_get_even_units() {
    let mut rig = Rig::new(patient());
    let mut asks = Vec::new();
    for id in 0..30 {
        let mut small = spare(id, SAFE, 1);
        small.units = 1.0;
        asks.push(Event::RequestArrived(small));
        asks.push(Event::RequestArrived(spare(100 + id, KEYED, 2)));
    }
    let mut order = sent(&rig.tell(asks));
    let mut next = 0;
    while order.len() < 24 {
        rig.now += 0.01;
        let more = sent(&rig.outcome(order[next], 0, AttemptOutcome::Ok, 0.01));
        order.extend(more);
        next += 1;
    }
    let small = order[..24].iter().filter(|id| **id < 100).count();
    assert!((15..=17).contains(&small), "{small} of one unit against {} of two", 24 - small);
}

#[test]
fn shared_work_is_dealt_by_the_plans_weights() {
    let mut set = patient();
    set.plans.push(Plan { weight: 3.0, ..set.plans[2].clone() });
    let mut rig = Rig::new(set);
    let mut asks = Vec::new();
    for id in 0..40 {
        asks.push(Event::RequestArrived(spare(id, SAFE, 1)));
        asks.push(Event::RequestArrived(IoRequest { plan: PlanId(3), ..spare(100 + id, SAFE, 2) }));
    }
    let mut order = sent(&rig.tell(asks));
    let mut next = 0;
    while order.len() < 24 {
        rig.now += 0.01;
        let more = sent(&rig.outcome(order[next], 0, AttemptOutcome::Ok, 0.01));
        order.extend(more);
        next += 1;
    }
    let heavy = order[..24].iter().filter(|id| **id >= 100).count();
    assert!((17..=19).contains(&heavy), "{heavy} of 24 for weight 3 against 1");
}

#[test]
fn reserved_work_goes_before_shared_work_of_any_class() {
    let mut rig = Rig::new(patient());
    let mut asks: Vec<Event> = (0..8).map(|id| Event::RequestArrived(spare(id, KEYED, 1))).collect();
    asks.push(Event::RequestArrived(IoRequest { remaining_s: 9.0, ..request(50, SAFE) }));
    assert_eq!(sent(&rig.tell(asks))[0], 50);
}

#[test]
fn a_window_widens_near_its_best_and_halves_past_twice_that() {
    let mut rig = Rig::new(patient());
    let asks = (0..400).map(|id| Event::RequestArrived(spare(id, SAFE, 1))).collect();
    let mut out = sent(&rig.tell(asks));
    let mut most = out.len();
    for _ in 0..60 {
        rig.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&rig.outcome(id, 0, AttemptOutcome::Ok, 0.1)));
        most = most.max(out.len());
    }
    assert!((8..=16).contains(&most), "about one wider for each sample: {most}");
    for _ in 0..2 * most {
        rig.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&rig.outcome(id, 0, AttemptOutcome::Ok, 0.3)));
    }
    assert!(out.len() <= most / 2 + 1, "halved from {most}: {}", out.len());
    for _ in 0..60 {
        rig.now += 0.01;
        let id = out.remove(0);
        out.extend(sent(&rig.outcome(id, 0, AttemptOutcome::Ok, 3.0)));
        assert!(!out.is_empty(), "never below its least");
    }
}

#[test]
fn late_work_leaves_a_limits_store_to_work_in_time() {
    let mut rig = Rig::new(settings());
    let limited = |id| IoRequest { plan: LIMITED, volume: VolumeId(9), heads: 1, ..request(id, SAFE) };
    rig.wait(1.8);
    let mut late = limited(1);
    (late.client_retry, late.remaining_s) = (true, 0.5);
    assert!(sent(&rig.ask(late)).is_empty(), "half a second past its aim already");
    rig.wait(0.36);
    assert_eq!(sent(&rig.ask(limited(2))), [2], "work in time may have it");
}

#[test]
fn while_a_node_is_pressed_only_reserved_work_fills_its_window() {
    let mut set = settings();
    set.plans.push(Plan { reserve: 0.0, limit: None, ..set.plans[0].clone() });
    set.max_request_units = 2.0;
    let mut rig = Rig::new(set);
    let spare = |id| IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, SAFE) };
    for id in 0..40 {
        if sent(&rig.ask(spare(id))).is_empty() {
            break;
        }
        rig.now += 0.15;
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.15);
    }
    let shared = sent(&rig.tell((100..104).map(|id| Event::RequestArrived(spare(id))).collect()));
    assert_eq!(shared.len(), 1, "answers take 0.15 s of an aim of 0.2 s");
    assert_eq!(sent(&rig.ask(request(200, SAFE))), [200]);
}

#[test]
fn new_objects_avoid_a_node_that_does_not_answer() {
    let mut rig = Rig::with_nodes(settings(), vec![node(10, 0), node(11, 1), node(12, 2)]);
    for id in 0..30 {
        rig.ask(IoRequest { shard: Some(ShardId(id % 3)), volume: VolumeId(5), ..request(id, SAFE) });
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.02);
        rig.now += 0.01;
    }
    rig.ask(IoRequest { shard: Some(ShardId(0)), ..request(50, UNSAFE) });
    rig.now += 1.5;
    for shard in [1, 2] {
        rig.ask(IoRequest { shard: Some(ShardId(shard)), ..request(50 + shard, UNSAFE) });
    }
    let mut silent = 0;
    for id in 100..160 {
        let actions =
            rig.ask(IoRequest { shard: None, volume: VolumeId(u64::from(id)), ..request(id, UNSAFE) });
        silent += actions.iter().filter(|a| matches!(a, Action::Send { node: NodeId(10), .. })).count();
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.02);
        rig.now += 0.01;
    }
    assert!(silent < 14, "{silent} of 60 went to the silent node; blind choice sends 20");
}

/// A host among `hosts` that has heard 0.15 s, of an aim of 0.2 s, from the node of shard 0 only.
fn pressed(hosts: u32) -> Rig {
    let mut set = settings();
    set.plans.push(Plan { reserve: 0.0, limit: None, ..set.plans[0].clone() });
    (set.max_request_units, set.heads) = (0.0, hosts);
    let mut rig = Rig::with_nodes(set, vec![node(10, 0), node(11, 1)]);
    let mut out = Vec::new();
    for id in 0..40 {
        out.extend(sent(&rig.ask(request(id, SAFE))));
        rig.now += 0.15;
        for id in std::mem::take(&mut out) {
            out.extend(sent(&rig.outcome(id, 0, AttemptOutcome::Ok, 0.15)));
        }
    }
    rig
}

#[test]
fn what_is_not_known_of_a_node_fades_to_what_is_heard_of_all() {
    let mut rig = pressed(3);
    let other = |id| Event::RequestArrived(IoRequest { shard: Some(ShardId(1)), ..spare_now(id) });
    assert_eq!(sent(&rig.tell((100..104).map(other).collect())), [100], "one, as at a pressed node");
    let mut rig = pressed(3);
    rig.wait(4.0);
    assert_eq!(sent(&rig.tell((200..203).map(other).collect())).len(), 3, "forgotten by then");
}

fn spare_now(id: u32) -> IoRequest {
    IoRequest { plan: PlanId(2), volume: VolumeId(2), ..request(id, SAFE) }
}

#[test]
fn of_many_hosts_few_keep_shared_work_out_at_a_pressed_node() {
    let lone = |hosts| {
        let mut rig = pressed(hosts);
        let mut lone = 0;
        for id in 100..140 {
            lone += sent(&rig.ask(IoRequest { shard: Some(ShardId(1)), ..spare_now(id) })).len();
            rig.outcome(id, 0, AttemptOutcome::Ok, 0.15);
            rig.now += 0.02;
            rig.ask(request(1000 + id, SAFE));
            rig.outcome(1000 + id, 0, AttemptOutcome::Ok, 0.15);
        }
        lone
    };
    assert_eq!(lone(3), 40);
    assert!(lone(200) < 20, "{} of 40 by one of 200 hosts", lone(200));
}

#[test]
fn of_many_hosts_few_send_reserved_work_to_a_node_past_every_aim() {
    let sends = |hosts| {
        let mut rig = pressed(hosts);
        rig.wait(4.0);
        rig.ask(IoRequest { shard: Some(ShardId(1)), remaining_s: 9.0, ..request(99, UNSAFE) });
        rig.now += 0.6;
        let reserved =
            |id: u32| IoRequest { shard: Some(ShardId(1)), volume: VolumeId(id.into()), ..request(id, SAFE) };
        (200..203).map(|id| sent(&rig.ask(reserved(id))).len()).sum::<usize>()
    };
    assert_eq!(sends(3), 3, "a send unanswered for 3 aims: few hosts fill their windows with reserved work");
    assert!(sends(200) < 2, "many would make the queue longer than any aim");
}
