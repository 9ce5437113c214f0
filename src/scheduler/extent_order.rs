//! Ordering within an extent: requests of an ordered class for the same extent run one at a time, in order of arrival.

use super::interface::{ExtentId, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The pending requests for one extent.
#[derive(Default)]
struct ExtentQueue {
    /// Requests that are not yet complete, in order of arrival. Only the first may run.
    requests: VecDeque<RequestId>,
    /// No new request may run before this time, since an earlier attempt may still be running.
    paused_until: f64,
}

/// Whether the order within its extent allows a request to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ExtentTurn {
    /// The request may run.
    Ready,
    /// An earlier request for the extent has to complete first.
    BehindEarlier,
    /// An attempt of an earlier request may still be running until this time.
    PausedUntil(f64),
}

/// The queues of all extents with pending requests or a pause.
#[derive(Default)]
pub(super) struct ExtentOrder {
    extents: BTreeMap<ExtentId, ExtentQueue>,
}

impl ExtentOrder {
    /// Adds a newly arrived request.
    pub(super) fn add(&mut self, extent: ExtentId, request: RequestId) {
        self.extents.entry(extent).or_default().requests.push_back(request);
    }

    /// Removes a request that is complete and has no attempt in flight.
    pub(super) fn remove(&mut self, extent: ExtentId, request: RequestId) {
        if let Some(queue) = self.extents.get_mut(&extent) {
            queue.requests.retain(|other| *other != request);
        }
    }

    /// Blocks new requests for the extent until `until`, since an attempt that was not answered may still be running.
    pub(super) fn pause(&mut self, extent: ExtentId, until: f64) {
        if let Some(queue) = self.extents.get_mut(&extent) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Returns whether a request may run now. The pause does not apply to a retry, since the attempt that may still be
    /// running belongs to the same request.
    pub(super) fn turn(&self, extent: ExtentId, request: RequestId, is_retry: bool, now: f64) -> ExtentTurn {
        let Some(queue) = self.extents.get(&extent) else { return ExtentTurn::Ready };
        if queue.requests.front() != Some(&request) {
            return ExtentTurn::BehindEarlier;
        }
        if queue.paused_until > now && !is_retry {
            return ExtentTurn::PausedUntil(queue.paused_until);
        }
        ExtentTurn::Ready
    }

    /// Removes the extents without requests and without a pause.
    pub(super) fn remove_idle(&mut self, now: f64) {
        self.extents.retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
    }

    /// Returns the number of extents in the table.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.extents.len()
    }
}
