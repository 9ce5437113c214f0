//! The scheduler's timers: sampling ticks, and the one wake-up that it asks its caller for.

use super::interface::Action;

/// Seconds between two sampling ticks. The paper's 5 s is longer than the load peaks met here.
pub(super) const SAMPLING_TICK_S: f64 = 0.5;
/// Shortest delay of a wake-up, in seconds.
const MIN_DELAY_S: f64 = 1e-3;

/// The next sampling tick and the next wake-up.
pub(super) struct Timers {
    next_tick_at: f64,
    /// When the wake-up that was asked for is due; infinity for none.
    wake_up_at: f64,
    /// The earliest moment at which a queued request that can't be sent now has to be evaluated again.
    next_evaluation_at: f64,
}

impl Timers {
    /// The first tick is one sampling period away.
    pub(super) fn new(now: f64) -> Timers {
        Timers {
            next_tick_at: now + SAMPLING_TICK_S,
            wake_up_at: f64::INFINITY,
            next_evaluation_at: f64::INFINITY,
        }
    }

    /// Moves on to the next tick if one is due, and returns whether it was.
    pub(super) fn take_due_tick(&mut self, now: f64) -> bool {
        let is_due = now >= self.next_tick_at;
        if is_due {
            self.next_tick_at += SAMPLING_TICK_S;
        }
        is_due
    }

    /// Forgets when to evaluate again, at the start of a new evaluation of all queued requests.
    pub(super) fn reset_next_evaluation(&mut self) {
        self.next_evaluation_at = f64::INFINITY;
    }

    /// Notes that a queued request has to be evaluated again at `at`.
    pub(super) fn evaluate_again_at(&mut self, at: f64) {
        self.next_evaluation_at = self.next_evaluation_at.min(at);
    }

    /// The wake-up that was asked for has come.
    pub(super) fn woke_up(&mut self) {
        self.wake_up_at = f64::INFINITY;
    }

    /// Asks for a wake-up at the earliest moment at which something falls due, unless one is on its way that is
    /// as early. `other_due_at` is the earliest moment of what these timers don't know.
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
