//! Order within an extent: requests of an ordered class for one extent run one at a time, in order of arrival.

use super::interface::{ExtentId, RequestId};
use std::collections::{BTreeMap, VecDeque};

/// The requests for one extent.
#[derive(Default)]
struct ExtentQueue {
    /// In order of arrival, completed ones removed; the first is the one that may run.
    requests: VecDeque<RequestId>,
    /// An attempt on the extent may still be running until then.
    paused_until: f64,
}

/// Whether a request may run as far as its extent is concerned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ExtentTurn {
    /// It may run.
    Ready,
    /// Another request for the extent has to complete first.
    BehindAnother,
    /// An attempt of an earlier request may still be running.
    PausedUntil(f64),
}

/// The requests for each extent that has any.
#[derive(Default)]
pub(super) struct ExtentOrder {
    extents: BTreeMap<ExtentId, ExtentQueue>,
}

impl ExtentOrder {
    /// Adds a request that arrived.
    pub(super) fn add(&mut self, extent: ExtentId, request: RequestId) {
        self.extents.entry(extent).or_default().requests.push_back(request);
    }

    /// Removes a request that is complete and has no attempt in flight.
    pub(super) fn remove(&mut self, extent: ExtentId, request: RequestId) {
        if let Some(queue) = self.extents.get_mut(&extent) {
            queue.requests.retain(|other| *other != request);
        }
    }

    /// Keeps the extent from new requests until `until`: an attempt without an answer may still be running.
    pub(super) fn pause(&mut self, extent: ExtentId, until: f64) {
        if let Some(queue) = self.extents.get_mut(&extent) {
            queue.paused_until = queue.paused_until.max(until);
        }
    }

    /// Whether a request may run now. The pause does not apply to a retry: the attempt waited for is its own.
    pub(super) fn turn(&self, extent: ExtentId, request: RequestId, is_retry: bool, now: f64) -> ExtentTurn {
        let Some(queue) = self.extents.get(&extent) else { return ExtentTurn::Ready };
        if queue.requests.front() != Some(&request) {
            return ExtentTurn::BehindAnother;
        }
        if queue.paused_until > now && !is_retry {
            return ExtentTurn::PausedUntil(queue.paused_until);
        }
        ExtentTurn::Ready
    }

    /// Forgets the extents without requests and without a pause.
    pub(super) fn forget_idle(&mut self, now: f64) {
        self.extents.retain(|_, queue| !queue.requests.is_empty() || queue.paused_until > now);
    }

    /// How many extents are known.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.extents.len()
    }
}
