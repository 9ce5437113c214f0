//! Which requests and lanes need a look, so that a call costs by them and not by all that exist.

use crate::ShardId;
use std::collections::BTreeSet;

/// The requests that are queued, and the lanes that may have something to do, by what that is.
#[derive(Debug)]
pub struct WorkIndex<R> {
    /// The requests that are queued.
    pub queued: BTreeSet<R>,
    /// The lanes with a request queued.
    pub busy: BTreeSet<ShardId>,
    /// The lanes that may have an attempt out while later ones were answered.
    pub passed_over: BTreeSet<ShardId>,
    /// The lanes that were sent shared work since the volumes' tags there were last looked through.
    pub tagged: BTreeSet<ShardId>,
}

impl<R> Default for WorkIndex<R> {
    fn default() -> WorkIndex<R> {
        let (queued, busy) = (BTreeSet::new(), BTreeSet::new());
        WorkIndex { queued, busy, passed_over: BTreeSet::new(), tagged: BTreeSet::new() }
    }
}

impl<R: Ord> WorkIndex<R> {
    /// A request was put into a lane's queue.
    pub fn enqueued(&mut self, request: R, shard: ShardId) {
        self.queued.insert(request);
        self.busy.insert(shard);
    }

    /// A request was taken out of a lane's queue; `empty` tells whether it was the lane's last.
    pub fn dequeued(&mut self, request: &R, shard: ShardId, empty: bool) {
        self.queued.remove(request);
        if empty {
            self.busy.remove(&shard);
        }
    }
}
