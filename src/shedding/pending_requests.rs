//! Tracks the pending requests, for [`Signal::Pending`](flaxgap_load_shedding::Signal::Pending) and
//! [`Signal::OldestPendingAge`](flaxgap_load_shedding::Signal::OldestPendingAge).

use crate::scheduler::{IoRequest, RequestId, VolumeId};
use std::collections::BTreeMap;

/// Seconds after a client's timeout at which a request is removed if no event has reported its end.
const EXPIRY_AFTER_TIMEOUT_S: f64 = 60.0;
/// Lower bound of a client's timeout in seconds when the relative age is computed, which avoids a division by 0.
const MIN_TIMEOUT_S: f64 = 1e-3;

/// A request that has arrived and has not ended.
struct PendingRequest {
    arrived_at: f64,
    timeout_s: f64,
    volume: VolumeId,
    was_sent: bool,
    /// Whether the request's body is being streamed. The age of such a request does not indicate overload of the head.
    is_streaming: bool,
}

impl PendingRequest {
    fn is_expired(&self, now: f64) -> bool {
        !self.is_streaming && now - self.arrived_at > self.timeout_s + EXPIRY_AFTER_TIMEOUT_S
    }

    /// The request's age as a fraction of its client's timeout.
    fn relative_age(&self, now: f64) -> f64 {
        (now - self.arrived_at) / self.timeout_s.max(MIN_TIMEOUT_S)
    }
}

/// The pending requests of one head.
pub(super) struct PendingRequests {
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The maximum number of requests that clients can have open.
    max: usize,
}

impl PendingRequests {
    /// Creates an empty set. `max` is the maximum number of requests that clients can have open.
    pub(super) fn new(max: usize) -> PendingRequests {
        PendingRequests { requests: BTreeMap::new(), max }
    }

    /// The number of pending requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Adds a request that arrived at `now`.
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

    /// Records that streaming of a request's body has started.
    pub(super) fn set_streaming(&mut self, request: RequestId) {
        if let Some(pending) = self.requests.get_mut(&request) {
            pending.is_streaming = true;
        }
    }

    /// Records that an attempt of a request was sent. Returns whether this was the first attempt of a pending request.
    pub(super) fn record_sent(&mut self, request: RequestId) -> bool {
        let Some(pending) = self.requests.get_mut(&request) else { return false };
        let is_first = !pending.was_sent;
        pending.was_sent = true;
        is_first
    }

    /// The volume of a request, or `None` if the request is not pending.
    pub(super) fn volume(&self, request: RequestId) -> Option<VolumeId> {
        Some(self.requests.get(&request)?.volume)
    }

    /// Removes requests that are long past their client's timeout and whose end was not reported.
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.requests.retain(|_, pending| !pending.is_expired(now));
    }

    /// The number of pending requests, as a fraction of the maximum that clients can have open.
    pub(super) fn fill_fraction(&self) -> f64 {
        self.requests.len() as f64 / self.max.max(1) as f64
    }

    /// The highest age of a request that is not being streamed, as a fraction of its client's timeout. 0 without such a
    /// request.
    pub(super) fn max_relative_age(&self, now: f64) -> f64 {
        let waiting = self.requests.values().filter(|pending| !pending.is_streaming);
        waiting.map(|pending| pending.relative_age(now)).fold(0.0, f64::max)
    }
}
