//! The adaptation's steps, their numbers worked out by hand.

use super::*;

#[path = "../../tests/common/mod.rs"]
mod common;

/// Three classes with aims of 0.2, 0.3 and 0.8 s and these mean delays since the last adaptation.
fn sampled(scheduler: &mut Scheduler, delays: [f64; 3]) {
    for (class, delay) in scheduler.classes.iter_mut().zip(delays) {
        class.samples = (delay * 2.0, 2);
    }
}

fn start() -> Scheduler {
    Scheduler::new(common::settings(), 1, 0.0).expect("settings that can be served")
}

fn weights_are(scheduler: &Scheduler, expected: [f64; 3]) {
    for (class, weight) in scheduler.classes.iter().zip(expected) {
        assert!((class.weight - weight).abs() < 1e-9, "{} is not {weight}", class.weight);
    }
}

#[test]
fn a_donation_covers_half_the_need_and_slopes_are_refitted() {
    let mut s = start();
    // First slopes are delay over weight: 1.2 and 0.6. Need 0.2 / 1.2 = 1/6, half committed: 1/12.
    sampled(&mut s, [0.4, 0.3, 0.2]);
    assert!(s.adapt());
    weights_are(&s, [5.0 / 12.0, 1.0 / 3.0, 0.25]);
    // Averaged: 0.35 and 0.24. Refitted: 0.05 / (1/12) = 0.6 and 0.04 / (1/12) = 0.48.
    // Need 0.15 / 0.6 = 0.25, half committed.
    sampled(&mut s, [0.3, 0.3, 0.28]);
    assert!(s.adapt());
    assert!((s.classes[0].slope.expect("known") - 0.6).abs() < 1e-9);
    assert!((s.classes[2].slope.expect("known") - 0.48).abs() < 1e-9);
    weights_are(&s, [5.0 / 12.0 + 0.125, 1.0 / 3.0, 0.125]);
}

#[test]
fn donors_give_by_their_surplus() {
    let mut s = start();
    // Slopes 1.2, 0.3, 0.6; surpluses 0.2 / 0.3 = 2/3 and 0.6 / 0.6 = 1; need 1/6 split 2 to 3, half of it.
    sampled(&mut s, [0.4, 0.1, 0.2]);
    assert!(s.adapt());
    let third = 1.0 / 3.0;
    weights_are(&s, [third + 1.0 / 12.0, third - 1.0 / 30.0, third - 1.0 / 20.0]);
}

#[test]
fn a_donation_is_clamped_to_the_bands_edge() {
    let mut s = start();
    // The donor's slope is 2.1; the edge 0.72 leaves 0.02 / 2.1, half of it is committed.
    sampled(&mut s, [0.4, 0.3, 0.7]);
    assert!(s.adapt());
    weights_are(&s, [1.0 / 3.0 + 0.01 / 2.1, 1.0 / 3.0, 1.0 / 3.0 - 0.01 / 2.1]);
}

#[test]
fn weights_have_a_floor_and_sum_to_one() {
    let mut s = start();
    for _ in 0..40 {
        sampled(&mut s, [9.0, 0.3, 0.01]);
        s.adapt();
    }
    assert!(s.classes[2].weight >= WEIGHT_FLOOR / 3.0 - 1e-12);
    assert!((s.classes.iter().map(|c| c.weight).sum::<f64>() - 1.0).abs() < 1e-9);
}

#[test]
fn a_slope_stays_when_share_or_delay_did_not_move() {
    let mut s = start();
    sampled(&mut s, [0.2, 0.3, 0.8]);
    assert!(!s.adapt(), "all in their bands");
    sampled(&mut s, [0.2, 0.3, 0.4]);
    assert!(!s.adapt(), "nobody in need");
    assert!((s.classes[2].slope.expect("known") - 2.4).abs() < 1e-9, "delay moved, share did not");
}

#[test]
fn the_interval_doubles_to_eight_seconds_and_returns() {
    let mut s = start();
    let mut intervals = Vec::new();
    for delay in [0.4, 0.4, 0.4, 0.2, 0.2, 0.2, 0.2] {
        sampled(&mut s, [delay, 0.3, 0.2]);
        s.ticks_left = 1;
        s.tick();
        intervals.push(s.interval);
    }
    assert_eq!(intervals[..3], [8, 16, 16]);
    assert_eq!(intervals[6], ADAPT_TICKS);
}

/// Guards against memory that grows with all volumes and extents ever seen.
#[test]
fn what_is_out_of_use_is_forgotten() {
    let mut set = common::settings();
    set.classes[0].ordered = true;
    let mut rig = common::Rig::new(set);
    for id in 0..50 {
        let mut ask = common::request(id, common::SAFE);
        ask.volume = VolumeId(u64::from(id));
        rig.ask(ask);
        rig.wait(0.01);
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.01);
    }
    let kept = |s: &Scheduler| {
        let tags: usize = s.lanes.values().map(|l| l.volume_finish.len()).sum();
        (s.volumes.len(), s.order.len() + tags + s.held.len())
    };
    assert_eq!(kept(&rig.scheduler).0, 50);
    rig.wait(61.0);
    assert_eq!(kept(&rig.scheduler), (0, 0));
}

/// Guards against tags of shared work that pile up at a lane: those that its time has passed are forgotten.
#[test]
fn tags_that_a_lanes_time_has_passed_are_forgotten() {
    let mut set = common::settings();
    (set.plans[0].reserve, set.max_request_units) = (0.0, 0.0);
    let mut rig = common::Rig::new(set);
    let tags = |rig: &common::Rig| rig.scheduler.lanes.values().map(|l| l.volume_finish.len()).sum::<usize>();
    for id in 0..50 {
        let ask = IoRequest { volume: VolumeId(u64::from(id)), ..common::request(id, common::SAFE) };
        assert_eq!(common::sent(&rig.ask(ask)), [id]);
        rig.wait(0.02);
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.02);
    }
    // The same few again move the lane's time on.
    for id in 50..80 {
        let ask = IoRequest { volume: VolumeId(u64::from(id % 2)), ..common::request(id, common::SAFE) };
        rig.ask(ask);
        rig.wait(0.02);
        rig.outcome(id, 0, AttemptOutcome::Ok, 0.02);
    }
    assert!(tags(&rig) >= 1);
    rig.wait(0.6);
    assert!(tags(&rig) <= 2, "{} of 50", tags(&rig));
}
