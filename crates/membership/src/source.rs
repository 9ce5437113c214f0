//! The position of one source of endpoint lists.

/// Time for which a source has to be behind the known version before its versions are taken to have restarted, in
/// seconds. Discovery's changes have to be in force 6 s after they were made, so a source that is merely late has caught
/// up by then.
pub const REWIND_AFTER_S: f64 = 5.0;

/// Position of one source of lists: the version it has reached, and since when that is behind the known version.
#[derive(Debug, Default)]
pub struct SourceCursor {
    version: u64,
    behind_since: Option<f64>,
}

impl SourceCursor {
    /// Creates the cursor of a source that is taken to have sent everything up to `version`.
    pub fn at(version: u64) -> SourceCursor {
        SourceCursor { version, behind_since: None }
    }

    /// The version of the source's last list, after which changes are to be watched.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the source is behind the known version.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether the source has been behind for so long (see [`REWIND_AFTER_S`]) that its version count must have
    /// restarted. Its next snapshot is then accepted although its version is lower than the known one.
    pub fn has_rewound(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= REWIND_AFTER_S)
    }

    /// Moves to the version of a list that was received at `now`.
    pub(crate) fn advance(&mut self, version: u64, is_behind: bool, now: f64) {
        self.version = version;
        self.behind_since = match self.behind_since {
            _ if !is_behind => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }
}
