//! Slow start of recently started nodes, with the settings and share of this process. The algorithm is in
//! `flaxgap_slow_start`.

use super::fleet_latency::FleetLatency;
use super::node_queue::NodeQueue;
use super::pending_requests::PendingRequest;
use super::settings::{SchedulerSettings, SlowStartSettings};
use flaxgap_slow_start::{NodeCondition, SenderShare, WaitingRequest};

/// The slow-start settings and this process's share of the load that a node may receive.
pub(super) struct SlowStartLimit {
    settings: SlowStartSettings,
    sender: SenderShare,
    tightest_objective_s: f64,
}

impl SlowStartLimit {
    /// Creates the limit for a process that is the only one of its head.
    pub(super) fn new(settings: &SchedulerSettings, tightest_objective_s: f64) -> SlowStartLimit {
        SlowStartLimit {
            settings: settings.slow_start,
            sender: SenderShare { heads: f64::from(settings.heads), process_share: 1.0 },
            tightest_objective_s,
        }
    }

    /// Sets the fraction of the head's share that this process may send.
    pub(super) fn set_process_share(&mut self, fraction: f64) {
        self.sender.process_share = fraction;
    }

    /// Returns the rate at which this process may send to the queue's node, in units per second, or `None` if the node
    /// has warmed up.
    pub(super) fn rate(&self, queue: &NodeQueue, now: f64, fleet: FleetLatency) -> Option<f64> {
        // A start time of 0 means that the node started long ago.
        let node = queue.serving_node.endpoint.as_ref().filter(|node| node.started_at > 0.0)?;
        let condition = NodeCondition {
            age_s: now - node.started_at,
            is_slow: queue.estimated_latency_s(now, fleet) > self.tightest_objective_s,
        };
        queue.slow_start.allowed_rate(&self.settings, self.sender, condition, now)
    }

    /// Returns the seconds until a request may be sent at this rate; 0 if it may be sent now.
    pub(super) fn wait_s(&self, queue: &mut NodeQueue, rate: f64, pending: &PendingRequest, now: f64) -> f64 {
        let request = WaitingRequest {
            units: pending.request.units,
            is_reserved: pending.is_reserved,
            sample: pending.sample,
        };
        queue.slow_start.wait_s(&self.settings, rate, request, now)
    }
}
