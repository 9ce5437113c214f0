//! The open calls of one watcher.

use super::call::AbortOnDrop;
use super::{MAX_CALLS_IN_FLIGHT, SourceRequest};

struct Call {
    number: u64,
    request: SourceRequest,
    _task: AbortOnDrop,
}

/// The current watch, and the calls that have not delivered a message yet.
#[derive(Default)]
pub(super) struct CallSet {
    last_number: u64,
    /// Calls that have not delivered a message yet, oldest first. A call for the complete list that has delivered the
    /// list but has not ended yet is at the front.
    in_flight: Vec<Call>,
    /// The latest watch that has delivered a message.
    current_watch: Option<Call>,
}

impl CallSet {
    /// Whether there are no open calls.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.current_watch.is_none()
    }

    /// Whether there is an open watch that has delivered a message.
    pub(super) fn has_current_watch(&self) -> bool {
        self.current_watch.is_some()
    }

    /// Whether this call is the current watch.
    pub(super) fn is_current_watch(&self, number: u64) -> bool {
        self.current_watch.as_ref().is_some_and(|call| call.number == number)
    }

    /// Starts a call with a new number. If [`MAX_CALLS_IN_FLIGHT`] is reached, cancels the second oldest call, so
    /// that the oldest call is kept until its timeout.
    pub(super) fn start(&mut self, request: SourceRequest, spawn: impl FnOnce(u64) -> AbortOnDrop) {
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
            self.in_flight.remove(1);
        }
        self.last_number += 1;
        let number = self.last_number;
        self.in_flight.push(Call { number, request, _task: spawn(number) });
    }

    /// Records that a call has delivered a message. A watch becomes the current one, and calls that started before it
    /// are cancelled, since their responses are no newer. Returns the request of the call; `None` if it has been
    /// cancelled.
    pub(super) fn on_delivered(&mut self, number: u64) -> Option<SourceRequest> {
        let Some(index) = self.in_flight.iter().position(|call| call.number == number) else {
            let watch = self.current_watch.as_ref()?;
            return (watch.number == number).then_some(watch.request);
        };
        let call = self.in_flight.drain(..=index).next_back()?;
        let request = call.request;
        match request {
            // The call for the complete list is kept until it reports its end.
            SourceRequest::List => self.in_flight.insert(0, call),
            SourceRequest::WatchSince(_) => self.current_watch = Some(call),
        }
        Some(request)
    }

    /// Cancels a watch that has confirmed the version of the current watch, and the watches that started before it,
    /// except for the current watch. Calls for the complete list continue.
    pub(super) fn cancel_watches_up_to(&mut self, number: u64) {
        self.in_flight.retain(|call| call.number > number || call.request == SourceRequest::List);
    }

    /// Removes a call that has ended. Returns whether it was the current watch.
    pub(super) fn on_ended(&mut self, number: u64) -> bool {
        self.in_flight.retain(|call| call.number != number);
        self.current_watch.take_if(|call| call.number == number).is_some()
    }
}
