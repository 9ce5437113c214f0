//! The limit on the transitions of one scope within a span. Transitions by an operator do not count.

use std::collections::VecDeque;

/// Transitions that a step down to `normal` has to leave room for, itself included: the step, an entry after it and
/// the step down from that.
const STEP_DOWN_AND_RETURN: usize = 3;

/// Counts transitions. Invariant: `counted transitions + present level <= max`, so that the steps down from each
/// level that is entered fit the limit.
#[derive(Clone, Debug)]
pub struct TransitionLimit {
    max: usize,
    span_s: f64,
    times: VecDeque<f64>,
}

impl TransitionLimit {
    /// Creates a limit of `max` transitions within `span_s` seconds.
    pub fn new(max: usize, span_s: f64) -> TransitionLimit {
        TransitionLimit { max, span_s, times: VecDeque::new() }
    }

    /// Counts a transition.
    pub fn record(&mut self, now: f64) {
        self.times.push_back(now);
    }

    /// Removes transitions that are older than the span.
    pub fn remove_expired(&mut self, now: f64) {
        while self.times.front().is_some_and(|at| now - at > self.span_s) {
            self.times.pop_front();
        }
    }

    /// Whether a level may be entered, so that the steps down from it still fit.
    pub fn allows_entry(&self, level: usize) -> bool {
        self.times.len() + 1 + level <= self.max
    }

    /// Whether a step down to `normal` leaves room for a return and its end.
    pub fn allows_step_to_normal(&self) -> bool {
        self.times.len() + STEP_DOWN_AND_RETURN <= self.max
    }

    /// When the oldest counted transition leaves the span.
    pub fn next_expiry(&self) -> Option<f64> {
        self.times.front().map(|oldest| oldest + self.span_s)
    }

    /// Transitions that are left in the present span.
    pub fn remaining(&self) -> usize {
        self.max.saturating_sub(self.times.len())
    }

    /// The times of the counted transitions, the oldest first.
    pub fn times(&self) -> Vec<f64> {
        self.times.iter().copied().collect()
    }

    /// Counts these transitions in place of those counted so far.
    pub fn restore(&mut self, times: impl IntoIterator<Item = f64>) {
        self.times = times.into_iter().collect();
    }
}
