//! The ladder over signals by chance and over signals that are meant to make it swing.

use flaxgap_load_shedding::report::Why;
use flaxgap_load_shedding::{Governor, Names, Of, Scope, Settings, Signal};
use proptest::prelude::*;

fn names() -> Names {
    let of = |all: &[&str]| all.iter().map(|name| name.to_string()).collect();
    Names {
        classes: of(&["play-fetch", "episode-save"]),
        plans: of(&["community", "network"]),
        halls: of(&["north"]),
    }
}

fn settings(text: &str) -> Settings {
    Settings::parse(text, &names(), &[false, true]).expect("settings")
}

const AIMS: Signal = Signal::Aims(Of::Class(0));

/// A governor that is looked at once a period; `aims` gives the reading of each moment, or none.
struct Run {
    governor: Governor,
    now: f64,
}

impl Run {
    fn new(text: &str) -> Run {
        Run { governor: Governor::new(settings(text), 0.0), now: 0.0 }
    }

    /// Goes on for some seconds; the changes, as `from>to`.
    fn go(&mut self, seconds: f64, aims: impl Fn(f64) -> Option<f64>) -> Vec<String> {
        let end = self.now + seconds;
        let mut changes = Vec::new();
        while self.now < end {
            self.now += 0.25;
            if let Some(value) = aims(self.now) {
                self.governor.read(Scope::Head, AIMS, value, self.now);
                self.governor.read(Scope::Head, Signal::Held, 0.0, self.now);
            }
            changes.extend(self.governor.decide(self.now).iter().map(|c| format!("{}>{}", c.from, c.to)));
        }
        changes
    }

    fn level(&self) -> String {
        self.governor.status(self.now).levels[0].level.clone()
    }
}

#[test]
fn a_level_takes_evidence_and_its_dwell_and_says_why() {
    let mut run = Run::new("");
    assert!(run.go(30.0, |now| Some(if now % 2.0 < 0.5 { 0.0 } else { 1.0 })).is_empty(), "single bad looks");
    assert_eq!(run.go(4.0, |_| Some(0.85)), ["normal>trim"]);
    let standing = run.governor.status(run.now).levels[0].clone();
    assert!(
        matches!(&standing.reason, Why::Pressed { signal, threshold, .. } if signal == "aims" && *threshold == 0.9)
    );
    assert!(
        standing.ends.iter().any(|end| end.contains("aims at 0.96 or above; now 0.850")),
        "{:?}",
        standing.ends
    );
    assert!(run.go(10.0, |_| Some(1.0)).is_empty(), "the dwell is not over");
    assert_eq!(run.go(10.0, |_| Some(1.0)), ["trim>normal"]);
    let mut run = Run::new("");
    assert_eq!(run.go(4.0, |_| Some(0.3)), ["normal>reserve-only"], "the highest whose conditions hold");
    assert_eq!(run.go(60.0, |_| Some(1.0)), ["reserve-only>saves-limited", "saves-limited>trim"]);
    let lingers = run.governor.status(run.now).levels[0].ends.iter().any(|end| end.contains("to come back"));
    assert!(lingers, "a step more would leave no room to come back");
    assert_eq!(run.go(560.0, |_| Some(1.0)), ["trim>normal"]);
}

/// Guards against a level that follows every swing: at the threshold, drifting through it, and with a period near
/// the dwell.
#[test]
fn load_at_a_threshold_changes_the_level_a_few_times_at_most() {
    let swing =
        |period: f64| move |now: f64| Some(0.93 + 0.06 * (now * std::f64::consts::TAU / period).sin());
    let wild = |period: f64| move |now: f64| Some(if now % period < period / 2.0 { 0.5 } else { 1.0 });
    for (what, changes) in [
        (
            "at the threshold",
            Run::new("").go(600.0, |now| Some(if (now * 4.0) as u64 % 2 == 0 { 0.899 } else { 0.901 })),
        ),
        ("drifting through", Run::new("").go(600.0, |now| Some(1.0 - now / 3000.0))),
        ("drifting back", Run::new("").go(600.0, |now| Some(0.8 + now / 3000.0))),
        ("a swing of 6 s", Run::new("").go(600.0, swing(6.0))),
        ("a swing of a dwell", Run::new("").go(600.0, swing(15.0))),
        ("a swing of two dwells", Run::new("").go(600.0, wild(30.0))),
        ("a wild swing", Run::new("").go(600.0, wild(40.0))),
    ] {
        assert!(changes.len() <= 4, "{what}: {changes:?}");
    }
}

#[test]
fn a_step_that_brings_the_pressure_back_doubles_the_next_dwell_up_to_its_bound() {
    let text = "[head]\nchanges = 100\ndwell_s = 10.0\ndwell_most_s = 40.0";
    let mut run = Run::new(&format!(
        "{text}\n[[head.level]]\nname = \"trim\"\nlets = [{{ pass = \"share\" }}]\nenter = {{ aims = 0.9 }}\nleave = {{ aims = 0.96 }}"
    ));
    let mut stays = Vec::new();
    for _ in 0..5 {
        assert_eq!(run.go(4.0, |_| Some(0.5)), ["normal>trim"]);
        let entered = run.now;
        while run.go(0.25, |_| Some(1.0)).is_empty() {}
        stays.push((run.now - entered).round());
    }
    let within = |stay: f64, dwell: f64| (stay - dwell).abs() <= 2.0;
    let dwells = [10.0, 20.0, 40.0, 40.0, 40.0];
    assert!(stays.iter().zip(dwells).all(|(stay, dwell)| within(*stay, dwell)), "{stays:?}");
    run.go(300.0, |_| Some(1.0));
    assert_eq!(run.go(4.0, |_| Some(0.5)), ["normal>trim"]);
    assert_eq!(
        run.go(14.0, |_| Some(1.0)),
        ["trim>normal"],
        "after a quiet while the settled dwell holds again"
    );
}

/// Guards against old evidence: readings that stop bring no level and keep none.
#[test]
fn readings_that_stop_bring_no_level_and_keep_none() {
    let mut run = Run::new("");
    run.go(1.0, |_| Some(0.1));
    assert!(run.go(60.0, |_| None).is_empty(), "one second of bad news, then none");
    run.go(4.0, |_| Some(0.85));
    assert_eq!(run.level(), "trim");
    assert_eq!(run.go(30.0, |_| None), ["trim>normal"], "given up on trial");
    assert!(run.governor.status(run.now).levels[0].why.contains("no reading for"));
}

#[test]
fn a_pin_holds_against_evidence_lapses_by_itself_and_outlives_a_restart() {
    let mut run = Run::new("");
    let pin = |run: &mut Run, level, seconds| {
        run.governor.pin(run.now, Scope::Head, level, seconds, "night shift", "storm warning")
    };
    for (level, seconds) in [("trim", 0.0), ("trim", f64::NAN), ("panic", 60.0)] {
        assert!(pin(&mut run, level, seconds).is_err());
    }
    assert!(run.governor.pin(0.0, Scope::Head, "trim", 60.0, " ", "x").is_err(), "who is required");
    pin(&mut run, "saves-limited", 60.0).expect("pinned");
    assert!(run.go(50.0, |_| Some(0.1)).is_empty(), "neither worse");
    let carry = serde_json::to_string(&run.governor.carry(run.now)).expect("text");
    let lapse = ["saves-limited>saves-limited", "saves-limited>reserve-only"];
    assert_eq!(run.go(12.0, |_| Some(0.1)), lapse, "the lapse, and evidence decides again");
    let revived = |now: f64| {
        let mut governor = Governor::new(settings(""), now);
        governor.resume(now, serde_json::from_str(&carry).expect("a carry"));
        governor.status(now).levels[0].clone()
    };
    assert_eq!(revived(55.0).pin.map(|pin| pin.who), Some("night shift".into()), "killed while pinned");
    assert_eq!(revived(5000.0).level, "normal", "a pin that has lapsed meanwhile is no reason");
}

#[test]
fn a_newer_process_takes_over_the_level_with_its_reason_and_dwell_but_no_old_one() {
    let mut run = Run::new("");
    run.go(6.0, |_| Some(0.7));
    let (carry, before) = (run.governor.carry(run.now), run.governor.status(run.now).levels[0].clone());
    let mut next = Governor::new(settings(""), run.now);
    next.resume(run.now + 1.0, carry.clone());
    let after = next.status(run.now).levels[0].clone();
    assert_eq!((after.level, after.since, after.why), (before.level, before.since, before.why));
    let mut late = Governor::new(settings(""), run.now + 60.0);
    late.resume(run.now + 60.0, carry);
    assert_eq!(late.status(run.now + 60.0).levels[0].level, "normal", "a minute old is no evidence");
}

#[test]
fn a_reload_keeps_the_level_by_its_name_and_one_without_that_name_goes_back() {
    let mut run = Run::new("");
    run.go(4.0, |_| Some(0.85));
    assert!(run.governor.configure(settings("[head]\ndwell_s = 30.0"), run.now).is_empty());
    assert_eq!(run.level(), "trim");
    let other = "[[head.level]]\nname = \"other\"\nlets = [{ pass = \"share\" }]\nenter = { held = 0.9 }\nleave = { held = 0.5 }";
    let changes = run.governor.configure(settings(other), run.now);
    assert_eq!((changes.len(), changes[0].to.as_str()), (1, "normal"));
}

#[derive(Clone, Debug)]
struct Stretch {
    seconds: f64,
    aims: Option<f64>,
    noise: f64,
}

fn stretches() -> impl Strategy<Value = Vec<Stretch>> {
    let stretch = (0.25..60.0, proptest::option::weighted(0.8, 0.0..1.0), 0.0..0.3)
        .prop_map(|(seconds, aims, noise)| Stretch { seconds, aims, noise });
    proptest::collection::vec(stretch, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever the signals: no more changes than the bound within any span, a reason for each, and no level
    /// without evidence of its own.
    #[test]
    fn changes_are_bounded_reasoned_and_by_evidence(days in stretches(), seed in 0u64..1000) {
        let mut run = Run::new("");
        let (mut state, mut times, mut readings) = (seed | 1, Vec::new(), Vec::new());
        for stretch in days {
            let end = run.now + stretch.seconds;
            while run.now < end {
                run.now += 0.25;
                state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let noise = ((state >> 33) as f64 / f64::from(u32::MAX >> 1) - 0.5) * stretch.noise;
                if let Some(aims) = stretch.aims {
                    run.governor.read(Scope::Head, AIMS, (aims + noise).clamp(0.0, 1.0), run.now);
                    readings.push((run.now, (aims + noise).clamp(0.0, 1.0)));
                }
                for change in run.governor.decide(run.now) {
                    times.push(run.now);
                    prop_assert!(change.why != Why::Start);
                    let up = matches!(change.why, Why::Pressed { .. });
                    if up {
                        let recent = readings.iter().filter(|(at, _)| run.now - at <= 6.5);
                        prop_assert!(recent.clone().any(|(_, aims)| *aims <= 0.9), "no bad reading before it");
                        prop_assert!(recent.count() >= 4, "a level by a single look");
                    }
                }
                let lately = times.iter().filter(|at| run.now - **at <= 600.0).count();
                prop_assert!(lately <= 4, "{lately} changes in ten minutes");
            }
        }
        // Whatever happened, a good while brings it back.
        run.go(900.0, |_| Some(1.0));
        prop_assert_eq!(run.level(), "normal");
    }
}

/// Given two halls cut one after the other and an upgrade in the middle, the newer process knows both cuts from the
/// older one, sheds nothing else, and finds each hall back by itself.
#[test]
fn halls_cut_one_after_the_other_are_told_apart_and_outlive_an_upgrade() {
    let names = Names { halls: vec!["north".into(), "south".into()], ..names() };
    let settings = || Settings::usual(&names, &[false, true]).expect("settings");
    let mut governor = Governor::new(settings(), 0.0);
    let mut now = 0.0;
    let go = |governor: &mut Governor, now: &mut f64, seconds: f64, lost: [f64; 2]| {
        let (end, mut changes) = (*now + seconds, Vec::new());
        while *now < end {
            *now += 0.25;
            for (hall, lost) in lost.into_iter().enumerate() {
                governor.read(Scope::Hall(hall as u16), Signal::NodesLost, lost, *now);
                governor.read(Scope::Hall(hall as u16), AIMS, 1.0 - lost, *now);
            }
            governor.read(Scope::Head, AIMS, 0.99, *now);
            changes.extend(governor.decide(*now).iter().map(|c| format!("{} {}", c.scope, c.to)));
        }
        changes
    };
    assert_eq!(go(&mut governor, &mut now, 4.0, [1.0, 0.0]), ["north hall-cut"]);
    assert_eq!(go(&mut governor, &mut now, 4.0, [1.0, 1.0]), ["south hall-cut"]);
    let mut newer = Governor::new(settings(), now);
    newer.resume(now + 0.5, governor.carry(now));
    now += 0.5;
    let cut =
        |governor: &Governor| governor.effect(now).halls.iter().map(|(hall, _)| *hall).collect::<Vec<_>>();
    assert_eq!(cut(&newer), [0, 1]);
    assert!(newer.effect(now).head.is_all(), "nothing else is shed");
    assert_eq!(go(&mut newer, &mut now, 3.0, [0.0, 1.0]), ["north hall-returning"]);
    let back = go(&mut newer, &mut now, 12.0, [0.0, 0.0]);
    assert_eq!(back, ["south hall-returning", "north normal", "south normal"]);
}
