//! The types exchanged between a selection and its caller: the actions to perform, and the reasons of lost watches.

use super::watches::WatchId;
use thiserror::Error;

/// An action that the caller has to perform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Directive {
    /// Open a watch, not before `at`, that resumes after the version that the head knows at that time.
    Open {
        /// The id of the new watch.
        watch_id: WatchId,
        /// The index of the relay in [`Selection::relays`](super::Selection::relays).
        relay: usize,
        /// The earliest time, in seconds of Unix time; never later than the poll that returned this directive.
        at: f64,
    },
    /// Close a watch, whether it is open or still being opened. The caller must not report it as lost.
    Close {
        /// The id of the watch to close.
        watch_id: WatchId,
    },
}

/// Why a watch was lost. The `Display` text is written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum LostReason {
    /// The connection could not be established, or the response was not a watch.
    #[error("unavailable")]
    Unavailable,
    /// No message arrived within the timeout.
    #[error("idle timeout")]
    IdleTimeout,
    /// The connection failed.
    #[error("connection lost")]
    ConnectionLost,
    /// The relay ended the response without an error. This is no failure unless the watch was opened just before.
    #[error("ended by relay")]
    EndedByRelay,
    /// The relay rejected the watch because it is overloaded.
    #[error("overloaded, retry_after_s={retry_after_s}")]
    Overloaded {
        /// Delay before the relay may be called again, in seconds.
        retry_after_s: f64,
    },
}
