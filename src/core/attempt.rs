//! One attempt of a request at a storage node: who carries it, how far it was written, and how it ended.

use crate::core::content::StreamedBody;
use crate::core::{NodeRequest, SendPermit};
use crate::scheduler::{AttemptOutcome, LoadReport, NodeId};
use bytes::Bytes;
use std::future::Future;
use std::rc::Rc;

/// Carries attempts to storage nodes.
pub trait Transport {
    /// Sends one attempt, once.
    ///
    /// It ends by the time of its permit or, once it forwards a streamed body, by the time that the body sets. It
    /// checks the permit right before the first byte and records there how much it has written. Dropping the future
    /// cancels the attempt: when the drop returns, nothing of it can reach the node any more.
    fn send(
        &self,
        node: NodeId,
        request: &NodeRequest,
        permit: &Rc<SendPermit>,
    ) -> impl Future<Output = AttemptResult>;
}

/// How an attempt ended, and what came back with it.
#[derive(Debug)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The body of a served request.
    pub body: StreamedBody,
    /// What the volume was served over all heads, in multiples of its plan's base rate.
    pub usage: Option<f64>,
    /// The node's load report.
    pub load_report: LoadReport,
}

impl AttemptResult {
    /// An attempt that brought nothing back.
    pub fn empty(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, body: Bytes::new().into(), usage: None, load_report: LoadReport::default() }
    }
}

/// How much of an attempt's request has been written to its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WriteProgress {
    /// Nothing: for the node there was no attempt.
    #[default]
    Nothing,
    /// A part: the node can't have begun.
    Partial,
    /// All: it may have run.
    Complete,
}

impl WriteProgress {
    /// The outcome of an attempt that was cancelled at this point: what its node never had complete can't have run.
    pub fn outcome_if_cancelled(self) -> AttemptOutcome {
        match self {
            WriteProgress::Nothing | WriteProgress::Partial => AttemptOutcome::NotSent,
            WriteProgress::Complete => AttemptOutcome::Cancelled,
        }
    }
}
