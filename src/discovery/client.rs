//! Client of a list source: lists the endpoints and watches them for changes.
//!
//! A [`Watcher`] calls one address, at the pace that [`Poller`](crate::discovery::schedule::Poller) sets, and returns
//! what it receives as [`WatchEvent`]s. It knows no node and keeps no list. It never waits for one call to end before the
//! next is due: the watch that delivers first becomes the current one, and the calls that began before it are cancelled.
//!
//! # Renewed watches
//! On an agent of the head's own, a new watch is opened at a fixed interval whether the last one delivers or not. So
//! neither an agent nor a watch that has become silent can keep a change back for longer than that interval.
//!
//! An agent may answer each new watch with a snapshot. One whose first bytes show the version that the current watch
//! delivered last is not read any further, since the rest of it would be the known list. Such an answer proves that the
//! agent is alive; the current watch stays current, since there is nothing more to read on the new one. A new watch
//! whose snapshot has another version is read and becomes the current one.
//!
//! Nothing is skipped while the known version is in doubt: after a watch or call that failed, a silent source, an update
//! that can't be read, or a source that is behind, the next list is read in full first.

mod call;
mod call_set;
mod connect;
mod counted;
mod response_reader;
mod watcher;

pub use connect::Connect;
pub use counted::{CountedTcp, Traffic};
pub use watcher::Watcher;

use flaxgap_membership::compact::CompactList;
use flaxgap_membership::decoder::DecodeError;
use hyper::StatusCode;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// Most calls of one watcher that have delivered nothing yet. With the current watch, and twice that while discovery
/// moves to another source, they fit into the descriptors that are reserved for discovery. The oldest call has its whole
/// time, for a source that is slow; the others are cancelled in turn.
pub const MAX_CALLS_IN_FLIGHT: usize = 6;

/// Why a call or a watch ended, or why its answer can't be used.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was received in time.
    #[error("silent for {0:?}")]
    Silent(Duration),
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error("exchange: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The source answered 503 and asked to be called again after this time.
    #[error("busy for {0:?}")]
    Busy(Duration),
    /// The source answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The answer is no list.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// The answer to a call for the complete list is no snapshot.
    #[error("list: not complete")]
    NotASnapshot,
    /// A list began and did not end in time.
    #[error("a list that does not end")]
    IncompleteList,
    /// The source closed the watch.
    #[error("the watch was closed")]
    Closed,
}

/// What a call asks a source for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRequest {
    /// The complete list, once.
    List,
    /// All changes after this version, for as long as the watch is open.
    WatchSince(u64),
}

/// When a list was read from its connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveTimes {
    /// Its first bytes.
    pub first_byte: Instant,
    /// Its last.
    pub last_byte: Instant,
}

/// What a watcher has received or noticed.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list, which may be a snapshot or changes.
    List {
        /// The list.
        list: CompactList,
        /// What the call that brought it had asked for.
        request: SourceRequest,
        /// When it was read.
        received: ReceiveTimes,
    },
    /// The source is alive and has nothing new.
    Heartbeat,
    /// Something was received that can't be read: what was asked for was not delivered.
    Unreadable(CallError),
    /// The current watch has ended. Another is opened.
    WatchLost,
    /// Nothing was received for this long. Reported once, until something is received again.
    SourceSilent(Duration),
    /// A call has ended, of a watcher that leaves retries to its owner.
    CallEnded {
        /// Whether it had been answered with 200.
        opened: bool,
        /// Why it ended, unless it had delivered all that it asked for.
        error: Option<CallError>,
    },
}

#[cfg(test)]
mod tests;
