//! The calls of one watcher that are open.

use super::call::AbortOnDrop;
use super::{MAX_CALLS_IN_FLIGHT, SourceRequest};

struct Call {
    number: u64,
    request: SourceRequest,
    _task: AbortOnDrop,
}

/// The current watch, and the calls that have delivered nothing yet.
#[derive(Default)]
pub(super) struct CallSet {
    last_number: u64,
    /// Calls that have delivered nothing yet, oldest first; behind them at the front a call for the complete list that
    /// has delivered it and not ended.
    in_flight: Vec<Call>,
    /// The watch that delivered last.
    current_watch: Option<Call>,
}

impl CallSet {
    /// Whether no call is open.
    pub(super) fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.current_watch.is_none()
    }

    /// Whether a watch has delivered and not ended.
    pub(super) fn has_current_watch(&self) -> bool {
        self.current_watch.is_some()
    }

    /// Whether this call is the current watch.
    pub(super) fn is_current_watch(&self, number: u64) -> bool {
        self.current_watch.as_ref().is_some_and(|call| call.number == number)
    }

    /// Starts a call under a number of its own. If there are too many, the second oldest is cancelled: the oldest has
    /// its whole time.
    pub(super) fn start(&mut self, request: SourceRequest, spawn: impl FnOnce(u64) -> AbortOnDrop) {
        if self.in_flight.len() >= MAX_CALLS_IN_FLIGHT {
            self.in_flight.remove(1);
        }
        self.last_number += 1;
        let number = self.last_number;
        self.in_flight.push(Call { number, request, _task: spawn(number) });
    }

    /// A call has delivered something: it becomes the current watch, and calls that began before it are cancelled, since
    /// they have nothing to add. Returns what it asked for; none if it was cancelled meanwhile.
    pub(super) fn on_delivered(&mut self, number: u64) -> Option<SourceRequest> {
        let Some(index) = self.in_flight.iter().position(|call| call.number == number) else {
            let watch = self.current_watch.as_ref()?;
            return (watch.number == number).then_some(watch.request);
        };
        let call = self.in_flight.drain(..=index).next_back()?;
        let request = call.request;
        match request {
            // It ends by itself, and reports that.
            SourceRequest::List => self.in_flight.insert(0, call),
            SourceRequest::WatchSince(_) => self.current_watch = Some(call),
        }
        Some(request)
    }

    /// A new watch has shown that the current one is up to date: watches that began before it are cancelled, and it, too.
    /// A call for the complete list goes on.
    pub(super) fn cancel_watches_up_to(&mut self, number: u64) {
        self.in_flight.retain(|call| call.number > number || call.request == SourceRequest::List);
    }

    /// A call has ended. Returns whether it was the current watch.
    pub(super) fn on_ended(&mut self, number: u64) -> bool {
        self.in_flight.retain(|call| call.number != number);
        self.current_watch.take_if(|call| call.number == number).is_some()
    }
}
