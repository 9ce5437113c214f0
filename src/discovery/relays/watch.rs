//! A watch on one relay. It applies the updates to the directory and reports its state to the follower.

use crate::discovery::client::{CallError, CountedTcp, WatchEvent, Watcher};
use crate::discovery::directory::EndpointDirectory;
use crate::discovery::reflector::EndpointReflector;
use crate::discovery::schedule::PollSchedule;
use crate::metrics::counters::Counters;
use flaxgap_distribution::selection::{LostReason, WatchId};
use flaxgap_distribution::update_filter::Verdict;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A change in the state of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RelayWatchEvent {
    /// The first message was received.
    Opened,
    /// The watch has ended.
    Lost(LostReason),
}

/// An event of one watch, sent to the follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchReport {
    pub(super) watch_id: WatchId,
    pub(super) event: RelayWatchEvent,
}

/// A watch on one relay. It does not reconnect after it has ended.
pub(super) struct RelayWatch {
    pub(super) watch_id: WatchId,
    pub(super) address: SocketAddr,
    pub(super) directory: Rc<EndpointDirectory>,
    pub(super) schedule: Rc<PollSchedule>,
    pub(super) reports: mpsc::Sender<WatchReport>,
}

impl RelayWatch {
    /// Applies the relay's updates until the watch is lost.
    pub(super) async fn run(self) {
        let watch_since = self.directory.version();
        let mut reflector =
            EndpointReflector::new(&self.directory, self.new_watcher(), self.address, watch_since);
        let mut is_open = false;
        loop {
            let event = reflector.next_event().await;
            if !is_open && is_message(&event) {
                is_open = true;
                self.report(RelayWatchEvent::Opened).await;
            }
            let lost_reason = lost_reason(&event);
            match self.evaluate(&event, &mut reflector) {
                Verdict::Apply => reflector.apply(event),
                Verdict::Duplicate => {}
                Verdict::Rewatch => {
                    reflector.restart_watch(self.new_watcher(), self.directory.version());
                }
            }
            if let Some(reason) = lost_reason {
                return self.report(RelayWatchEvent::Lost(reason)).await;
            }
        }
    }

    fn new_watcher(&self) -> Watcher<'_, CountedTcp<Counters>> {
        Watcher::without_retries(self.directory.connector(), self.address, &self.schedule)
    }

    /// Filters lists against those of the other watch. Other events are always applied.
    fn evaluate(&self, event: &WatchEvent, reflector: &mut EndpointReflector<'_>) -> Verdict {
        match event {
            WatchEvent::List { list, .. } => {
                reflector.filter().evaluate(list.version, list.is_snapshot, self.directory.version())
            }
            _ => Verdict::Apply,
        }
    }

    async fn report(&self, event: RelayWatchEvent) {
        // The channel is closed only when the follower is dropped, which aborts this task.
        _ = self.reports.send(WatchReport { watch_id: self.watch_id, event }).await;
    }
}

/// Whether an event is a message from the relay, so that the watch is open.
fn is_message(event: &WatchEvent) -> bool {
    matches!(event, WatchEvent::List { .. } | WatchEvent::Heartbeat)
}

/// Why an event ends the watch; `None` if the watch continues. A call for the complete list that ends after the list is
/// not a loss of the watch.
fn lost_reason(event: &WatchEvent) -> Option<LostReason> {
    match event {
        WatchEvent::SourceSilent(_) => Some(LostReason::IdleTimeout),
        WatchEvent::WatchLost => Some(LostReason::ConnectionLost),
        WatchEvent::CallEnded { opened, error } => {
            let error = error.as_ref()?;
            Some(if *opened { lost_after_opening(error) } else { lost_before_opening(error) })
        }
        WatchEvent::List { .. } | WatchEvent::Heartbeat | WatchEvent::Unreadable(_) => None,
    }
}

fn lost_after_opening(error: &CallError) -> LostReason {
    match error {
        CallError::Closed => LostReason::EndedByRelay,
        error => timeout_or_overload(error).unwrap_or(LostReason::ConnectionLost),
    }
}

fn lost_before_opening(error: &CallError) -> LostReason {
    timeout_or_overload(error).unwrap_or(LostReason::Unavailable)
}

fn timeout_or_overload(error: &CallError) -> Option<LostReason> {
    match error {
        CallError::Busy(delay) => Some(LostReason::Overloaded { retry_after_s: delay.as_secs_f64() }),
        CallError::Silent(_) => Some(LostReason::IdleTimeout),
        _ => None,
    }
}
