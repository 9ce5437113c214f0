//! The requests that the scheduler holds, for the signals on their number and age.

use crate::scheduler::{IoRequest, RequestId, VolumeId};
use std::collections::BTreeMap;

/// Seconds past a client's timeout after which a request that never ended is forgotten.
const FORGOTTEN_AFTER_S: f64 = 60.0;
/// Least client timeout that an age is taken relative to, in seconds.
const MIN_TIMEOUT_S: f64 = 1e-3;

/// One pending request.
struct PendingRequest {
    arrived_at: f64,
    timeout_s: f64,
    volume: VolumeId,
    was_sent: bool,
    /// Whether its body is being streamed: the age of such a request says nothing of the head.
    is_streaming: bool,
}

impl PendingRequest {
    fn is_forgotten(&self, now: f64) -> bool {
        !self.is_streaming && now - self.arrived_at > self.timeout_s + FORGOTTEN_AFTER_S
    }

    /// Its age, as a fraction of its client's timeout.
    fn relative_age(&self, now: f64) -> f64 {
        (now - self.arrived_at) / self.timeout_s.max(MIN_TIMEOUT_S)
    }
}

/// The pending requests of one head.
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The most that clients can have open.
    max: usize,
}

impl PendingRequests {
    /// Starts without requests; `max` is the most that clients can have open.
    pub(super) fn new(max: usize) -> PendingRequests {
        PendingRequests { requests: BTreeMap::new(), max }
    }

    /// The number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that arrived now.
    pub(super) fn add(&mut self, now: f64, request: &IoRequest) {
        let pending = PendingRequest {
            arrived_at: now,
            timeout_s: request.remaining_s,
            volume: request.volume,
            was_sent: false,
            is_streaming: false,
        };
        self.requests.insert(request.id, pending);
    }

    /// Removes a request that has ended.
    pub(super) fn remove(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Records that a request's body is being streamed.
    pub(super) fn set_streaming(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.is_streaming = true;
        }
    }

    /// Records that an attempt of a request was sent. Returns whether it was the first of a pending request.
    pub(super) fn record_sent(&mut self, request: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&request) else { return false };
        let is_first = !pending.was_sent;
        pending.was_sent = true;
        is_first
    }

    /// The volume of a pending request.
    pub(super) fn volume(&self, request: RequestId) -> Option<VolumeId> {
        Some(self.requests.get(&request)?.volume)
    }

    /// Removes requests whose end was never seen.
    pub(super) fn forget_lost(&mut self, now: f64) {
        self.requests.retain(|_, pending| !pending.is_forgotten(now));
    }

    /// The number of pending requests, as a fraction of the most that clients can have open.
    pub(super) fn fill_fraction(&self) -> f64 {
        self.requests.len() as f64 / self.max.max(1) as f64
    }

    /// The highest age of a request that is not being streamed, as a fraction of its client's timeout.
    pub(super) fn max_relative_age(&self, now: f64) -> f64 {
        let waiting = self.requests.values().filter(|pending| !pending.is_streaming);
        waiting.map(|pending| pending.relative_age(now)).fold(0.0, f64::max)
    }
}
