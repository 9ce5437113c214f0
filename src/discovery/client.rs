//! Client of a list source: lists the endpoints and watches them for changes.
//!
//! A [`Watcher`] calls one address, at the times that [`Poller`](crate::discovery::schedule::Poller) determines, and
//! returns the received lists and errors as [`WatchEvent`]s. It does not store nodes or lists. Calls may overlap: a
//! call starts when it is due, even if earlier calls are still open. The watch that delivers a message first becomes
//! the current watch, and the calls that started before it are cancelled.
//!
//! # Renewed watches
//! On a local agent, a new watch is opened at a fixed interval, whether or not the current watch delivers messages.
//! So a silent agent or a silent watch delays a change by at most that interval once the agent answers again.
//!
//! An agent may answer each new watch with a snapshot. If the first fields of a snapshot contain the version that the
//! current watch delivered last, the rest of the snapshot is the known list and is skipped. Such a response proves
//! that the agent is alive. The current watch stays current, since the new one is closed after the skipped snapshot.
//! A snapshot with another version is read, and its watch becomes the current one.
//!
//! Snapshots are not skipped while the content of the known version is uncertain. After a failed watch or call, a
//! silent source, an update that can't be decoded, or a source that is behind, the next list is read in full.

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

/// Maximum number of calls of one watcher that have not delivered a message yet. These calls and the current watch
/// use at most half of the file descriptors reserved for discovery, since two watchers are open while discovery moves
/// to another source. When the limit is reached, the second oldest call is cancelled; the oldest call is kept until
/// its timeout, for a source that responds slowly.
pub const MAX_CALLS_IN_FLIGHT: usize = 6;

/// Why a call or a watch ended, or why its response can't be used.
#[derive(Debug, Error)]
pub enum CallError {
    /// Nothing was received within the timeout.
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
    /// The source responded with status 503 and this `Retry-After` delay.
    #[error("source is overloaded, retry after {0:?}")]
    Busy(Duration),
    /// The source responded with a status other than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The response contains data that can't be decoded as a list.
    #[error("{0}")]
    Decode(#[from] DecodeError),
    /// The response to a call for the complete list is not a snapshot.
    #[error("expected a complete list, got changes")]
    NotASnapshot,
    /// The response ended or timed out within a list, or the list exceeds the size limit.
    #[error("incomplete list")]
    IncompleteList,
    /// The source closed the watch.
    #[error("watch closed by the source")]
    Closed,
}

/// The request of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceRequest {
    /// Requests the complete list, once.
    List,
    /// Requests all changes after this version, for as long as the watch is open.
    WatchSince(u64),
}

/// When a list was read from its connection.
#[derive(Clone, Copy, Debug)]
pub struct ReceiveTimes {
    /// When the first bytes of the list were read.
    pub first_byte: Instant,
    /// When the last byte of the list was read.
    pub last_byte: Instant,
}

/// A message from the source, or a change in the state of a call or of the source.
#[derive(Debug)]
pub enum WatchEvent {
    /// A list was received: a snapshot, or changes.
    List {
        /// The received list.
        list: CompactList,
        /// The request of the call that delivered the list.
        request: SourceRequest,
        /// When the list was read.
        received: ReceiveTimes,
    },
    /// The source is alive, and the list has not changed.
    Heartbeat,
    /// A response contains data that can't be decoded, so an update may have been missed.
    Unreadable(CallError),
    /// The current watch has ended. The watcher opens another one.
    WatchLost,
    /// Nothing was received for this long. Returned once until something is received again.
    SourceSilent(Duration),
    /// A call has ended. Returned only by a watcher without retries.
    CallEnded {
        /// Whether the source had responded with status 200.
        opened: bool,
        /// Why the call ended; `None` if it had delivered the complete list that it requested.
        error: Option<CallError>,
    },
}

#[cfg(test)]
mod tests;
