//! Filters the updates of a head that watches two relays at once. Each relay delivers the versions in order, but one
//! may lag behind the other. A stale update would take nodes out of service for a moment, and an update that skips a
//! version received from the other relay may omit a node that changed in that version and changed back since.

use flaxgap_membership::SourceCursor;

/// What to do with an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass the update to membership, with [`UpdateFilter::source`].
    Apply,
    /// Drop the update: its content is already known.
    Duplicate,
    /// Drop the update, end this watch and watch the same relay again from the known version.
    Rewatch,
}

/// The update filter of one watch, which tracks the versions that the watch has received. Each opened watch needs its
/// own filter.
#[derive(Debug)]
pub struct UpdateFilter {
    source: SourceCursor,
    received_version: u64,
}

impl UpdateFilter {
    /// Creates the filter of a watch that resumes after version `since`; 0 if it starts with the complete list.
    pub fn new(since: u64) -> UpdateFilter {
        UpdateFilter { source: SourceCursor::at(since), received_version: since }
    }

    /// The cursor in which membership tracks the versions of this watch.
    pub fn source(&mut self) -> &mut SourceCursor {
        &mut self.source
    }

    /// Resets the filter for a new watch on the same relay that resumes after version `since`; 0 if it starts with the
    /// complete list. Whether the relay lags behind is retained.
    pub fn restart(&mut self, since: u64) {
        self.received_version = since;
    }

    /// Whether the relay has lagged behind for so long that its complete list has to be requested.
    pub fn needs_relist(&self, now: f64) -> bool {
        self.source.has_rewound(now)
    }

    /// Decides what to do with an update of this watch, from the update's version, whether it is a complete list, and
    /// the version that membership has reached. Once a complete list has shown that the relay lags behind, all its
    /// updates are applied, and membership decides on each entry.
    pub fn evaluate(&mut self, version: u64, is_complete: bool, known_version: u64) -> Verdict {
        let previous_version = std::mem::replace(&mut self.received_version, version);
        if is_complete || self.source.is_behind() {
            return Verdict::Apply;
        }
        if version < known_version {
            return Verdict::Duplicate;
        }
        if previous_version < known_version && known_version < version {
            return Verdict::Rewatch;
        }
        Verdict::Apply
    }
}
