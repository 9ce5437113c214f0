//! Retry budget: limits the attempts beyond the first of each request to a fraction of the requests received, so that
//! retries do not add to an overload.

use super::settings::RetryBudget;
use std::collections::VecDeque;

/// Counts arrivals and retries over the budget's sliding window.
pub(super) struct RetryBudgetWindow {
    budget: Option<RetryBudget>,
    /// Minimum time between two calls of the scheduler. Time stamps may be off by this much, so arrivals leave the
    /// window a tick early and retries a tick late.
    tick_s: f64,
    arrivals: VecDeque<f64>,
    retries: VecDeque<f64>,
}

impl RetryBudgetWindow {
    /// Creates an empty window. Without a budget every retry is allowed.
    pub(super) fn new(budget: Option<RetryBudget>, tick_s: f64) -> RetryBudgetWindow {
        RetryBudgetWindow { budget, tick_s, arrivals: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts the arrival of a request.
    pub(super) fn record_arrival(&mut self, now: f64) {
        if self.budget.is_some() {
            self.arrivals.push_back(now);
        }
    }

    /// Counts a retry that was sent.
    pub(super) fn record_retry(&mut self, now: f64) {
        if self.budget.is_some() {
            self.retries.push_back(now);
        }
    }

    /// Returns whether one more retry fits the budget.
    pub(super) fn allows_retry(&mut self, now: f64) -> bool {
        self.remove_expired(now);
        let Some(budget) = self.budget else { return true };
        let allowed = budget.min_retries + budget.ratio * self.arrivals.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Removes the arrivals and retries that have left the window.
    pub(super) fn remove_expired(&mut self, now: f64) {
        let Some(budget) = self.budget else { return };
        let window_start = now - budget.window_s;
        let expired_arrivals = self.arrivals.partition_point(|at| *at <= window_start + self.tick_s);
        self.arrivals.drain(..expired_arrivals);
        let expired_retries = self.retries.partition_point(|at| *at < window_start - self.tick_s);
        self.retries.drain(..expired_retries);
    }
}
