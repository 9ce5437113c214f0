//! Complete lists that are still to be requested from a source.

use std::cell::Cell;

/// How many calls for the complete list are made after an update that could not be read. If all of them fail, the known
/// list has to do.
const ATTEMPTS_AFTER_UNREADABLE_UPDATE: usize = 3;

/// Whether calls for the complete list are pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    None,
    /// At most so many more calls.
    Attempts(usize),
    /// Until a list has been received.
    UntilListed,
}

/// Keeps track of whether the next call to a source is to request the complete list.
pub struct PendingRelist(Cell<State>);

impl PendingRelist {
    /// No relist is pending.
    pub fn none() -> PendingRelist {
        PendingRelist(Cell::new(State::None))
    }

    /// A relist is pending until a list has been received.
    pub fn until_listed() -> PendingRelist {
        PendingRelist(Cell::new(State::UntilListed))
    }

    /// Whether a relist is pending.
    pub fn is_pending(&self) -> bool {
        self.0.get() != State::None
    }

    /// Whether the call that begins now is to request the complete list. Counts the call as an attempt.
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

    /// The list was received.
    pub fn complete(&self) {
        self.0.set(State::None);
    }

    /// An update could not be read and has to be made up for by a relist.
    pub fn request(&self) {
        if self.0.get() != State::UntilListed {
            self.0.set(State::Attempts(ATTEMPTS_AFTER_UNREADABLE_UPDATE));
        }
    }
}
