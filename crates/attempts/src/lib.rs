//! The attempts of one request: where each was sent, how each ended, and what their outcomes imply for the request.
//! Times are passed in as arguments, in seconds.

use flaxgap_shard_table::{ShardId, ZoneId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node served the request.
    Ok,
    /// The node answered with an error; the request may have run.
    Error,
    /// The node rejected the request before running it.
    Rejected,
    /// No answer arrived in time; the request may have run or may still be running.
    Timeout,
    /// The connection could not be established, or it broke or timed out before the complete request was written. The
    /// request never ran.
    ConnectFailed,
    /// The connection broke after the complete request was written; the request may have run.
    Reset,
    /// This head cancelled the attempt; the request may have run or may still be running.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }

    /// Returns whether the attempt might still be running.
    pub fn may_still_run(self) -> bool {
        matches!(self, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled)
    }
}

/// The end of an attempt and its consequences for the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Seconds since the attempt was sent.
    pub elapsed_s: f64,
    /// Whether the request is complete. If not, the client must still be answered.
    pub request_done: bool,
    /// Whether the request can't be sent again because its body is no longer in memory.
    pub not_resendable: bool,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The shard whose node the attempt was sent to.
    pub shard: ShardId,
    /// The zone of that node.
    pub zone: ZoneId,
    /// The epoch of the shard at the time of sending. It changes when another node takes over the shard or the node
    /// restarts.
    pub epoch: u32,
    /// When the attempt was sent.
    pub sent_at: f64,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

/// All attempts of one request, in the order in which they were sent.
#[derive(Clone, Debug, Default)]
pub struct Attempts(Vec<Attempt>);

impl Attempts {
    /// Returns the number of attempts.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no attempt was sent.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Appends an attempt that was sent.
    pub fn push(&mut self, attempt: Attempt) {
        self.0.push(attempt);
    }

    /// Records the end of an attempt. Returns the attempt, or `None` if the index is unknown or the attempt had
    /// already ended.
    pub fn record_end(&mut self, index: usize, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.0.get_mut(index).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// Returns the indexes of the attempts in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = usize> {
        let indexed = self.0.iter().enumerate();
        indexed.filter(|(_, attempt)| attempt.outcome.is_none()).map(|(index, _)| index)
    }

    /// Returns whether an attempt is in flight.
    pub fn has_in_flight(&self) -> bool {
        self.in_flight().next().is_some()
    }

    /// Returns the shard whose node the first attempt in flight was sent to.
    pub fn in_flight_shard(&self) -> Option<ShardId> {
        self.in_flight().next().map(|index| self.0[index].shard)
    }

    /// Returns the attempts that ran, may have run or may yet run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.0.iter().filter(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Returns whether a node is known to have received the complete request without serving it: it rejected the
    /// request or answered with an error.
    pub fn was_received(&self) -> bool {
        let received = [Some(AttemptOutcome::Rejected), Some(AttemptOutcome::Error)];
        self.0.iter().any(|attempt| received.contains(&attempt.outcome))
    }
}
