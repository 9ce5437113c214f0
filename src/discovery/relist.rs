//! Tracks whether the complete list still has to be requested from a source.

use std::cell::Cell;

/// Maximum number of calls for the complete list after an update that could not be decoded. If all of them fail, the
/// known list stays in use.
const ATTEMPTS_AFTER_UNREADABLE_UPDATE: usize = 3;

/// Whether calls for the complete list are pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    None,
    /// At most this many more calls.
    Attempts(usize),
    /// Calls until a list has been received.
    UntilListed,
}

/// Whether the next call to a source has to request the complete list.
pub struct PendingRelist(Cell<State>);

impl PendingRelist {
    /// Creates the state in which no relist is pending.
    pub fn none() -> PendingRelist {
        PendingRelist(Cell::new(State::None))
    }

    /// Creates the state in which a relist is pending until a list has been received.
    pub fn until_listed() -> PendingRelist {
        PendingRelist(Cell::new(State::UntilListed))
    }

    /// Whether a relist is pending.
    pub fn is_pending(&self) -> bool {
        self.0.get() != State::None
    }

    /// Returns whether a call that is about to start has to request the complete list, and counts it as an attempt.
    pub fn take_attempt(&self) -> bool {
        let before = self.0.get();
        let after = match before {
            State::None | State::Attempts(0 | 1) => State::None,
            State::Attempts(left) => State::Attempts(left - 1),
            State::UntilListed => State::UntilListed,
        };
        self.0.set(after);
        before != State::None
    }

    /// Records that the complete list was received.
    pub fn complete(&self) {
        self.0.set(State::None);
    }

    /// Requests a relist after an update that could not be decoded.
    pub fn request(&self) {
        if self.0.get() != State::UntilListed {
            self.0.set(State::Attempts(ATTEMPTS_AFTER_UNREADABLE_UPDATE));
        }
    }
}
