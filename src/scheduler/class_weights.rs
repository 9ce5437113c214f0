//! Weights of the request classes, adapted to their latency objectives: the local adaptation of "An Observation-based
//! Approach Towards Self-managing Web Servers", sections 3.4 (sampling) and 4.2 (adaptation).
//!
//! The paper's symbols: class i has the weight w_i, the averaged delay d_i, the objective D_i, and the slope m_i of
//! its delay over its weight. Each adaptation moves weight from the overweight classes to the most underweight class.

use super::settings::Class;

/// Minimum number of sampling ticks between two adaptations.
pub(super) const ADAPTATION_TICKS: u32 = 4;
/// Maximum number of sampling ticks between two adaptations (8 s), reached while the effect of changes settles.
const MAX_ADAPTATION_TICKS: u32 = 16;
/// Weight of the previous value in d_i (the paper's alpha).
const ALPHA: f64 = 0.5;
/// Fraction of a computed donation that is applied (the paper's beta).
const BETA: f64 = 0.5;
/// Half-width of the band around D_i within which a class is balanced (the paper's epsilon).
const EPSILON: f64 = 0.1;
/// Minimum weight, as a fraction of an even share. A class without any weight would complete no requests and give no
/// delays to adapt to.
pub(super) const MIN_WEIGHT_FRACTION: f64 = 0.1;
/// Minimum slope, as a fraction of the first estimate d_i / w_i.
const MIN_SLOPE_FRACTION: f64 = 0.05;
/// Minimum relative change of both weight and delay for a new estimate of the slope.
const MIN_CHANGE_FRACTION: f64 = 0.02;

/// Sum and number of delays.
#[derive(Clone, Copy, Default)]
pub(super) struct DelaySum {
    pub(super) total_s: f64,
    pub(super) count: u32,
}

impl DelaySum {
    fn add(&mut self, delay_s: f64) {
        self.total_s += delay_s;
        self.count += 1;
    }

    /// Returns the mean and resets the sum; `None` if no delay was added.
    fn take_mean(&mut self) -> Option<f64> {
        if self.count == 0 {
            return None;
        }
        let sum = std::mem::take(self);
        Some(sum.total_s / f64::from(sum.count))
    }
}

/// A point on a class's curve of delay over weight.
#[derive(Clone, Copy, Default)]
struct OperatingPoint {
    weight: f64,
    delay_s: f64,
}

/// Adaptation state of one class.
pub(super) struct ClassShare {
    /// w_i: the class's weight in the fair queue. The weights of all classes sum to 1.
    pub(super) weight: f64,
    /// D_i: the latency objective, in seconds.
    objective_s: f64,
    /// d_i: the averaged delay, in seconds; `None` before the first adaptation with samples.
    delay_s: Option<f64>,
    /// m_i: change of d_i, in seconds, per unit of weight; `None` before the first estimate.
    pub(super) slope: Option<f64>,
    /// Weight and delay at the last estimate of the slope.
    estimated_at: OperatingPoint,
    /// Delays since the last sampling tick.
    current_tick: DelaySum,
    /// Mean delays of the sampling ticks since the last adaptation.
    pub(super) tick_means: DelaySum,
}

impl ClassShare {
    fn new(weight: f64, objective_s: f64) -> ClassShare {
        ClassShare {
            weight,
            objective_s,
            delay_s: None,
            slope: None,
            estimated_at: OperatingPoint::default(),
            current_tick: DelaySum::default(),
            tick_means: DelaySum::default(),
        }
    }

    /// Adds the mean delay of the ending sampling tick to `tick_means`.
    fn end_tick(&mut self) {
        if let Some(mean_s) = self.current_tick.take_mean() {
            self.tick_means.add(mean_s);
        }
    }

    /// d_i = alpha * d_prev + (1 - alpha) * (mean over the ticks), section 3.4.
    fn update_delay(&mut self) {
        let Some(mean_s) = self.tick_means.take_mean() else { return };
        let delay_s = self.delay_s.map_or(mean_s, |past_s| ALPHA * past_s + (1.0 - ALPHA) * mean_s);
        self.delay_s = Some(delay_s);
        self.update_slope(delay_s);
    }

    /// m_i = |change of d_i| / |change of w_i| since the last estimate, updated once both have changed enough. The
    /// first estimate is d_i / w_i.
    fn update_slope(&mut self, delay_s: f64) {
        let first_estimate = delay_s / self.weight;
        let weight_change = (self.weight - self.estimated_at.weight).abs();
        let delay_change = (delay_s - self.estimated_at.delay_s).abs();
        let weight_changed = weight_change > MIN_CHANGE_FRACTION * self.estimated_at.weight;
        let delay_changed = delay_change > MIN_CHANGE_FRACTION * self.estimated_at.delay_s;
        if weight_changed && delay_changed {
            let slope = delay_change / weight_change;
            self.slope = Some(slope.max(MIN_SLOPE_FRACTION * first_estimate));
            self.estimated_at = OperatingPoint { weight: self.weight, delay_s };
        }
    }

    /// Returns the class's delay, slope and objective, once delay and slope are known.
    fn measured(&self) -> Option<MeasuredClass> {
        let measured =
            MeasuredClass { delay_s: self.delay_s?, slope: self.slope?, objective_s: self.objective_s };
        (measured.slope > 0.0).then_some(measured)
    }
}

/// Delay, slope and objective of a class for which all three are known.
#[derive(Clone, Copy)]
struct MeasuredClass {
    /// d_i, in seconds.
    delay_s: f64,
    /// m_i, in seconds per unit of weight.
    slope: f64,
    /// D_i, in seconds.
    objective_s: f64,
}

impl MeasuredClass {
    /// d_i >= (1 + epsilon) * D_i: the class misses its objective.
    fn is_underweight(&self) -> bool {
        self.delay_s >= (1.0 + EPSILON) * self.objective_s
    }

    /// d_i <= (1 - epsilon) * D_i: the class meets its objective with a margin.
    fn is_overweight(&self) -> bool {
        self.delay_s <= (1.0 - EPSILON) * self.objective_s
    }

    /// d_i / D_i: the class with the highest ratio is the most underweight.
    fn delay_ratio(&self) -> f64 {
        self.delay_s / self.objective_s
    }

    /// Delta w_i = (d_i - D_i) / m_i: the additional weight that an underweight class needs.
    fn needed_weight(&self) -> f64 {
        (self.delay_s - self.objective_s) / self.slope
    }

    /// s_j = (D_j - d_j) / m_j: the weight that an overweight class can spare.
    fn surplus(&self) -> f64 {
        (self.objective_s - self.delay_s) / self.slope
    }

    /// clamped_donation_j = ((1 - epsilon) * D_j - d_j) / m_j: the largest donation that keeps the donor within its
    /// band.
    fn clamped_donation(&self) -> f64 {
        ((1.0 - EPSILON) * self.objective_s - self.delay_s) / self.slope
    }
}

/// The class that receives weight at an adaptation.
struct Receiver {
    index: usize,
    measured: MeasuredClass,
}

/// The weights of all classes and the schedule of their adaptation.
pub(super) struct ClassWeights {
    pub(super) classes: Vec<ClassShare>,
    pub(super) ticks_to_adaptation: u32,
    pub(super) adaptation_ticks: u32,
}

impl ClassWeights {
    /// Creates even weights.
    pub(super) fn new(classes: &[Class]) -> ClassWeights {
        let even_weight = 1.0 / classes.len() as f64;
        let shares = classes.iter().map(|class| ClassShare::new(even_weight, class.latency_objective_s));
        ClassWeights {
            classes: shares.collect(),
            ticks_to_adaptation: ADAPTATION_TICKS,
            adaptation_ticks: ADAPTATION_TICKS,
        }
    }

    /// Returns the weight of a class.
    pub(super) fn weight(&self, class: usize) -> f64 {
        self.classes[class].weight
    }

    /// Records the delay of a request of a class, from arrival to end.
    pub(super) fn record_delay(&mut self, class: usize, delay_s: f64) {
        self.classes[class].current_tick.add(delay_s);
    }

    /// Ends a sampling tick and, if due, adapts the weights. The interval between adaptations doubles as long as each
    /// adaptation changes a weight (section 4.2, "Settling").
    pub(super) fn end_tick(&mut self) {
        for class in &mut self.classes {
            class.end_tick();
        }
        self.ticks_to_adaptation -= 1;
        if self.ticks_to_adaptation > 0 {
            return;
        }
        let has_changed = self.adapt();
        self.adaptation_ticks = match has_changed {
            true => (self.adaptation_ticks * 2).min(MAX_ADAPTATION_TICKS),
            false => ADAPTATION_TICKS,
        };
        self.ticks_to_adaptation = self.adaptation_ticks;
    }

    /// Performs one adaptation (section 4.2). Returns whether a weight changed.
    pub(super) fn adapt(&mut self) -> bool {
        for class in &mut self.classes {
            class.update_delay();
        }
        let Some(receiver) = self.most_underweight() else { return false };
        let received = self.collect_donations(receiver.measured.needed_weight());
        self.classes[receiver.index].weight += received;
        received > 0.0
    }

    /// Returns the underweight class with the highest d_i / D_i; the last one of equals.
    fn most_underweight(&self) -> Option<Receiver> {
        let mut worst: Option<Receiver> = None;
        for (index, class) in self.classes.iter().enumerate() {
            let Some(measured) = class.measured().filter(MeasuredClass::is_underweight) else { continue };
            let ratio = measured.delay_ratio();
            if worst.as_ref().is_none_or(|worst| ratio.total_cmp(&worst.measured.delay_ratio()).is_ge()) {
                worst = Some(Receiver { index, measured });
            }
        }
        worst
    }

    /// Takes weight from the overweight classes in proportion to their surplus: donation_j = Delta w_i * s_j / sum_k
    /// s_k, clamped, of which the fraction beta is applied. Returns the total weight taken.
    fn collect_donations(&mut self, needed_weight: f64) -> f64 {
        let overweight = |class: &ClassShare| class.measured().filter(MeasuredClass::is_overweight);
        let total_surplus: f64 =
            self.classes.iter().filter_map(overweight).map(|donor| donor.surplus()).sum();
        if total_surplus <= 0.0 {
            return 0.0;
        }
        let min_weight = MIN_WEIGHT_FRACTION / self.classes.len() as f64;
        let mut collected = 0.0;
        for class in &mut self.classes {
            let Some(donor) = overweight(class) else { continue };
            let donation = needed_weight * donor.surplus() / total_surplus;
            let actual_donation = donation.min(donor.clamped_donation());
            let committed = (BETA * actual_donation).min(class.weight - min_weight).max(0.0);
            class.weight -= committed;
            collected += committed;
        }
        collected
    }
}
