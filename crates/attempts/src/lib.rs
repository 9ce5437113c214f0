//! The sends of one request: where each went, how it ended, and what is known of them together. Time is an argument,
//! in seconds.

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
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
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

/// How an attempt ended, and what that means for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// After how many seconds.
    pub elapsed: f64,
    /// Whether the request is over.
    pub done: bool,
    /// Whether the request can't be sent again.
    pub last: bool,
}

/// One send of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The shard whose node it went to.
    pub shard: ShardId,
    /// The zone of that node.
    pub zone: ZoneId,
    /// Which of the nodes that followed each other at the shard that was.
    pub epoch: u32,
    /// When it was sent.
    pub at: f64,
    /// How it ended; `None` while it is out.
    pub outcome: Option<AttemptOutcome>,
}

/// All sends of one request, in their order.
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

    /// The request was sent.
    pub fn push(&mut self, attempt: Attempt) {
        self.0.push(attempt);
    }

    /// An attempt ended. Returns it, unless it is unknown or had ended before.
    pub fn end(&mut self, nth: usize, outcome: AttemptOutcome) -> Option<Attempt> {
        let attempt = self.0.get_mut(nth).filter(|attempt| attempt.outcome.is_none())?;
        attempt.outcome = Some(outcome);
        Some(*attempt)
    }

    /// Those that are out, each with its place.
    pub fn out(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.0.iter().enumerate().filter(|(_, attempt)| attempt.outcome.is_none())
    }

    /// Whether one is out.
    pub fn is_out(&self) -> bool {
        self.out().next().is_some()
    }

    /// Where the first of those went.
    pub fn out_at(&self) -> Option<ShardId> {
        self.out().next().map(|(_, attempt)| attempt.shard)
    }

    /// Those that ran, may have run or may yet run.
    pub fn may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.0.iter().filter(|attempt| attempt.outcome.is_none_or(|outcome| !outcome.never_ran()))
    }

    /// Whether a node is known to have had the whole request.
    pub fn taken(&self) -> bool {
        self.0
            .iter()
            .any(|attempt| matches!(attempt.outcome, Some(AttemptOutcome::Rejected | AttemptOutcome::Error)))
    }
}
