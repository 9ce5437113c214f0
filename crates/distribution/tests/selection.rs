//! Relay selection: the ranking of relays, and when a head opens, closes and moves its watches.

mod simulation;

use flaxgap_distribution::selection::{
    Directive, Locality, LostReason, RelayInfo, RelayListError, Selection, SelectionTiming, WatchId, rank,
    rank_spares, validate,
};
use simulation::{localities, planned_relays};
use std::collections::{BTreeMap, BTreeSet};

const NOW: f64 = 1000.0;

fn selection(name: &str, relays: Vec<RelayInfo>, seed: u64) -> Selection {
    let locality = Locality { region: "r0".into(), zone: "z0".into() };
    Selection::new(name, &locality, relays, seed, NOW).expect("a valid list of relays")
}

/// Drives one selection: watches on reachable relays open at once, other relays refuse connections or do not respond.
struct Driver {
    selection: Selection,
    now: f64,
    reachable: BTreeSet<usize>,
    /// Whether unreachable relays do not respond, rather than refuse connections.
    is_unresponsive: bool,
    /// The time and the relay of each attempt to open a watch.
    attempts: Vec<(f64, usize)>,
    open: BTreeMap<WatchId, usize>,
    max_open: usize,
    min_open: usize,
    /// The attempts without a response.
    pending: BTreeSet<WatchId>,
    max_pending: usize,
}

impl Driver {
    fn new(selection: Selection, reachable: impl IntoIterator<Item = usize>) -> Driver {
        Driver {
            selection,
            now: NOW,
            reachable: reachable.into_iter().collect(),
            is_unresponsive: false,
            attempts: vec![],
            open: BTreeMap::new(),
            max_open: 0,
            min_open: usize::MAX,
            pending: BTreeSet::new(),
            max_pending: 0,
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            for directive in self.selection.poll(self.now) {
                self.perform(directive);
            }
            self.min_open = self.min_open.min(self.open.len());
            self.max_pending = self.max_pending.max(self.pending.len());
            let next = self.selection.next_poll(self.now);
            assert!(next > self.now, "the next poll is not in the future");
            self.now = next.min(end);
        }
    }

    fn perform(&mut self, directive: Directive) {
        match directive {
            Directive::Open { watch_id, relay, at } => {
                assert!(at <= self.now);
                self.attempts.push((self.now, relay));
                if self.reachable.contains(&relay) {
                    self.open.insert(watch_id, relay);
                    self.max_open = self.max_open.max(self.open.len());
                    self.selection.watch_opened(watch_id, self.now);
                } else if self.is_unresponsive {
                    self.pending.insert(watch_id);
                } else {
                    self.selection.watch_lost(watch_id, LostReason::Unavailable, self.now);
                }
            }
            Directive::Close { watch_id } => {
                self.open.remove(&watch_id);
                self.pending.remove(&watch_id);
            }
        }
    }

    /// Loses the relay and the open watches on it.
    fn lose_relay(&mut self, relay: usize, reason: LostReason) {
        self.reachable.remove(&relay);
        let watch_ids: Vec<WatchId> =
            self.open.iter().filter(|(_, other)| **other == relay).map(|(watch_id, _)| *watch_id).collect();
        for watch_id in watch_ids {
            self.open.remove(&watch_id);
            self.selection.watch_lost(watch_id, reason, self.now);
        }
    }

    /// The relays with an open watch.
    fn watched_relays(&self) -> BTreeSet<usize> {
        self.open.values().copied().collect()
    }

    fn primary(&self) -> usize {
        self.selection.primary().and_then(|watch_id| self.selection.relay_of(watch_id)).expect("a primary")
    }
}

/// Given a list with a relay without a name, a duplicate name or a duplicate address, when the list is validated, then
/// it is rejected.
#[test]
fn a_list_of_relays_is_checked() {
    let valid = planned_relays();
    assert_eq!(validate(&valid), Ok(()));
    assert_eq!(validate(&[]), Ok(()));
    let validate_with = |change: fn(&mut RelayInfo, &RelayInfo)| {
        let mut relays = valid.clone();
        let first = relays[0].clone();
        change(&mut relays[3], &first);
        validate(&relays)
    };
    assert_eq!(validate_with(|relay, _| relay.name.clear()), Err(RelayListError::MissingName { index: 3 }));
    assert_eq!(
        validate_with(|relay, first| relay.name.clone_from(&first.name)),
        Err(RelayListError::DuplicateName { index: 3, name: valid[0].name.clone() })
    );
    assert_eq!(
        validate_with(|relay, first| relay.address = first.address),
        Err(RelayListError::DuplicateAddress { index: 3, address: valid[0].address })
    );
}

/// Guards against a ranking that differs between builds or machines: heads would move to other relays in a rollout.
#[test]
fn the_order_is_the_same_on_every_machine() {
    let locality = Locality { region: "r0".into(), zone: "z0".into() };
    let order = rank("head-1", &locality, &planned_relays());
    assert_eq!(order, EXPECTED_ORDER);
    let mut reversed = planned_relays();
    reversed.reverse();
    let order_of_reversed: Vec<usize> =
        rank("head-1", &locality, &reversed).into_iter().map(|index| 19 - index).collect();
    assert_eq!(order, order_of_reversed, "the order of the list does not matter");
}

/// The ranking of the planned relays for `head-1`; heads that run with another build must compute the same.
const EXPECTED_ORDER: [usize; 20] = [16, 0, 8, 6, 14, 4, 18, 10, 2, 12, 15, 11, 1, 17, 13, 9, 3, 19, 7, 5];

/// Given relays in zones and regions, when a head ranks them, then relays of its zone are first, then those of its
/// region; a spare is in another zone of the region, and on another machine.
#[test]
fn near_relays_rank_first_and_spares_are_in_other_zones() {
    let relays = planned_relays();
    for (number, locality) in localities(2, 4, 200).iter().enumerate() {
        let name = format!("head-{number}");
        let order = rank(&name, locality, &relays);
        let tier = |index: &usize| match &relays[*index] {
            relay if relay.zone == locality.zone => 0,
            relay if relay.region == locality.region => 1,
            _ => 2,
        };
        assert!(order.is_sorted_by_key(tier));
        assert_eq!(order.iter().collect::<BTreeSet<_>>().len(), 20);
        let spares = rank_spares(&name, locality, &relays, order[0]);
        assert_eq!(spares.len(), 19);
        assert!(relays[spares[0]].region == locality.region && relays[spares[0]].zone != locality.zone);
    }
    // Relays on one machine rank last as spares for each other.
    let mut shared = relays.clone();
    for index in [0, 8, 16] {
        shared[index].address = ([10, 9, 9, 9], 7400 + index as u16).into();
    }
    let locality = Locality { region: "r0".into(), zone: "z0".into() };
    let spares = rank_spares("head-1", &locality, &shared, 0);
    assert_eq!(spares[17..].iter().copied().collect::<BTreeSet<_>>(), [8, 16].into());
}

/// Given the planned fleet, when all heads rank the relays, then the heads of a zone are spread over its relays, and
/// the spares of the heads of each relay are spread over all relays of the region's other zones.
#[test]
fn heads_and_the_spares_of_each_relay_are_spread() {
    let relays = planned_relays();
    let mut heads_of: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
    for (number, locality) in localities(2, 4, 4200).iter().enumerate() {
        let name = format!("head-{number}");
        let primary = rank(&name, locality, &relays)[0];
        heads_of.entry(primary).or_default().push(rank_spares(&name, locality, &relays, primary)[0]);
    }
    assert_eq!(heads_of.len(), 20);
    for (primary, spares) in &heads_of {
        let is_same_region = |relay: &&RelayInfo| relay.region == relays[*primary].region;
        let candidates =
            relays.iter().filter(is_same_region).filter(|relay| relay.zone != relays[*primary].zone).count();
        let even_share = spares.len() as f64 / candidates as f64;
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        spares.iter().for_each(|spare| *counts.entry(*spare).or_default() += 1);
        assert_eq!(counts.len(), candidates, "each candidate is the spare of some heads of relay {primary}");
        let most = *counts.values().max().expect("spares") as f64;
        assert!(most <= 1.7 * even_share, "{most} heads of relay {primary}, even share {even_share}");
    }
}

/// Given that all relays are reachable, when a head starts, then it watches its best relay within a second and its
/// spare within ten more, and opens no further watch.
#[test]
fn a_head_watches_its_best_relay_and_then_a_spare() {
    for seed in 0..50 {
        let relays = planned_relays();
        let mut head = Driver::new(selection("head-1", relays.clone(), seed), 0..20);
        assert_eq!(head.selection.reachable_relays(), 0);
        head.run(1.01);
        let best = rank("head-1", &Locality { region: "r0".into(), zone: "z0".into() }, &relays)[0];
        assert_eq!(head.primary(), best);
        head.run(10.01);
        let spares =
            rank_spares("head-1", &Locality { region: "r0".into(), zone: "z0".into() }, &relays, best);
        assert_eq!(head.watched_relays(), [best, spares[0]].into());
        head.run(300.0);
        assert_eq!(head.attempts.len(), 2);
    }
}

/// Given two watches, when the primary is lost, then the spare is the primary at once, a second watch is opened after a
/// random delay of at most 10 s, and there is always an open watch.
#[test]
fn the_spare_takes_over_at_once() {
    let mut delays = Vec::new();
    for seed in 0..200 {
        let mut head = Driver::new(selection("head-1", planned_relays(), seed), 0..20);
        head.run(12.0);
        let (lost, spare) =
            (head.primary(), *head.watched_relays().iter().find(|r| **r != head.primary()).expect("a spare"));
        head.lose_relay(lost, LostReason::ConnectionLost);
        assert_eq!((head.primary(), head.selection.reachable_relays()), (spare, 1));
        (head.min_open, head.attempts) = (usize::MAX, vec![]);
        let lost_at = head.now;
        head.run(10.01);
        assert_eq!((head.watched_relays().len(), head.min_open), (2, 1));
        assert_ne!(head.attempts[0].1, lost, "a relay that has not failed is tried first");
        delays.push(head.attempts[0].0 - lost_at);
    }
    delays.sort_by(f64::total_cmp);
    assert!(delays[0] < 0.5 && delays[199] > 9.5, "drawn from {} to {}", delays[0], delays[199]);
    let attempts_in_second =
        |start: f64| delays.iter().filter(|delay| (start..start + 1.0).contains(*delay)).count();
    assert!(
        (0..9).all(|start| attempts_in_second(f64::from(start)) <= 40),
        "of 200 heads no more than 40 in a second"
    );
}

/// Given a better relay that is reachable again, when a head moves back, then it does so after a random delay of at
/// most two minutes, and opens the new watch before it closes the old one.
#[test]
fn failback_is_delayed_and_opens_before_it_closes() {
    let mut delays = Vec::new();
    for seed in 0..200 {
        let mut head = Driver::new(selection("head-1", planned_relays(), seed), 0..20);
        head.run(12.0);
        let (lost, before) = (head.primary(), head.watched_relays());
        head.lose_relay(lost, LostReason::ConnectionLost);
        head.run(15.0);
        head.reachable.insert(lost);
        let recovered_at = head.now;
        (head.min_open, head.max_open, head.attempts) = (usize::MAX, 0, vec![]);
        head.run(240.0);
        assert_eq!(head.watched_relays(), before);
        assert_eq!((head.min_open, head.max_open), (2, 3));
        let failback = head.attempts.iter().find(|(_, relay)| *relay == lost).expect("a failback");
        delays.push(failback.0 - recovered_at);
    }
    delays.sort_by(f64::total_cmp);
    assert!(delays[199] <= 120.0, "{}", delays[199]);
    assert!(delays[150] - delays[50] > 15.0, "the middle half from {} to {}", delays[50], delays[150]);
}

/// Given a relay that fails repeatedly, when its head tries it again, then the delay grows with each failure, up to the
/// maximum backoff and the maximum failback delay of a minute each.
#[test]
fn a_failing_relay_gets_exponential_backoff() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 5), 0..20);
    head.run(12.0);
    let lost = head.primary();
    head.lose_relay(lost, LostReason::ConnectionLost);
    head.run(3600.0);
    let attempts: Vec<f64> =
        head.attempts.iter().filter(|(_, relay)| *relay == lost).map(|(at, _)| *at).collect();
    assert!((20..=100).contains(&attempts.len()), "{} attempts in an hour", attempts.len());
    let intervals: Vec<f64> = attempts.windows(2).map(|pair| pair[1] - pair[0]).skip(6).collect();
    assert!(intervals.iter().all(|interval| (30.0..=122.0).contains(interval)), "{intervals:?}");
}

/// Given that all relays refuse connections or do not respond, when a head searches for a relay, then it reports that
/// none is reachable, tries each relay every 4 s or less with at most six pending attempts, and finds the first relay
/// that returns within 4 s.
#[test]
fn a_relay_that_returns_first_is_found_within_4_s() {
    for count in [1, 2, 7, 20, 60] {
        for seed in 0..40 {
            let relays = simulation::relays(2, 4, count);
            let mut head = Driver::new(selection("head-1", relays, seed), []);
            head.is_unresponsive = seed % 2 == 0;
            head.run(30.0 + seed as f64 / 7.0);
            assert_eq!(head.selection.reachable_relays(), 0);
            assert!(head.max_pending <= 6, "{} pending attempts", head.max_pending);
            for relay in 0..count {
                let attempts: Vec<f64> =
                    head.attempts.iter().filter(|(_, other)| *other == relay).map(|(at, _)| *at).collect();
                assert!(
                    attempts.windows(2).all(|pair| pair[1] - pair[0] <= 4.0),
                    "{count} relays, seed {seed}"
                );
            }
            let attempts_in_second = |start: f64| {
                head.attempts.iter().filter(|(at, _)| (start..start + 1.0).contains(at)).count() as f64
            };
            assert!((5..25).all(|s| attempts_in_second(NOW + f64::from(s)) <= count as f64 / 2.88 + 1.0));
            let returned = seed as usize % count;
            head.reachable.insert(returned);
            head.run(4.0);
            assert_eq!(head.watched_relays(), [returned].into(), "{count} relays, seed {seed}");
        }
    }
}

/// Given an empty list of relays, when time passes, then the head reports that no relay is reachable and opens no
/// watch.
#[test]
fn a_head_without_relays_does_nothing() {
    let mut head = Driver::new(selection("head-1", vec![], 1), []);
    head.run(30.0);
    assert_eq!((head.selection.reachable_relays(), head.attempts.len()), (0, 0));
}

/// Given that only one relay is reachable and the head watches it, when all other relays fail, then the head does not
/// try them in a busy loop.
#[test]
fn a_head_whose_other_relays_all_fail_does_not_poll_in_a_loop() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 4), [13]);
    head.run(4.7);
    assert_eq!(head.watched_relays(), [13].into());
    let before = head.attempts.len();
    head.run(120.0);
    assert!(head.attempts.len() - before <= 60, "{} attempts in 2 minutes", head.attempts.len() - before);
}

/// Given an overloaded relay that returns a retry delay, when the head calls it again, then not before the delay is
/// over.
#[test]
fn an_overloaded_relay_is_called_again_after_its_retry_delay() {
    let mut head = selection("head-1", simulation::relays(1, 1, 1), 3);
    let mut now = NOW;
    let watch_id = loop {
        if let Some(Directive::Open { watch_id, .. }) = head.poll(now).first() {
            break *watch_id;
        }
        now += 0.1;
    };
    head.watch_lost(watch_id, LostReason::Overloaded { retry_after_s: 7.0 }, now);
    let rejected_at = now;
    while head.poll(now).is_empty() {
        now += 0.1;
        assert!(now < rejected_at + 12.0);
    }
    assert!(now - rejected_at >= 7.0);
}

/// Given a relay that ends a watch without an error, when the head opens a new watch, then on the same relay without a
/// backoff; a relay that ends the watch right after its opening gets a backoff.
#[test]
fn an_orderly_end_is_no_failure() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 9), 0..20);
    head.run(12.0);
    let (primary, watched) = (head.primary(), head.watched_relays());
    head.lose_relay(primary, LostReason::EndedByRelay);
    head.reachable.insert(primary);
    head.run(10.01);
    assert_eq!(head.watched_relays(), watched);
    head.attempts.clear();
    head.lose_relay(primary, LostReason::EndedByRelay);
    head.reachable.insert(primary);
    let watch_id = loop {
        let opening = head.selection.poll(head.now).into_iter().find_map(|directive| match directive {
            Directive::Open { watch_id, relay, .. } if relay == primary => Some(watch_id),
            _ => None,
        });
        if let Some(watch_id) = opening {
            break watch_id;
        }
        head.now += 0.1;
    };
    head.selection.watch_opened(watch_id, head.now);
    head.selection.watch_lost(watch_id, LostReason::EndedByRelay, head.now + 0.1);
    head.run(10.01);
    assert_ne!(head.attempts[0].1, primary);
}

/// Given a changed list of relays, when it replaces the previous list, then watches on relays of the new list continue,
/// the others are closed, and the head opens a watch on the spare of the new list.
#[test]
fn a_changed_list_of_relays_closes_only_watches_on_removed_relays() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 11), 0..20);
    head.run(12.0);
    let (primary, watched) = (head.primary(), head.watched_relays());
    let spare = *watched.iter().find(|relay| **relay != primary).expect("a spare");
    // The spare is removed, and the indices change.
    let mut relays = planned_relays();
    let (kept_name, removed_name) = (relays[primary].name.clone(), relays[spare].name.clone());
    relays.retain(|relay| relay.name != removed_name);
    relays.reverse();
    let directives = head.selection.replace_relays(relays.clone(), head.now).expect("relays");
    assert_eq!(directives.len(), 1);
    directives.into_iter().for_each(|directive| head.perform(directive));
    assert_eq!(head.selection.reachable_relays(), 1);
    assert_eq!(relays[head.primary()].name, kept_name);
    (head.open, head.reachable) =
        (head.open.keys().map(|watch_id| (*watch_id, head.primary())).collect(), (0..19).collect());
    head.run(10.01);
    let spares =
        rank_spares("head-1", &Locality { region: "r0".into(), zone: "z0".into() }, &relays, head.primary());
    assert_eq!(head.watched_relays(), [head.primary(), spares[0]].into());
    // A relay whose address changes is another relay: its watch is closed.
    let index = head.primary();
    relays[index].address = ([10, 9, 9, 77], 7400).into();
    assert_eq!(head.selection.replace_relays(relays, head.now).expect("relays").len(), 1);
    assert!(head.selection.replace_relays(vec![planned_relays()[0].clone(); 2], head.now).is_err());
}

/// Guards against a change of the default timing without a change of docs/design/distribution.md.
#[test]
fn the_default_timing_matches_the_design_page() {
    let timing = SelectionTiming::default();
    assert!(
        timing.search_sweep_s <= 4.0
            && timing.second_watch_delay_s == 10.0
            && timing.failback_delay_s == 60.0
    );
}

/// Given one reachable relay and another one that refuses each call, then the head is polled at most a few times a
/// second, also while the second watch is due and no relay may be called for it. Guards against a busy loop that kept a
/// core busy in that state.
#[test]
fn a_second_watch_without_an_eligible_relay_is_not_polled_in_a_loop() {
    let mut selection = selection("head-1", planned_relays().into_iter().take(2).collect(), 1);
    let (mut now, mut open, mut polls) = (NOW, None, 0u32);
    while now < NOW + 60.0 {
        for directive in selection.poll(now) {
            let Directive::Open { watch_id, relay, .. } = directive else { continue };
            if *open.get_or_insert(relay) == relay {
                selection.watch_opened(watch_id, now);
            } else {
                selection.watch_lost(watch_id, LostReason::Unavailable, now);
            }
        }
        polls += 1;
        assert!(polls <= 600, "{polls} polls by {:.3} s", now - NOW);
        now = selection.next_poll(now).max(now);
    }
}
