//! How long an attempt waits for the rest of a response that has begun. Does no I/O and reads no clock.
//!
//! A node that has begun to respond still works on the request, so a pause alone does not end the attempt. A response
//! that is not complete shortly before its client stops waiting is forwarded as far as it has come. Only if it has
//! stalled by then and another attempt is allowed, the attempt ends early enough to make that one: a malformed response
//! may never end.

use std::time::Duration;
use tokio::time::Instant;

/// Time before the attempt's deadline at which a response is forwarded that is not complete.
const FORWARD_MARGIN: Duration = Duration::from_millis(50);
/// Time that is left for another attempt.
const MAX_RETRY_TIME: Duration = Duration::from_millis(150);
/// Divisor of an attempt's time that gives the time left for another one, if that is less.
const RETRY_TIME_DIVISOR: u32 = 4;
/// Pause after which a response counts as stalled.
const STALL_TIME: Duration = Duration::from_millis(250);

/// When an attempt stops waiting for the rest of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseWait {
    /// When a response is forwarded as far as it has come.
    pub forward_at: Instant,
    /// When an attempt with a stalled response may end, so that another one can be made; `None` if none is allowed.
    retry_at: Option<Instant>,
}

impl ResponseWait {
    /// The wait of an attempt that begins at `now` and whose client stops waiting at `expires_at`.
    pub fn new(now: Instant, expires_at: Instant, may_retry: bool) -> ResponseWait {
        let retry_time = (expires_at.saturating_duration_since(now) / RETRY_TIME_DIVISOR).min(MAX_RETRY_TIME);
        ResponseWait {
            forward_at: expires_at - FORWARD_MARGIN.min(retry_time),
            retry_at: may_retry.then(|| expires_at - retry_time),
        }
    }

    /// When the attempt ends if no more bytes of the response arrive after `last_bytes_at`; `None` if it does not end
    /// before its deadline.
    pub fn stalled_at(&self, last_bytes_at: Instant) -> Option<Instant> {
        let retry_at = self.retry_at?;
        Some(retry_at.max(last_bytes_at + STALL_TIME))
    }
}
