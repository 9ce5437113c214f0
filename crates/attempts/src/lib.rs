//! The attempts of one request: where each was sent, how it ended, and what that says of the request. Time is an
//! argument, in seconds.

use flaxgap_shard_table::{ShardId, ZoneId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// The node answered with an error; it may have run.
    Error,
    /// Rejected by the node before it ran.
    Rejected,
    /// No answer in time; it may have run, or still run.
    Timeout,
    /// No connection, or it broke or ran out of time before the complete request was written; it never ran.
    ConnectFailed,
    /// The connection broke after the complete request was written; it may have run.
    Reset,
    /// Cancelled by this head; it may have run.
    Cancelled,
    /// Not sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }

    /// Whether the attempt might still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
    }
}

/// The end of an attempt, and what it means for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Seconds since it was sent.
    pub elapsed_s: f64,
    /// Whether the request is complete; if not, an answer is still owed.
    pub request_done: bool,
    /// Whether the request can't be sent again, since its data are no longer in memory.
    pub not_resendable: bool,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The shard whose node it was sent to.
    pub shard: ShardId,
    /// The zone of that node.
    pub zone: ZoneId,
    /// Which of the nodes that served the shard one after the other it was sent to.
    pub epoch: u32,
    /// When it was sent.
    pub sent_at: f64,
    /// How it ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

/// All attempts of one request, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub struct Attempts(Vec<Attempt>);

impl Attempts {
    /// How many there were.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there was none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds an attempt that was sent.
    pub fn push(&mut self, attempt: Attempt) {
        self.0.push(attempt);
    }

    /// Records the end of an attempt. Returns the attempt, unless it is unknown or had ended before.
    pub fn record_end(&mut self, index: usize, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.0.get_mut(index).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// The indexes of the attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> {
        let indexed = self.0.iter().enumerate();
        indexed.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| index)
    }

    /// Whether an attempt is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// The shard whose node the first attempt in flight was sent to.
    pub fn in_flight_shard(&self) -> Option<ShardId> {
        self.in_flight().next().map(|index| self.0[index].shard)
    }

    /// The attempts that ran, may have run or may yet run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.0.iter().filter(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Whether a node is known to have received the complete request.
    pub fn was_received(&self) -> bool {
        let received = [Some(AttemptOutcome::Rejected), Some(AttemptOutcome::Error)];
        self.0.iter().any(|attempt| received.contains(&attempt.outcome))
    }
}
