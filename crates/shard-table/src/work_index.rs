//! Index of the requests and shards with work, so that the cost of a call depends on the amount of work and not on the
//! number of shards.

use crate::ShardId;
use std::collections::BTreeSet;

/// The queued requests, and the shards that need attention, by reason.
#[derive(Debug)]
pub struct WorkIndex<R> {
    /// The queued requests.
    pub queued_requests: BTreeSet<R>,
    /// The shards with a queued request.
    pub shards_with_queued: BTreeSet<ShardId>,
    /// The shards that may have an overtaken attempt: one in flight although later ones were answered.
    pub shards_with_overtaken_attempt: BTreeSet<ShardId>,
    /// The shards whose fair queue has charged a volume since the volumes' tags were last checked.
    pub shards_with_charged_volume: BTreeSet<ShardId>,
}

impl<R> Default for WorkIndex<R> {
    fn default() -> WorkIndex<R> {
        WorkIndex {
            queued_requests: BTreeSet::new(),
            shards_with_queued: BTreeSet::new(),
            shards_with_overtaken_attempt: BTreeSet::new(),
            shards_with_charged_volume: BTreeSet::new(),
        }
    }
}

impl<R: Ord> WorkIndex<R> {
    /// Records that a request was added to a shard's queue.
    pub fn record_enqueued(&mut self, request: R, shard: ShardId) {
        self.queued_requests.insert(request);
        self.shards_with_queued.insert(shard);
    }

    /// Records that a request was removed from a shard's queue. `was_last` tells whether the queue is now empty.
    pub fn record_dequeued(&mut self, request: &R, shard: ShardId, was_last: bool) {
        self.queued_requests.remove(request);
        if was_last {
            self.shards_with_queued.remove(&shard);
        }
    }
}
