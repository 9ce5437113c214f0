//! The retry budget: attempts beyond each request's first are bounded by a share of the requests that arrived, so
//! that retries don't add to an overload.

use super::settings::RetryBudget;
use std::collections::VecDeque;

/// Counts arrivals and retries over the budget's sliding window.
pub(super) struct RetryBudgetWindow {
    budget: Option<RetryBudget>,
    /// Shortest time between two calls of the scheduler: the count errs by it on the strict side.
    tick_s: f64,
    arrivals: VecDeque<f64>,
    retries: VecDeque<f64>,
}

impl RetryBudgetWindow {
    /// Nothing counted yet. Without a budget every retry is allowed.
    pub(super) fn new(budget: Option<RetryBudget>, tick_s: f64) -> RetryBudgetWindow {
        RetryBudgetWindow { budget, tick_s, arrivals: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Counts a request that arrived.
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

    /// Whether one more retry fits the budget.
    pub(super) fn allows_retry(&mut self, now: f64) -> bool {
        self.forget_expired(now);
        let Some(budget) = self.budget else { return true };
        let allowed = budget.min_retries + budget.ratio * self.arrivals.len() as f64;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Forgets what has left the window.
    pub(super) fn forget_expired(&mut self, now: f64) {
        let Some(budget) = self.budget else { return };
        let window_start = now - budget.window_s;
        let expired_arrivals = self.arrivals.partition_point(|at| *at <= window_start + self.tick_s);
        self.arrivals.drain(..expired_arrivals);
        let expired_retries = self.retries.partition_point(|at| *at < window_start - self.tick_s);
        self.retries.drain(..expired_retries);
    }
}
