//! Measures the turns of the event loop: the time from one poll of the system for I/O to the next, in which tasks run and
//! nothing is read.

use crate::metrics::counters::Counters;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// The figure tells of the longest turn within the last one to two of these.
const WINDOW: Duration = Duration::from_secs(10);
/// A turn that counts as long. A head may be held up for 0.15 s between its clock and a write; a third of that in one
/// turn is worth a look.
const LONG_TURN: Duration = Duration::from_millis(50);

/// The longest turn of late.
#[derive(Debug, Default)]
pub struct LongestTurn {
    window_began: Cell<Option<Instant>>,
    longest: Cell<Duration>,
    longest_before: Cell<Duration>,
}

impl LongestTurn {
    /// Records a turn that ends now.
    fn record(&self, turn: Duration, now: Instant) {
        self.move_window(now);
        self.longest.set(self.longest.get().max(turn));
    }

    /// Begins a new window if the present one is over.
    fn move_window(&self, now: Instant) {
        let age = self.window_began.get().map(|began| now.saturating_duration_since(began));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        let is_next = age.is_some_and(|age| age < WINDOW * 2);
        self.longest_before.set(if is_next { self.longest.get() } else { Duration::ZERO });
        self.longest.set(Duration::ZERO);
        self.window_began.set(Some(now));
    }

    /// The longest turn within the last 10 to 20 s.
    pub fn get(&self) -> Duration {
        self.longest.get().max(self.longest_before.get())
    }
}

/// The program's main future, whose polls are the turns: the runtime polls for I/O between two of them.
pub struct MeasuredTurns<F> {
    program: Pin<Box<F>>,
    counters: Rc<Counters>,
}

impl<F: Future> MeasuredTurns<F> {
    /// Measures the turns of a local task set that runs `program`.
    pub fn new(program: F, counters: Rc<Counters>) -> MeasuredTurns<F> {
        MeasuredTurns { program: Box::pin(program), counters }
    }
}

impl<F: Future> Future for MeasuredTurns<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let began = Instant::now();
        let polled = self.program.as_mut().poll(cx);
        let now = Instant::now();
        let turn = now.saturating_duration_since(began);
        self.counters.longest_turn.record(turn, now);
        if turn >= LONG_TURN {
            self.counters.long_turns.add();
            log::debug!("daemon: long turn of the event loop, duration={turn:?}");
        }
        polled
    }
}

#[cfg(test)]
mod tests;
