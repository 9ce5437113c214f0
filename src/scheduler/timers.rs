//! The scheduler's timers: the sampling ticks, and the single wake-up that is requested from the caller.

use super::interface::Action;

/// Interval between two sampling ticks, in seconds. The paper's 5 s is longer than the load peaks of this system.
pub(super) const SAMPLING_TICK_S: f64 = 0.5;
/// Minimum delay of a wake-up, in seconds.
const MIN_DELAY_S: f64 = 1e-3;

/// The times of the next sampling tick, wake-up and evaluation.
pub(super) struct Timers {
    next_tick_at: f64,
    /// Time of the requested wake-up; infinity if none is requested.
    wake_up_at: f64,
    /// The earliest time at which a queued request that can't be sent now has to be evaluated again.
    next_evaluation_at: f64,
}

impl Timers {
    /// Creates timers whose first tick is one sampling interval after `now`.
    pub(super) fn new(now: f64) -> Timers {
        Timers {
            next_tick_at: now + SAMPLING_TICK_S,
            wake_up_at: f64::INFINITY,
            next_evaluation_at: f64::INFINITY,
        }
    }

    /// Advances to the next tick if one is due. Returns whether one was due.
    pub(super) fn take_due_tick(&mut self, now: f64) -> bool {
        let is_due = now >= self.next_tick_at;
        if is_due {
            self.next_tick_at += SAMPLING_TICK_S;
        }
        is_due
    }

    /// Clears the time of the next evaluation, before all queued requests are evaluated again.
    pub(super) fn reset_next_evaluation(&mut self) {
        self.next_evaluation_at = f64::INFINITY;
    }

    /// Schedules an evaluation of the queued requests no later than `at`.
    pub(super) fn evaluate_again_at(&mut self, at: f64) {
        self.next_evaluation_at = self.next_evaluation_at.min(at);
    }

    /// Records that the requested wake-up has occurred.
    pub(super) fn record_wake_up(&mut self) {
        self.wake_up_at = f64::INFINITY;
    }

    /// Requests a wake-up for the earliest of the timers and `other_due_at`, unless a wake-up at least as early is
    /// already requested. `other_due_at` is the earliest time due outside these timers.
    pub(super) fn request_wake_up(
        &mut self,
        now: f64,
        other_due_at: f64,
        tick_s: f64,
        actions: &mut Vec<Action>,
    ) {
        let due_at = self.next_tick_at.min(other_due_at).min(self.next_evaluation_at);
        let due_at = due_at.max(now + tick_s.max(MIN_DELAY_S));
        if due_at < self.wake_up_at {
            self.wake_up_at = due_at;
            actions.push(Action::WakeUp { delay_s: due_at - now });
        }
    }
}
