//! The results of a condition over a sliding window, so that a single reading cannot change a level.

use std::collections::VecDeque;

/// The result of one evaluation of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConditionResult {
    /// The condition holds.
    Holds,
    /// The condition does not hold.
    Fails,
    /// A reading that the condition depends on is stale or missing.
    Unknown,
}

/// The result of one evaluation and its time.
#[derive(Clone, Copy, Debug)]
struct TimedResult {
    at: f64,
    result: ConditionResult,
}

/// The results of one condition in a sliding window. Invariant: `holding` is the number of entries of `results` that
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
    /// Creates an empty window of `length_s` seconds. It reports a fraction only with at least `min_results` results,
    /// so that a caller that was suspended for most of the window does not act on the few it has recorded.
    pub fn new(length_s: f64, min_results: usize) -> EvaluationWindow {
        EvaluationWindow { length_s, min_results, results: VecDeque::new(), holding: 0, last_known_at: None }
    }

    /// Records a result and removes those that have left the window.
    pub fn record(&mut self, now: f64, result: ConditionResult) {
        if result != ConditionResult::Unknown {
            self.last_known_at = Some(now);
        }
        if result == ConditionResult::Holds {
            self.holding += 1;
        }
        self.results.push_back(TimedResult { at: now, result });
        // The last result from before the window is kept, to show that the results cover the whole window.
        while self.results.get(1).is_some_and(|second| now - second.at >= self.length_s) {
            let removed = self.results.pop_front();
            if removed.is_some_and(|removed| removed.result == ConditionResult::Holds) {
                self.holding -= 1;
            }
        }
    }

    /// The fraction of the results for which the condition held, or `None` until the results cover the window.
    /// [`ConditionResult::Unknown`] counts as not holding.
    pub fn fraction_holding(&self, now: f64) -> Option<f64> {
        let first = self.results.front()?;
        let is_covered = now - first.at >= self.length_s && self.results.len() >= self.min_results;
        is_covered.then(|| self.holding as f64 / self.results.len() as f64)
    }

    /// Time of the last result that was not [`ConditionResult::Unknown`].
    pub fn last_known_at(&self) -> Option<f64> {
        self.last_known_at
    }

    /// Removes all results. Called after a transition, so that only later results can cause the next one.
    pub fn clear(&mut self) {
        self.results.clear();
        self.holding = 0;
    }
}

#[cfg(test)]
mod tests;
