//! When to poll the endpoint list, where it has to be polled: at an interval, and with a randomised backoff after a
//! failed poll, since the service fails when all heads poll at once.

use super::interface::{Action, UpdateKind};
use super::random::RandomNumbers;

/// First and longest delay before a failed poll is repeated, in seconds.
const FIRST_DELAY_S: f64 = 0.5;
const LONGEST_DELAY_S: f64 = 8.0;

/// The next poll, and the backoff after failed ones.
pub(super) struct EndpointPolling {
    interval_s: Option<f64>,
    next_poll_at: Option<f64>,
    retry_delay_s: f64,
}

impl EndpointPolling {
    /// Polls at once where the list has to be polled; never where `interval_s` is `None`.
    pub(super) fn new(interval_s: Option<f64>, now: f64) -> EndpointPolling {
        EndpointPolling { interval_s, next_poll_at: interval_s.map(|_| now), retry_delay_s: FIRST_DELAY_S }
    }

    /// Takes in the result of a poll. A cached list is not one.
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

    /// Asks for a poll if one is due.
    pub(super) fn poll_if_due(&mut self, now: f64, actions: &mut Vec<Action>) {
        if let Some(due_at) = self.next_poll_at.filter(|at| now >= *at) {
            actions.push(Action::PollEndpoints);
            self.next_poll_at = Some(due_at + self.interval_s.unwrap_or(LONGEST_DELAY_S));
        }
    }

    /// When the next poll is due; infinity for none.
    pub(super) fn next_poll_at(&self) -> f64 {
        self.next_poll_at.unwrap_or(f64::INFINITY)
    }
}
