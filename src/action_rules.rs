//! Decides whether a head may act on a request or a connection now: begin to serve it, send it to a node, send it again, or
//! close it. All frontends, attempts and budgets ask here. Does no I/O and reads no clock: times and facts are arguments.
//!
//! A second group of functions checks what has been done, from the times at which it took effect. What they find is a
//! [`Violation`], which is counted and must never occur: the head may have been held up for longer than the platform's
//! terms allow, or a decision is wrong.

pub mod send_stall;

use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which the platform may keep the process from running, at any moment.
pub const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// How long a connection without a complete request is kept open after its last byte or, if there is none, after it was
/// accepted, since the rest may be in transit.
pub const TRANSIT_GRACE: Duration = Duration::from_millis(100);
/// How long after the end of its time a request may be answered at the latest.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// By how much a node may be told more time than the client has left.
const TOLD_SLACK: Duration = Duration::from_millis(150);

/// How old the time that a node is told may be when it is sent. Nodes are told as much less, since the process may be held up
/// once more after that.
const MAX_TOLD_AGE: Duration = Duration::from_millis(10);

/// Why a request may not be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenial {
    /// The attempt's deadline has passed.
    Deadline,
    /// The retry window of the request's class has ended.
    RetryWindow,
    /// The request may have run, and its class must not run twice.
    NotRepeatable,
    /// The shutdown deadline of the head has passed.
    Shutdown,
    /// The client has disconnected.
    ClientDisconnected,
    /// The client may have disconnected: unread bytes of its upload can hide that.
    ClientUnconfirmed,
}

/// What is known of the client of a request at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPresence {
    /// It is connected, or its frontend reports a disconnect by dropping the request.
    Connected,
    /// It has disconnected.
    Disconnected,
    /// It may have disconnected behind unread bytes.
    Unconfirmed,
}

/// The conditions under which an attempt may begin.
#[derive(Clone, Copy, Debug)]
pub struct SendConditions {
    /// Deadline of the attempt.
    pub expires_at: Instant,
    /// For a retry, the end of its class's retry window.
    pub retry_window_ends_at: Option<Instant>,
    /// Whether the request may run now, as it never ran or its class may run twice.
    pub is_repeatable: bool,
    /// Shutdown deadline of the head, once it is set.
    pub shutdown_deadline: Option<Instant>,
}

impl SendConditions {
    /// Decides whether the attempt may begin at `now`. `client` is asked only if the times permit it.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, now: Instant, client: impl FnOnce() -> ClientPresence) -> Result<(), SendDenial> {
        let has_passed = |limit: Option<Instant>| limit.is_some_and(|limit| now >= limit);
        if !may_serve(self.expires_at, now) {
            return Err(SendDenial::Deadline);
        }
        if has_passed(self.retry_window_ends_at) {
            return Err(SendDenial::RetryWindow);
        }
        if !self.is_repeatable {
            return Err(SendDenial::NotRepeatable);
        }
        if has_passed(self.shutdown_deadline) {
            return Err(SendDenial::Shutdown);
        }
        match client() {
            ClientPresence::Connected => Ok(()),
            ClientPresence::Disconnected => Err(SendDenial::ClientDisconnected),
            ClientPresence::Unconfirmed => Err(SendDenial::ClientUnconfirmed),
        }
    }

    /// Latest time at which the attempt may begin.
    pub fn latest_start(&self) -> Instant {
        let limits = [self.retry_window_ends_at, self.shutdown_deadline];
        limits.into_iter().flatten().fold(self.expires_at, Instant::min)
    }
}

/// Whether a request whose client waits until `deadline` may be served at `now`; otherwise it is rejected at once.
pub fn may_serve(deadline: Instant, now: Instant) -> bool {
    now < deadline
}

/// What is known of a client's connection at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionFacts {
    /// No request is served or owed an answer, and no part of one has been read.
    pub is_idle: bool,
    /// Nothing lies unread in the socket.
    pub is_drained: bool,
}

/// Whether a connection may be closed without an answer.
pub fn may_close(facts: ConnectionFacts) -> bool {
    facts.is_idle && facts.is_drained
}

/// Whether a connection has been silent for so long that nothing of a request can be in transit.
pub fn is_past_transit(silent_for: Duration) -> bool {
    silent_for >= TRANSIT_GRACE
}

/// A rule that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A request was sent to a node after its time, by more than the process may be held up.
    SentLate,
    /// A node was told more time than its request had left.
    ToldTooMuch,
    /// A request was answered later than its time and the platform's slack.
    AnsweredLate,
    /// A connection was closed with a request that was read and not answered.
    ClosedUnanswered,
    /// A request was decided to be sent again that may have run and must not run twice.
    Repeated,
}

impl Violation {
    /// All rules.
    pub const ALL: [Violation; 5] = [
        Violation::SentLate,
        Violation::ToldTooMuch,
        Violation::AnsweredLate,
        Violation::ClosedUnanswered,
        Violation::Repeated,
    ];

    /// Exported name of the rule's counter.
    pub fn counter_name(self) -> &'static str {
        match self {
            Violation::SentLate => "violations_sent_late",
            Violation::ToldTooMuch => "violations_told_too_much",
            Violation::AnsweredLate => "violations_answered_late",
            Violation::ClosedUnanswered => "violations_closed_unanswered",
            Violation::Repeated => "violations_repeated",
        }
    }
}

/// How much time a node is told at `now` that a request has left until `expires_at`.
pub fn time_to_tell(expires_at: Instant, now: Instant) -> Duration {
    expires_at.saturating_duration_since(now).saturating_sub(MAX_TOLD_AGE)
}

/// Whether what a request tells its node at `told_at` of the time left still holds at `now`; otherwise the process was held
/// up, and the request is built anew.
pub fn may_tell(told_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(told_at) < MAX_TOLD_AGE
}

/// Checks an attempt whose first byte was written at `written_at` and whose node was told at `told_at` to have time until
/// `expires_at`.
pub fn check_sent(expires_at: Instant, told_at: Instant, written_at: Instant) -> Option<Violation> {
    if written_at >= expires_at + MAX_HOLD_UP {
        return Some(Violation::SentLate);
    }
    let excess = written_at.saturating_duration_since(told_at).saturating_sub(MAX_TOLD_AGE);
    (excess > TOLD_SLACK).then_some(Violation::ToldTooMuch)
}

/// Checks an answer that began to be written at `answered_at`, to a client that waits until `deadline`.
pub fn check_answered(deadline: Instant, answered_at: Instant) -> Option<Violation> {
    (answered_at > deadline + ANSWER_SLACK).then_some(Violation::AnsweredLate)
}

/// Checks a connection that is closed: `owes_answer` if a request has been read completely of which no answer has begun,
/// `is_connected` if its client has not left.
pub fn check_closed(owes_answer: bool, is_connected: bool) -> Option<Violation> {
    (owes_answer && is_connected).then_some(Violation::ClosedUnanswered)
}

#[cfg(test)]
mod tests;
