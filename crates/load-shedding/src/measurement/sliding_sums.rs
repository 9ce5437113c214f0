//! Sums over a sliding span, for fractions and means.

use std::collections::VecDeque;

/// A counted sum and the total that it is a part of, such as requests served in time and all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sums {
    /// What was counted.
    pub counted: f64,
    /// What it was counted of.
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

/// The sums of one step of the span.
#[derive(Clone, Copy, Debug)]
struct Step {
    started_at: f64,
    sums: Sums,
}

/// Sums over the last seconds, kept in steps. Invariant: `sums` is the sum over `steps`, but for rounding.
#[derive(Clone, Debug)]
pub struct SlidingSums {
    span_s: f64,
    step_s: f64,
    steps: VecDeque<Step>,
    sums: Sums,
}

impl SlidingSums {
    /// Creates empty sums over the last `span_s` seconds in steps of `step_s` seconds.
    pub fn new(span_s: f64, step_s: f64) -> SlidingSums {
        SlidingSums { span_s, step_s, steps: VecDeque::new(), sums: Sums::default() }
    }

    /// Adds to both sums.
    pub fn add(&mut self, now: f64, counted: f64, total: f64) {
        let added = Sums { counted, total };
        self.sums.add(added);
        match self.steps.back_mut() {
            Some(last) if now - last.started_at < self.step_s => last.sums.add(added),
            _ => self.steps.push_back(Step { started_at: now, sums: added }),
        }
    }

    /// Both sums over the span that ends now.
    pub fn sums(&mut self, now: f64) -> Sums {
        while let Some(oldest) = self.steps.front() {
            if now - oldest.started_at <= self.span_s {
                break;
            }
            self.sums.subtract(oldest.sums);
            self.steps.pop_front();
        }
        if self.steps.is_empty() {
            // Rounding errors must not add up over days.
            self.sums = Sums::default();
        }
        self.sums
    }

    /// The counted fraction of the total, if the total is at least `min_total`.
    pub fn ratio(&mut self, now: f64, min_total: f64) -> Option<f64> {
        let sums = self.sums(now);
        let is_enough = sums.total >= min_total && sums.total > 0.0;
        is_enough.then(|| sums.counted / sums.total)
    }
}

#[cfg(test)]
mod tests;
