//! The final answer to a request.

use crate::core::content::StreamedBody;
use crate::metrics::counters::InFlightRequest;

/// The one final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// Served: the node's body. Whoever forwards the body records the outcome, when its last byte is out or it breaks.
    Served(StreamedBody, InFlightRequest),
    /// Rejected without effect; the client may safely send it again.
    Rejected {
        /// Seconds after which a retry makes sense; 0 where nothing is known.
        retry_after_s: f64,
    },
    /// Failed; it may have run.
    Failed,
}
