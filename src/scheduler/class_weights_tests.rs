//! Tests of the weight adaptation against values worked out by hand.

use super::class_weights::{ADAPTATION_TICKS, ClassWeights, DelaySum, MIN_WEIGHT_FRACTION};
use super::common;

/// Sets the mean delays since the last adaptation of three classes with objectives of 0.2, 0.3 and 0.8 s.
fn set_delays(weights: &mut ClassWeights, delays: [f64; 3]) {
    for (class, delay) in weights.classes.iter_mut().zip(delays) {
        class.tick_means = DelaySum { total_s: delay * 2.0, count: 2 };
    }
}

fn even_weights() -> ClassWeights {
    ClassWeights::new(&common::settings().classes)
}

fn assert_weights(weights: &ClassWeights, expected: [f64; 3]) {
    for (class, weight) in weights.classes.iter().zip(expected) {
        assert!((class.weight - weight).abs() < 1e-9, "weight is {}, expected {weight}", class.weight);
    }
}

#[test]
fn a_donation_covers_half_the_need_and_slopes_are_refitted() {
    let mut weights = even_weights();
    // Initial slopes are delay over weight: 1.2 and 0.6. The need is 0.2 / 1.2 = 1/6, of which half is applied: 1/12.
    set_delays(&mut weights, [0.4, 0.3, 0.2]);
    assert!(weights.adapt());
    assert_weights(&weights, [5.0 / 12.0, 1.0 / 3.0, 0.25]);
    // Averaged delays: 0.35 and 0.24. New slopes: 0.05 / (1/12) = 0.6 and 0.04 / (1/12) = 0.48. The need is 0.15 / 0.6
    // = 0.25, of which half is applied.
    set_delays(&mut weights, [0.3, 0.3, 0.28]);
    assert!(weights.adapt());
    assert!((weights.classes[0].slope.expect("known") - 0.6).abs() < 1e-9);
    assert!((weights.classes[2].slope.expect("known") - 0.48).abs() < 1e-9);
    assert_weights(&weights, [5.0 / 12.0 + 0.125, 1.0 / 3.0, 0.125]);
}

#[test]
fn donors_give_in_proportion_to_their_surplus() {
    let mut weights = even_weights();
    // Slopes are 1.2, 0.3 and 0.6; surpluses 0.2 / 0.3 = 2/3 and 0.6 / 0.6 = 1. The need of 1/6 is split 2 to 3, and
    // half of it is applied.
    set_delays(&mut weights, [0.4, 0.1, 0.2]);
    assert!(weights.adapt());
    let third = 1.0 / 3.0;
    assert_weights(&weights, [third + 1.0 / 12.0, third - 1.0 / 30.0, third - 1.0 / 20.0]);
}

#[test]
fn a_donation_is_clamped_to_the_bands_edge() {
    let mut weights = even_weights();
    // The donor's slope is 2.1. Up to the edge of its band at 0.72 it can spare 0.02 / 2.1, of which half is applied.
    set_delays(&mut weights, [0.4, 0.3, 0.7]);
    assert!(weights.adapt());
    assert_weights(&weights, [1.0 / 3.0 + 0.01 / 2.1, 1.0 / 3.0, 1.0 / 3.0 - 0.01 / 2.1]);
}

#[test]
fn weights_have_a_minimum_and_sum_to_one() {
    let mut weights = even_weights();
    for _ in 0..40 {
        set_delays(&mut weights, [9.0, 0.3, 0.01]);
        weights.adapt();
    }
    assert!(weights.classes[2].weight >= MIN_WEIGHT_FRACTION / 3.0 - 1e-12);
    assert!((weights.classes.iter().map(|c| c.weight).sum::<f64>() - 1.0).abs() < 1e-9);
}

#[test]
fn a_slope_stays_when_weight_or_delay_did_not_change() {
    let mut weights = even_weights();
    set_delays(&mut weights, [0.2, 0.3, 0.8]);
    assert!(!weights.adapt(), "all classes are balanced");
    set_delays(&mut weights, [0.2, 0.3, 0.4]);
    assert!(!weights.adapt(), "no class is underweight");
    assert!((weights.classes[2].slope.expect("known") - 2.4).abs() < 1e-9, "delay changed, weight did not");
}

#[test]
fn the_interval_doubles_to_eight_seconds_and_resets() {
    let mut weights = even_weights();
    let mut intervals = Vec::new();
    for delay in [0.4, 0.4, 0.4, 0.2, 0.2, 0.2, 0.2] {
        set_delays(&mut weights, [delay, 0.3, 0.2]);
        weights.ticks_to_adaptation = 1;
        weights.end_tick();
        intervals.push(weights.adaptation_ticks);
    }
    assert_eq!(intervals[..3], [8, 16, 16]);
    assert_eq!(intervals[6], ADAPTATION_TICKS);
}
