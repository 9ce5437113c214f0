//! Table of the requests in flight: the channel for the scheduler's decisions on each request, and its attempt in
//! progress.

use crate::core::Clock;
use crate::core::decision::{Decision, PendingDecisions, SendDecision};
use crate::scheduler::{NodeId, RequestId};
use std::collections::HashMap;
use std::rc::Rc;
use tokio::time::Instant;

/// An attempt whose end has not been reported to the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct UnreportedAttempt {
    /// Zero-based index of the attempt among the request's attempts.
    pub number: usize,
    /// When the decision to send the attempt was delivered, on the scheduler's clock.
    pub sent_at: f64,
}

/// The dispatcher's record of a request in flight.
struct RequestEntry {
    decisions: Rc<PendingDecisions>,
    attempts: usize,
    unreported: Option<UnreportedAttempt>,
}

/// The requests in flight, by id.
#[derive(Default)]
pub struct RequestTable {
    entries: HashMap<RequestId, RequestEntry>,
    next_id: u32,
}

impl RequestTable {
    /// Adds a request and returns its id, which no other request in flight has.
    pub fn insert(&mut self, decisions: Rc<PendingDecisions>) -> RequestId {
        let mut id = RequestId(self.next_id);
        while self.entries.contains_key(&id) {
            id = RequestId(id.0.wrapping_add(1));
        }
        self.next_id = id.0.wrapping_add(1);
        self.entries.insert(id, RequestEntry { decisions, attempts: 0, unreported: None });
        id
    }

    /// Removes a request; later decisions on it are ignored.
    pub fn remove(&mut self, id: RequestId) {
        self.entries.remove(&id);
    }

    /// Delivers a decision to the task that serves the request, if the request is still in flight.
    pub fn deliver(&self, id: RequestId, decision: Decision) {
        if let Some(entry) = self.entries.get(&id) {
            entry.decisions.send(decision);
        }
    }

    /// Delivers the decision to send the next attempt and records the attempt as unreported.
    pub fn deliver_send(&mut self, id: RequestId, node: NodeId, expires_at: f64, clock: Clock) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let attempt = entry.attempts;
        let decided_at = Instant::now();
        entry.attempts += 1;
        entry.unreported = Some(UnreportedAttempt { number: attempt, sent_at: clock.at(decided_at) });
        entry.decisions.send(Decision::Send(SendDecision { attempt, node, expires_at, decided_at }));
    }

    /// The request's attempt whose end has not been reported, if any.
    pub fn unreported(&self, id: RequestId) -> Option<UnreportedAttempt> {
        self.entries.get(&id)?.unreported
    }

    /// Removes and returns the unreported attempt with this number, to report its end; `None` if its end has already
    /// been reported.
    pub fn take_unreported(&mut self, id: RequestId, number: usize) -> Option<UnreportedAttempt> {
        let entry = self.entries.get_mut(&id)?;
        entry.unreported.take_if(|attempt| attempt.number == number)
    }
}
