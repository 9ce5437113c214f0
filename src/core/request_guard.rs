//! The registration of a request in flight with the scheduler.

use crate::core::decision::PendingDecisions;
use crate::core::{AttemptResult, Call, Dispatcher};
use crate::scheduler::{AttemptOutcome, Event, IoRequest, RequestId};
use std::rc::Rc;
use tokio::time::Instant;

/// Registration of a request with the scheduler, from its arrival until it is no longer served.
///
/// A guard dropped before [`RequestGuard::complete`] notifies the scheduler that the client has disconnected. In either
/// case, an attempt that the scheduler still considers in progress is reported as cancelled.
pub struct RequestGuard {
    /// The request's id in the scheduler.
    pub id: RequestId,
    /// The scheduler's decisions on the request.
    pub decisions: Rc<PendingDecisions>,
    dispatcher: Rc<Dispatcher>,
    is_complete: bool,
}

impl RequestGuard {
    /// Adds a request to the requests in flight and notifies the scheduler of its arrival.
    pub fn register(dispatcher: &Rc<Dispatcher>, call: &Call) -> RequestGuard {
        let decisions = Rc::new(PendingDecisions::default());
        let id = dispatcher.insert_request(decisions.clone());
        let guard = RequestGuard { id, decisions, dispatcher: dispatcher.clone(), is_complete: false };
        dispatcher.notify(&[Event::RequestArrived(io_request(id, call))]);
        guard
    }

    /// Records that the scheduler already knows the request's outcome, so that the drop reports no disconnect.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if !self.is_complete {
            self.dispatcher.notify(&[Event::ClientDisconnected { request: self.id }]);
        }
        if let Some(attempt) = self.dispatcher.unreported_attempt(self.id) {
            let cancelled = AttemptResult::empty(AttemptOutcome::Cancelled);
            self.dispatcher.report_attempt(self.id, attempt.number, &cancelled, None);
        }
        self.dispatcher.remove_request(self.id);
    }
}

/// Converts a call to the scheduler's representation of a request.
fn io_request(id: RequestId, call: &Call) -> IoRequest {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    IoRequest {
        id,
        class: call.class,
        plan: call.plan,
        volume: call.volume,
        extent: call.extent,
        shard: call.shard,
        remaining_s: remaining.as_secs_f64(),
        units: call.units,
        heads: call.heads,
        client_retry: call.client_retry,
    }
}
