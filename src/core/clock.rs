//! A monotonic clock whose readings are Unix timestamps.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Longest duration that [`seconds`] returns, in seconds: one day.
const MAX_DURATION_S: f64 = 86_400.0;

/// Monotonic clock whose readings are Unix timestamps. The system's Unix time is read only once, when the clock is
/// started: Unix timestamps from other machines (such as a node's last start) need no conversion, and the readings
/// never decrease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    started_at_unix_s: f64,
}

impl Clock {
    /// Starts a clock at the current Unix time.
    pub fn start() -> Clock {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        Clock {
            started_at: Instant::now(),
            started_at_unix_s: unix_time.map_or(0.0, |since_epoch| since_epoch.as_secs_f64()),
        }
    }

    /// The current time, in seconds of Unix time.
    pub fn now(&self) -> f64 {
        self.at(Instant::now())
    }

    /// The reading of the clock at an instant, in seconds of Unix time.
    pub fn at(&self, instant: Instant) -> f64 {
        self.started_at_unix_s + instant.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// The instant at which the clock reads `unix_time_s`.
    pub fn instant(&self, unix_time_s: f64) -> Instant {
        self.started_at + seconds(unix_time_s - self.started_at_unix_s)
    }
}

/// Converts a number of seconds to a duration, clamped to between zero and one day.
pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(if value > 0.0 { value.min(MAX_DURATION_S) } else { 0.0 })
}
