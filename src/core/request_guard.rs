//! The guard of one request in flight.

use crate::core::decision::PendingDecisions;
use crate::core::{AttemptResult, Call, Dispatcher};
use crate::scheduler::{AttemptOutcome, Event, IoRequest, RequestId};
use std::rc::Rc;
use tokio::time::Instant;

/// A request in flight, from its arrival until it is no longer served.
///
/// Dropped before [`RequestGuard::complete`], it notifies the scheduler that the client has disconnected; in either
/// case an attempt that the scheduler takes to be in progress gets its outcome.
pub struct RequestGuard {
    /// The request's id with the scheduler.
    pub id: RequestId,
    /// The scheduler's decisions on it.
    pub decisions: Rc<PendingDecisions>,
    dispatcher: Rc<Dispatcher>,
    is_complete: bool,
}

impl RequestGuard {
    /// Adds a request to those in flight and notifies the scheduler of its arrival.
    pub fn register(dispatcher: &Rc<Dispatcher>, call: &Call) -> RequestGuard {
        let decisions = Rc::new(PendingDecisions::default());
        let id = dispatcher.insert_request(decisions.clone());
        let guard = RequestGuard { id, decisions, dispatcher: dispatcher.clone(), is_complete: false };
        dispatcher.notify(&[Event::RequestArrived(io_request(id, call))]);
        guard
    }

    /// Records that the scheduler knows the request's answer.
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

/// A call as the scheduler knows it.
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
