//! Measures the turns of the event loop. A turn is the time between two polls for I/O, in which the runtime runs tasks and
//! reads from no socket.

use crate::metrics::counters::Counters;
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Length of a measurement window. The longest turn covers the current window and the one before it.
const WINDOW: Duration = Duration::from_secs(10);
/// Shortest turn that counts as long: a third of the 0.15 s that may pass in a head between reading the clock and a write.
const LONG_TURN: Duration = Duration::from_millis(50);

/// The longest turn of the current and the previous window.
#[derive(Debug, Default)]
pub struct LongestTurn {
    window_start: Cell<Option<Instant>>,
    longest: Cell<Duration>,
    longest_in_previous_window: Cell<Duration>,
}

impl LongestTurn {
    /// Records a turn that ended at `now`.
    fn record(&self, turn: Duration, now: Instant) {
        self.rotate_window(now);
        self.longest.set(self.longest.get().max(turn));
    }

    /// Starts a new window if the current one has ended. Discards the current maximum if a whole window without turns
    /// has passed since.
    fn rotate_window(&self, now: Instant) {
        let age = self.window_start.get().map(|start| now.saturating_duration_since(start));
        if age.is_some_and(|age| age < WINDOW) {
            return;
        }
        let is_adjacent = age.is_some_and(|age| age < WINDOW * 2);
        self.longest_in_previous_window.set(if is_adjacent { self.longest.get() } else { Duration::ZERO });
        self.longest.set(Duration::ZERO);
        self.window_start.set(Some(now));
    }

    /// Returns the longest turn of the last 10 to 20 s.
    pub fn get(&self) -> Duration {
        self.longest.get().max(self.longest_in_previous_window.get())
    }
}

/// The two turns before the current one.
///
/// A signal that the process notices in the current turn was sent after the turn before the previous one had ended: a
/// signal that arrives while a poll for I/O waits ends that wait, and is reported by the poll after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecentTurns {
    /// When the turn before the previous one ended.
    pub before_previous_ended: Instant,
    /// When the previous turn began.
    pub previous_began: Instant,
    /// When the previous turn ended.
    pub previous_ended: Instant,
}

/// The latest turns of the event loop, written by [`MeasuredTurns`].
#[derive(Debug)]
pub struct TurnLog {
    recent: Cell<RecentTurns>,
}

impl TurnLog {
    /// Creates the log of an event loop that begins now.
    pub fn start() -> Rc<TurnLog> {
        let now = Instant::now();
        let none = RecentTurns { before_previous_ended: now, previous_began: now, previous_ended: now };
        Rc::new(TurnLog { recent: Cell::new(none) })
    }

    /// The turns before the current one. To be called within a turn.
    pub fn recent(&self) -> RecentTurns {
        self.recent.get()
    }

    fn turn_ended(&self, began: Instant, ended: Instant) {
        let before_previous_ended = self.recent.get().previous_ended;
        let recent = RecentTurns { before_previous_ended, previous_began: began, previous_ended: ended };
        self.recent.set(recent);
    }
}

/// A future that measures how long each poll of the main future takes. Each poll is one turn, since the single-threaded
/// runtime polls for I/O between two polls of the main future.
pub struct MeasuredTurns<F> {
    program: Pin<Box<F>>,
    turns: Rc<TurnLog>,
    counters: Rc<Counters>,
}

impl<F: Future> MeasuredTurns<F> {
    /// Wraps `program`, the main future passed to the runtime. Turns are recorded in `turns` and `counters`.
    pub fn new(program: F, turns: Rc<TurnLog>, counters: Rc<Counters>) -> MeasuredTurns<F> {
        MeasuredTurns { program: Box::pin(program), turns, counters }
    }
}

impl<F: Future> Future for MeasuredTurns<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let start = Instant::now();
        let polled = self.program.as_mut().poll(cx);
        let now = Instant::now();
        let turn = now.saturating_duration_since(start);
        self.turns.turn_ended(start, now);
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
