//! Bound on the load of a cold node: within any window of the length in the settings, all heads of a fleet together
//! send it at most N + 2 * sqrt(N) + 2 requests of mean size, where N is the number of requests that the node
//! withstands in that window. Simulated in virtual time with 20 and 30 heads, both with heads that know the node's
//! shard and with heads that have all just started.

use flaxgap_slow_start::{
    AnswerSpeed, NodeCondition, SenderShare, SlowStart, SlowStartSettings, WaitingRequest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const SETTINGS: SlowStartSettings = SlowStartSettings {
    units: 42.0,
    window_s: 3.0,
    initial_capacity: 0.17,
    warm_up_s: 16.0,
    overload_factor: 3.0,
};
/// Mean size of a request, in units.
const MEAN_UNITS: f64 = 2.0;
/// Time step of the simulation, in seconds.
const STEP_S: f64 = 0.01;
/// Latency, in seconds, below which an answer is fast, and above which it is slow. A request waits at its head for
/// `SLOW_LATENCY_S` at most.
const FAST_LATENCY_S: f64 = 0.35;
const SLOW_LATENCY_S: f64 = 1.0;
/// Seconds of normal load before the node starts, and seconds simulated after the start.
const BEFORE_START_S: f64 = 40.0;
const AFTER_START_S: f64 = 20.0;

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    heads: u32,
    /// Load as a fraction of the warm node's capacity, and the factor on this load once the node has started.
    load: f64,
    load_factor: f64,
    /// Whether the heads existed before the node started.
    keep_state: bool,
    /// Whether the heads limit their load by slow start. Otherwise they send every request at once.
    uses_slow_start: bool,
}

/// Returns the fraction of its full capacity that a node has at this age.
fn capacity_fraction(age: f64) -> f64 {
    if age < 0.0 {
        1.0
    } else {
        (SETTINGS.initial_capacity + (1.0 - SETTINGS.initial_capacity) * age / SETTINGS.warm_up_s).min(1.0)
    }
}

/// Returns the full capacity of the slowest node that the settings allow, which withstands exactly the guaranteed
/// load.
fn full_capacity() -> f64 {
    SETTINGS.units / SETTINGS.window_s / SETTINGS.overload_factor / SETTINGS.initial_capacity
}

/// Returns the maximum load of the cold node within any window, in requests of mean size, as a fraction of the bound N
/// + 2 * sqrt(N) + 2.
fn max_bound_fraction(fleet: Fleet, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let heads = fleet.heads as usize;
    let mut slow_starts = vec![SlowStart::new(SETTINGS.warm_up_s, 0.0); heads];
    let mut waiting: Vec<VecDeque<(f64, f64, f64)>> = vec![VecDeque::new(); heads];
    // Requests at the node, in order: the head, the remaining units, and the time of sending.
    let mut queue = VecDeque::<(usize, f64, f64)>::new();
    let mut recent_sends = VecDeque::<(f64, f64)>::new();
    let mut max_fraction = 0.0f64;
    for step in 0..((BEFORE_START_S + AFTER_START_S) / STEP_S) as u32 {
        let now = f64::from(step) * STEP_S;
        let age = now - BEFORE_START_S;
        if age.abs() < STEP_S / 2.0 {
            for slow_start in &mut slow_starts {
                *slow_start =
                    if fleet.keep_state { *slow_start } else { SlowStart::new(SETTINGS.warm_up_s, now) };
                slow_start.record_node_start(now);
            }
        }
        let mut capacity_left = full_capacity() * capacity_fraction(age) * STEP_S;
        while let Some((head, units, sent_at)) = queue.front_mut() {
            let done = units.min(capacity_left);
            (*units, capacity_left) = (*units - done, capacity_left - done);
            if *units > 0.0 {
                break;
            }
            slow_starts[*head].record_answer(match now - *sent_at {
                latency if latency < FAST_LATENCY_S => AnswerSpeed::Fast,
                latency if latency > SLOW_LATENCY_S => AnswerSpeed::Slow,
                _ => AnswerSpeed::Normal,
            });
            queue.pop_front();
        }
        let demand = full_capacity() * fleet.load * if age < 0.0 { 1.0 } else { fleet.load_factor };
        for head in 0..heads {
            if random.random_bool(demand / f64::from(fleet.heads) * STEP_S / MEAN_UNITS) {
                let units = random.random_range(1..=3u32).into();
                slow_starts[head].record_demand(now, units);
                waiting[head].push_back((now, units, random.random()));
            }
            waiting[head].retain(|(arrived_at, _, _)| now - arrived_at < SLOW_LATENCY_S);
            let Some((_, units, sample)) = waiting[head].front().copied() else { continue };
            let oldest_age = queue
                .iter()
                .find(|(sender, _, _)| *sender == head)
                .map_or(0.0, |(_, _, sent_at)| now - sent_at);
            let sender = SenderShare { heads: f64::from(fleet.heads), process_share: 1.0 };
            let node = NodeCondition { age_s: age.max(0.0), is_slow: oldest_age > SLOW_LATENCY_S };
            let rate = slow_starts[head].allowed_rate(&SETTINGS, sender, node, now);
            let request = WaitingRequest { units, is_reserved: true, sample };
            let may_send = age < 0.0
                || !fleet.uses_slow_start
                || rate.is_none_or(|rate| slow_starts[head].wait_s(&SETTINGS, rate, request, now) <= 0.0);
            if may_send {
                waiting[head].pop_front();
                slow_starts[head].record_sent(units);
                queue.push_back((head, units, now));
                if age >= 0.0 {
                    recent_sends.push_back((now, units));
                }
            }
        }
        while recent_sends.front().is_some_and(|(sent_at, _)| now - sent_at >= SETTINGS.window_s) {
            recent_sends.pop_front();
        }
        if (0.0..SETTINGS.warm_up_s).contains(&age) {
            let overload_requests =
                SETTINGS.overload_factor * SETTINGS.window_s * full_capacity() * capacity_fraction(age)
                    / MEAN_UNITS;
            let requests = recent_sends.iter().map(|(_, units)| units).sum::<f64>() / MEAN_UNITS;
            max_fraction =
                max_fraction.max(requests / (overload_requests + 2.0 * overload_requests.sqrt() + 2.0));
        }
    }
    max_fraction
}

#[test]
fn twenty_and_thirty_heads_together_keep_the_bound_of_a_cold_node() {
    for heads in [20, 30] {
        let mut max_fraction = 0.0f64;
        for (load, load_factor) in [(0.6, 1.0), (0.9, 1.0), (0.6, 1.5), (0.9, 2.0)] {
            for keep_state in [true, false] {
                for seed in 0..6 {
                    let fleet = Fleet { heads, load, load_factor, keep_state, uses_slow_start: true };
                    let fraction = max_bound_fraction(fleet, seed);
                    assert!(fraction <= 1.0, "{fleet:?}, seed {seed}: {fraction:.2} of the bound");
                    max_fraction = max_fraction.max(fraction);
                }
            }
        }
        println!("{heads} heads: {max_fraction:.2} of the bound at most");
    }
}

/// Verifies that the bound is meaningful: a fleet without slow start exceeds it.
#[test]
fn without_the_rule_the_bound_is_broken() {
    for heads in [20, 30] {
        for seed in 0..6 {
            let fleet =
                Fleet { heads, load: 0.9, load_factor: 2.0, keep_state: true, uses_slow_start: false };
            let fraction = max_bound_fraction(fleet, seed);
            assert!(fraction > 1.0, "{fleet:?}, seed {seed}: {fraction:.2} of the bound");
        }
    }
}
