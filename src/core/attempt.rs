//! Attempts to execute a request at a storage node: the transport, its write progress and the attempt's result.

use crate::core::content::StreamedBody;
use crate::core::{NodeRequest, SendPermit};
use crate::scheduler::{AttemptOutcome, LoadReport, NodeId};
use bytes::Bytes;
use std::future::Future;
use std::rc::Rc;

/// Sends attempts to storage nodes.
pub trait Transport {
    /// Sends one attempt; the request is written at most once.
    ///
    /// The attempt ends when its permit expires or, once it forwards a streamed body, at
    /// [`UploadStream::attempt_deadline`](crate::core::upload::UploadStream::attempt_deadline). The transport checks
    /// the permit immediately before the first byte and records the write progress in it. Dropping the future cancels
    /// the attempt: after the drop, no further byte of it is written.
    fn send(
        &self,
        node: NodeId,
        request: &NodeRequest,
        permit: &Rc<SendPermit>,
    ) -> impl Future<Output = AttemptResult>;
}

/// Outcome of an attempt and the data that the node returned.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Response body; empty unless the request was served.
    pub body: StreamedBody,
    /// Rate at which the volume is served across all heads, as a multiple of its plan's base rate, if the node reported
    /// it.
    pub usage: Option<f64>,
    /// Load report returned by the node; empty if there was none.
    pub load_report: LoadReport,
}

impl AttemptResult {
    /// Creates a result without a body, usage or load report.
    pub fn empty(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, body: Bytes::new().into(), usage: None, load_report: LoadReport::default() }
    }
}

/// How much of an attempt's request has been written to its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteProgress {
    /// Nothing: the node has not seen the attempt.
    #[default]
    Nothing,
    /// Part of the request: the node can't have started to execute it.
    Partial,
    /// The complete request: the node may have executed it.
    Complete,
}

impl WriteProgress {
    /// Outcome of an attempt that is cancelled with this write progress. A node can't have executed a request that it
    /// did not receive completely.
    pub fn outcome_if_cancelled(self) -> AttemptOutcome {
        match self {
            WriteProgress::Nothing | WriteProgress::Partial => AttemptOutcome::NotSent,
            WriteProgress::Complete => AttemptOutcome::Cancelled,
        }
    }
}
