//! Tests of the schedule of a shutdown.

use super::*;
use crate::daemon::signals::SignalCommand;

const MS: Duration = Duration::from_millis(1);
/// Longest deadlines of settings, in seconds.
const DEADLINES_S: [f64; 8] = [0.05, 0.2, 0.5, 1.0, 2.0, 3.0, 6.0, 60.0];

fn noticed(sent_at: Instant, delay: Duration, known_delay: Duration) -> NoticedSignal {
    let noticed_at = sent_at + delay;
    NoticedSignal { command: SignalCommand::Shutdown, noticed_at, earliest_sent_at: noticed_at - known_delay }
}

/// Guards against a schedule that ends after the platform's kill: however late the signal was noticed and the last answers
/// are written, within the platform's terms.
#[test]
fn the_last_answers_are_written_before_the_kill_although_the_process_is_held_up_twice() {
    for deadline_s in DEADLINES_S {
        for delay_ms in [0, 50, 100, 150] {
            let sent_at = Instant::now();
            let signal = noticed(sent_at, MS * delay_ms, MAX_HOLD_UP);
            let schedule = ShutdownSchedule::new(signal, deadline_s);
            let kill_at = sent_at + seconds(deadline_s.min(3.0)) + MS * 700;
            assert!(schedule.earliest_kill <= kill_at);
            assert!(schedule.last_answer_by + MAX_HOLD_UP + ANSWERING_TIME <= kill_at);
            assert!(schedule.break_off_at + MAX_HOLD_UP < kill_at);
        }
    }
}

/// Guards against connections that are closed while new ones still come, and against an order that can't be kept.
#[test]
fn the_moments_are_in_order_and_new_connections_are_accepted_while_they_come() {
    for deadline_s in DEADLINES_S {
        let sent_at = Instant::now();
        let schedule = ShutdownSchedule::new(noticed(sent_at, Duration::ZERO, MAX_HOLD_UP), deadline_s);
        assert!(schedule.close_connections_at <= schedule.last_answer_by);
        assert!(schedule.last_answer_by <= schedule.break_off_at);
        assert!(schedule.break_off_at <= schedule.earliest_kill);
        if deadline_s >= 0.2 {
            assert!(schedule.close_connections_at >= sent_at + MS * 400, "deadline {deadline_s}");
        }
    }
}
