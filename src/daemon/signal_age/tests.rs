//! Tests of the age of signals.

use super::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);

fn turns(start: Instant, began_ms: u32, ended_ms: u32) -> RecentTurns {
    RecentTurns { previous_began: start + MS * began_ms, previous_ended: start + MS * ended_ms }
}

/// A process that waited for long may have been held up as the signal was sent, for as long as the platform allows.
#[test]
fn a_signal_to_an_idle_process_is_at_most_as_old_as_a_process_may_be_held_up() {
    let start = Instant::now();
    let sent = earliest_sending(turns(start, 0, 1), start + MS * 5000);
    assert_eq!(sent, start + MS * 5000 - MS - MAX_HOLD_UP);
}

/// Guards against a schedule that ends earlier than it has to: a busy process knows the age better than by its bound.
#[test]
fn a_signal_to_a_busy_process_is_younger_than_the_previous_turn() {
    let start = Instant::now();
    assert_eq!(earliest_sending(turns(start, 100, 104), start + MS * 105), start + MS * 100);
}

/// Guards against a long turn that is not counted: the signal may have been sent as it began.
#[test]
fn a_signal_sent_in_a_long_turn_is_as_old_as_that_turn() {
    let start = Instant::now();
    assert_eq!(earliest_sending(turns(start, 100, 700), start + MS * 701), start + MS * 100);
    let delayed_as_well = earliest_sending(turns(start, 100, 700), start + MS * 900);
    assert_eq!(delayed_as_well, start + MS * 900 - MS * 600 - MAX_HOLD_UP);
}

#[test]
fn a_signal_was_sent_before_it_was_noticed() {
    let start = Instant::now();
    assert_eq!(earliest_sending(turns(start, 100, 104), start + MS * 50), start + MS * 50);
}
