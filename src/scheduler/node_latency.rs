//! Latency of one node, measured by the answers to this head.

use super::fleet_latency::FleetLatency;

/// Weight of a new answer in a class's running mean.
const CLASS_WEIGHT: f64 = 0.1;
/// Weight of a new answer in the node's recent latency. It is higher than `CLASS_WEIGHT` so that the recent latency
/// follows a node that slows down.
const RECENT_WEIGHT: f64 = 0.2;

/// Running means over the answers of one node.
pub(super) struct NodeLatency {
    recent_s: f64,
    last_answer_at: f64,
    class_means_s: Vec<f64>,
}

impl NodeLatency {
    /// Creates means of 0, before any answer.
    pub(super) fn new(classes: usize) -> NodeLatency {
        NodeLatency { recent_s: 0.0, last_answer_at: 0.0, class_means_s: vec![0.0; classes] }
    }

    /// Records an answer to a request of a class.
    pub(super) fn record(&mut self, class: usize, elapsed_s: f64, now: f64) {
        self.last_answer_at = now;
        self.class_means_s[class] += CLASS_WEIGHT * (elapsed_s - self.class_means_s[class]);
        self.recent_s += RECENT_WEIGHT * (elapsed_s - self.recent_s);
    }

    /// Returns the mean latency of recent answers over all classes, in seconds.
    pub(super) fn recent_s(&self) -> f64 {
        self.recent_s
    }

    /// Returns the mean latency of a class, in seconds; 0 before the first answer.
    pub(super) fn class_mean_s(&self, class: usize) -> f64 {
        self.class_means_s[class]
    }

    /// Returns the time of the node's last answer; 0 if the node never answered.
    pub(super) fn last_answer_at(&self) -> f64 {
        self.last_answer_at
    }

    /// Returns the estimated current latency of the node, in seconds. The weight of the node's own recent answers
    /// decays with their age in favour of the fleet's mean.
    pub(super) fn estimate(&self, now: f64, fleet: FleetLatency) -> f64 {
        let fleet_mean_s = fleet.mean_at(now);
        fleet_mean_s + (self.recent_s - fleet_mean_s) * fleet.decay(self.last_answer_at, now)
    }
}
