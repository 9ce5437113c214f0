//! Observation of requests and their answers.

use crate::core::{Answer, Call};
use std::time::Duration;

/// Observes requests and their answers without influencing them.
pub trait Observer {
    /// Called when a request has been accepted.
    fn request_accepted(&self, call: &Call);
    /// Called when a request has been answered, `latency` after it was accepted.
    fn request_answered(&self, call: &Call, answer: &Answer, latency: Duration);
}
