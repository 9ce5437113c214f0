//! Detection of request ids that are used twice.

use bytes::Bytes;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Ids that are remembered at once: it bounds the memory they take.
const CAPACITY: usize = 8192;

/// An id and the moment at which a request claimed it.
struct ClaimedId {
    claimed_at: Instant,
    id: Bytes,
}

/// The ids of recent requests, those in flight among them.
pub struct RecentRequestIds {
    retention: Duration,
    known: HashSet<Bytes>,
    by_age: VecDeque<ClaimedId>,
}

impl RecentRequestIds {
    /// An empty set whose ids are remembered for `retention`, or until [`CAPACITY`] newer ones have come.
    pub fn new(retention: Duration) -> RecentRequestIds {
        RecentRequestIds { retention, known: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Adds an id; false if it is known already.
    pub fn claim(&mut self, id: &Bytes) -> bool {
        let now = Instant::now();
        self.forget_old(now);
        let is_new = self.known.insert(id.clone());
        if is_new {
            self.by_age.push_back(ClaimedId { claimed_at: now, id: id.clone() });
        }
        is_new
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some(oldest) = self.by_age.front() {
            if oldest.claimed_at + self.retention > now && self.by_age.len() < CAPACITY {
                return;
            }
            self.known.remove(&oldest.id);
            self.by_age.pop_front();
        }
    }
}
