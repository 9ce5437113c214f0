//! Selects the relays that a head watches. A head has two watches: on the best relay of its own zone, and on a spare in
//! another zone of the region. If one watch is lost, the other one continues, and a new second watch is opened after a
//! random delay, so that no remaining relay is overloaded. While no watch is open, the head tries all relays in turn at
//! a bounded rate.

mod events;
mod health;
mod ranking;
mod relay_list;
mod search;
mod timing;
mod watches;

use crate::random::CounterRandom;
pub use events::{Directive, LostReason};
use health::RelayHealth;
use ranking::Ranking;
pub use ranking::{rank, rank_spares};
pub use relay_list::{Locality, RelayInfo, RelayListError, validate};
use search::RelaySearch;
pub use timing::SelectionTiming;
pub use watches::WatchId;
use watches::{Watch, WatchSet};

/// Limit on concurrent attempts to open a watch while no relay is reachable; a further attempt cancels the oldest one.
const MAX_OPENING: usize = 6;
/// Number of open watches that a head maintains.
const TARGET_WATCHES: usize = 2;
/// The longest time between two polls, in seconds.
const MAX_POLL_INTERVAL_S: f64 = 1.0;
/// A watch that its relay ends sooner than this after it was opened counts as a failure, in seconds.
const SHORTEST_ORDERLY_WATCH_S: f64 = 1.0;
/// The interval of a search is shortened by up to a fifth, so that heads do not call simultaneously.
const MIN_SEARCH_INTERVAL_FRACTION: f64 = 0.8;

/// The name and the locality of the head, by which it ranks relays.
#[derive(Clone, Debug)]
struct HeadIdentity {
    name: String,
    locality: Locality,
}

/// Decides for one head which watches on relays to open, close and move.
#[derive(Debug)]
pub struct Selection {
    head: HeadIdentity,
    timing: SelectionTiming,
    relays: Vec<RelayInfo>,
    ranking: Ranking,
    /// The health of each relay in `relays`.
    health: Vec<RelayHealth>,
    watches: WatchSet,
    /// The search for a relay; `None` while a relay is reachable.
    search: Option<RelaySearch>,
    /// When to open the second watch, if that is scheduled.
    second_watch_due: Option<f64>,
    /// When to move back to a better relay, if that is scheduled.
    failback_due: Option<f64>,
    random: CounterRandom,
}

impl Selection {
    /// Creates the selection of a head without a watch, with the default timing. Each head needs its own seed, so that
    /// the delays of different heads are spread.
    ///
    /// # Errors
    ///
    /// A relay has no name, or two relays have the same name or address.
    pub fn new(
        head_name: &str,
        locality: &Locality,
        relays: Vec<RelayInfo>,
        seed: u64,
        now: f64,
    ) -> Result<Selection, RelayListError> {
        let head = HeadIdentity { name: head_name.to_string(), locality: locality.clone() };
        Selection::with_timing(head, relays, seed, now, SelectionTiming::default())
    }

    fn with_timing(
        head: HeadIdentity,
        relays: Vec<RelayInfo>,
        seed: u64,
        now: f64,
        timing: SelectionTiming,
    ) -> Result<Selection, RelayListError> {
        validate(&relays)?;
        let ranking = Ranking::new(&head.name, &head.locality, &relays);
        let mut random = CounterRandom::new(seed);
        let first_attempt_at = now + random.uniform(0.0, timing.first_attempt_delay_s);
        let search = RelaySearch::new(ranking.primaries().to_vec(), first_attempt_at);
        Ok(Selection {
            head,
            timing,
            health: vec![RelayHealth::default(); relays.len()],
            relays,
            ranking,
            watches: WatchSet::default(),
            search: Some(search),
            second_watch_due: None,
            failback_due: None,
            random,
        })
    }

    /// Replaces the list of relays. Watches on relays with the same name and address continue; the others are closed.
    ///
    /// # Errors
    ///
    /// A relay has no name, or two relays have the same name or address. The previous list stays in use.
    pub fn replace_relays(
        &mut self,
        relays: Vec<RelayInfo>,
        now: f64,
    ) -> Result<Vec<Directive>, RelayListError> {
        let timing = self.timing.clone();
        let seed = self.random.next_u64();
        let replacement = Selection::with_timing(self.head.clone(), relays, seed, now, timing)?;
        let previous = std::mem::replace(self, replacement);
        self.adopt_health(&previous);
        Ok(self.adopt_watches(&previous))
    }

    fn adopt_health(&mut self, previous: &Selection) {
        for (relay, health) in previous.relays.iter().zip(&previous.health) {
            if let Some(index) = self.index_of(relay) {
                self.health[index] = *health;
            }
        }
    }

    fn adopt_watches(&mut self, previous: &Selection) -> Vec<Directive> {
        let mut directives = Vec::new();
        self.watches = WatchSet::continuing_ids(&previous.watches);
        for watch in previous.watches.iter() {
            match self.index_of(&previous.relays[watch.relay]) {
                Some(index) => self.watches.adopt(watch, index),
                None => directives.push(Directive::Close { watch_id: watch.id }),
            }
        }
        directives
    }

    /// The index of the relay with the same name and address.
    fn index_of(&self, relay: &RelayInfo) -> Option<usize> {
        self.relays.iter().position(|other| other.name == relay.name && other.address == relay.address)
    }

    /// The timeouts and delays in use.
    pub fn timing(&self) -> &SelectionTiming {
        &self.timing
    }

    /// The list of relays in use.
    pub fn relays(&self) -> &[RelayInfo] {
        &self.relays
    }

    /// Number of open watches. At 0 the head continues with the last list that it received.
    pub fn reachable_relays(&self) -> usize {
        self.watches.open_count()
    }

    /// The open watch on the best relay.
    pub fn primary(&self) -> Option<WatchId> {
        let best = self.watches.open().min_by_key(|watch| self.ranking.rank_of(watch.relay))?;
        Some(best.id)
    }

    /// The open watch that is not the primary, if there are two.
    pub fn spare(&self) -> Option<WatchId> {
        let primary = self.primary()?;
        let spare = self.watches.open().find(|watch| watch.id != primary)?;
        Some(spare.id)
    }

    /// Whether a watch is open: its first message has arrived.
    pub fn is_open(&self, watch_id: WatchId) -> bool {
        self.watches.get(watch_id).is_some_and(Watch::is_open)
    }

    /// The index of a watch's relay, unless the watch was lost or closed.
    pub fn relay_of(&self, watch_id: WatchId) -> Option<usize> {
        self.watches.get(watch_id).map(|watch| watch.relay)
    }

    /// The latest time at which [`Selection::poll`] has to be called again.
    pub fn next_poll(&self, now: f64) -> f64 {
        let mut next = now + MAX_POLL_INTERVAL_S;
        for watch in self.watches.opening() {
            next = next.min(watch.started_at + self.timing.open_timeout_s);
        }
        let search_due = self.search.as_ref().map(RelaySearch::next_attempt_at);
        for due in [search_due, self.second_watch_due, self.failback_due].into_iter().flatten() {
            next = next.min(due);
        }
        next
    }

    /// Reports the first message of a watch.
    pub fn watch_opened(&mut self, watch_id: WatchId, now: f64) {
        self.watches.mark_open(watch_id, now);
    }

    /// Reports that a watch has ended, or could not be opened.
    pub fn watch_lost(&mut self, watch_id: WatchId, reason: LostReason, now: f64) {
        let Some(watch) = self.watches.remove_lost(watch_id) else { return };
        match reason {
            LostReason::Unavailable | LostReason::IdleTimeout | LostReason::ConnectionLost => {
                self.record_failure(&watch, now);
            }
            // A relay that ends each watch soon after its opening counts as failed, so that it gets a backoff.
            LostReason::EndedByRelay if !watch.has_been_open_for(SHORTEST_ORDERLY_WATCH_S, now) => {
                self.record_failure(&watch, now);
            }
            LostReason::EndedByRelay => self.schedule_second_watch_soon(now),
            LostReason::Overloaded { retry_after_s } => {
                self.health[watch.relay].record_overload(now + retry_after_s);
            }
        }
    }

    fn record_failure(&mut self, watch: &Watch, now: f64) {
        let health = &mut self.health[watch.relay];
        if watch.has_been_open_for(self.timing.stable_s, now) {
            health.clear_failures();
        }
        health.record_failure(now, &self.timing, &mut self.random);
    }

    fn schedule_second_watch_soon(&mut self, now: f64) {
        let soon = now + self.random.uniform(0.0, self.timing.first_attempt_delay_s);
        let due = self.second_watch_due.map_or(soon, |due| due.min(soon));
        self.second_watch_due = Some(due);
    }

    /// Returns the actions that are due at `now`, for the caller to perform.
    pub fn poll(&mut self, now: f64) -> Vec<Directive> {
        let mut directives = Vec::new();
        self.expire_opening(now, &mut directives);
        if self.reachable_relays() == 0 {
            self.second_watch_due = None;
            self.failback_due = None;
            self.search_relay(now, &mut directives);
        } else {
            self.search = None;
            self.maintain_watches(now, &mut directives);
        }
        directives
    }

    fn open(&mut self, relay: usize, now: f64, directives: &mut Vec<Directive>) {
        let watch_id = self.watches.start(relay, now);
        directives.push(Directive::Open { watch_id, relay, at: now });
    }

    fn close(&mut self, watch_id: WatchId, directives: &mut Vec<Directive>) {
        self.watches.remove_closed(watch_id);
        directives.push(Directive::Close { watch_id });
    }

    /// Closes a watch that is still being opened, and records a failure of its relay.
    fn cancel_opening(&mut self, watch_id: WatchId, now: f64, directives: &mut Vec<Directive>) {
        self.watch_lost(watch_id, LostReason::IdleTimeout, now);
        directives.push(Directive::Close { watch_id });
    }

    fn expire_opening(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let timeout_s = self.timing.open_timeout_s;
        let expired = self.watches.opening().filter(|watch| now >= watch.started_at + timeout_s);
        let expired: Vec<WatchId> = expired.map(|watch| watch.id).collect();
        for watch_id in expired {
            self.cancel_opening(watch_id, now, directives);
        }
    }

    /// Tries the next relay if an attempt is due. To be called while no relay is reachable.
    fn search_relay(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let mut search = match self.search.take() {
            Some(search) => search,
            None => self.start_search(now),
        };
        // Drawn on every poll, even if no attempt is due: the simulations' results for a seed depend on the sequence of
        // random numbers.
        let fraction = self.random.uniform(MIN_SEARCH_INTERVAL_FRACTION, 1.0);
        let interval_s = fraction * self.timing.search_sweep_s / self.relays.len().max(1) as f64;
        let next = search.next(now, interval_s, |relay| self.health[relay].is_overloaded(now));
        self.search = Some(search);
        let Some(relay) = next else { return };
        self.cancel_competing_attempt(relay, now, directives);
        self.open(relay, now, directives);
    }

    /// Starts a search in the ranked order, with the relays that have failed recently at the end.
    fn start_search(&mut self, now: f64) -> RelaySearch {
        let mut order = self.ranking.primaries().to_vec();
        order.sort_by_key(|relay| self.health[*relay].has_failed_recently(now, &self.timing));
        let first_attempt_at = now + self.random.uniform(0.0, self.timing.first_attempt_delay_s);
        RelaySearch::new(order, first_attempt_at)
    }

    /// Cancels an earlier attempt on the same relay, or the oldest attempt if there are [`MAX_OPENING`].
    fn cancel_competing_attempt(&mut self, relay: usize, now: f64, directives: &mut Vec<Directive>) {
        let mut cancelled = self.watches.opening().find(|watch| watch.relay == relay);
        if cancelled.is_none() && self.watches.opening().count() >= MAX_OPENING {
            cancelled = self.watches.opening().min_by_key(|watch| watch.id);
        }
        if let Some(watch_id) = cancelled.map(|watch| watch.id) {
            self.cancel_opening(watch_id, now, directives);
        }
    }

    /// Opens the second watch, or moves back to a better relay. To be called while a relay is reachable.
    fn maintain_watches(&mut self, now: f64, directives: &mut Vec<Directive>) {
        self.close_surplus_open(directives);
        self.close_surplus_opening(directives);
        if self.watches.opening().next().is_some() {
            return;
        }
        if self.reachable_relays() < TARGET_WATCHES {
            self.failback_due = None;
            self.open_second_watch(now, directives);
        } else {
            self.second_watch_due = None;
            self.move_to_better_relay(now, directives);
        }
    }

    /// Closes the open watches on relays outside the best pair, until [`TARGET_WATCHES`] are left.
    fn close_surplus_open(&mut self, directives: &mut Vec<Directive>) {
        while self.reachable_relays() > TARGET_WATCHES {
            let pair = self.ranking.best_pair(|relay| self.watches.has_open(relay));
            let surplus = self.watches.open().find(|watch| !pair.contains(&watch.relay));
            let Some(watch_id) = surplus.map(|watch| watch.id) else { return };
            self.close(watch_id, directives);
        }
    }

    /// Closes all watches that are being opened, except the newest one.
    fn close_surplus_opening(&mut self, directives: &mut Vec<Directive>) {
        let mut older: Vec<WatchId> = self.watches.opening().map(|watch| watch.id).collect();
        let newest = older.iter().max().copied();
        older.retain(|watch_id| Some(*watch_id) != newest);
        for watch_id in older {
            self.close(watch_id, directives);
        }
    }

    /// The first relay of the best pair of eligible relays that has no open watch. Relays with an open watch are always
    /// eligible.
    fn best_missing(&self, is_eligible: impl Fn(&RelayHealth) -> bool) -> Option<usize> {
        let pair =
            self.ranking.best_pair(|relay| self.watches.has_open(relay) || is_eligible(&self.health[relay]));
        pair.into_iter().find(|relay| !self.watches.has_open(*relay))
    }

    /// The relay for the second watch, preferably one that has not failed recently; `None` if no relay may be called.
    fn second_relay(&self, now: f64) -> Option<usize> {
        let is_healthy =
            |health: &RelayHealth| health.can_call(now) && !health.has_failed_recently(now, &self.timing);
        self.best_missing(is_healthy).or_else(|| self.best_missing(|health| health.can_call(now)))
    }

    fn open_second_watch(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let due = match self.second_watch_due {
            Some(due) => due,
            None => now + self.random.uniform(0.0, self.timing.second_watch_delay_s),
        };
        self.second_watch_due = Some(due);
        if now < due {
            return;
        }
        let Some(relay) = self.second_relay(now) else {
            // All other relays are in backoff or overloaded.
            self.second_watch_due = Some(now + MAX_POLL_INTERVAL_S);
            return;
        };
        self.second_watch_due = None;
        self.open(relay, now, directives);
    }

    /// Opens a watch on a better relay after a random delay. Once that watch is open, the surplus one is closed.
    fn move_to_better_relay(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let better = self.best_missing(|health| health.can_call(now));
        let is_settled = self.watches.open().all(|watch| watch.has_been_open_for(self.timing.settle_s, now));
        let Some(relay) = better.filter(|_| is_settled) else {
            self.failback_due = None;
            return;
        };
        let due = match self.failback_due {
            Some(due) => due,
            None => now + self.random.uniform(0.0, self.timing.failback_delay_s),
        };
        self.failback_due = Some(due);
        if now >= due {
            self.failback_due = None;
            self.open(relay, now, directives);
        }
    }
}
