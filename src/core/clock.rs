//! The monotonic clock of a process, in Unix time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest span that [`seconds`] returns, in seconds: one day.
const LONGEST_SPAN_S: f64 = 86_400.0;

/// A monotonic clock whose readings are Unix time, which is read once at the start: times that other machines report
/// in Unix time (a node's last start) need no conversion, and the readings never run backwards.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    started_at_unix_s: f64,
}

impl Clock {
    /// Starts a clock at the present Unix time.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started_at: Instant::now(),
            started_at_unix_s: unix_time.map_or(0.0, |since_epoch| since_epoch.as_secs_f64()),
        }
    }

    /// The present time, in seconds of Unix time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The reading of the clock at an instant, in seconds of Unix time.
    pub fn at(&self, instant: Instant) -> f64 {
        self.started_at_unix_s + instant.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// The instant of a reading.
    pub fn instant(&self, unix_time_s: f64) -> Instant {
        self.started_at + seconds(unix_time_s - self.started_at_unix_s)
    }
}

/// The duration of a number of seconds: zero where it is negative, one day at most.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(if value > 0.0 { value.min(LONGEST_SPAN_S) } else { 0.0 })
}
