//! Tests of the age of signals.

use super::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

/// Turns at these times, in milliseconds after `start`.
fn turns(start: Instant, before_ended_ms: u32, began_ms: u32, ended_ms: u32) -> RecentTurns {
    RecentTurns {
        before_previous_ended: start + MS * before_ended_ms,
        previous_began: start + MS * began_ms,
        previous_ended: start + MS * ended_ms,
    }
}

/// A process that waited for long may have been held up as the signal was sent, for as long as the platform allows.
#[test]
fn a_signal_to_an_idle_process_is_at_most_as_old_as_a_process_may_be_held_up() {
    let start = Instant::now();
    let sent = earliest_sending(turns(start, 0, 100, 101), start + MS * 5000);
    assert_eq!(sent, start + MS * 5000 - MS - MAX_HOLD_UP);
}

/// Guards against a signal that is taken for young as a turn passed between its arrival and its report: it ended the wait
/// before that turn, and the process was held up in that wait.
#[test]
fn a_signal_that_ended_the_wait_before_the_previous_turn_is_as_old_as_that_wait() {
    let start = Instant::now();
    let sent = earliest_sending(turns(start, 0, 148, 149), start + MS * 150);
    assert_eq!(sent, start);
}

/// A process that waits only for a moment at a time may have been held up as well.
#[test]
fn a_signal_to_a_busy_process_is_at_most_as_old_as_a_process_may_be_held_up() {
    let start = Instant::now();
    let sent = earliest_sending(turns(start, 500, 501, 504), start + MS * 505);
    assert_eq!(sent, start + MS * 505 - MAX_HOLD_UP);
}

/// Guards against a long turn that is not counted: the signal may have been sent as it began.
#[test]
fn a_signal_sent_in_a_long_turn_is_as_old_as_that_turn() {
    let start = Instant::now();
    assert_eq!(earliest_sending(turns(start, 99, 100, 700), start + MS * 701), start + MS * 99);
    let delayed_as_well = earliest_sending(turns(start, 0, 100, 700), start + MS * 900);
    assert_eq!(delayed_as_well, start + MS * 900 - MS * 600 - MAX_HOLD_UP);
}
