//! Evaluations of a condition over a window: no single reading changes a level.

use std::collections::VecDeque;

/// The result of one evaluation of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionResult {
    /// It holds.
    Holds,
    /// It does not hold.
    Fails,
    /// A reading that it needs is stale or missing.
    Unknown,
}

/// One evaluation and when it was made.
#[derive(Clone, Copy, Debug)]
struct TimedResult {
    at: f64,
    result: ConditionResult,
}

/// The evaluations of one condition in a sliding window. Invariant: `holding` counts the results in `results` that
/// are [`ConditionResult::Holds`].
#[derive(Clone, Debug)]
pub struct EvaluationWindow {
    length_s: f64,
    min_results: usize,
    results: VecDeque<TimedResult>,
    holding: usize,
    last_known_at: Option<f64>,
}

impl EvaluationWindow {
    /// Creates an empty window of `length_s` seconds that needs `min_results` evaluations: a caller that was
    /// suspended for the length of the window has gathered too little evidence.
    pub fn new(length_s: f64, min_results: usize) -> EvaluationWindow {
        EvaluationWindow { length_s, min_results, results: VecDeque::new(), holding: 0, last_known_at: None }
    }

    /// Records an evaluation and removes those that are older than the window.
    pub fn record(&mut self, now: f64, result: ConditionResult) {
        if result != ConditionResult::Unknown {
            self.last_known_at = Some(now);
        }
        if result == ConditionResult::Holds {
            self.holding += 1;
        }
        self.results.push_back(TimedResult { at: now, result });
        // One evaluation from before the window stays: it shows that the window is covered.
        while self.results.get(1).is_some_and(|second| now - second.at >= self.length_s) {
            let removed = self.results.pop_front();
            if removed.is_some_and(|removed| removed.result == ConditionResult::Holds) {
                self.holding -= 1;
            }
        }
    }

    /// The fraction of the evaluations at which the condition held, once they cover the window. Unknown results
    /// count as not holding.
    pub fn fraction_holding(&self, now: f64) -> Option<f64> {
        let first = self.results.front()?;
        let is_covered = now - first.at >= self.length_s && self.results.len() >= self.min_results;
        is_covered.then(|| self.holding as f64 / self.results.len() as f64)
    }

    /// When the condition was last known, either way.
    pub fn last_known_at(&self) -> Option<f64> {
        self.last_known_at
    }

    /// Removes all evaluations: after a change of level only what follows it is evidence.
    pub fn clear(&mut self) {
        self.results.clear();
        self.holding = 0;
    }
}

#[cfg(test)]
mod tests;
