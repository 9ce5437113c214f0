//! Limits how often a line is logged that one client could cause at any rate.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Least time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Permits a log line at most once a second. The counter of the same event counts each one.
#[derive(Debug, Default)]
pub struct LogInterval {
    logged_at: Cell<Option<Instant>>,
}

impl LogInterval {
    /// Whether the line may be logged now; if so, the next interval begins.
    pub fn is_due(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < MIN_INTERVAL;
        let is_due = !self.logged_at.get().is_some_and(is_recent);
        if is_due {
            self.logged_at.set(Some(Instant::now()));
        }
        is_due
    }
}
