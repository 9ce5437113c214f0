//! Which relays a head follows, and at what pace it opens and moves its watches.

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
    Selection::new(name, &locality, relays, seed, NOW).expect("relays")
}

/// Drives one selection: relays that are up open at once, others refuse or say nothing.
struct Driver {
    selection: Selection,
    now: f64,
    up: BTreeSet<usize>,
    silent: bool,
    /// Each opening: when, and on which relay.
    tried: Vec<(f64, usize)>,
    open: BTreeMap<WatchId, usize>,
    most_open: usize,
    least_open: usize,
    most_out: usize,
    out: BTreeSet<WatchId>,
}

impl Driver {
    fn new(selection: Selection, up: impl IntoIterator<Item = usize>) -> Driver {
        Driver {
            selection,
            now: NOW,
            up: up.into_iter().collect(),
            silent: false,
            tried: vec![],
            open: BTreeMap::new(),
            most_open: 0,
            least_open: usize::MAX,
            most_out: 0,
            out: BTreeSet::new(),
        }
    }

    fn run(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            for directive in self.selection.poll(self.now) {
                self.direct(directive);
            }
            self.least_open = self.least_open.min(self.open.len());
            self.most_out = self.most_out.max(self.out.len());
            let next = self.selection.next_poll(self.now);
            assert!(next > self.now, "nothing is left to do now");
            self.now = next.min(end);
        }
    }

    fn direct(&mut self, directive: Directive) {
        match directive {
            Directive::Open { watch_id, relay, at } => {
                assert!(at <= self.now);
                self.tried.push((self.now, relay));
                if self.up.contains(&relay) {
                    self.open.insert(watch_id, relay);
                    self.most_open = self.most_open.max(self.open.len());
                    self.selection.watch_opened(watch_id, self.now);
                } else if self.silent {
                    self.out.insert(watch_id);
                } else {
                    self.selection.watch_lost(watch_id, LostReason::Unavailable, self.now);
                }
            }
            Directive::Close { watch_id } => {
                self.open.remove(&watch_id);
                self.out.remove(&watch_id);
            }
        }
    }

    fn lose(&mut self, relay: usize, reason: LostReason) {
        self.up.remove(&relay);
        let watch_ids: Vec<WatchId> =
            self.open.iter().filter(|(_, held)| **held == relay).map(|(watch_id, _)| *watch_id).collect();
        for watch_id in watch_ids {
            self.open.remove(&watch_id);
            self.selection.watch_lost(watch_id, reason, self.now);
        }
    }

    fn held(&self) -> BTreeSet<usize> {
        self.open.values().copied().collect()
    }

    fn primary(&self) -> usize {
        self.selection.primary().and_then(|watch_id| self.selection.relay_of(watch_id)).expect("a primary")
    }
}

/// Given relays without a name, or with a name or an address twice, when they are checked, then each is refused.
#[test]
fn a_list_of_relays_is_checked() {
    let good = planned_relays();
    assert_eq!(validate(&good), Ok(()));
    assert_eq!(validate(&[]), Ok(()));
    let spoil = |change: fn(&mut RelayInfo, &RelayInfo)| {
        let mut relays = good.clone();
        let first = relays[0].clone();
        change(&mut relays[3], &first);
        validate(&relays)
    };
    assert_eq!(spoil(|relay, _| relay.name.clear()), Err(RelayListError::MissingName { index: 3 }));
    assert_eq!(
        spoil(|relay, first| relay.name.clone_from(&first.name)),
        Err(RelayListError::DuplicateName { index: 3, name: good[0].name.clone() })
    );
    assert_eq!(
        spoil(|relay, first| relay.address = first.address),
        Err(RelayListError::DuplicateAddress { index: 3, address: good[0].address })
    );
}

/// Guards against an order that differs between builds or machines: heads of two builds would move in a rollout.
#[test]
fn the_order_is_the_same_on_every_machine() {
    let locality = Locality { region: "r0".into(), zone: "z0".into() };
    let order = rank("head-1", &locality, &planned_relays());
    assert_eq!(order, GOLDEN_ORDER);
    let mut turned = planned_relays();
    turned.reverse();
    let turned: Vec<usize> = rank("head-1", &locality, &turned).into_iter().map(|place| 19 - place).collect();
    assert_eq!(order, turned, "the order of the list does not matter");
}

const GOLDEN_ORDER: [usize; 20] = [16, 0, 8, 6, 14, 4, 18, 10, 2, 12, 15, 11, 1, 17, 13, 9, 3, 19, 7, 5];

/// Given relays in zones and regions, when a head ranks them, then its zone is first, its region next; a spare is in
/// another zone of the region, and on another machine.
#[test]
fn near_relays_rank_first_and_spares_are_in_other_zones() {
    let relays = planned_relays();
    for (number, locality) in localities(2, 4, 200).iter().enumerate() {
        let name = format!("head-{number}");
        let order = rank(&name, locality, &relays);
        let tier = |place: &usize| match &relays[*place] {
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
    // Two relays on one machine are no spare for each other while there is any other.
    let mut shared = relays.clone();
    for place in [0, 8, 16] {
        shared[place].address = ([10, 9, 9, 9], 7400 + place as u16).into();
    }
    let locality = Locality { region: "r0".into(), zone: "z0".into() };
    let spares = rank_spares("head-1", &locality, &shared, 0);
    assert_eq!(spares[17..].iter().copied().collect::<BTreeSet<_>>(), [8, 16].into());
}

/// Given the coming size, when all heads choose, then relays of one zone share its heads; and the spares of the heads of
/// any one relay spread over all relays of the region's other zones.
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
        let others = |relay: &&RelayInfo| relay.region == relays[*primary].region;
        let possible =
            relays.iter().filter(others).filter(|relay| relay.zone != relays[*primary].zone).count();
        let even = spares.len() as f64 / possible as f64;
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        spares.iter().for_each(|spare| *counts.entry(*spare).or_default() += 1);
        assert_eq!(counts.len(), possible, "each survivor takes some of the heads of {primary}");
        let most = *counts.values().max().expect("spares") as f64;
        assert!(most <= 1.7 * even, "{most} of {even} from {primary}");
    }
}

/// Given all relays up, when a head starts, then it has its best relay within a second, its spare within ten more, and
/// nothing else; then it stays as it is.
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
        assert_eq!(head.held(), [best, spares[0]].into());
        head.run(300.0);
        assert_eq!(head.tried.len(), 2);
    }
}

/// Given the primary is lost, when the head goes on, then the spare is primary at once, a second one is opened at a drawn
/// time within ten seconds, and there is never a moment without a watch.
#[test]
fn the_spare_takes_over_at_once() {
    let mut delays = Vec::new();
    for seed in 0..200 {
        let mut head = Driver::new(selection("head-1", planned_relays(), seed), 0..20);
        head.run(12.0);
        let (lost, spare) =
            (head.primary(), *head.held().iter().find(|r| **r != head.primary()).expect("two"));
        head.lose(lost, LostReason::ConnectionLost);
        assert_eq!((head.primary(), head.selection.reachable_relays()), (spare, 1));
        (head.least_open, head.tried) = (usize::MAX, vec![]);
        let lost_at = head.now;
        head.run(10.01);
        assert_eq!((head.held().len(), head.least_open), (2, 1));
        assert_ne!(head.tried[0].1, lost, "one that did not fail is tried first");
        delays.push(head.tried[0].0 - lost_at);
    }
    delays.sort_by(f64::total_cmp);
    assert!(delays[0] < 0.5 && delays[199] > 9.5, "drawn from {} to {}", delays[0], delays[199]);
    let in_a_second = |start: f64| delays.iter().filter(|d| (start..start + 1.0).contains(*d)).count();
    assert!(
        (0..9).all(|start| in_a_second(f64::from(start)) <= 40),
        "of 200 heads no more than 40 in a second"
    );
}

/// Given a better relay has come back, when the head returns, then that takes a drawn time within two minutes, and the
/// new watch speaks before the old one is closed.
#[test]
fn failback_is_delayed_and_opens_before_it_closes() {
    let mut delays = Vec::new();
    for seed in 0..200 {
        let mut head = Driver::new(selection("head-1", planned_relays(), seed), 0..20);
        head.run(12.0);
        let (lost, before) = (head.primary(), head.held());
        head.lose(lost, LostReason::ConnectionLost);
        head.run(15.0);
        head.up.insert(lost);
        let back_at = head.now;
        (head.least_open, head.most_open, head.tried) = (usize::MAX, 0, vec![]);
        head.run(240.0);
        assert_eq!(head.held(), before);
        assert_eq!((head.least_open, head.most_open), (2, 3));
        let returned = head.tried.iter().find(|(_, relay)| *relay == lost).expect("a return").0 - back_at;
        delays.push(returned);
    }
    delays.sort_by(f64::total_cmp);
    assert!(delays[199] <= 120.0, "{}", delays[199]);
    assert!(delays[150] - delays[50] > 15.0, "the middle half from {} to {}", delays[50], delays[150]);
}

/// Given a relay that fails again and again, when the head leaves it alone, then for a longer time after each failure,
/// up to a minute and the return's minute.
#[test]
fn a_failing_relay_gets_exponential_backoff() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 5), 0..20);
    head.run(12.0);
    let lost = head.primary();
    head.lose(lost, LostReason::ConnectionLost);
    head.run(3600.0);
    let tries: Vec<f64> = head.tried.iter().filter(|(_, relay)| *relay == lost).map(|(at, _)| *at).collect();
    assert!((20..=100).contains(&tries.len()), "{} tries in an hour", tries.len());
    let pauses: Vec<f64> = tries.windows(2).map(|pair| pair[1] - pair[0]).skip(6).collect();
    assert!(pauses.iter().all(|pause| (30.0..=122.0).contains(pause)), "{pauses:?}");
}

/// Given no relay is up, whether they refuse or are silent, when the head goes on trying, then it says that none is
/// reachable, tries each within 4 s, has no more than six openings out, and finds the first that returns within 4 s.
#[test]
fn a_relay_that_returns_first_is_found_within_4_s() {
    for count in [1, 2, 7, 20, 60] {
        for seed in 0..40 {
            let relays = simulation::relays(2, 4, count);
            let mut head = Driver::new(selection("head-1", relays, seed), []);
            head.silent = seed % 2 == 0;
            head.run(30.0 + seed as f64 / 7.0);
            assert_eq!(head.selection.reachable_relays(), 0);
            assert!(head.most_out <= 6, "{} out", head.most_out);
            for relay in 0..count {
                let tries: Vec<f64> =
                    head.tried.iter().filter(|(_, tried)| *tried == relay).map(|(at, _)| *at).collect();
                assert!(tries.windows(2).all(|pair| pair[1] - pair[0] <= 4.0), "{count} relays, seed {seed}");
            }
            let in_a_second = |start: f64| {
                head.tried.iter().filter(|(at, _)| (start..start + 1.0).contains(at)).count() as f64
            };
            assert!((5..25).all(|s| in_a_second(NOW + f64::from(s)) <= count as f64 / 2.88 + 1.0));
            let back = seed as usize % count;
            head.up.insert(back);
            head.run(4.0);
            assert_eq!(head.held(), [back].into(), "{count} relays, seed {seed}");
        }
    }
}

/// Given a head without relays in its list, when it goes on, then it says that none is reachable and asks for nothing.
#[test]
fn a_head_without_relays_does_nothing() {
    let mut head = Driver::new(selection("head-1", vec![], 1), []);
    head.run(30.0);
    assert_eq!((head.selection.reachable_relays(), head.tried.len()), (0, 0));
}

/// Given one relay alone is up, when the head has it and all others fail, then it does not poll without a pause.
#[test]
fn a_head_whose_other_relays_all_fail_does_not_poll_in_a_loop() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 4), [13]);
    head.run(4.7);
    assert_eq!(head.held(), [13].into());
    let before = head.tried.len();
    head.run(120.0);
    assert!(head.tried.len() - before <= 60, "{} tries in 2 minutes", head.tried.len() - before);
}

/// Given a relay that asks to come again later, when the head goes on, then not before that time.
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

/// Given a relay that ends a watch in due form, when the head goes on, then it comes again to that relay without a pause
/// for failures; to one that ends each watch at once it does not.
#[test]
fn an_orderly_end_is_no_failure() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 9), 0..20);
    head.run(12.0);
    let (primary, held) = (head.primary(), head.held());
    head.lose(primary, LostReason::EndedByRelay);
    head.up.insert(primary);
    head.run(10.01);
    assert_eq!(head.held(), held);
    head.tried.clear();
    head.lose(primary, LostReason::EndedByRelay);
    head.up.insert(primary);
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
    assert_ne!(head.tried[0].1, primary);
}

/// Given another list of relays, when it is in force, then watches on relays that stay stand, those on others end, and
/// the head comes to what the new list asks for.
#[test]
fn a_changed_list_of_relays_closes_only_watches_on_removed_relays() {
    let mut head = Driver::new(selection("head-1", planned_relays(), 11), 0..20);
    head.run(12.0);
    let (primary, held) = (head.primary(), head.held());
    let spare = *held.iter().find(|relay| **relay != primary).expect("a spare");
    // The spare leaves, and places change.
    let mut relays = planned_relays();
    let (kept_name, gone_name) = (relays[primary].name.clone(), relays[spare].name.clone());
    relays.retain(|relay| relay.name != gone_name);
    relays.reverse();
    let directives = head.selection.replace_relays(relays.clone(), head.now).expect("relays");
    assert_eq!(directives.len(), 1);
    directives.into_iter().for_each(|directive| head.direct(directive));
    assert_eq!(head.selection.reachable_relays(), 1);
    assert_eq!(relays[head.primary()].name, kept_name);
    (head.open, head.up) =
        (head.open.keys().map(|watch_id| (*watch_id, head.primary())).collect(), (0..19).collect());
    head.run(10.01);
    let spares =
        rank_spares("head-1", &Locality { region: "r0".into(), zone: "z0".into() }, &relays, head.primary());
    assert_eq!(head.held(), [head.primary(), spares[0]].into());
    // The same name at another address is another relay to connect to.
    let place = head.primary();
    relays[place].address = ([10, 9, 9, 77], 7400).into();
    assert_eq!(head.selection.replace_relays(relays, head.now).expect("relays").len(), 1);
    assert!(head.selection.replace_relays(vec![planned_relays()[0].clone(); 2], head.now).is_err());
}

/// Guards against a pace that was changed without its page.
#[test]
fn the_default_timing_matches_the_design_page() {
    let timing = SelectionTiming::default();
    assert!(
        timing.search_sweep_s <= 4.0
            && timing.second_watch_delay_s == 10.0
            && timing.failback_delay_s == 60.0
    );
}

/// Given one relay that speaks and another that refuses each call, then the head is polled a few times a second at most,
/// also while the second watch is due and no relay may be tried for it: it had kept a core busy until one could.
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
