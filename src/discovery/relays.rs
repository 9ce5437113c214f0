//! Follows relays instead of the discovery server: watches on two relays update one [`EndpointDirectory`].
//! [`Selection`] chooses the relays, and decides when a watch is opened or closed. [`RelayFollower`] runs the watches
//! and reports their events to the selection.

pub mod settings;
mod watch;

use crate::discovery::directory::EndpointDirectory;
use crate::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap_distribution::selection::{Directive, LostReason, RelayListError, Selection, WatchId};
use settings::DistributionSettings;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep_until;
use watch::{RelayWatch, RelayWatchEvent, WatchReport};

/// Capacity of the channel for reports of watches. A watch waits while the channel is full.
const REPORT_CAPACITY: usize = 8;
/// Number of heads for the poll schedule of a relay. It is 1 since [`Selection`] already spreads the calls of a fleet.
const CALLERS: u32 = 1;

/// The relays in use, as indices into [`Selection::relays`].
#[derive(Clone, Debug, PartialEq, Eq)]
struct RelaysInUse {
    primary: Option<usize>,
    spare: Option<usize>,
}

/// Runs the watches of a head on relays.
pub struct RelayFollower {
    directory: Rc<EndpointDirectory>,
    selection: Selection,
    schedule: Rc<PollSchedule>,
    watches: HashMap<WatchId, AbortHandle>,
    tasks: JoinSet<()>,
    report_sender: mpsc::Sender<WatchReport>,
    reports: mpsc::Receiver<WatchReport>,
    /// The relays in use when they were last logged; `None` before the first log line.
    logged_relays: Option<RelaysInUse>,
}

impl RelayFollower {
    /// Creates a follower without watches. Each head needs its own `seed`, so that the delays of different heads
    /// differ.
    ///
    /// # Errors
    ///
    /// Fails if a relay has no name, or if two relays have the same name or address.
    pub fn new(
        directory: Rc<EndpointDirectory>,
        head_name: &str,
        distribution: &DistributionSettings,
        seed: u64,
    ) -> Result<RelayFollower, RelayListError> {
        let now = directory.clock().now();
        let relays = distribution.relays.clone();
        let selection = Selection::new(head_name, &distribution.locality, relays, seed, now)?;
        let (report_sender, reports) = mpsc::channel(REPORT_CAPACITY);
        directory.set_relays_reachable(0);
        Ok(RelayFollower {
            directory,
            selection,
            // The grace period only affects the polling of a local agent.
            schedule: Rc::new(PollSchedule::new(CALLERS, seed, SourceKind::SharedServer, Duration::ZERO)),
            watches: HashMap::new(),
            tasks: JoinSet::new(),
            report_sender,
            reports,
            logged_relays: None,
        })
    }

    /// Follows relays until the future is dropped. Must be called in a `LocalSet`.
    pub async fn run(mut self) {
        loop {
            let now = self.directory.clock().now();
            for directive in self.selection.poll(now) {
                self.execute(directive);
            }
            self.publish_relays_in_use();
            let next_poll = self.directory.clock().instant(self.selection.next_poll(now));
            tokio::select! {
                // `self` owns a sender, so the channel never closes.
                Some(report) = self.reports.recv() => self.handle_report(report),
                Some(_) = self.tasks.join_next() => {}
                () = sleep_until(next_poll) => {}
            }
        }
    }

    fn execute(&mut self, directive: Directive) {
        match directive {
            Directive::Open { watch_id, relay, .. } => self.open_watch(watch_id, relay),
            Directive::Close { watch_id } => {
                if let Some(watch) = self.watches.remove(&watch_id) {
                    watch.abort();
                }
            }
        }
    }

    fn open_watch(&mut self, watch_id: WatchId, relay: usize) {
        let Some(relay) = self.selection.relays().get(relay) else { return };
        log::debug!(
            "relays: opening watch, id={watch_id:?}, relay={}, address={}",
            relay.name,
            relay.address
        );
        let watch = RelayWatch {
            watch_id,
            address: relay.address,
            directory: self.directory.clone(),
            schedule: self.schedule.clone(),
            reports: self.report_sender.clone(),
        };
        let task = self.tasks.spawn_local(watch.run());
        self.watches.insert(watch_id, task);
    }

    fn handle_report(&mut self, report: WatchReport) {
        let now = self.directory.clock().now();
        match report.event {
            RelayWatchEvent::Opened => self.selection.watch_opened(report.watch_id, now),
            RelayWatchEvent::Lost(reason) => {
                self.log_lost(report.watch_id, reason);
                self.watches.remove(&report.watch_id);
                self.selection.watch_lost(report.watch_id, reason, now);
            }
        }
    }

    fn log_lost(&self, watch_id: WatchId, reason: LostReason) {
        if let Some(relay) = self.selection.relay_of(watch_id) {
            log::info!("relays: watch lost, relay={}, reason={reason}", self.relay_name(relay));
        }
    }

    fn relay_name(&self, relay: usize) -> &str {
        &self.selection.relays()[relay].name
    }

    /// Exports the number of reachable relays and logs the relays in use whenever they change.
    fn publish_relays_in_use(&mut self) {
        let relay_of = |watch_id: Option<WatchId>| self.selection.relay_of(watch_id?);
        let in_use = RelaysInUse {
            primary: relay_of(self.selection.primary()),
            spare: relay_of(self.selection.spare()),
        };
        if self.logged_relays.as_ref() == Some(&in_use) {
            return;
        }
        self.directory.set_relays_reachable(self.selection.reachable_relays());
        self.log_relays(&in_use);
        self.logged_relays = Some(in_use);
    }

    fn log_relays(&self, in_use: &RelaysInUse) {
        match (in_use.primary, in_use.spare) {
            (Some(primary), Some(spare)) => {
                let (primary, spare) = (self.relay_name(primary), self.relay_name(spare));
                log::info!("relays: primary is {primary}, spare is {spare}");
            }
            (Some(primary), None) => {
                log::info!("relays: primary is {}, without a spare", self.relay_name(primary));
            }
            // No relay has been called before the first log line.
            (None, _) if self.logged_relays.is_none() => {}
            (None, _) => {
                let version = self.directory.version();
                let list_age = self.directory.list_age();
                log::warn!("relays: no relay is reachable, list_version={version}, list_age={list_age:?}");
            }
        }
    }
}

#[cfg(test)]
mod tests;
