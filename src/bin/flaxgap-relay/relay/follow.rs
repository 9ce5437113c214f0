//! Following the upstream: what it tells goes into the copy, and wakes the sessions.

use super::{Relay, drawn_seed};
use crate::counters::Counters;
use flaxgap::discovery::client::{CountedTcp, Query, Subscription, Update};
use flaxgap::discovery::schedule::PollSchedule;
use flaxgap::discovery::whole::Whole;
use flaxgap_distribution::replica::ReplicaStatus;
use flaxgap_membership::compact::CompactList;
use std::time::Duration;
use tokio::time::{sleep, sleep_until};

/// The upstream is asked as by a small fleet: relays are few.
const CALLERS: u32 = 1;
/// While no call is out and no watch stands, the pauses between calls begin anew this often, so that the upstream's return
/// is found within a second.
const PAUSES_RESTART: Duration = Duration::from_secs(1);

impl Relay {
    /// Follows the upstream for as long as it is polled.
    pub(super) async fn follow(&self) {
        let schedule = PollSchedule::new(CALLERS, drawn_seed(), true, Duration::ZERO);
        let dial = CountedTcp(self.counters.clone());
        let mut subscription = Subscription::new(dial, self.settings.upstream, &schedule);
        let owed = Whole::wanted(false);
        let mut was_current = false;
        loop {
            let lease_ends = self.replica().lease_expires_at().filter(|_| was_current);
            tokio::select! {
                update = subscription.next(|| self.upstream_query(&owed)) => {
                    self.take_update(update, &owed, &mut subscription);
                }
                () = self.reached(lease_ends) => {}
                () = sleep(PAUSES_RESTART) => subscription.restart_pauses(),
            }
            let is_current = self.replica().status(self.now()) == ReplicaStatus::Current;
            if std::mem::replace(&mut was_current, is_current) != is_current {
                self.note_status(is_current);
            }
        }
    }

    fn upstream_query(&self, owed: &Whole) -> Query {
        let replica = self.replica();
        let whole = owed.take() || replica.needs_relist(self.now());
        if whole { Query::Whole } else { Query::Since(replica.upstream_version()) }
    }

    fn take_update(
        &self,
        update: Update,
        owed: &Whole,
        subscription: &mut Subscription<'_, CountedTcp<Counters>>,
    ) {
        match update {
            Update::List(list, query) => {
                if query == Query::Whole {
                    owed.told();
                }
                self.take_list(list);
            }
            Update::Alive => self.replica.borrow_mut().renew_lease(self.now()),
            Update::Unread(problem) => {
                log::warn!("relay: passed over: {problem}");
                self.counters.unread.add(1);
                owed.lost();
                subscription.request_soon();
            }
            Update::Lost | Update::Ended { .. } => {}
            Update::Silent(span) => log::warn!("relay: upstream silent for {span:?}"),
        }
        if self.replica().needs_relist(self.now()) {
            subscription.forget_known_list();
            subscription.request_soon();
        }
    }

    fn take_list(&self, list: CompactList) {
        let unread = list.unread.len() as u64;
        self.counters.unread.add(unread);
        let applied = self.replica.borrow_mut().apply(list.into(), self.now());
        match applied {
            Ok(applied) => {
                if applied.changed_entries > 0 {
                    self.counters.changes.add(1);
                    log::info!(
                        "relay: version {}, {} entries changed",
                        applied.version,
                        applied.changed_entries
                    );
                }
                if applied.is_behind || applied.renumbered {
                    log::warn!("relay: version {}: upstream is behind, or counts anew", applied.version);
                }
            }
            Err(problem) => log::error!("relay: {problem}"),
        }
        self.wake_all();
    }

    fn note_status(&self, is_current: bool) {
        let replica = self.replica();
        if is_current {
            log::info!("relay: current, version {}, {} nodes", replica.version(), replica.node_count());
            drop(replica);
            return self.wake_all();
        }
        self.counters.lease_expired.add(1);
        log::warn!("relay: the lease is over: nothing is told any more; version {}", replica.version());
    }

    async fn reached(&self, at: Option<f64>) {
        match at {
            Some(at) => sleep_until(self.instant(at)).await,
            None => std::future::pending().await,
        }
    }
}
