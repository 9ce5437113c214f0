//! Which relays a head follows. It holds two: the best of its own zone, and a spare elsewhere in the region. Where one
//! is lost the other serves on at once, and a new second one is opened after a drawn delay, so that no survivor is
//! overrun. Where both are lost, or none was found yet, it tries all relays in turn at a bounded pace.

mod pacing;
mod ranking;
mod search;

use crate::random::CounterRandom;
pub use pacing::Pacing;
pub use ranking::{Locality, RelayInfo, RelayListError, rank, rank_spares, validate};
use search::Search;

/// Openings that are out at a time while there is no relay; the oldest gives way.
const MAX_OPENINGS: usize = 6;
/// How many watches a head holds.
const WATCHES: usize = 2;
/// The longest time between two polls, in seconds.
const MAX_POLL_PAUSE: f64 = 1.0;

/// One watch of a head, from its opening to its end. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Slot(u64);

/// What a head has to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Directive {
    /// Open a watch, at this time at the earliest, with the version that is known by then.
    Open {
        /// The new watch.
        slot: Slot,
        /// The relay's place in the list.
        relay: usize,
        /// In seconds of Unix time; never later than the poll that gave this.
        at: f64,
    },
    /// End a watch, open or not. Its loss is not to be told.
    Close {
        /// The watch.
        slot: Slot,
    },
}

/// Why a watch was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LostReason {
    /// No connection, or an answer that is no watch.
    Refused,
    /// Nothing was heard for too long.
    Silent,
    /// The connection broke.
    Broke,
    /// The relay ended the watch in due form: it is asked again soon.
    Ended,
    /// The relay asks to come again later.
    Busy {
        /// After so many seconds.
        retry_after_s: f64,
    },
}

/// One watch.
#[derive(Clone, Copy, Debug)]
struct Watch {
    slot: Slot,
    relay: usize,
    began: f64,
    /// Since when it speaks.
    open_since: Option<f64>,
}

/// What is known of a relay.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    failures: u32,
    avoid_until: f64,
    busy_until: f64,
}

impl Standing {
    fn may_be_tried(&self, now: f64) -> bool {
        now >= self.avoid_until && now >= self.busy_until
    }

    fn is_suspect(&self, now: f64, pacing: &Pacing) -> bool {
        self.failures > 0 && now < self.avoid_until + pacing.forget_s
    }
}

/// The watches of one head.
#[derive(Debug)]
pub struct Selection {
    head_name: String,
    locality: Locality,
    pacing: Pacing,
    relays: Vec<RelayInfo>,
    /// The relays' places, the best first.
    ranking: Vec<usize>,
    /// For each relay, the spares of a head that has it, the best first.
    spares: Vec<Vec<usize>>,
    standings: Vec<Standing>,
    watches: Vec<Watch>,
    issued: u64,
    search: Option<Search>,
    second_due: Option<f64>,
    return_due: Option<f64>,
    random: CounterRandom,
}

impl Selection {
    /// A head without a relay yet, at the default paces. The seed sets its delays apart from those of others.
    pub fn new(
        head_name: &str,
        locality: &Locality,
        relays: Vec<RelayInfo>,
        seed: u64,
        now: f64,
    ) -> Result<Selection, RelayListError> {
        Selection::with_pacing(head_name, locality, relays, seed, now, Pacing::default())
    }

    /// A head without a relay yet.
    pub fn with_pacing(
        head_name: &str,
        locality: &Locality,
        relays: Vec<RelayInfo>,
        seed: u64,
        now: f64,
        pacing: Pacing,
    ) -> Result<Selection, RelayListError> {
        validate(&relays)?;
        let ranking = rank(head_name, locality, &relays);
        let spares =
            (0..relays.len()).map(|primary| rank_spares(head_name, locality, &relays, primary)).collect();
        let mut random = CounterRandom::new(seed);
        let search = Some(Search::new(ranking.clone(), now + random.uniform(0.0, pacing.first_try_s)));
        let (standings, watches) = (vec![Standing::default(); relays.len()], Vec::new());
        Ok(Selection {
            head_name: head_name.to_string(),
            locality: locality.clone(),
            pacing,
            relays,
            ranking,
            spares,
            standings,
            watches,
            issued: 0,
            search,
            second_due: None,
            return_due: None,
            random,
        })
    }

    /// Another list of relays is in force. Watches on relays that it has at the same address stand; the others are ended.
    pub fn replace_relays(
        &mut self,
        relays: Vec<RelayInfo>,
        now: f64,
    ) -> Result<Vec<Directive>, RelayListError> {
        let (pacing, seed) = (self.pacing.clone(), self.random.next_u64());
        let new = Selection::with_pacing(&self.head_name, &self.locality, relays, seed, now, pacing)?;
        let old = std::mem::replace(self, new);
        self.issued = old.issued;
        let place = |relay: usize| {
            let same = |new: &RelayInfo| {
                new.name == old.relays[relay].name && new.address == old.relays[relay].address
            };
            self.relays.iter().position(same)
        };
        let mut directives = Vec::new();
        for watch in &old.watches {
            match place(watch.relay) {
                Some(relay) => self.watches.push(Watch { relay, ..*watch }),
                None => directives.push(Directive::Close { slot: watch.slot }),
            }
        }
        for (relay, standing) in old.standings.iter().enumerate() {
            if let Some(new) = place(relay) {
                self.standings[new] = *standing;
            }
        }
        Ok(directives)
    }

    /// The paces.
    pub fn pacing(&self) -> &Pacing {
        &self.pacing
    }

    /// The relays.
    pub fn relays(&self) -> &[RelayInfo] {
        &self.relays
    }

    /// How many watches speak. At 0 the head serves with an earlier list.
    pub fn reachable(&self) -> usize {
        self.open().count()
    }

    /// The open watch on the best relay.
    pub fn primary(&self) -> Option<Slot> {
        self.open().min_by_key(|watch| self.place(watch.relay)).map(|watch| watch.slot)
    }

    /// The open watch beside the primary.
    pub fn spare(&self) -> Option<Slot> {
        let primary = self.primary()?;
        self.open().find(|watch| watch.slot != primary).map(|watch| watch.slot)
    }

    /// Whether a watch speaks.
    pub fn is_open(&self, slot: Slot) -> bool {
        self.open().any(|watch| watch.slot == slot)
    }

    /// The relay of a watch that was not lost or closed.
    pub fn relay_of(&self, slot: Slot) -> Option<usize> {
        self.watches.iter().find(|watch| watch.slot == slot).map(|watch| watch.relay)
    }

    /// When [`Selection::poll`] is to be called next, at the latest.
    pub fn next_poll(&self, now: f64) -> f64 {
        let openings = self.openings().map(|watch| watch.began + self.pacing.open_s);
        let search = self.search.as_ref().map(Search::next_at);
        let due = [search, self.second_due, self.return_due];
        openings.chain(due.into_iter().flatten()).fold(now + MAX_POLL_PAUSE, f64::min)
    }

    /// A watch has said its first word.
    pub fn opened(&mut self, slot: Slot, now: f64) {
        if let Some(watch) = self.watches.iter_mut().find(|watch| watch.slot == slot) {
            watch.open_since.get_or_insert(now);
        }
    }

    /// A watch has come to its end, or could not be opened.
    pub fn lost(&mut self, slot: Slot, reason: LostReason, now: f64) {
        let Some(place) = self.watches.iter().position(|watch| watch.slot == slot) else { return };
        let watch = self.watches.swap_remove(place);
        match reason {
            LostReason::Refused | LostReason::Silent | LostReason::Broke => self.note_failure(watch, now),
            // Who ends one watch after the other fails, too.
            LostReason::Ended if watch.open_since.is_none_or(|since| now - since < 1.0) => {
                self.note_failure(watch, now);
            }
            LostReason::Ended => {
                let soon = now + self.random.uniform(0.0, self.pacing.first_try_s);
                self.second_due = Some(self.second_due.map_or(soon, |due| due.min(soon)));
            }
            LostReason::Busy { retry_after_s } => {
                self.standings[watch.relay].busy_until = now + retry_after_s;
            }
        }
    }

    /// What is to be done by now.
    pub fn poll(&mut self, now: f64) -> Vec<Directive> {
        let mut directives = Vec::new();
        self.give_up_openings(now, &mut directives);
        if self.reachable() == 0 {
            (self.second_due, self.return_due) = (None, None);
            self.search(now, &mut directives);
        } else {
            self.search = None;
            self.settle(now, &mut directives);
        }
        directives
    }

    fn open(&self) -> impl Iterator<Item = &Watch> {
        self.watches.iter().filter(|watch| watch.open_since.is_some())
    }

    fn openings(&self) -> impl Iterator<Item = &Watch> {
        self.watches.iter().filter(|watch| watch.open_since.is_none())
    }

    fn holds(&self, relay: usize) -> bool {
        self.open().any(|watch| watch.relay == relay)
    }

    fn place(&self, relay: usize) -> usize {
        self.ranking.iter().position(|ranked| *ranked == relay).unwrap_or(usize::MAX)
    }

    fn note_failure(&mut self, watch: Watch, now: f64) {
        let stood = watch.open_since.is_some_and(|since| now - since >= self.pacing.stable_s);
        let standing = &mut self.standings[watch.relay];
        standing.failures = if stood { 1 } else { standing.failures.saturating_add(1) };
        let doublings = f64::from(standing.failures - 1);
        let longest = (self.pacing.avoid_s * doublings.exp2()).min(self.pacing.max_avoid_s);
        standing.avoid_until = now + self.random.uniform(longest / 2.0, longest);
    }

    fn start(&mut self, relay: usize, now: f64, directives: &mut Vec<Directive>) {
        self.issued += 1;
        let slot = Slot(self.issued);
        self.watches.push(Watch { slot, relay, began: now, open_since: None });
        directives.push(Directive::Open { slot, relay, at: now });
    }

    fn close(&mut self, slot: Slot, directives: &mut Vec<Directive>) {
        self.watches.retain(|watch| watch.slot != slot);
        directives.push(Directive::Close { slot });
    }

    /// An opening that takes too long has failed.
    fn give_up(&mut self, slot: Slot, now: f64, directives: &mut Vec<Directive>) {
        self.lost(slot, LostReason::Silent, now);
        directives.push(Directive::Close { slot });
    }

    fn give_up_openings(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let late = self.openings().filter(|watch| now >= watch.began + self.pacing.open_s);
        let late: Vec<Slot> = late.map(|watch| watch.slot).collect();
        for slot in late {
            self.give_up(slot, now, directives);
        }
    }

    /// No relay speaks: tries the next one when that is due.
    fn search(&mut self, now: f64, directives: &mut Vec<Directive>) {
        if self.search.is_none() {
            let mut order = self.ranking.clone();
            order.sort_by_key(|relay| self.standings[*relay].is_suspect(now, &self.pacing));
            let first_at = now + self.random.uniform(0.0, self.pacing.first_try_s);
            self.search = Some(Search::new(order, first_at));
        }
        let standings = &self.standings;
        let pause = self.random.uniform(0.8, 1.0) * self.pacing.sweep_s / self.relays.len().max(1) as f64;
        let Some(search) = &mut self.search else { return };
        let Some(relay) = search.next(now, pause, |relay| now < standings[relay].busy_until) else { return };
        self.make_room(relay, now, directives);
        self.start(relay, now, directives);
    }

    /// Gives up an older opening of the same relay, and the oldest if there are too many.
    fn make_room(&mut self, relay: usize, now: f64, directives: &mut Vec<Directive>) {
        let same = self.openings().find(|watch| watch.relay == relay).map(|watch| watch.slot);
        let oldest = (self.openings().count() >= MAX_OPENINGS)
            .then(|| self.openings().min_by_key(|watch| watch.slot).map(|watch| watch.slot))
            .flatten();
        if let Some(slot) = same.or(oldest) {
            self.give_up(slot, now, directives);
        }
    }

    /// At least one relay speaks: sees to the second, and to better ones.
    fn settle(&mut self, now: f64, directives: &mut Vec<Directive>) {
        self.close_surplus(directives);
        if self.openings().next().is_some() {
            return;
        }
        if self.reachable() < WATCHES {
            self.return_due = None;
            self.open_second(now, directives);
        } else {
            self.second_due = None;
            self.return_to_better(now, directives);
        }
    }

    /// Ends what is open beside the two relays that are wanted, and all openings but the newest.
    fn close_surplus(&mut self, directives: &mut Vec<Directive>) {
        while self.reachable() > WATCHES {
            let wanted = self.wanted(|relay| self.holds(relay));
            let surplus = self.open().find(|watch| !wanted.contains(&watch.relay)).map(|watch| watch.slot);
            let Some(slot) = surplus else { return };
            self.close(slot, directives);
        }
        let newest = self.openings().map(|watch| watch.slot).max();
        let older: Vec<Slot> =
            self.openings().map(|watch| watch.slot).filter(|slot| Some(*slot) != newest).collect();
        for slot in older {
            self.close(slot, directives);
        }
    }

    /// The best relay of those that count, and its best spare of them.
    fn wanted(&self, counts: impl Fn(usize) -> bool) -> Vec<usize> {
        let Some(primary) = self.ranking.iter().copied().find(|relay| counts(*relay)) else { return vec![] };
        let spare = self.spares[primary].iter().copied().find(|relay| counts(*relay));
        [primary].into_iter().chain(spare).collect()
    }

    /// The relay that is wanted beside the open ones, of those that did not fail lately if there is one.
    fn second_wanted(&self, now: f64) -> Option<usize> {
        let pacing = &self.pacing;
        let trusted = |relay: usize| {
            self.holds(relay) || {
                let standing = &self.standings[relay];
                standing.may_be_tried(now) && !standing.is_suspect(now, pacing)
            }
        };
        let possible = |relay: usize| self.holds(relay) || self.standings[relay].may_be_tried(now);
        let missing = |wanted: Vec<usize>| wanted.into_iter().find(|relay| !self.holds(*relay));
        missing(self.wanted(trusted)).or_else(|| missing(self.wanted(possible)))
    }

    fn open_second(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let due = match self.second_due {
            Some(due) => due,
            None => now + self.random.uniform(0.0, self.pacing.second_s),
        };
        self.second_due = Some(due);
        if now < due {
            return;
        }
        let Some(relay) = self.second_wanted(now) else {
            // All others are left alone for now.
            self.second_due = Some(now + MAX_POLL_PAUSE);
            return;
        };
        self.second_due = None;
        self.start(relay, now, directives);
    }

    fn return_to_better(&mut self, now: f64, directives: &mut Vec<Directive>) {
        let possible = |relay: usize| self.holds(relay) || self.standings[relay].may_be_tried(now);
        let better = self.wanted(possible).into_iter().find(|relay| !self.holds(*relay));
        let settled = self
            .open()
            .all(|watch| watch.open_since.is_some_and(|since| now - since >= self.pacing.settled_s));
        let Some(relay) = better.filter(|_| settled) else {
            self.return_due = None;
            return;
        };
        let due = match self.return_due {
            Some(due) => due,
            None => now + self.random.uniform(0.0, self.pacing.return_s),
        };
        self.return_due = Some(due);
        if now >= due {
            self.return_due = None;
            self.start(relay, now, directives);
        }
    }
}
