//! The scheduler's decisions on a request, and the channel that delivers them to the task serving the request.

use crate::scheduler::NodeId;
use std::cell::RefCell;
use std::collections::VecDeque;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A decision of the scheduler on one request.
#[derive(Debug)]
pub enum Decision {
    /// Send the next attempt.
    Send(SendDecision),
    /// Cancel the attempt in progress.
    Cancel,
    /// Answer that the request was rejected without effect.
    Reject {
        /// Seconds that the client should wait before it retries; 0 for no advice.
        retry_after_s: f64,
    },
    /// Answer that the request failed.
    Fail,
}

/// Parameters of the decision to send an attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendDecision {
    /// Zero-based index of the attempt among the request's attempts.
    pub attempt: usize,
    /// Node to send the attempt to.
    pub node: NodeId,
    /// When the attempt times out, on the scheduler's clock.
    pub expires_at: f64,
    /// When the scheduler made the decision.
    pub decided_at: Instant,
}

/// Unbounded channel for the decisions on one request. Usually at most one decision is queued, so the queue's
/// allocation stays small.
#[derive(Default)]
pub struct PendingDecisions {
    queue: RefCell<VecDeque<Decision>>,
    arrived: Notify,
}

impl PendingDecisions {
    /// Queues a decision and wakes the receiver.
    pub fn send(&self, decision: Decision) {
        self.queue.borrow_mut().push_back(decision);
        self.arrived.notify_one();
    }

    /// Waits for the next decision and removes it from the queue.
    pub async fn recv(&self) -> Decision {
        loop {
            let next = self.queue.borrow_mut().pop_front();
            if let Some(decision) = next {
                return decision;
            }
            self.arrived.notified().await;
        }
    }
}
