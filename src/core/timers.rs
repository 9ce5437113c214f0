//! Timers for the wake-ups that the scheduler requests and for its runs that are delayed to the end of a tick.

use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// A set of instants to wait for, earliest first.
#[derive(Default)]
pub struct Timers {
    scheduled: RefCell<BinaryHeap<Reverse<Instant>>>,
    /// Notified when a new earliest instant is scheduled.
    rescheduled: Notify,
}

impl Timers {
    /// Adds an instant.
    pub fn schedule(&self, at: Instant) {
        let is_earliest = self.earliest().is_none_or(|earliest| at < earliest);
        self.scheduled.borrow_mut().push(Reverse(at));
        if is_earliest {
            self.rescheduled.notify_one();
        }
    }

    /// Waits for the earliest instant and removes it.
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
