//! The points in time of a graceful shutdown. Does no I/O and reads no clock.
//!
//! The platform sends SIGKILL no sooner than the longest request deadline and 0.7 s after it *sent* SIGTERM, and what is
//! unanswered then is lost. The schedule counts back from that moment, and leaves time for what may still delay the last
//! answers: the process may be held up once more before it writes them.

use super::signals::NoticedSignal;
use crate::core::{MAX_HOLD_UP, seconds};
use std::time::Duration;
use tokio::time::Instant;

/// Time that the platform grants beyond the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Longest deadline that the platform waits for, in seconds.
const MAX_COUNTED_DEADLINE_S: f64 = 3.0;
/// Time from SIGTERM for which new connections come.
const NEW_CONNECTIONS_TIME: Duration = Duration::from_millis(450);
/// Minimum time from SIGTERM for which the process stays although no connection is open.
const MIN_ACCEPTING: Duration = Duration::from_millis(700);
/// Time from the close of idle connections to the last answers, in which requests in hand may still be served. A
/// connection that was just accepted has it for its first request.
const LAST_REQUESTS_TIME: Duration = Duration::from_millis(350);
/// Time in which a process with a part of a core answers all requests in hand at once.
const ANSWERING_TIME: Duration = Duration::from_millis(100);
/// Time in which connections are closed whose answers are not complete.
const BREAKING_OFF_TIME: Duration = Duration::from_millis(50);

/// The points in time of one graceful shutdown, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ShutdownSchedule {
    /// New connections are accepted at least until this time, unless a newer process accepts them.
    pub(super) accepting_until: Instant,
    /// Connections start to close at this time. Not earlier, since clients that lose their connection find no other head
    /// for their volumes.
    pub(super) close_connections_at: Instant,
    /// Deadline for the answers to all requests, and the end of all requests that are not complete.
    pub(super) last_answer_by: Instant,
    /// Answers that are not complete are broken off at this time.
    pub(super) break_off_at: Instant,
    /// The earliest time at which the platform may kill the process.
    pub(super) earliest_kill: Instant,
}

impl ShutdownSchedule {
    /// Schedules the shutdown that `signal` requests. `longest_deadline_s` is the longest request deadline, in seconds.
    pub(super) fn new(signal: NoticedSignal, longest_deadline_s: f64) -> ShutdownSchedule {
        let counted_deadline = seconds(longest_deadline_s.min(MAX_COUNTED_DEADLINE_S));
        let earliest_kill = signal.earliest_sent_at + counted_deadline + KILL_AFTER_DEADLINE;
        let last_answer_by = earliest_kill - MAX_HOLD_UP - ANSWERING_TIME;
        let close_connections_at = (last_answer_by - LAST_REQUESTS_TIME)
            .max(signal.noticed_at + NEW_CONNECTIONS_TIME)
            .min(last_answer_by);
        ShutdownSchedule {
            accepting_until: signal.noticed_at + MIN_ACCEPTING,
            close_connections_at,
            last_answer_by,
            break_off_at: earliest_kill - MAX_HOLD_UP - BREAKING_OFF_TIME,
            earliest_kill,
        }
    }
}

#[cfg(test)]
mod tests;
