//! The weights of the request classes, adapted to their latency objectives: the local adaptation of "An
//! Observation-based Approach Towards Self-managing Web Servers", sections 3.4 (sampling) and 4.2 (adaptation).
//!
//! The paper's symbols: class i has the weight w_i, the averaged delay d_i, the objective D_i and the slope m_i of its
//! delay over its weight. At an adaptation the most underweight class gets weight from the overweight ones.

use super::settings::Class;

/// Sampling ticks between two adaptations while nothing has to settle.
pub(super) const ADAPTATION_TICKS: u32 = 4;
/// Sampling ticks between two adaptations at most (8 s), while changes settle.
const MAX_ADAPTATION_TICKS: u32 = 16;
/// Weight of the past in d_i (the paper's alpha).
const ALPHA: f64 = 0.5;
/// Fraction of a computed donation that is committed (the paper's beta).
const BETA: f64 = 0.5;
/// Half-width of the band around D_i in which a class is balanced (the paper's epsilon).
const EPSILON: f64 = 0.1;
/// Least weight, as a fraction of an even share: a starved class shows no delay to learn from.
pub(super) const MIN_WEIGHT_FRACTION: f64 = 0.1;
/// Least slope, as a fraction of the first estimate d_i / w_i.
const MIN_SLOPE_FRACTION: f64 = 0.05;
/// Fraction by which weight and delay both have to change before the slope is estimated anew.
const MIN_CHANGE_FRACTION: f64 = 0.02;

/// A sum of delays and how many there were.
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

    /// The mean, if there were any; starts anew.
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

/// One class as the adaptation sees it.
pub(super) struct ClassShare {
    /// w_i: the class's weight in the fair queue. All weights sum to 1.
    pub(super) weight: f64,
    /// D_i: the latency objective.
    objective_s: f64,
    /// d_i: the averaged delay; `None` before the first.
    delay_s: Option<f64>,
    /// m_i: seconds of delay by which a unit of weight changes d_i; `None` before the first estimate.
    pub(super) slope: Option<f64>,
    /// Where the slope was estimated last.
    estimated_at: OperatingPoint,
    /// Delays since the last sampling tick.
    current_tick: DelaySum,
    /// Mean delays of the ticks since the last adaptation.
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

    /// Ends a sampling tick.
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

    /// m_i = |change of d_i| / |change of w_i| since the last estimate, once both have changed enough. The first
    /// estimate is d_i / w_i.
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

    /// What the adaptation works with, once delay and slope are known.
    fn measured(&self) -> Option<MeasuredClass> {
        let measured =
            MeasuredClass { delay_s: self.delay_s?, slope: self.slope?, objective_s: self.objective_s };
        (measured.slope > 0.0).then_some(measured)
    }
}

/// The figures of a class whose delay and slope are known.
#[derive(Clone, Copy)]
struct MeasuredClass {
    /// d_i.
    delay_s: f64,
    /// m_i.
    slope: f64,
    /// D_i.
    objective_s: f64,
}

impl MeasuredClass {
    /// d_i >= (1 + epsilon) * D_i: misses its objective.
    fn is_underweight(&self) -> bool {
        self.delay_s >= (1.0 + EPSILON) * self.objective_s
    }

    /// d_i <= (1 - epsilon) * D_i: more than meets its objective.
    fn is_overweight(&self) -> bool {
        self.delay_s <= (1.0 - EPSILON) * self.objective_s
    }

    /// d_i / D_i: the largest is the most underweight class.
    fn delay_ratio(&self) -> f64 {
        self.delay_s / self.objective_s
    }

    /// Delta w_i = (d_i - D_i) / m_i: the weight that an underweight class needs.
    fn needed_weight(&self) -> f64 {
        (self.delay_s - self.objective_s) / self.slope
    }

    /// s_j = (D_j - d_j) / m_j: the weight that an overweight class can spare.
    fn surplus(&self) -> f64 {
        (self.objective_s - self.delay_s) / self.slope
    }

    /// clamped_donation_j = ((1 - epsilon) * D_j - d_j) / m_j: keeps the donor within its band.
    fn clamped_donation(&self) -> f64 {
        ((1.0 - EPSILON) * self.objective_s - self.delay_s) / self.slope
    }
}

/// The class that is given weight at an adaptation.
struct Receiver {
    index: usize,
    measured: MeasuredClass,
}

/// The weights of all classes, and when they are adapted next.
pub(super) struct ClassWeights {
    pub(super) classes: Vec<ClassShare>,
    pub(super) ticks_to_adaptation: u32,
    pub(super) adaptation_ticks: u32,
}

impl ClassWeights {
    /// Even weights.
    pub(super) fn new(classes: &[Class]) -> ClassWeights {
        let even_weight = 1.0 / classes.len() as f64;
        let shares = classes.iter().map(|class| ClassShare::new(even_weight, class.latency_objective_s));
        ClassWeights {
            classes: shares.collect(),
            ticks_to_adaptation: ADAPTATION_TICKS,
            adaptation_ticks: ADAPTATION_TICKS,
        }
    }

    /// The weight of a class.
    pub(super) fn weight(&self, class: usize) -> f64 {
        self.classes[class].weight
    }

    /// Samples the delay of a request, from arrival to end.
    pub(super) fn record_delay(&mut self, class: usize, delay_s: f64) {
        self.classes[class].current_tick.add(delay_s);
    }

    /// Ends a sampling tick, and adapts the weights when that is due. While changes settle the interval doubles
    /// (section 4.2, "Settling").
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

    /// One adaptation (section 4.2). Returns whether a weight changed.
    pub(super) fn adapt(&mut self) -> bool {
        for class in &mut self.classes {
            class.update_delay();
        }
        let Some(receiver) = self.most_underweight() else { return false };
        let received = self.collect_donations(receiver.measured.needed_weight());
        self.classes[receiver.index].weight += received;
        received > 0.0
    }

    /// The class with the highest d_i / D_i among the underweight ones; of equals the last.
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

    /// Takes weight from the overweight classes, by their surplus: donation_j = Delta w_i * s_j / sum_k s_k, clamped,
    /// and of that the fraction beta. Returns what was taken in all.
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
