//! Signals to a head's process, sent by the system call itself so that the moment of sending is known, and forced delays.

use super::Head;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::thread;
use std::time::{Duration, Instant};

/// From SIGTERM to SIGKILL at the earliest, beyond the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// The longest deadline that the platform waits for.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Longest time for which the platform's terms allow a head to be held up.
pub const MAX_HOLD_UP: Duration = Duration::from_millis(150);

/// Sends a signal; the process may have ended.
pub fn send(head: &Head, signal: Signal) {
    let pid = i32::try_from(head.pid()).expect("a process id");
    _ = kill(Pid::from_raw(pid), signal);
}

/// Keeps the process from running for a time.
pub fn hold_up(head: &Head, time: Duration) {
    send(head, Signal::SIGSTOP);
    thread::sleep(time);
    send(head, Signal::SIGCONT);
}

/// How long after SIGTERM the platform sends SIGKILL at the earliest.
pub fn kill_delay(longest_deadline: Duration) -> Duration {
    longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE
}

/// Sends SIGTERM to a process that is held up at that moment, and returns the time of sending.
pub fn terminate_held_up(head: &Head, time: Duration) -> Instant {
    if !time.is_zero() {
        send(head, Signal::SIGSTOP);
    }
    let sent_at = Instant::now();
    send(head, Signal::SIGTERM);
    thread::sleep(time);
    if !time.is_zero() {
        send(head, Signal::SIGCONT);
    }
    sent_at
}

/// Sleeps until a moment that may have passed.
pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
