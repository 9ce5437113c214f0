//! Calls for the whole list that are still owed.

use std::cell::Cell;

/// How often a line that can't be read is made up for by the whole list before what was known has to do.
const MAKE_UP: usize = 3;

/// How often the whole list is to be asked for yet: until it was told, or a few times in place of what could not be read.
pub struct Whole(Cell<usize>);

impl Whole {
    /// Until it was told, or not at all.
    pub fn wanted(wanted: bool) -> Whole {
        Whole(Cell::new(if wanted { usize::MAX } else { 0 }))
    }

    /// Whether it is to be asked for.
    pub fn is_wanted(&self) -> bool {
        self.0.get() > 0
    }

    /// Whether the next call is to ask for it.
    pub fn take(&self) -> bool {
        let left = self.0.get();
        self.0.set(if left == usize::MAX { left } else { left.saturating_sub(1) });
        left > 0
    }

    /// It was told.
    pub fn told(&self) {
        self.0.set(0);
    }

    /// A word was lost that it makes up for.
    pub fn lost(&self) {
        self.0.set(self.0.get().max(MAKE_UP));
    }
}
