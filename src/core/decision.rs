//! The scheduler's decisions on one request, and the channel that brings them to the task that serves it.

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
    /// Answer: rejected without effect.
    Reject {
        /// Seconds that the client should wait before it retries; 0 for no advice.
        retry_after_s: f64,
    },
    /// Answer: failed.
    Fail,
}

/// The decision to send an attempt.
#[derive(Clone, Copy, Debug)]
pub struct SendDecision {
    /// Which of the request's attempts, counted from 0.
    pub attempt: usize,
    /// The node to send it to.
    pub node: NodeId,
    /// When to abandon the attempt, on the scheduler's clock.
    pub expires_at: f64,
    /// When the decision was made.
    pub decided_at: Instant,
}

/// An unbounded channel of the decisions on one request. There is mostly one at a time, so that it allocates little.
#[derive(Default)]
pub struct PendingDecisions {
    queue: RefCell<VecDeque<Decision>>,
    arrived: Notify,
}

impl PendingDecisions {
    /// Adds a decision.
    pub fn send(&self, decision: Decision) {
        self.queue.borrow_mut().push_back(decision);
        self.arrived.notify_one();
    }

    /// Waits for the next decision and removes it.
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
