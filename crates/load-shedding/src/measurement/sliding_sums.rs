//! Sums over a sliding time span, from which fractions and means are computed.

use std::collections::VecDeque;

/// A sum and the total that it is divided by, such as the requests served in time and all requests, or the sum of
/// delays and the number of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    /// The numerator of the ratio.
    pub counted: f64,
    /// The denominator of the ratio.
    pub total: f64,
}

impl Sums {
    fn add(&mut self, other: Sums) {
        self.counted += other.counted;
        self.total += other.total;
    }

    fn subtract(&mut self, other: Sums) {
        self.counted -= other.counted;
        self.total -= other.total;
    }
}

/// The sums of one time step of the span.
#[derive(Clone, Copy, Debug)]
struct Step {
    started_at: f64,
    sums: Sums,
}

/// Sums over a sliding span that is divided into time steps. Invariant: `sums` is the sum over `steps`, apart from
/// rounding errors.
#[derive(Clone, Debug)]
pub struct SlidingSums {
    span_s: f64,
    step_s: f64,
    steps: VecDeque<Step>,
    sums: Sums,
}

impl SlidingSums {
    /// Creates empty sums over the last `span_s` seconds, divided into steps of `step_s` seconds.
    pub fn new(span_s: f64, step_s: f64) -> SlidingSums {
        SlidingSums { span_s, step_s, steps: VecDeque::new(), sums: Sums::default() }
    }

    /// Adds `counted` and `total` to the sums at `now`.
    pub fn add(&mut self, now: f64, counted: f64, total: f64) {
        let added = Sums { counted, total };
        self.sums.add(added);
        match self.steps.back_mut() {
            Some(last) if now - last.started_at < self.step_s => last.sums.add(added),
            _ => self.steps.push_back(Step { started_at: now, sums: added }),
        }
    }

    /// Returns the sums over the span that ends at `now`.
    pub fn sums(&mut self, now: f64) -> Sums {
        while let Some(oldest) = self.steps.front() {
            if now - oldest.started_at <= self.span_s {
                break;
            }
            self.sums.subtract(oldest.sums);
            self.steps.pop_front();
        }
        if self.steps.is_empty() {
            // Discards rounding errors, which would otherwise accumulate over days.
            self.sums = Sums::default();
        }
        self.sums
    }

    /// Returns `counted` divided by `total`, or `None` if the total is 0 or less than `min_total`.
    pub fn ratio(&mut self, now: f64, min_total: f64) -> Option<f64> {
        let sums = self.sums(now);
        let is_enough = sums.total >= min_total && sums.total > 0.0;
        is_enough.then(|| sums.counted / sums.total)
    }
}

#[cfg(test)]
mod tests;
