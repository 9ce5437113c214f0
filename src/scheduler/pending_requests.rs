//! The requests that this head has taken in and not forgotten, and their deadlines.

use super::interface::{ExtentId, IoRequest, RequestId, ShardId};
use flaxgap_attempts::Attempts;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// Whether a request is in a node queue, has left it, or is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueueState {
    /// In a node queue.
    Queued,
    /// Out of the node queue: an attempt is in flight, or its end is being handled.
    Dispatched,
    /// Answered, or its client is gone; remembered while an attempt is in flight.
    Completed,
}

/// A request, from its arrival until it is complete and its last attempt has ended.
pub(super) struct PendingRequest {
    pub(super) request: IoRequest,
    pub(super) arrived_at: f64,
    /// When its latency objective is missed.
    pub(super) objective_at: f64,
    pub(super) deadline_at: f64,
    /// Whether it was inside its volume's reserve at arrival.
    pub(super) is_reserved: bool,
    /// The extent within which it is kept in order, if its class is ordered.
    pub(super) ordered_extent: Option<ExtentId>,
    /// The shard in whose node queue it is or was.
    pub(super) shard: ShardId,
    pub(super) state: QueueState,
    /// Its random sample in [0, 1), by which heads that know nothing of each other share a node.
    pub(super) sample: f64,
    pub(super) attempts: Attempts,
}

impl PendingRequest {
    /// Whether it was answered or its client is gone.
    pub(super) fn is_completed(&self) -> bool {
        self.state == QueueState::Completed
    }

    /// Whether it was sent before.
    pub(super) fn is_retry(&self) -> bool {
        !self.attempts.is_empty()
    }
}

/// A deadline in the order of time. The bits of a float that is not negative are ordered as the float is.
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

/// All pending requests.
#[derive(Default)]
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    deadlines: BTreeSet<Deadline>,
}

impl PendingRequests {
    /// How many there are.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request is known.
    pub(super) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// A request, if it is known.
    pub(super) fn get(&self, id: RequestId) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// The same, to change it.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Adds a request; its deadline runs.
    pub(super) fn insert(&mut self, pending: PendingRequest) {
        let id = pending.request.id;
        self.deadlines.insert(Deadline::new(pending.deadline_at, id));
        self.requests.insert(id, pending);
    }

    /// Forgets a request.
    pub(super) fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    /// Stops a request's deadline.
    pub(super) fn stop_deadline(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get(&id) {
            self.deadlines.remove(&Deadline::new(pending.deadline_at, id));
        }
    }

    /// The earliest deadline that runs; infinity for none.
    pub(super) fn next_deadline_at(&self) -> f64 {
        self.deadlines.first().map_or(f64::INFINITY, Deadline::at)
    }

    /// The requests to be answered by now: those past their deadline, and those without an attempt in flight whose
    /// deadline is at `last_moment` or before. In the order of their deadlines.
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
