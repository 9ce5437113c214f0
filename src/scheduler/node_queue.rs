//! Queue of one shard's requests for the node that serves the shard, and this head's state of that node.

use super::concurrency_window::ConcurrencyWindow;
use super::fair_queue::FairQueue;
use super::fleet_latency::FleetLatency;
use super::interface::{AttemptOutcome, RequestId};
use super::node_backoff::NodeBackoff;
use super::node_latency::NodeLatency;
use flaxgap_shard_table::ServingNode;
use flaxgap_slow_start::{AnswerSpeed, SlowStart};

/// Number of later attempts that have to be answered first for an attempt to count as overtaken.
const OVERTAKEN_ANSWERS: u32 = 4;
/// Fraction of the tightest latency objective below which an answer counts as fast and above which a node counts as
/// under pressure.
pub(super) const PRESSURE_FRACTION: f64 = 0.35;

/// An attempt in flight.
pub(super) struct InFlight {
    pub(super) sent_at: f64,
    pub(super) request: RequestId,
    /// Number of attempts that were sent after this one and have already been answered.
    later_answers: u32,
}

impl InFlight {
    /// Returns whether the node has answered so many later attempts that this one is probably lost.
    pub(super) fn is_overtaken(&self) -> bool {
        self.later_answers >= OVERTAKEN_ANSWERS
    }
}

/// Position of a request in a node queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueuePosition {
    pub(super) class: usize,
    pub(super) index: usize,
}

/// An answer from a node.
pub(super) struct NodeAnswer {
    pub(super) class: usize,
    pub(super) units: f64,
    /// Units served beyond the reserves. Units within the reserves were counted on arrival.
    pub(super) unreserved_units: f64,
    pub(super) sent_at: f64,
    pub(super) elapsed_s: f64,
}

/// The queued requests of a shard, by class, and the state of the node that serves the shard.
pub(super) struct NodeQueue {
    pub(super) serving_node: ServingNode,
    pub(super) queued_by_class: Vec<Vec<RequestId>>,
    /// Attempts in flight, in the order in which they were sent.
    pub(super) in_flight: Vec<InFlight>,
    pub(super) fair_queue: FairQueue,
    pub(super) window: ConcurrencyWindow,
    pub(super) backoff: NodeBackoff,
    pub(super) latency: NodeLatency,
    pub(super) slow_start: SlowStart,
}

impl NodeQueue {
    /// Creates the queue of a shard at its first use. Slow start is set up as if the queue had existed since the shard
    /// was first listed, since this head had no work for the shard until now.
    pub(super) fn new(classes: usize, warm_up_s: f64, serving_node: ServingNode) -> NodeQueue {
        let mut slow_start = SlowStart::new(warm_up_s, serving_node.shard_known_at);
        slow_start.record_node_start(serving_node.changed_at);
        NodeQueue {
            serving_node,
            queued_by_class: vec![Vec::new(); classes],
            in_flight: Vec::new(),
            fair_queue: FairQueue::new(classes),
            window: ConcurrencyWindow::default(),
            backoff: NodeBackoff::default(),
            latency: NodeLatency::new(classes),
            slow_start,
        }
    }

    /// Sets the node that serves the shard. Queued requests are kept. If another node took over or the same node
    /// restarted, the state of the node is reset.
    pub(super) fn set_serving_node(&mut self, serving_node: &ServingNode) {
        if serving_node.epoch != self.serving_node.epoch {
            let classes = self.queued_by_class.len();
            self.slow_start.record_node_start(serving_node.changed_at);
            self.in_flight = Vec::new();
            self.fair_queue = FairQueue::new(classes);
            self.window = ConcurrencyWindow::default();
            self.backoff = NodeBackoff::default();
            self.latency = NodeLatency::new(classes);
        }
        self.serving_node = serving_node.clone();
    }

    /// Returns whether any request is queued.
    pub(super) fn has_queued(&self) -> bool {
        self.queued_by_class.iter().any(|requests| !requests.is_empty())
    }

    /// Returns the number of queued requests.
    pub(super) fn queued_count(&self) -> usize {
        self.queued_by_class.iter().map(Vec::len).sum()
    }

    /// Returns the request at a position of the queue.
    pub(super) fn queued_at(&self, position: QueuePosition) -> Option<RequestId> {
        self.queued_by_class[position.class].get(position.index).copied()
    }

    /// Returns whether one more request may be sent to the node. After a failure, one request at a time may be sent,
    /// as a trial.
    pub(super) fn can_send(&self, now: f64) -> bool {
        let concurrency_limit = if self.backoff.is_failing() { 1 } else { self.window.limit() };
        self.serving_node.endpoint.is_some()
            && self.in_flight.len() < concurrency_limit
            && self.backoff.is_over(now)
    }

    /// Returns the estimated current latency of the node. If the oldest attempt has been in flight for longer than the
    /// estimate, its age is used instead, since the node has stopped or become slow.
    pub(super) fn estimated_latency_s(&self, now: f64, fleet: FleetLatency) -> f64 {
        let estimate_s = self.latency.estimate(now, fleet);
        self.in_flight.first().map_or(estimate_s, |oldest| estimate_s.max(now - oldest.sent_at))
    }

    /// Returns whether an attempt in flight was overtaken.
    pub(super) fn has_overtaken_attempt(&self) -> bool {
        self.in_flight.iter().any(InFlight::is_overtaken)
    }

    /// Records an attempt that was sent to the node.
    pub(super) fn record_sent(&mut self, request: RequestId, units: f64, now: f64) {
        self.slow_start.record_sent(units);
        self.in_flight.push(InFlight { sent_at: now, request, later_answers: 0 });
        self.window.record_sent(self.in_flight.len());
    }

    /// Removes a request from those in flight, which frees its place in the concurrency window.
    pub(super) fn remove_in_flight(&mut self, request: RequestId) {
        self.in_flight.retain(|attempt| attempt.request != request);
    }

    /// Records an answer from the node.
    pub(super) fn record_answer(&mut self, answer: &NodeAnswer, tightest_objective_s: f64, now: f64) {
        self.backoff.record_answer();
        for attempt in &mut self.in_flight {
            if attempt.sent_at < answer.sent_at {
                attempt.later_answers += 1;
            }
        }
        self.slow_start.record_demand(now, answer.unreserved_units);
        self.slow_start.record_answer(answer_speed(answer.elapsed_s / tightest_objective_s));
        self.latency.record(answer.class, answer.elapsed_s, now);
        self.window.record_answer(answer.elapsed_s, answer.units);
    }

    /// Records the end of an attempt that was not answered.
    pub(super) fn record_failure(&mut self, outcome: AttemptOutcome, now: f64) {
        match outcome {
            AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::Reset => {
                self.backoff.record_failure(now);
                self.window.halve();
                self.slow_start.record_failure();
            }
            AttemptOutcome::Timeout => self.window.halve(),
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::Ok | AttemptOutcome::Error => {}
        }
    }
}

/// Classifies an answer for slow start by its latency, in multiples of the tightest objective.
fn answer_speed(latency_ratio: f64) -> AnswerSpeed {
    if latency_ratio < PRESSURE_FRACTION {
        AnswerSpeed::Fast
    } else if latency_ratio > 1.0 {
        AnswerSpeed::Slow
    } else {
        AnswerSpeed::Normal
    }
}
