//! Watches the upstream: applies its lists to the replica, renews the replica's lease, and wakes the sessions.

use crate::counters::Counters;
use crate::relay::{Relay, random_seed};
use flaxgap::discovery::client::{CountedTcp, SourceRequest, WatchEvent, Watcher};
use flaxgap::discovery::relist::PendingRelist;
use flaxgap::discovery::schedule::{PollSchedule, SourceKind};
use flaxgap_distribution::replica::{Applied, ReplicaStatus};
use flaxgap_membership::compact::CompactList;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// Number of callers that the poll schedule assumes. It is 1 because an upstream has only a few relays.
const CALLERS: u32 = 1;
/// Interval at which the backoff between calls is restarted while no call is pending and no watch is open, so that the
/// return of the upstream is detected within a second.
const BACKOFF_RESTART_INTERVAL: Duration = Duration::from_secs(1);

/// The watch on the upstream of a relay.
pub struct UpstreamFollower {
    relay: Rc<Relay>,
    /// Whether the next calls have to request the complete list.
    relist: PendingRelist,
    /// Whether the replica was current when it was last checked.
    was_current: bool,
}

impl UpstreamFollower {
    /// Creates the follower of a relay's upstream; [`UpstreamFollower::run`] starts the calls.
    pub fn new(relay: &Rc<Relay>) -> UpstreamFollower {
        UpstreamFollower { relay: relay.clone(), relist: PendingRelist::none(), was_current: false }
    }

    /// Follows the upstream until the future is dropped.
    pub async fn run(mut self) {
        let schedule = PollSchedule::new(CALLERS, random_seed(), SourceKind::SharedServer, Duration::ZERO);
        let dial = CountedTcp(self.relay.counters().clone());
        let mut watcher = Watcher::new(dial, self.relay.settings().upstream, &schedule);
        loop {
            tokio::select! {
                event = watcher.next_event(|| self.next_request()) => self.on_event(event, &mut watcher),
                () = self.lease_expired() => {}
                () = sleep(BACKOFF_RESTART_INTERVAL) => watcher.restart_backoff(),
            }
            self.check_status();
        }
    }

    /// The request of the next call: the complete list, or a watch.
    fn next_request(&self) -> SourceRequest {
        let replica = self.relay.replica();
        if self.relist.take_attempt() || replica.needs_relist(self.relay.now()) {
            SourceRequest::List
        } else {
            SourceRequest::WatchSince(replica.upstream_version())
        }
    }

    /// Waits until the lease of a current replica expires.
    async fn lease_expired(&self) {
        let expires_at = self.relay.replica().lease_expires_at().filter(|_| self.was_current);
        match expires_at {
            Some(at) => sleep_until(self.relay.instant(at)).await,
            None => std::future::pending().await,
        }
    }

    fn on_event(&self, event: WatchEvent, watcher: &mut Watcher<'_, CountedTcp<Counters>>) {
        match event {
            WatchEvent::List { list, request, .. } => {
                if request == SourceRequest::List {
                    self.relist.complete();
                }
                self.apply_list(list);
            }
            WatchEvent::Heartbeat => self.relay.replica_mut().renew_lease(self.relay.now()),
            WatchEvent::Unreadable(error) => {
                log::warn!("relay: unparsed message from upstream, error={error}");
                self.relay.counters().unparsed.add(1);
                self.relist.request();
                watcher.schedule_call_soon();
            }
            WatchEvent::WatchLost | WatchEvent::CallEnded { .. } => {}
            WatchEvent::SourceSilent(duration) => log::warn!("relay: upstream idle, duration={duration:?}"),
        }
        if self.relay.replica().needs_relist(self.relay.now()) {
            watcher.forget_known_list();
            watcher.schedule_call_soon();
        }
    }

    fn apply_list(&self, list: CompactList) {
        let unparsed = list.unreadable.len() as u64;
        self.relay.counters().unparsed.add(unparsed);
        let applied = self.relay.replica_mut().apply(list.into(), self.relay.now());
        match applied {
            Ok(applied) => self.record_applied(applied),
            Err(error) => log::error!("relay: list not encoded, error={error}"),
        }
        self.relay.sessions().wake_all();
    }

    fn record_applied(&self, applied: Applied) {
        let version = applied.version;
        if applied.changed_entries > 0 {
            self.relay.counters().changes.add(1);
            log::info!("relay: list applied, version={version}, changed_entries={}", applied.changed_entries);
        }
        if applied.is_behind || applied.renumbered {
            log::warn!("relay: upstream is behind or has restarted its numbering, version={version}");
        }
    }

    /// Logs when the replica becomes current or ceases to be, and wakes the sessions when it is current again.
    fn check_status(&mut self) {
        let is_current = self.relay.replica().status(self.relay.now()) == ReplicaStatus::Current;
        if is_current == self.was_current {
            return;
        }
        self.was_current = is_current;
        let version = self.relay.replica().version();
        if is_current {
            let nodes = self.relay.replica().node_count();
            log::info!("relay: current, version={version}, nodes={nodes}");
            self.relay.sessions().wake_all();
        } else {
            self.relay.counters().lease_expired.add(1);
            log::warn!("relay: lease expired, nothing is sent to watchers, version={version}");
        }
    }
}
