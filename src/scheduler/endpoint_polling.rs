//! Schedule for polling the endpoint list, used where the list has to be polled: a fixed interval, and a randomised
//! backoff after a failed poll, since the list's service fails if all heads poll at the same time.

use super::interface::{Action, UpdateKind};
use super::random::RandomNumbers;

/// Initial and maximum delay before a failed poll is repeated, in seconds.
const FIRST_DELAY_S: f64 = 0.5;
const LONGEST_DELAY_S: f64 = 8.0;

/// The time of the next poll and the state of the backoff.
pub(super) struct EndpointPolling {
    interval_s: Option<f64>,
    next_poll_at: Option<f64>,
    retry_delay_s: f64,
}

impl EndpointPolling {
    /// Creates a schedule whose first poll is due at once. Without an `interval_s` no poll is ever due.
    pub(super) fn new(interval_s: Option<f64>, now: f64) -> EndpointPolling {
        EndpointPolling { interval_s, next_poll_at: interval_s.map(|_| now), retry_delay_s: FIRST_DELAY_S }
    }

    /// Processes the result of a poll. A cached list does not count as a result.
    pub(super) fn record_update(&mut self, kind: UpdateKind, now: f64, random: &mut RandomNumbers) {
        if self.interval_s.is_none() {
            return;
        }
        match kind {
            UpdateKind::PollFailed => {
                self.next_poll_at = Some(now + self.retry_delay_s * (0.5 + random.sample()));
                self.retry_delay_s = (self.retry_delay_s * 2.0).min(LONGEST_DELAY_S);
            }
            UpdateKind::Changes | UpdateKind::Snapshot => {
                self.next_poll_at = None;
                self.retry_delay_s = FIRST_DELAY_S;
            }
            UpdateKind::CachedSnapshot => {}
        }
    }

    /// Requests a poll if one is due.
    pub(super) fn poll_if_due(&mut self, now: f64, actions: &mut Vec<Action>) {
        if let Some(due_at) = self.next_poll_at.filter(|at| now >= *at) {
            actions.push(Action::PollEndpoints);
            self.next_poll_at = Some(due_at + self.interval_s.unwrap_or(LONGEST_DELAY_S));
        }
    }

    /// Returns the time of the next poll; infinity if none is scheduled.
    pub(super) fn next_poll_at(&self) -> f64 {
        self.next_poll_at.unwrap_or(f64::INFINITY)
    }
}
