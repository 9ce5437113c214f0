//! The position of one source in the sequence of list versions.

/// How long a source has to be behind the known version, in seconds, until its version count is considered restarted.
/// Every change has to take effect at the heads within 6 s, so a source that only lags has caught up by then.
pub const REWIND_AFTER_S: f64 = 5.0;

/// The version of the last list from one source, and since when that version has been behind the known one.
#[derive(Debug, Default)]
pub struct SourceCursor {
    version: u64,
    behind_since: Option<f64>,
}

impl SourceCursor {
    /// Creates the cursor of a source whose changes up to `version` are known.
    pub fn at(version: u64) -> SourceCursor {
        SourceCursor { version, behind_since: None }
    }

    /// The version of the source's last list. A new watch requests the changes after this version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether the source is behind the known version.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Whether the source has been behind for [`REWIND_AFTER_S`], so that its version count must have restarted. Its
    /// next snapshot is then accepted although its version is lower than the known one.
    pub fn has_rewound(&self, now: f64) -> bool {
        self.behind_since.is_some_and(|since| now - since >= REWIND_AFTER_S)
    }

    /// Records the version of a list received at `now`, and whether that version is behind the known one.
    pub(crate) fn advance(&mut self, version: u64, is_behind: bool, now: f64) {
        self.version = version;
        self.behind_since = match self.behind_since {
            _ if !is_behind => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }
}
