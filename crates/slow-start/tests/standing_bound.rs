//! Standing term: what all heads of a fleet together send a cold node stays within N + 2 * sqrt(N) + 2 requests of mean
//! work in the span that the settings name, N being what the node bears then. Played in virtual time with 20 and 30
//! heads, with heads that know the node's shard and with heads that all started anew.

use flaxgap_slow_start::{
    AnswerSpeed, NodeCondition, SenderShare, SlowStart, SlowStartSettings, WaitingRequest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const COLD: SlowStartSettings = SlowStartSettings {
    units: 42.0,
    window_s: 3.0,
    initial_capacity: 0.17,
    warm_up_s: 16.0,
    overload_factor: 3.0,
};
/// Mean work of a request, in units.
const MEAN_UNITS: f64 = 2.0;
const STEP: f64 = 0.01;
/// Seconds within which an answer is quick, past which it is slow, and for which a request is held.
const QUICK: f64 = 0.35;
const SLOW: f64 = 1.0;
/// Seconds of usual traffic before the start, and watched from it on.
const BEFORE: f64 = 40.0;
const WATCHED: f64 = 20.0;

/// What the fleet is, and what it is asked for.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    heads: u32,
    /// Part of the warm node's capacity that is asked for, and that many times as much from its start on.
    load: f64,
    burst: f64,
    /// Whether the heads lived before the node started.
    knows: bool,
    /// Whether they keep to the crate's rule, or send all that is due.
    guarded: bool,
}

/// Part of its capacity that a node has at this age.
fn warm(age: f64) -> f64 {
    if age < 0.0 {
        1.0
    } else {
        (COLD.initial_capacity + (1.0 - COLD.initial_capacity) * age / COLD.warm_up_s).min(1.0)
    }
}

/// The slowest node that the settings allow: it bears just what they guarantee.
fn capacity() -> f64 {
    COLD.units / COLD.window_s / COLD.overload_factor / COLD.initial_capacity
}

/// The most requests of mean work that a cold node got in any span, as a part of N + 2 * sqrt(N) + 2.
fn most_of_bound(fleet: Fleet, seed: u64) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let heads = fleet.heads as usize;
    let mut views = vec![SlowStart::new(COLD.warm_up_s, 0.0); heads];
    let mut held: Vec<VecDeque<(f64, f64, f64)>> = vec![VecDeque::new(); heads];
    // At the node, in turn: the head, the units that are left, and when they were sent.
    let mut queue = VecDeque::<(usize, f64, f64)>::new();
    let mut sent = VecDeque::<(f64, f64)>::new();
    let mut most = 0.0f64;
    for step in 0..((BEFORE + WATCHED) / STEP) as u32 {
        let now = f64::from(step) * STEP;
        let age = now - BEFORE;
        if age.abs() < STEP / 2.0 {
            for view in &mut views {
                *view = if fleet.knows { *view } else { SlowStart::new(COLD.warm_up_s, now) };
                view.record_node_start(now);
            }
        }
        let mut work = capacity() * warm(age) * STEP;
        while let Some((head, units, at)) = queue.front_mut() {
            let done = units.min(work);
            (*units, work) = (*units - done, work - done);
            if *units > 0.0 {
                break;
            }
            views[*head].record_answer(match now - *at {
                quick if quick < QUICK => AnswerSpeed::Fast,
                slow if slow > SLOW => AnswerSpeed::Slow,
                _ => AnswerSpeed::Normal,
            });
            queue.pop_front();
        }
        let asked = capacity() * fleet.load * if age < 0.0 { 1.0 } else { fleet.burst };
        for head in 0..heads {
            if random.random_bool(asked / f64::from(fleet.heads) * STEP / MEAN_UNITS) {
                let units = random.random_range(1..=3u32).into();
                views[head].record_demand(now, units);
                held[head].push_back((now, units, random.random()));
            }
            held[head].retain(|(at, _, _)| now - at < SLOW);
            let Some((_, units, sample)) = held[head].front().copied() else { continue };
            let oldest = queue.iter().find(|(of, _, _)| *of == head).map_or(0.0, |(_, _, at)| now - at);
            let sender = SenderShare { heads: f64::from(fleet.heads), process_share: 1.0 };
            let node = NodeCondition { age_s: age.max(0.0), is_slow: oldest > SLOW };
            let rate = views[head].allowed_rate(&COLD, sender, node, now);
            let request = WaitingRequest { units, is_reserved: true, sample };
            let goes = age < 0.0
                || !fleet.guarded
                || rate.is_none_or(|rate| views[head].wait_s(&COLD, rate, request, now) <= 0.0);
            if goes {
                held[head].pop_front();
                views[head].record_sent(units);
                queue.push_back((head, units, now));
                if age >= 0.0 {
                    sent.push_back((now, units));
                }
            }
        }
        while sent.front().is_some_and(|(at, _)| now - at >= COLD.window_s) {
            sent.pop_front();
        }
        if (0.0..COLD.warm_up_s).contains(&age) {
            let bears = COLD.overload_factor * COLD.window_s * capacity() * warm(age) / MEAN_UNITS;
            let requests = sent.iter().map(|(_, units)| units).sum::<f64>() / MEAN_UNITS;
            most = most.max(requests / (bears + 2.0 * bears.sqrt() + 2.0));
        }
    }
    most
}

#[test]
fn twenty_and_thirty_heads_together_keep_the_bound_of_a_cold_node() {
    for heads in [20, 30] {
        let mut most = 0.0f64;
        for (load, burst) in [(0.6, 1.0), (0.9, 1.0), (0.6, 1.5), (0.9, 2.0)] {
            for knows in [true, false] {
                for seed in 0..6 {
                    let fleet = Fleet { heads, load, burst, knows, guarded: true };
                    let part = most_of_bound(fleet, seed);
                    assert!(part <= 1.0, "{fleet:?}, seed {seed}: {part:.2} of the bound");
                    most = most.max(part);
                }
            }
        }
        println!("{heads} heads: {most:.2} of the bound at most");
    }
}

/// The bound is one that a fleet without the rule breaks, so that keeping it says something.
#[test]
fn without_the_rule_the_bound_is_broken() {
    for heads in [20, 30] {
        for seed in 0..6 {
            let fleet = Fleet { heads, load: 0.9, burst: 2.0, knows: true, guarded: false };
            let part = most_of_bound(fleet, seed);
            assert!(part > 1.0, "{fleet:?}, seed {seed}: {part:.2} of the bound");
        }
    }
}
