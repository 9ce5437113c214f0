//! Limits the number of transitions of one scope within a sliding time span. Transitions made by an operator are not
//! counted.

use std::collections::VecDeque;

/// Transitions that must remain before a step down to `normal` is made: the step itself, a later entry to level 1 and
/// the step down from it.
const STEP_DOWN_AND_RETURN_TRANSITIONS: usize = 3;

/// Counts the transitions of the last `span_s` seconds. Invariant: `counted transitions + current level <= max`, so
/// that every level that is entered can be left again within the limit.
#[derive(Clone, Debug)]
pub struct TransitionLimit {
    max: usize,
    span_s: f64,
    times: VecDeque<f64>,
}

impl TransitionLimit {
    /// Creates a limit of `max` transitions in any `span_s` seconds.
    pub fn new(max: usize, span_s: f64) -> TransitionLimit {
        TransitionLimit { max, span_s, times: VecDeque::new() }
    }

    /// Counts a transition made at `now`.
    pub fn record(&mut self, now: f64) {
        self.times.push_back(now);
    }

    /// Stops counting transitions that are older than the span.
    pub fn remove_expired(&mut self, now: f64) {
        while self.times.front().is_some_and(|at| now - at > self.span_s) {
            self.times.pop_front();
        }
    }

    /// Whether an entry to this level, and all steps down from it to `normal`, fit the limit.
    pub fn allows_entry(&self, level: usize) -> bool {
        self.times.len() + 1 + level <= self.max
    }

    /// Whether a step down to `normal`, a later entry to level 1 and the step down from it fit the limit.
    pub fn allows_step_to_normal(&self) -> bool {
        self.times.len() + STEP_DOWN_AND_RETURN_TRANSITIONS <= self.max
    }

    /// The time at which the oldest counted transition leaves the span.
    pub fn next_expiry(&self) -> Option<f64> {
        self.times.front().map(|oldest| oldest + self.span_s)
    }

    /// The number of transitions that the limit still allows.
    pub fn remaining(&self) -> usize {
        self.max.saturating_sub(self.times.len())
    }

    /// The times of the counted transitions, oldest first.
    pub fn times(&self) -> Vec<f64> {
        self.times.iter().copied().collect()
    }

    /// Replaces the counted transitions by transitions at these times, oldest first.
    pub fn restore(&mut self, times: impl IntoIterator<Item = f64>) {
        self.times = times.into_iter().collect();
    }
}
