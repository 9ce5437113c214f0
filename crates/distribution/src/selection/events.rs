//! The messages between a selection and its caller: the actions that it directs, and why a watch was lost.

use super::watches::WatchId;
use thiserror::Error;

/// An action for the caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Directive {
    /// Open a watch, at this time at the earliest, after the version that is known by then.
    Open {
        /// The new watch.
        watch_id: WatchId,
        /// The index of the relay in the list.
        relay: usize,
        /// In seconds of Unix time; never later than the poll that returned this.
        at: f64,
    },
    /// Close a watch, open or not. Its loss is not to be reported.
    Close {
        /// The watch.
        watch_id: WatchId,
    },
}

/// Why a watch was lost. Its text is what the log names.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum LostReason {
    /// No connection, or a response that is not a watch.
    #[error("unavailable")]
    Unavailable,
    /// No message arrived within the timeout.
    #[error("idle timeout")]
    IdleTimeout,
    /// The connection broke.
    #[error("connection lost")]
    ConnectionLost,
    /// The relay ended the watch in order: it is called again soon.
    #[error("ended by relay")]
    EndedByRelay,
    /// The relay is overloaded.
    #[error("overloaded, retry_after_s={retry_after_s}")]
    Overloaded {
        /// Delay before the relay may be called again, in seconds.
        retry_after_s: f64,
    },
}
