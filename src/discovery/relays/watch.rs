//! One watch on one relay: its updates go to the directory, its events to the follower.

use crate::discovery::client::{CallError, CountedTcp, Subscription, Update};
use crate::discovery::directory::{EndpointDirectory, Progress};
use crate::discovery::schedule::PollSchedule;
use crate::metrics::counters::Counters;
use flaxgap_distribution::selection::{LostReason, WatchId};
use flaxgap_distribution::update_filter::Verdict;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;

/// An event of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum WatchEvent {
    /// Its first message has arrived.
    Opened,
    /// It has ended.
    Lost(LostReason),
}

/// A watch's report to the follower.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchReport {
    pub(super) watch_id: WatchId,
    pub(super) event: WatchEvent,
}

/// One watch on one relay. It does not reconnect by itself once it has ended.
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
        let mut progress = Progress::since(self.address, self.directory.version());
        let mut subscription = self.subscribe();
        let mut is_open = false;
        loop {
            let update = self.directory.next_update(&mut subscription, &mut progress).await;
            if !is_open && is_message(&update) {
                is_open = true;
                self.report(WatchEvent::Opened).await;
            }
            let lost_reason = lost_reason(&update);
            match self.evaluate(&update, &mut progress) {
                Verdict::Apply => self.directory.take_update(update, &mut progress, &mut subscription),
                Verdict::Duplicate => {}
                Verdict::Rewatch => {
                    progress.ask_again(self.directory.version());
                    subscription = self.subscribe();
                }
            }
            if let Some(reason) = lost_reason {
                return self.report(WatchEvent::Lost(reason)).await;
            }
        }
    }

    fn subscribe(&self) -> Subscription<'_, CountedTcp<Counters>> {
        Subscription::without_retries(self.directory.dial(), self.address, &self.schedule)
    }

    /// Filters lists against those of the other watch; every other update is applied.
    fn evaluate(&self, update: &Update, progress: &mut Progress) -> Verdict {
        match update {
            Update::List(list, _) => progress.intake().evaluate(list.rev, list.all, self.directory.version()),
            _ => Verdict::Apply,
        }
    }

    async fn report(&self, event: WatchEvent) {
        // A follower that has closed the channel has dropped this watch, too.
        _ = self.reports.send(WatchReport { watch_id: self.watch_id, event }).await;
    }
}

/// Whether an update shows that the watch is open.
fn is_message(update: &Update) -> bool {
    matches!(update, Update::List(..) | Update::Alive)
}

/// Why an update ends the watch, if it does. The end of a call for the complete list that delivered it is no loss.
fn lost_reason(update: &Update) -> Option<LostReason> {
    match update {
        Update::Silent(_) => Some(LostReason::IdleTimeout),
        Update::Lost => Some(LostReason::ConnectionLost),
        Update::Ended { opened, problem } => {
            let error = problem.as_ref()?;
            Some(if *opened { lost_after_opening(error) } else { lost_before_opening(error) })
        }
        Update::List(..) | Update::Alive | Update::Unread(_) => None,
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
