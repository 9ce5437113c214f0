//! The state machine of one watch on a replica: its position in the log, the next action, and the end of the watch. The
//! encoded lines that it sends are shared with all other watches.

use crate::log::Position;
use crate::replica::{ReadRecord, Replica, ReplicaError, ReplicaStatus, Resume};
use bytes::Bytes;

/// Why a watch ends. The client may watch again at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Upstream restarted its numbering of versions.
    Renumbered,
    /// The record at the watch's position was compacted.
    TooFarBehind,
    /// The reader accepted no data for too long.
    SlowReader,
}

/// The next action of a watch.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchAction {
    /// Send this line, and poll again.
    Send(Bytes),
    /// Send a heartbeat (an empty line), and poll again.
    Heartbeat,
    /// Request the admission of a complete list ([`crate::snapshot_admission`]), then send [`Watcher::take_snapshot`].
    /// Returned once; until the list is taken the watch sends heartbeats.
    RequestSnapshot,
    /// Poll again at this time, or earlier if the replica or its lease has changed.
    Wait {
        /// The time, in seconds of Unix time.
        until: f64,
    },
    /// End the watch.
    End(EndReason),
}

/// The action for a watch whose reader accepts no data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StallAction {
    /// Check again at this time if the write is still stalled.
    Wait {
        /// The time, in seconds of Unix time.
        until: f64,
    },
    /// End the watch.
    End(EndReason),
}

/// The state of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WatchState {
    /// Nothing but heartbeats was sent yet; the client knows the version `since`.
    Starting { since: u64, started_at: f64 },
    /// The complete list has to be requested again: the last request could not be served.
    SnapshotNeeded,
    /// The complete list was requested and is not sent yet.
    SnapshotRequested,
    /// The record at this position is sent next.
    Following(Position),
}

/// The state machine of one watch.
#[derive(Debug)]
pub struct Watcher {
    generation: u64,
    state: WatchState,
    next_heartbeat_at: f64,
    stalled_since: Option<f64>,
}

impl Watcher {
    /// Creates a watch that resumes after version `since`, on a replica of this generation.
    pub fn new(since: u64, generation: u64, now: f64) -> Watcher {
        let state = WatchState::Starting { since, started_at: now };
        Watcher { generation, state, next_heartbeat_at: now, stalled_since: None }
    }

    /// Returns the next action. To be called once the reader has accepted all data that was sent before. Nothing is
    /// sent while the replica is not current.
    pub fn poll(&mut self, replica: &Replica, now: f64) -> WatchAction {
        self.stalled_since = None;
        if replica.generation() != self.generation {
            return WatchAction::End(EndReason::Renumbered);
        }
        if replica.status(now) != ReplicaStatus::Current {
            return wait_for_lease(replica, now);
        }
        match self.state {
            WatchState::Starting { since, started_at } => self.start(since, started_at, replica, now),
            WatchState::SnapshotNeeded => self.request_snapshot(),
            WatchState::SnapshotRequested => self.idle(f64::INFINITY, replica, now),
            WatchState::Following(position) => self.follow(position, replica, now),
        }
    }

    fn start(&mut self, since: u64, started_at: f64, replica: &Replica, now: f64) -> WatchAction {
        let catch_up_ends = started_at + replica.limits().catch_up_s;
        match replica.resume(since, now) {
            Resume::NotCurrent => wait_for_lease(replica, now),
            Resume::WatcherAhead if now < catch_up_ends => self.idle(catch_up_ends, replica, now),
            Resume::WatcherAhead | Resume::Snapshot => self.request_snapshot(),
            Resume::Changes { from } => self.start_following(from, replica, now),
        }
    }

    /// Follows the log from a position. The protocol starts each watch with a list, so a list without changes is sent
    /// if the log has no record there.
    fn start_following(&mut self, from: Position, replica: &Replica, now: f64) -> WatchAction {
        self.state = WatchState::Following(from);
        match self.follow(from, replica, now) {
            WatchAction::Heartbeat | WatchAction::Wait { .. } => WatchAction::Send(replica.no_changes()),
            action => action,
        }
    }

    fn request_snapshot(&mut self) -> WatchAction {
        self.state = WatchState::SnapshotRequested;
        WatchAction::RequestSnapshot
    }

    fn follow(&mut self, position: Position, replica: &Replica, now: f64) -> WatchAction {
        match replica.read(position) {
            ReadRecord::Text(text) => {
                self.state = WatchState::Following(position.next());
                self.schedule_heartbeat(replica, now);
                WatchAction::Send(text)
            }
            ReadRecord::EndOfLog => self.idle(f64::INFINITY, replica, now),
            ReadRecord::Compacted => WatchAction::End(EndReason::TooFarBehind),
        }
    }

    /// Sends a heartbeat if one is due, else waits for the next one or for `until`.
    fn idle(&mut self, until: f64, replica: &Replica, now: f64) -> WatchAction {
        if now < self.next_heartbeat_at {
            return WatchAction::Wait { until: until.min(self.next_heartbeat_at) };
        }
        self.schedule_heartbeat(replica, now);
        WatchAction::Heartbeat
    }

    fn schedule_heartbeat(&mut self, replica: &Replica, now: f64) {
        self.next_heartbeat_at = now + replica.limits().heartbeat_s;
    }

    /// Returns the complete list, after its request was admitted; the watch continues with the log. Returns `None` if
    /// the replica is not current or has another generation: the request is used up, and [`Watcher::poll`] returns the
    /// next action.
    ///
    /// # Errors
    ///
    /// The list can't be written as JSON.
    pub fn take_snapshot(&mut self, replica: &mut Replica, now: f64) -> Result<Option<Bytes>, ReplicaError> {
        if replica.generation() != self.generation || replica.status(now) != ReplicaStatus::Current {
            self.state = WatchState::SnapshotNeeded;
            return Ok(None);
        }
        let text = replica.snapshot()?;
        self.state = WatchState::Following(replica.end());
        self.schedule_heartbeat(replica, now);
        Ok(Some(text))
    }

    /// Reports that the reader has accepted data.
    pub fn write_progressed(&mut self) {
        self.stalled_since = None;
    }

    /// Reports that the reader accepts no data, and returns whether the watch waits or ends.
    pub fn write_stalled(&mut self, replica: &Replica, now: f64) -> StallAction {
        if replica.generation() != self.generation {
            return StallAction::End(EndReason::Renumbered);
        }
        if self.is_compacted(replica) {
            return StallAction::End(EndReason::TooFarBehind);
        }
        let stalled_since = *self.stalled_since.get_or_insert(now);
        let until = stalled_since + replica.limits().slow_reader_s;
        if now < until { StallAction::Wait { until } } else { StallAction::End(EndReason::SlowReader) }
    }

    fn is_compacted(&self, replica: &Replica) -> bool {
        match self.state {
            WatchState::Following(position) => replica.read(position) == ReadRecord::Compacted,
            _ => false,
        }
    }
}

/// The action while the replica is empty or its lease has expired: the watch waits, and is polled again when the lease
/// is renewed.
fn wait_for_lease(replica: &Replica, now: f64) -> WatchAction {
    WatchAction::Wait { until: now + replica.limits().heartbeat_s }
}
