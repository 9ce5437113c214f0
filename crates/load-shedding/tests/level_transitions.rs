//! Levels over random signals, and over signals that are meant to make a level swing.

use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use flaxgap_load_shedding::report::{LevelReport, TransitionReason};
use flaxgap_load_shedding::{ClassSelector, LevelManager, Names, Scope, SheddingSettings, Signal};
use proptest::prelude::*;

fn names() -> Names {
    let of = |all: &[&str]| all.iter().map(|name| name.to_string()).collect();
    Names {
        classes: of(&["play-fetch", "episode-save"]),
        plans: of(&["community", "network"]),
        zones: of(&["north"]),
    }
}

fn settings(text: &str) -> SheddingSettings {
    SheddingSettings::parse(text, &names(), &[false, true]).expect("settings")
}

const OBJECTIVE_MET: Signal = Signal::ObjectiveMet(ClassSelector::Class(0));

/// Levels that are evaluated once a period.
struct Run {
    manager: LevelManager,
    now: f64,
}

impl Run {
    fn new(text: &str) -> Run {
        Run { manager: LevelManager::new(settings(text), 0.0), now: 0.0 }
    }

    /// Goes on for some seconds; `objective_met` gives the reading of each moment, if there is one. Returns the
    /// transitions as `from>to`.
    fn go(&mut self, seconds: f64, objective_met: impl Fn(f64) -> Option<f64>) -> Vec<String> {
        let end = self.now + seconds;
        let mut changes = Vec::new();
        while self.now < end {
            self.now += 0.25;
            if let Some(value) = objective_met(self.now) {
                self.manager.record_reading(Scope::Head, OBJECTIVE_MET, value, self.now);
                self.manager.record_reading(Scope::Head, Signal::Pending, 0.0, self.now);
            }
            changes.extend(self.manager.evaluate(self.now).iter().map(|c| format!("{}>{}", c.from, c.to)));
        }
        changes
    }

    fn head(&self) -> LevelReport {
        self.manager.status(self.now).levels[0].clone()
    }

    fn level(&self) -> String {
        self.head().level_name
    }
}

#[test]
fn a_level_needs_evidence_lasts_for_its_minimum_duration_and_has_a_reason() {
    let mut run = Run::new("");
    assert!(
        run.go(30.0, |now| Some(if now % 2.0 < 0.5 { 0.0 } else { 1.0 })).is_empty(),
        "single bad readings"
    );
    assert_eq!(run.go(4.0, |_| Some(0.85)), ["normal>trim"]);
    let head = run.head();
    assert!(
        matches!(&head.reason, TransitionReason::ThresholdBreached { signal, threshold, .. } if signal == "aims" && *threshold == 0.9)
    );
    assert!(
        head.end_conditions.iter().any(|end| end.contains("aims at 0.96 or above; now 0.850")),
        "{:?}",
        head.end_conditions
    );
    assert!(run.go(10.0, |_| Some(1.0)).is_empty(), "the minimum duration is not over");
    assert_eq!(run.go(10.0, |_| Some(1.0)), ["trim>normal"]);
    let mut run = Run::new("");
    assert_eq!(run.go(4.0, |_| Some(0.3)), ["normal>reserve-only"], "the highest whose conditions hold");
    assert_eq!(run.go(60.0, |_| Some(1.0)), ["reserve-only>saves-limited", "saves-limited>trim"]);
    let waits = run.head().end_conditions.iter().any(|end| end.contains("to come back"));
    assert!(waits, "a step more would leave no room to return");
    assert_eq!(run.go(560.0, |_| Some(1.0)), ["trim>normal"]);
}

/// Guards against a level that follows every swing: at the threshold, drifting through it, and with a period near
/// the minimum duration.
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
        ("a swing of a minimum duration", Run::new("").go(600.0, swing(15.0))),
        ("a swing of two minimum durations", Run::new("").go(600.0, wild(30.0))),
        ("a wild swing", Run::new("").go(600.0, wild(40.0))),
    ] {
        assert!(changes.len() <= 4, "{what}: {changes:?}");
    }
}

#[test]
fn a_relapse_doubles_the_next_minimum_duration_up_to_its_limit() {
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
    let within = |stay: f64, duration: f64| (stay - duration).abs() <= 2.0;
    let durations = [10.0, 20.0, 40.0, 40.0, 40.0];
    assert!(stays.iter().zip(durations).all(|(stay, duration)| within(*stay, duration)), "{stays:?}");
    run.go(300.0, |_| Some(1.0));
    assert_eq!(run.go(4.0, |_| Some(0.5)), ["normal>trim"]);
    assert_eq!(
        run.go(14.0, |_| Some(1.0)),
        ["trim>normal"],
        "after a quiet while the settled minimum duration holds again"
    );
}

/// Guards against old evidence: readings that stop bring no level and keep none.
#[test]
fn readings_that_stop_enter_no_level_and_keep_none() {
    let mut run = Run::new("");
    run.go(1.0, |_| Some(0.1));
    assert!(run.go(60.0, |_| None).is_empty(), "one second of bad news, then none");
    run.go(4.0, |_| Some(0.85));
    assert_eq!(run.level(), "trim");
    assert_eq!(run.go(30.0, |_| None), ["trim>normal"], "given up on trial");
    assert!(run.head().reason_text.contains("no reading for"));
}

#[test]
fn an_override_holds_against_readings_expires_and_survives_a_restart() {
    let mut run = Run::new("");
    let note = OperatorNote { operator: "night shift".into(), reason: "storm warning".into() };
    let request = |level: &str, duration_s| OverrideRequest {
        level_name: level.into(),
        duration_s,
        note: note.clone(),
    };
    for (level, seconds) in [("trim", 0.0), ("trim", f64::NAN), ("panic", 60.0)] {
        assert!(run.manager.set_override(run.now, Scope::Head, &request(level, seconds)).is_err());
    }
    let mut anonymous = request("trim", 60.0);
    anonymous.note = OperatorNote { operator: " ".into(), reason: "x".into() };
    assert!(run.manager.set_override(0.0, Scope::Head, &anonymous).is_err(), "a name is required");
    run.manager.set_override(run.now, Scope::Head, &request("saves-limited", 60.0)).expect("set");
    assert!(run.go(50.0, |_| Some(0.1)).is_empty(), "it does not get worse");
    let saved = serde_json::to_string(&run.manager.save(run.now)).expect("text");
    let expired = ["saves-limited>saves-limited", "saves-limited>reserve-only"];
    assert_eq!(run.go(12.0, |_| Some(0.1)), expired, "it expires, and readings decide again");
    let revived = |now: f64| {
        let mut manager = LevelManager::new(settings(""), now);
        manager.restore(now, serde_json::from_str(&saved).expect("a saved state"));
        manager.status(now).levels[0].clone()
    };
    assert_eq!(
        revived(55.0).level_override.map(|level_override| level_override.operator),
        Some("night shift".into()),
        "killed while an override was set"
    );
    assert_eq!(revived(5000.0).level_name, "normal", "an override that has expired meanwhile does not count");
}

#[test]
fn a_newer_process_takes_over_a_level_with_its_reason_unless_it_is_old() {
    let mut run = Run::new("");
    run.go(6.0, |_| Some(0.7));
    let (saved, before) = (run.manager.save(run.now), run.head());
    let mut next = LevelManager::new(settings(""), run.now);
    next.restore(run.now + 1.0, saved.clone());
    let after = next.status(run.now).levels[0].clone();
    assert_eq!(
        (after.level_name, after.since, after.reason),
        (before.level_name, before.since, before.reason)
    );
    let mut late = LevelManager::new(settings(""), run.now + 60.0);
    late.restore(run.now + 60.0, saved);
    assert_eq!(late.status(run.now + 60.0).levels[0].level_name, "normal", "a minute old is no evidence");
}

#[test]
fn a_reload_keeps_the_level_by_its_name_or_goes_back_to_normal() {
    let mut run = Run::new("");
    run.go(4.0, |_| Some(0.85));
    assert!(run.manager.configure(settings("[head]\ndwell_s = 30.0"), run.now).is_empty());
    assert_eq!(run.level(), "trim");
    let other = "[[head.level]]\nname = \"other\"\nlets = [{ pass = \"share\" }]\nenter = { held = 0.9 }\nleave = { held = 0.5 }";
    let changes = run.manager.configure(settings(other), run.now);
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
    fn transitions_are_limited_and_follow_evidence(days in stretches(), seed in 0u64..1000) {
        let mut run = Run::new("");
        let (mut state, mut times, mut readings) = (seed | 1, Vec::new(), Vec::new());
        for stretch in days {
            let end = run.now + stretch.seconds;
            while run.now < end {
                run.now += 0.25;
                state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let noise = ((state >> 33) as f64 / f64::from(u32::MAX >> 1) - 0.5) * stretch.noise;
                if let Some(aims) = stretch.aims {
                    run.manager.record_reading(Scope::Head, OBJECTIVE_MET, (aims + noise).clamp(0.0, 1.0), run.now);
                    readings.push((run.now, (aims + noise).clamp(0.0, 1.0)));
                }
                for change in run.manager.evaluate(run.now) {
                    times.push(run.now);
                    prop_assert!(change.reason != TransitionReason::Initial);
                    let up = matches!(change.reason, TransitionReason::ThresholdBreached { .. });
                    if up {
                        let recent = readings.iter().filter(|(at, _)| run.now - at <= 6.5);
                        prop_assert!(recent.clone().any(|(_, aims)| *aims <= 0.9), "no bad reading before it");
                        prop_assert!(recent.count() >= 4, "a level by a single reading");
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

/// Given two zones cut one after the other and an upgrade in the middle, the newer process knows both cuts from the
/// older one, sheds nothing else, and finds each zone back by itself.
#[test]
fn zones_that_are_cut_off_one_after_the_other_are_told_apart_and_survive_an_upgrade() {
    let names = Names { zones: vec!["north".into(), "south".into()], ..names() };
    let settings = || SheddingSettings::with_defaults(&names, &[false, true]).expect("settings");
    let mut manager = LevelManager::new(settings(), 0.0);
    let mut now = 0.0;
    let go = |manager: &mut LevelManager, now: &mut f64, seconds: f64, lost: [f64; 2]| {
        let (end, mut changes) = (*now + seconds, Vec::new());
        while *now < end {
            *now += 0.25;
            for (zone, lost) in lost.into_iter().enumerate() {
                manager.record_reading(Scope::Zone(zone as u16), Signal::NodesLost, lost, *now);
                manager.record_reading(Scope::Zone(zone as u16), OBJECTIVE_MET, 1.0 - lost, *now);
            }
            manager.record_reading(Scope::Head, OBJECTIVE_MET, 0.99, *now);
            changes.extend(manager.evaluate(*now).iter().map(|c| format!("{} {}", c.scope, c.to)));
        }
        changes
    };
    assert_eq!(go(&mut manager, &mut now, 4.0, [1.0, 0.0]), ["north hall-cut"]);
    assert_eq!(go(&mut manager, &mut now, 4.0, [1.0, 1.0]), ["south hall-cut"]);
    let mut newer = LevelManager::new(settings(), now);
    newer.restore(now + 0.5, manager.save(now));
    now += 0.5;
    let cut = |manager: &LevelManager| {
        manager.admission(now).zones.iter().map(|(zone, _)| *zone).collect::<Vec<_>>()
    };
    assert_eq!(cut(&newer), [0, 1]);
    assert!(newer.admission(now).head.admits_all(), "nothing else is shed");
    assert_eq!(go(&mut newer, &mut now, 3.0, [0.0, 1.0]), ["north hall-returning"]);
    let back = go(&mut newer, &mut now, 12.0, [0.0, 0.0]);
    assert_eq!(back, ["south hall-returning", "north normal", "south normal"]);
}
