//! What the scheduler admits and rejects at each shedding level.

mod common;
use common::*;
use flaxgap::scheduler::{
    Action, Admission, AttemptOutcome, Event, IoRequest, NodeId, RequestId, ShardId, SheddingLevel, VolumeId,
    ZoneAdmission, ZoneId,
};

/// Returns the event of a level that applies `admission` to all classes and plans until `ends_at`.
fn level(admission: Admission, ends_at: f64) -> Event {
    Event::SheddingLevelChanged(SheddingLevel {
        admission: vec![vec![admission; 2]; 3],
        zone_admission: vec![],
        ends_at,
    })
}

/// Returns a request of `volume`, on the plan with a reserve of 2 units/s and a burst of 10 units.
fn reserved_request(id: u32, volume: u64) -> IoRequest {
    IoRequest { volume: VolumeId(volume), ..request(id, IDEMPOTENT) }
}

/// Fills the node's window with work of other volumes, so that later requests have to wait.
fn fill_window(harness: &mut Harness) {
    let other = IoRequest { units: 0.1, ..request(0, IDEMPOTENT) };
    let events = (900..904).map(|id| {
        Event::RequestArrived(IoRequest {
            id: RequestId(id),
            volume: VolumeId(u64::from(id)),
            ..other.clone()
        })
    });
    assert_eq!(sent(&harness.handle(events.collect())).len(), 4);
}

/// Returns the retry-after time of each rejection.
fn retry_after_times(actions: &[Action]) -> Vec<f64> {
    actions
        .iter()
        .filter_map(|a| if let Action::Reject { retry_after_s: wait, .. } = a { Some(*wait) } else { None })
        .collect()
}

/// Guards against a level that sheds reserved work: requests within the reserve are still served; requests beyond it are
/// rejected at once, with a retry-after time that ends with the level.
#[test]
fn work_past_the_reserve_is_shed_at_once_and_the_reserve_goes_on() {
    let mut harness = Harness::new(settings());
    fill_window(&mut harness);
    harness.handle(vec![level(Admission::WithinReserve, harness.now + 7.0)]);
    let actions = harness.handle((1..=9).map(|id| Event::RequestArrived(reserved_request(id, 1))).collect());
    assert_eq!(rejected(&actions), [6, 7, 8, 9], "five requests of 2 units use up the burst of 10");
    assert!(
        retry_after_times(&actions).iter().all(|wait| (*wait - 7.0).abs() < 0.01),
        "the time until the level ends"
    );
    assert_eq!(harness.scheduler.shed_requests(), 4);
    assert!(
        rejected(&harness.submit(reserved_request(20, 2))).is_empty(),
        "another volume's reserve is its own"
    );
}

#[test]
fn a_level_for_one_class_or_plan_leaves_the_others_alone() {
    let mut harness = Harness::new(settings());
    fill_window(&mut harness);
    let mut admission = vec![vec![Admission::All; 2]; 3];
    admission[WITH_KEY.0][LIMITED.0] = Admission::WithinReserve;
    harness.handle(vec![Event::SheddingLevelChanged(SheddingLevel {
        admission,
        zone_admission: vec![],
        ends_at: 0.0,
    })]);
    let limited = |id, volume, class| {
        let arrival = IoRequest { plan: LIMITED, volume: VolumeId(volume), ..request(id, class) };
        IoRequest { units: if class == WITH_KEY { 8.0 } else { 2.0 }, ..arrival }
    };
    let burst = (1..=6).map(|id| Event::RequestArrived(limited(id, 7, WITH_KEY))).collect();
    assert_eq!(rejected(&harness.handle(burst)).len(), 5, "saves of the limited plan past 8 units");
    assert!(rejected(&harness.submit(limited(31, 8, IDEMPOTENT))).is_empty());
    assert!(rejected(&harness.submit(reserved_request(32, 3))).is_empty());
}

/// Guards against shedding other volumes' work because of one volume's surge: at `WithinQuota` each volume keeps its share
/// of the throughput.
#[test]
fn the_surge_of_one_volume_is_shed_and_the_others_are_not() {
    let mut harness = Harness::new(settings());
    for id in 500..540 {
        harness.submit(IoRequest { units: 0.1, ..reserved_request(id, 77) });
        harness.now += 0.04;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.04);
    }
    fill_window(&mut harness);
    harness.handle(vec![level(Admission::WithinQuota, 0.0)]);
    let surge = (1..=60).map(|id| Event::RequestArrived(reserved_request(id, 1)));
    let others = (100..104).flat_map(|id| {
        (0..3).map(move |n| Event::RequestArrived(reserved_request(id + 10 * n, u64::from(id))))
    });
    let shed = rejected(&harness.handle(surge.chain(others).collect()));
    assert!(shed.iter().all(|id| *id <= 60), "{shed:?}");
    // Nine are admitted: the reserve of 10 units, and by weight a fifth of what the window completes within the objective.
    assert_eq!(shed.len(), 51, "{shed:?}");
}

/// Guards against sending more work into a zone that is cut off, and against never detecting that the zone is back.
#[test]
fn in_a_zone_with_trials_only_one_request_at_a_time_is_sent_and_the_rest_is_shed() {
    let mut cut_off = node(11, 1);
    cut_off.zone = ZoneId(1);
    let mut harness = Harness::with_nodes(settings(), vec![node(NODE.0, 0), cut_off]);
    let trials_only = vec![vec![Admission::TrialOnly; 2]; 3];
    let zones = vec![ZoneAdmission { zone: ZoneId(1), admission: trials_only }];
    harness.handle(vec![Event::SheddingLevelChanged(SheddingLevel {
        admission: vec![],
        zone_admission: zones,
        ends_at: harness.now + 2.0,
    })]);
    let in_cut_off_zone = |id| IoRequest { shard: Some(ShardId(1)), ..reserved_request(id, u64::from(id)) };
    let actions = harness.handle((1..=5).map(|id| Event::RequestArrived(in_cut_off_zone(id))).collect());
    assert_eq!((sent(&actions), rejected(&actions)), (vec![1], vec![2, 3, 4, 5]));
    let Some(Action::Send { expires_at, .. }) = actions.iter().find(|a| matches!(a, Action::Send { .. }))
    else {
        panic!("no attempt was sent")
    };
    assert!(
        (*expires_at - harness.now - 0.4).abs() < 0.01,
        "twice the tightest latency objective, not the client's whole deadline"
    );
    let without_shard = |id| IoRequest { shard: None, ..reserved_request(id, u64::from(id)) };
    for id in 20..40 {
        let actions = harness.submit(without_shard(id));
        assert!(actions.iter().all(|a| !matches!(a, Action::Send { node, .. } if *node == NodeId(11))));
        harness.now += 0.01;
        harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.01);
    }
    harness.now += 0.1;
    harness.end_attempt(1, 0, AttemptOutcome::Ok, 0.3);
    assert_eq!(sent(&harness.submit(in_cut_off_zone(6))), [6], "the next trial");
    harness.handle(vec![Event::SheddingLevelChanged(SheddingLevel::default())]);
    assert_eq!(sent(&harness.submit(in_cut_off_zone(7))), [7], "every request once the level has ended");
}

/// Guards against a head that starves a volume: whether no head, one of five or all five shed work beyond the reserve, the
/// volume's reserve is served in full over all heads together.
#[test]
fn one_head_of_five_at_a_level_leaves_every_reserve_complete() {
    let mut config = settings();
    config.heads = 5;
    let served_units = |shedding_heads: u64| {
        let mut units = 0.0;
        for head in 0..5u64 {
            let mut harness = Harness::new(config.clone());
            if head < shedding_heads {
                harness.handle(vec![level(Admission::WithinReserve, 0.0)]);
            }
            let (mut out, mut id): (Vec<(u64, u32)>, u32) = (Vec::new(), 0);
            let mut arrived_at = vec![0];
            // Ten seconds in which the volume sends what it has reserved at each head, while another volume sends twice
            // what the node can serve within its window.
            for tick in 0..1000u64 {
                harness.now += 0.01;
                let (due, rest): (Vec<_>, Vec<_>) = out.into_iter().partition(|(at, _)| *at <= tick);
                out = rest;
                let mut actions = Vec::new();
                for (_, id) in due {
                    // Only answers within the latency objective of 20 ticks count.
                    units += if id < 10_000 && tick - arrived_at[id as usize] <= 20 { 2.0 } else { 0.0 };
                    actions.extend(harness.end_attempt(id, 0, AttemptOutcome::Ok, 0.04));
                }
                let surge = (0..2).map(|n| reserved_request(10_000 + 2 * tick as u32 + n, 9));
                let mut events: Vec<Event> =
                    surge.map(|arrival| Event::RequestArrived(IoRequest { heads: 5, ..arrival })).collect();
                if tick < 950 && tick % 500 == 100 * head {
                    // The whole burst first, and later the units refilled since.
                    for _ in 0..if tick < 500 { 5 } else { 2 } {
                        id += 1;
                        arrived_at.push(tick);
                        events.push(Event::RequestArrived(IoRequest { heads: 5, ..reserved_request(id, 1) }));
                    }
                }
                actions.extend(harness.handle(events));
                out.extend(sent(&actions).into_iter().map(|id| (tick + 4, id)));
            }
        }
        units
    };
    let without_shedding = served_units(0);
    assert_eq!(
        (without_shedding, served_units(1), served_units(5)),
        (70.0, without_shedding, without_shedding)
    );
}
