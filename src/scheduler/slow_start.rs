//! Slow start of nodes that have just started, as it applies to this process (the rule itself is in
//! `flaxgap_slow_start`).

use super::fleet_latency::FleetLatency;
use super::node_queue::NodeQueue;
use super::pending_requests::PendingRequest;
use super::settings::{SchedulerSettings, SlowStartSettings};
use flaxgap_slow_start::{NodeCondition, SenderShare, WaitingRequest};

/// The slow-start settings and this process's share of what a node may be sent.
pub(super) struct SlowStartLimit {
    settings: SlowStartSettings,
    sender: SenderShare,
    tightest_objective_s: f64,
}

impl SlowStartLimit {
    /// This process is the head's only one.
    pub(super) fn new(settings: &SchedulerSettings, tightest_objective_s: f64) -> SlowStartLimit {
        SlowStartLimit {
            settings: settings.slow_start,
            sender: SenderShare { heads: f64::from(settings.heads), process_share: 1.0 },
            tightest_objective_s,
        }
    }

    /// Sets the fraction of the head's share that this process may send from now on.
    pub(super) fn set_process_share(&mut self, fraction: f64) {
        self.sender.process_share = fraction;
    }

    /// Units a second that this process may send a queue's node; `None` if the node has warmed up.
    pub(super) fn rate(&self, queue: &NodeQueue, now: f64, fleet: FleetLatency) -> Option<f64> {
        // A start at 0 stands for one long ago.
        let node = queue.serving_node.endpoint.as_ref().filter(|node| node.started_at > 0.0)?;
        let condition = NodeCondition {
            age_s: now - node.started_at,
            is_slow: queue.estimated_latency_s(now, fleet) > self.tightest_objective_s,
        };
        queue.slow_start.allowed_rate(&self.settings, self.sender, condition, now)
    }

    /// Seconds until a request may go at this rate; 0 if it may now.
    pub(super) fn wait_s(&self, queue: &mut NodeQueue, rate: f64, pending: &PendingRequest, now: f64) -> f64 {
        let request = WaitingRequest {
            units: pending.request.units,
            is_reserved: pending.is_reserved,
            sample: pending.sample,
        };
        queue.slow_start.wait_s(&self.settings, rate, request, now)
    }
}
