//! Observers of requests and their answers.

use crate::core::{Answer, Call};
use std::time::Duration;

/// Observes requests and their answers, without influence on either.
pub trait Observer {
    /// A request was accepted.
    fn request_accepted(&self, call: &Call);
    /// It was answered, `latency` after it was accepted.
    fn request_answered(&self, call: &Call, answer: &Answer, latency: Duration);
}
