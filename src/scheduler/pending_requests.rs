//! The pending requests of this head and their deadlines.

use super::interface::{ExtentId, IoRequest, RequestId, ShardId};
use flaxgap_attempts::Attempts;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Progress of a request through the node queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// In a node queue.
    Queued,
    /// Removed from the node queue: an attempt is in flight, or the end of an attempt is being handled.
    Dispatched,
    /// Answered, or the client has disconnected. Kept while an attempt is in flight.
    Completed,
}

/// A request from its arrival until it is complete and its last attempt has ended.
pub(super) struct PendingRequest {
    pub(super) request: IoRequest,
    pub(super) arrived_at: f64,
    /// The time after which the request misses its latency objective.
    pub(super) objective_at: f64,
    pub(super) deadline_at: f64,
    /// Whether the request was inside its volume's reserve at arrival.
    pub(super) is_reserved: bool,
    /// The extent whose order the request has to keep, if its class is ordered.
    pub(super) ordered_extent: Option<ExtentId>,
    /// The shard in whose node queue the request is or was.
    pub(super) shard: ShardId,
    pub(super) state: QueueState,
    /// Random sample in [0, 1). Heads that share a node without communicating use it to decide which requests to send.
    pub(super) sample: f64,
    pub(super) attempts: Attempts,
}

impl PendingRequest {
    /// Returns whether the request was answered or its client has disconnected.
    pub(super) fn is_completed(&self) -> bool {
        self.state == QueueState::Completed
    }

    /// Returns whether the request was sent before.
    pub(super) fn is_retry(&self) -> bool {
        !self.attempts.is_empty()
    }
}

/// A deadline, ordered by time. The bit patterns of non-negative floats have the same order as the floats.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    at_bits: u64,
    request: RequestId,
}

impl Deadline {
    fn new(at: f64, request: RequestId) -> Deadline {
        Deadline { at_bits: at.to_bits(), request }
    }

    fn at(&self) -> f64 {
        f64::from_bits(self.at_bits)
    }
}

/// The table of pending requests, and the deadlines that have not been stopped.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    deadlines: BTreeSet<Deadline>,
}

impl PendingRequests {
    /// Returns the number of requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the table contains a request.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns a request, if the table contains it.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns a mutable reference to a request, if the table contains it.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Adds a request and starts its deadline.
    pub(super) fn insert(&mut self, pending: PendingRequest) {
        let id = pending.request.id;
        self.deadlines.insert(Deadline::new(pending.deadline_at, id));
        self.requests.insert(id, pending);
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Stops a request's deadline.
    pub(super) fn stop_deadline(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get(&id) {
            self.deadlines.remove(&Deadline::new(pending.deadline_at, id));
        }
    }

    /// Returns the earliest deadline; infinity if there is none.
    pub(super) fn next_deadline_at(&self) -> f64 {
        self.deadlines.first().map_or(f64::INFINITY, Deadline::at)
    }

    /// Returns the requests to be answered now, in the order of their deadlines: the requests past their deadline, and
    /// those without an attempt in flight whose deadline is not after `last_moment`.
    pub(super) fn overdue(&self, now: f64, last_moment: f64) -> Vec<RequestId> {
        let end = Deadline::new(last_moment.max(0.0), RequestId(u32::MAX));
        let mut overdue = Vec::new();
        for deadline in self.deadlines.range(..=end) {
            if deadline.at() <= now || !self[deadline.request].attempts.has_in_flight() {
                overdue.push(deadline.request);
            }
        }
        overdue
    }
}

impl Index<RequestId> for PendingRequests {
    type Output = PendingRequest;

    fn index(&self, id: RequestId) -> &PendingRequest {
        &self.requests[&id]
    }
}
