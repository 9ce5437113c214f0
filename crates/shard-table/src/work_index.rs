//! Which requests and shards have work, so that a call's cost follows the work and not the number of shards.

use crate::ShardId;
use std::collections::BTreeSet;

/// The requests that are queued, and the shards that may have something to do, by what that is.
#[derive(Debug)]
pub struct WorkIndex<R> {
    /// The requests that are queued.
    pub queued_requests: BTreeSet<R>,
    /// The shards with a queued request.
    pub shards_with_queued: BTreeSet<ShardId>,
    /// The shards that may have an attempt in flight while later ones were answered.
    pub shards_with_passed_over: BTreeSet<ShardId>,
    /// The shards whose fair queue has charged a volume since the volumes' tags were last checked.
    pub shards_with_charged_volume: BTreeSet<ShardId>,
}

impl<R> Default for WorkIndex<R> {
    fn default() -> WorkIndex<R> {
        WorkIndex {
            queued_requests: BTreeSet::new(),
            shards_with_queued: BTreeSet::new(),
            shards_with_passed_over: BTreeSet::new(),
            shards_with_charged_volume: BTreeSet::new(),
        }
    }
}

impl<R: Ord> WorkIndex<R> {
    /// Records a request that was put into a shard's queue.
    pub fn record_enqueued(&mut self, request: R, shard: ShardId) {
        self.queued_requests.insert(request);
        self.shards_with_queued.insert(shard);
    }

    /// Records a request that was taken out of a shard's queue. `was_last` tells whether the queue is empty now.
    pub fn record_dequeued(&mut self, request: &R, shard: ShardId, was_last: bool) {
        self.queued_requests.remove(request);
        if was_last {
            self.shards_with_queued.remove(&shard);
        }
    }
}
