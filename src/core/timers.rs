//! The wake-ups that the scheduler asked for, and the runs that wait for the end of its tick.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A set of moments to wait for, earliest first.
#[derive(Default)]
pub struct Timers {
    scheduled: RefCell<BinaryHeap<Reverse<Instant>>>,
    /// Notified when a moment is scheduled that comes before all others.
    rescheduled: Notify,
}

impl Timers {
    /// Adds a moment.
    pub fn schedule(&self, at: Instant) {
        let is_earliest = self.earliest().is_none_or(|earliest| at < earliest);
        self.scheduled.borrow_mut().push(Reverse(at));
        if is_earliest {
            self.rescheduled.notify_one();
        }
    }

    /// Waits until the earliest moment has come, and removes it.
    pub async fn next(&self) {
        loop {
            match self.earliest() {
                Some(at) if at <= Instant::now() => {
                    self.scheduled.borrow_mut().pop();
                    return;
                }
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.rescheduled.notified() => {}
                },
                None => self.rescheduled.notified().await,
            }
        }
    }

    fn earliest(&self) -> Option<Instant> {
        self.scheduled.borrow().peek().map(|Reverse(at)| *at)
    }
}
