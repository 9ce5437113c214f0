//! The head follows relays in place of discovery itself: watches on two of them feed one [`EndpointDirectory`]. Which relays
//! those are, and when a watch is opened or given up, is decided by [`Selection`]; here its watches are run and what
//! becomes of them is reported to it.

pub mod settings;

use crate::discovery::client::{CallError, CountedTcp, Subscription, Update};
use crate::discovery::directory::{EndpointDirectory, Progress};
use crate::discovery::schedule::PollSchedule;
use crate::metrics::counters::Counters;
use flaxgap_distribution::selection::{Directive, LostReason, RelayListError, Selection, Slot};
use flaxgap_distribution::update_filter::Verdict;
use settings::Distribution;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep_until;

/// Reports that were made and not yet taken in; watches wait when it is full.
const REPORTS: usize = 8;
/// A relay bears the calls of this head as a service that few share: the delays that spread a fleet's calls are the
/// selection's.
const CALLERS: u32 = 1;

/// What became of a watch.
enum Report {
    /// It has said its first word.
    Opened,
    /// It has come to its end.
    Lost(LostReason),
}

/// The relays that the log last named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Named {
    primary: Option<usize>,
    spare: Option<usize>,
}

/// Keeps two watches on relays.
pub struct RelayFollower {
    directory: Rc<EndpointDirectory>,
    selection: Selection,
    schedule: Rc<PollSchedule>,
    watches: HashMap<Slot, AbortHandle>,
    tasks: JoinSet<()>,
    sender: mpsc::Sender<(Slot, Report)>,
    reports: mpsc::Receiver<(Slot, Report)>,
    named: Option<Named>,
}

impl RelayFollower {
    /// Follows nothing yet. The seed sets this head's delays apart from those of others.
    pub fn new(
        directory: Rc<EndpointDirectory>,
        head_name: &str,
        distribution: &Distribution,
        seed: u64,
    ) -> Result<RelayFollower, RelayListError> {
        let (locality, relays) = (&distribution.locality, distribution.relays.clone());
        let selection = Selection::new(head_name, locality, relays, seed, directory.clock().now())?;
        let (sender, reports) = mpsc::channel(REPORTS);
        directory.set_relays_reachable(0);
        Ok(RelayFollower {
            directory,
            selection,
            // Only an agent of the head's own is asked by the grace.
            schedule: Rc::new(PollSchedule::new(CALLERS, seed, true, Duration::ZERO)),
            watches: HashMap::new(),
            tasks: JoinSet::new(),
            sender,
            reports,
            named: None,
        })
    }

    /// Follows relays for as long as it is polled. Needs a local task set.
    pub async fn run(mut self) {
        loop {
            let now = self.directory.clock().now();
            for directive in self.selection.poll(now) {
                self.obey(directive);
            }
            self.note_relays();
            let next_poll = self.directory.clock().instant(self.selection.next_poll(now));
            tokio::select! {
                // The sender lives in `self`, so there is always another.
                Some((slot, report)) = self.reports.recv() => self.take_report(slot, report),
                Some(_) = self.tasks.join_next() => {}
                () = sleep_until(next_poll) => {}
            }
        }
    }

    fn obey(&mut self, directive: Directive) {
        match directive {
            Directive::Open { slot, relay, .. } => {
                let Some(relay) = self.selection.relays().get(relay) else { return };
                log::debug!("relays: {slot:?}: calling {} at {}", relay.name, relay.address);
                let watch = Watch {
                    slot,
                    address: relay.address,
                    directory: self.directory.clone(),
                    schedule: self.schedule.clone(),
                    reports: self.sender.clone(),
                };
                self.watches.insert(slot, self.tasks.spawn_local(watch.run()));
            }
            Directive::Close { slot } => {
                if let Some(watch) = self.watches.remove(&slot) {
                    watch.abort();
                }
            }
        }
    }

    fn take_report(&mut self, slot: Slot, report: Report) {
        let now = self.directory.clock().now();
        match report {
            Report::Opened => self.selection.opened(slot, now),
            Report::Lost(reason) => {
                if let Some(relay) = self.selection.relay_of(slot) {
                    log::info!("relays: {}: {reason:?}", self.selection.relays()[relay].name);
                }
                self.watches.remove(&slot);
                self.selection.lost(slot, reason, now);
            }
        }
    }

    /// Shows which relays speak, and logs each change.
    fn note_relays(&mut self) {
        let relay = |slot: Option<Slot>| slot.and_then(|slot| self.selection.relay_of(slot));
        let named = Named { primary: relay(self.selection.primary()), spare: relay(self.selection.spare()) };
        if self.named.as_ref() == Some(&named) {
            return;
        }
        self.directory.set_relays_reachable(self.selection.reachable());
        let name = |relay: usize| self.selection.relays()[relay].name.as_str();
        match (named.primary, named.spare) {
            (Some(primary), Some(spare)) => {
                log::info!("relays: primary is {}, spare is {}", name(primary), name(spare));
            }
            (Some(primary), None) => log::info!("relays: primary is {}, without a spare", name(primary)),
            // At the start none was called yet.
            _ if self.named.is_none() => {}
            _ => log::warn!(
                "relays: no relay is reachable; the list is at version {}, told {:?} ago",
                self.directory.version(),
                self.directory.list_age()
            ),
        }
        self.named = Some(named);
    }
}

/// One watch on one relay, which is never called again by itself once it has ended.
struct Watch {
    slot: Slot,
    address: SocketAddr,
    directory: Rc<EndpointDirectory>,
    schedule: Rc<PollSchedule>,
    reports: mpsc::Sender<(Slot, Report)>,
}

impl Watch {
    /// Takes in what the relay tells, until the watch is lost.
    async fn run(self) {
        let mut progress = Progress::since(self.address, self.directory.version());
        let (mut subscription, mut opened) = (self.subscription(), false);
        loop {
            let update = self.directory.next_update(&mut subscription, &mut progress).await;
            if matches!(update, Update::List(..) | Update::Alive) && !std::mem::replace(&mut opened, true) {
                self.report(Report::Opened).await;
            }
            let lost = lost_reason(&update);
            match self.evaluate(&update, &mut progress) {
                Verdict::Apply => self.directory.take_update(update, &mut progress, &mut subscription),
                Verdict::Duplicate => {}
                Verdict::Rewatch => {
                    progress.ask_again(self.directory.version());
                    subscription = self.subscription();
                }
            }
            if let Some(reason) = lost {
                return self.report(Report::Lost(reason)).await;
            }
        }
    }

    fn subscription(&self) -> Subscription<'_, CountedTcp<Counters>> {
        Subscription::without_retries(self.directory.dial(), self.address, &self.schedule)
    }

    /// Lists have to fit among those of the other watch; all else is taken as it comes.
    fn evaluate(&self, update: &Update, progress: &mut Progress) -> Verdict {
        match update {
            Update::List(list, _) => progress.intake().evaluate(list.rev, list.all, self.directory.version()),
            _ => Verdict::Apply,
        }
    }

    /// The follower that does not listen any more has dropped this watch, too.
    async fn report(&self, report: Report) {
        _ = self.reports.send((self.slot, report)).await;
    }
}

/// Why a watch is lost by what it told, if it is. A call for the whole list that brought it is no loss.
fn lost_reason(update: &Update) -> Option<LostReason> {
    let (opened, problem) = match update {
        Update::Silent(_) => return Some(LostReason::Silent),
        Update::Lost => return Some(LostReason::Broke),
        Update::Ended { opened, problem } => (*opened, problem.as_ref()?),
        Update::List(..) | Update::Alive | Update::Unread(_) => return None,
    };
    Some(match problem {
        CallError::Busy(pause) => LostReason::Busy { retry_after_s: pause.as_secs_f64() },
        CallError::Silent(_) => LostReason::Silent,
        CallError::Closed if opened => LostReason::Ended,
        _ if opened => LostReason::Broke,
        _ => LostReason::Refused,
    })
}

#[cfg(test)]
mod tests;
