//! The final answer to a request.

use crate::core::content::StreamedBody;
use crate::metrics::counters::InFlightRequest;

/// The final answer to a request; each request gets exactly one.
#[derive(Debug)]
pub enum Answer {
    /// Served, with the response body of the node. The frontend that forwards the body records the outcome when the
    /// last byte has been sent or the body has ended early.
    Served(StreamedBody, InFlightRequest),
    /// Rejected without effect; the client may safely retry the request.
    Rejected {
        /// Seconds that the client should wait before it retries; 0 if unknown.
        retry_after_s: f64,
    },
    /// Failed; a node may have executed the request.
    Failed,
}
