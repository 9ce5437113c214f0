//! Round-robin search for a relay while none is reachable.

/// An endless round-robin over the relays.
#[derive(Debug)]
pub(super) struct RelaySearch {
    order: Vec<usize>,
    next_index: usize,
    next_attempt_at: f64,
}

impl RelaySearch {
    /// Creates a search in this order, whose first attempt is due at `first_attempt_at`.
    pub(super) fn new(order: Vec<usize>, first_attempt_at: f64) -> RelaySearch {
        RelaySearch { order, next_index: 0, next_attempt_at: first_attempt_at }
    }

    /// When the next attempt is due.
    pub(super) fn next_attempt_at(&self) -> f64 {
        self.next_attempt_at
    }

    /// Returns the relay to try now, if an attempt is due, and schedules the next attempt after `interval_s`. Skipped
    /// relays do not use up an attempt.
    pub(super) fn next(
        &mut self,
        now: f64,
        interval_s: f64,
        is_skipped: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if now < self.next_attempt_at {
            return None;
        }
        self.next_attempt_at = now + interval_s;
        for _ in 0..self.order.len() {
            let relay = self.order[self.next_index];
            self.next_index = (self.next_index + 1) % self.order.len();
            if !is_skipped(relay) {
                return Some(relay);
            }
        }
        None
    }
}
