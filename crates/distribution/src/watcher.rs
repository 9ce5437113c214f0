//! One watch on a relay's copy: where it stands, what it is sent next, and when it has to end. It holds no text of its
//! own; what it sends is shared with all others.

use crate::log::Position;
use crate::replica::{Read, Replica, ReplicaError, Resume, Status};
use bytes::Bytes;

/// Why a watch ends. The watcher may ask again at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The source counts its versions anew.
    Renumbered,
    /// The log does not reach back to where it stands.
    TooFarBehind,
    /// It took nothing for too long.
    SlowReader,
}

/// What a watch is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send this, and ask again.
    Send(Bytes),
    /// Send an empty line, and ask again.
    Heartbeat,
    /// The whole list is needed: have it admitted ([`crate::admission`]), then send [`Watcher::take_whole`]. Said once;
    /// until the list is taken there are heartbeats.
    Whole,
    /// Ask again at this time, or when the copy has changed or was heard of.
    Wait {
        /// In seconds of Unix time.
        until: f64,
    },
    /// End the watch.
    End(EndReason),
}

/// What becomes of a watch whose reader takes nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Blocked {
    /// Ask again at this time if it still takes nothing.
    Wait {
        /// In seconds of Unix time.
        until: f64,
    },
    /// End the watch.
    End(EndReason),
}

/// Where a watch stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// It knows a version, and nothing was sent yet.
    Asked { since: u64, asked_at: f64 },
    /// It needs the whole list, and has not said so since it last could not be given.
    NeedsWhole,
    /// It waits for the whole list.
    AwaitsWhole,
    /// It is to be sent the record at this position.
    Follows(Position),
}

/// One watch.
#[derive(Debug)]
pub struct Watcher {
    generation: u64,
    stage: Stage,
    heartbeat_at: f64,
    blocked_since: Option<f64>,
}

impl Watcher {
    /// A watch that asks for what came after a version, of a copy of this generation.
    pub fn new(since: u64, generation: u64, now: f64) -> Watcher {
        let stage = Stage::Asked { since, asked_at: now };
        Watcher { generation, stage, heartbeat_at: now, blocked_since: None }
    }

    /// What it does next, asked once all that it sent was taken. Nothing is sent while the copy is not current.
    pub fn next(&mut self, replica: &Replica, now: f64) -> Next {
        self.blocked_since = None;
        if replica.generation() != self.generation {
            return Next::End(EndReason::Renumbered);
        }
        if replica.status(now) != Status::Current {
            return Next::Wait { until: now + replica.limits().heartbeat_s };
        }
        match self.stage {
            Stage::Asked { since, asked_at } => self.begin(since, asked_at, replica, now),
            Stage::NeedsWhole => self.ask_whole(),
            Stage::AwaitsWhole => self.idle(f64::INFINITY, replica, now),
            Stage::Follows(position) => self.follow(position, replica, now),
        }
    }

    fn begin(&mut self, since: u64, asked_at: f64, replica: &Replica, now: f64) -> Next {
        let patience_ends = asked_at + replica.limits().catch_up_s;
        match replica.resume(since, now) {
            Resume::NotCurrent => Next::Wait { until: now + replica.limits().heartbeat_s },
            Resume::Ahead if now < patience_ends => self.idle(patience_ends, replica, now),
            Resume::Ahead | Resume::Whole => self.ask_whole(),
            Resume::Changes { from } => {
                self.stage = Stage::Follows(from);
                match self.follow(from, replica, now) {
                    Next::Heartbeat | Next::Wait { .. } => Next::Send(replica.no_changes()),
                    next => next,
                }
            }
        }
    }

    fn ask_whole(&mut self) -> Next {
        self.stage = Stage::AwaitsWhole;
        Next::Whole
    }

    fn follow(&mut self, position: Position, replica: &Replica, now: f64) -> Next {
        match replica.record_at(position) {
            Read::Text(text) => {
                self.stage = Stage::Follows(position.following());
                self.heartbeat_at = now + replica.limits().heartbeat_s;
                Next::Send(text)
            }
            Read::End => self.idle(f64::INFINITY, replica, now),
            Read::Dropped => Next::End(EndReason::TooFarBehind),
        }
    }

    /// Nothing to tell: a heartbeat when one is due.
    fn idle(&mut self, until: f64, replica: &Replica, now: f64) -> Next {
        if now < self.heartbeat_at {
            return Next::Wait { until: until.min(self.heartbeat_at) };
        }
        self.heartbeat_at = now + replica.limits().heartbeat_s;
        Next::Heartbeat
    }

    /// The whole list, once it may be sent; what comes after it follows. None if the copy is not current, or of another
    /// generation: this request is finished, and [`Watcher::next`] says again what is needed.
    pub fn take_whole(&mut self, replica: &mut Replica, now: f64) -> Result<Option<Bytes>, ReplicaError> {
        if replica.generation() != self.generation || replica.status(now) != Status::Current {
            self.stage = Stage::NeedsWhole;
            return Ok(None);
        }
        let text = replica.snapshot()?;
        self.stage = Stage::Follows(replica.end());
        self.heartbeat_at = now + replica.limits().heartbeat_s;
        Ok(Some(text))
    }

    /// Its reader has taken a part of what was sent.
    pub fn progressed(&mut self) {
        self.blocked_since = None;
    }

    /// Its reader takes nothing of what was sent.
    pub fn blocked(&mut self, replica: &Replica, now: f64) -> Blocked {
        if replica.generation() != self.generation {
            return Blocked::End(EndReason::Renumbered);
        }
        if let Stage::Follows(position) = self.stage
            && replica.record_at(position) == Read::Dropped
        {
            return Blocked::End(EndReason::TooFarBehind);
        }
        let until = *self.blocked_since.get_or_insert(now) + replica.limits().slow_reader_s;
        if now < until { Blocked::Wait { until } } else { Blocked::End(EndReason::SlowReader) }
    }
}
