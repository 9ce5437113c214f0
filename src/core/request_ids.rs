//! Detection of duplicate request ids.

use bytes::Bytes;
use std::collections::{HashSet, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of ids remembered at a time, which bounds their memory.
const MAX_IDS: usize = 8192;

/// A request id and the time at which it was claimed.
struct ClaimedId {
    claimed_at: Instant,
    id: Bytes,
}

/// The ids of recent requests, including those in flight.
pub struct RecentRequestIds {
    retention: Duration,
    known: HashSet<Bytes>,
    by_age: VecDeque<ClaimedId>,
}

impl RecentRequestIds {
    /// Creates an empty set. Each id is remembered for `retention`, or until it is evicted by [`MAX_IDS`] newer ones.
    pub fn new(retention: Duration) -> RecentRequestIds {
        RecentRequestIds { retention, known: HashSet::new(), by_age: VecDeque::new() }
    }

    /// Adds an id. Returns false if the set already contains it.
    pub fn claim(&mut self, id: &Bytes) -> bool {
        let now = Instant::now();
        self.evict_old(now);
        let is_new = self.known.insert(id.clone());
        if is_new {
            self.by_age.push_back(ClaimedId { claimed_at: now, id: id.clone() });
        }
        is_new
    }

    fn evict_old(&mut self, now: Instant) {
        while let Some(oldest) = self.by_age.front() {
            if oldest.claimed_at + self.retention > now && self.by_age.len() < MAX_IDS {
                return;
            }
            self.known.remove(&oldest.id);
            self.by_age.pop_front();
        }
    }
}
