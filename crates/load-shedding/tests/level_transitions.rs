//! Transitions of levels under constant, oscillating and random signals, under overrides, and across restarts.

use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use flaxgap_load_shedding::report::{LevelReport, TransitionReason};
use flaxgap_load_shedding::{ClassSelector, LevelManager, Names, Scope, SheddingSettings, Signal};
use proptest::prelude::*;

fn names() -> Names {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Names {
        classes: to_strings(&["play-fetch", "episode-save"]),
        plans: to_strings(&["community", "network"]),
        zones: to_strings(&["north"]),
    }
}

fn settings(text: &str) -> SheddingSettings {
    SheddingSettings::parse(text, &names(), &[false, true]).expect("settings")
}

const OBJECTIVE_MET: Signal = Signal::ObjectiveMet(ClassSelector::Class(0));

/// Seconds between two evaluations.
const PERIOD_S: f64 = 0.25;

/// A level manager and its simulated time, in seconds.
struct Simulation {
    manager: LevelManager,
    now: f64,
}

impl Simulation {
    fn new(text: &str) -> Simulation {
        Simulation { manager: LevelManager::new(settings(text), 0.0), now: 0.0 }
    }

    /// Evaluates once per period for some seconds. `objective_met` returns the reading at a time, or `None` for no
    /// reading. Returns the transitions as `from>to`.
    fn run(&mut self, seconds: f64, objective_met: impl Fn(f64) -> Option<f64>) -> Vec<String> {
        let end = self.now + seconds;
        let mut transitions = Vec::new();
        while self.now < end {
            self.now += PERIOD_S;
            if let Some(value) = objective_met(self.now) {
                self.manager.record_reading(Scope::Head, OBJECTIVE_MET, value, self.now);
                self.manager.record_reading(Scope::Head, Signal::Pending, 0.0, self.now);
            }
            for transition in self.manager.evaluate(self.now) {
                transitions.push(format!("{}>{}", transition.from, transition.to));
            }
        }
        transitions
    }

    fn head(&self) -> LevelReport {
        self.manager.status(self.now).levels[0].clone()
    }

    fn level(&self) -> String {
        self.head().level_name
    }
}

#[test]
fn a_level_is_entered_after_a_window_and_lasts_for_its_minimum_duration() {
    let mut simulation = Simulation::new("");
    assert!(
        simulation.run(30.0, |now| Some(if now % 2.0 < 0.5 { 0.0 } else { 1.0 })).is_empty(),
        "single bad readings"
    );
    assert_eq!(simulation.run(4.0, |_| Some(0.85)), ["normal>trim"]);
    let head = simulation.head();
    assert!(
        matches!(&head.reason, TransitionReason::ThresholdBreached { signal, threshold, .. } if signal == "aims" && *threshold == 0.9)
    );
    assert!(
        head.end_conditions.iter().any(|end| end.contains("aims at 0.96 or above; now 0.850")),
        "{:?}",
        head.end_conditions
    );
    assert!(simulation.run(10.0, |_| Some(1.0)).is_empty(), "the minimum duration is not over");
    assert_eq!(simulation.run(10.0, |_| Some(1.0)), ["trim>normal"]);
    let mut simulation = Simulation::new("");
    assert_eq!(
        simulation.run(4.0, |_| Some(0.3)),
        ["normal>reserve-only"],
        "the highest level whose conditions hold"
    );
    assert_eq!(simulation.run(60.0, |_| Some(1.0)), ["reserve-only>saves-limited", "saves-limited>trim"]);
    let waits = simulation.head().end_conditions.iter().any(|end| end.contains("to come back"));
    assert!(waits, "the step to normal waits until the limit allows another entry");
    assert_eq!(simulation.run(560.0, |_| Some(1.0)), ["trim>normal"]);
}

/// Guards against a level that oscillates with the load: load that alternates around a threshold, drifts through it,
/// or oscillates with a period near the minimum duration.
#[test]
fn load_at_a_threshold_changes_the_level_a_few_times_at_most() {
    let sine_wave =
        |period: f64| move |now: f64| Some(0.93 + 0.06 * (now * std::f64::consts::TAU / period).sin());
    let square_wave = |period: f64| move |now: f64| Some(if now % period < period / 2.0 { 0.5 } else { 1.0 });
    for (case, transitions) in [
        (
            "alternating around the threshold",
            Simulation::new("")
                .run(600.0, |now| Some(if (now * 4.0) as u64 % 2 == 0 { 0.899 } else { 0.901 })),
        ),
        ("falling through the threshold", Simulation::new("").run(600.0, |now| Some(1.0 - now / 3000.0))),
        ("rising through the threshold", Simulation::new("").run(600.0, |now| Some(0.8 + now / 3000.0))),
        ("sine wave of 6 s", Simulation::new("").run(600.0, sine_wave(6.0))),
        ("sine wave of one minimum duration", Simulation::new("").run(600.0, sine_wave(15.0))),
        ("square wave of two minimum durations", Simulation::new("").run(600.0, square_wave(30.0))),
        ("square wave of 40 s", Simulation::new("").run(600.0, square_wave(40.0))),
    ] {
        assert!(transitions.len() <= 4, "{case}: {transitions:?}");
    }
}

#[test]
fn a_relapse_doubles_the_next_minimum_duration_up_to_its_limit() {
    let text = "[head]\nchanges = 100\ndwell_s = 10.0\ndwell_most_s = 40.0";
    let mut simulation = Simulation::new(&format!(
        "{text}\n[[head.level]]\nname = \"trim\"\nlets = [{{ pass = \"share\" }}]\nenter = {{ aims = 0.9 }}\nleave = {{ aims = 0.96 }}"
    ));
    let mut measured_s = Vec::new();
    for _ in 0..5 {
        assert_eq!(simulation.run(4.0, |_| Some(0.5)), ["normal>trim"]);
        let entered_at = simulation.now;
        while simulation.run(0.25, |_| Some(1.0)).is_empty() {}
        measured_s.push((simulation.now - entered_at).round());
    }
    let expected_s = [10.0, 20.0, 40.0, 40.0, 40.0];
    let is_close = |(measured, expected): (&f64, f64)| (measured - expected).abs() <= 2.0;
    assert!(measured_s.iter().zip(expected_s).all(is_close), "{measured_s:?}");
    simulation.run(300.0, |_| Some(1.0));
    assert_eq!(simulation.run(4.0, |_| Some(0.5)), ["normal>trim"]);
    assert_eq!(
        simulation.run(14.0, |_| Some(1.0)),
        ["trim>normal"],
        "after some time without an entry, the configured minimum duration applies again"
    );
}

/// Guards against decisions based on old readings: when readings stop, no level may be entered, and the level in force
/// must be left after some time.
#[test]
fn readings_that_stop_enter_no_level_and_keep_none() {
    let mut simulation = Simulation::new("");
    simulation.run(1.0, |_| Some(0.1));
    assert!(simulation.run(60.0, |_| None).is_empty(), "one second of bad readings, then none");
    simulation.run(4.0, |_| Some(0.85));
    assert_eq!(simulation.level(), "trim");
    assert_eq!(simulation.run(30.0, |_| None), ["trim>normal"], "left on trial");
    assert!(simulation.head().reason_text.contains("no reading for"));
}

#[test]
fn an_override_holds_against_readings_expires_and_survives_a_restart() {
    let mut simulation = Simulation::new("");
    let note = OperatorNote { operator: "night shift".into(), reason: "storm warning".into() };
    let request = |level: &str, duration_s| OverrideRequest {
        level_name: level.into(),
        duration_s,
        note: note.clone(),
    };
    for (level, seconds) in [("trim", 0.0), ("trim", f64::NAN), ("panic", 60.0)] {
        assert!(
            simulation.manager.set_override(simulation.now, Scope::Head, &request(level, seconds)).is_err()
        );
    }
    let mut anonymous = request("trim", 60.0);
    anonymous.note = OperatorNote { operator: " ".into(), reason: "x".into() };
    assert!(simulation.manager.set_override(0.0, Scope::Head, &anonymous).is_err(), "a name is required");
    simulation
        .manager
        .set_override(simulation.now, Scope::Head, &request("saves-limited", 60.0))
        .expect("set");
    assert!(simulation.run(50.0, |_| Some(0.1)).is_empty(), "readings do not change the level");
    let saved = serde_json::to_string(&simulation.manager.save(simulation.now)).expect("text");
    let expired = ["saves-limited>saves-limited", "saves-limited>reserve-only"];
    assert_eq!(
        simulation.run(12.0, |_| Some(0.1)),
        expired,
        "the override expires, and the readings determine the level again"
    );
    let restored_head = |now: f64| {
        let mut manager = LevelManager::new(settings(""), now);
        manager.restore(now, serde_json::from_str(&saved).expect("a saved state"));
        manager.status(now).levels[0].clone()
    };
    assert_eq!(
        restored_head(55.0).level_override.map(|level_override| level_override.operator),
        Some("night shift".into()),
        "the process was killed while an override was set"
    );
    assert_eq!(restored_head(5000.0).level_name, "normal", "an override that has expired is not restored");
}

#[test]
fn a_newer_process_restores_a_recently_saved_level_with_its_reason() {
    let mut simulation = Simulation::new("");
    simulation.run(6.0, |_| Some(0.7));
    let (saved, before) = (simulation.manager.save(simulation.now), simulation.head());
    let mut next = LevelManager::new(settings(""), simulation.now);
    next.restore(simulation.now + 1.0, saved.clone());
    let after = next.status(simulation.now).levels[0].clone();
    assert_eq!(
        (after.level_name, after.since, after.reason),
        (before.level_name, before.since, before.reason)
    );
    let mut late = LevelManager::new(settings(""), simulation.now + 60.0);
    late.restore(simulation.now + 60.0, saved);
    assert_eq!(
        late.status(simulation.now + 60.0).levels[0].level_name,
        "normal",
        "a level saved a minute ago is not restored"
    );
}

#[test]
fn a_reload_keeps_the_level_by_its_name_or_returns_to_normal() {
    let mut simulation = Simulation::new("");
    simulation.run(4.0, |_| Some(0.85));
    assert!(simulation.manager.configure(settings("[head]\ndwell_s = 30.0"), simulation.now).is_empty());
    assert_eq!(simulation.level(), "trim");
    let other = "[[head.level]]\nname = \"other\"\nlets = [{ pass = \"share\" }]\nenter = { held = 0.9 }\nleave = { held = 0.5 }";
    let transitions = simulation.manager.configure(settings(other), simulation.now);
    assert_eq!((transitions.len(), transitions[0].to.as_str()), (1, "normal"));
}

/// A phase of constant load with noise.
#[derive(Clone, Debug)]
struct LoadPhase {
    seconds: f64,
    /// Mean reading of the phase, or `None` for a phase without readings.
    objective_met: Option<f64>,
    /// Width of the noise around the mean.
    noise: f64,
}

fn load_phases() -> impl Strategy<Value = Vec<LoadPhase>> {
    let phase = (0.25..60.0, proptest::option::weighted(0.8, 0.0..1.0), 0.0..0.3)
        .prop_map(|(seconds, objective_met, noise)| LoadPhase { seconds, objective_met, noise });
    proptest::collection::vec(phase, 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

    /// Under random load, no span has more transitions than the limit allows, each transition has a reason, and a
    /// level is entered only after several readings with at least one past the threshold.
    #[test]
    fn transitions_are_limited_and_follow_readings(phases in load_phases(), seed in 0u64..1000) {
        let mut simulation = Simulation::new("");
        let (mut random_state, mut transition_times, mut readings) = (seed | 1, Vec::new(), Vec::new());
        for phase in phases {
            let end = simulation.now + phase.seconds;
            while simulation.now < end {
                simulation.now += PERIOD_S;
                let now = simulation.now;
                random_state = random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let noise = ((random_state >> 33) as f64 / f64::from(u32::MAX >> 1) - 0.5) * phase.noise;
                if let Some(mean) = phase.objective_met {
                    let value = (mean + noise).clamp(0.0, 1.0);
                    simulation.manager.record_reading(Scope::Head, OBJECTIVE_MET, value, now);
                    readings.push((now, value));
                }
                for transition in simulation.manager.evaluate(now) {
                    transition_times.push(now);
                    prop_assert!(transition.reason != TransitionReason::Initial);
                    if matches!(transition.reason, TransitionReason::ThresholdBreached { .. }) {
                        let recent = readings.iter().filter(|(at, _)| now - at <= 6.5);
                        prop_assert!(recent.clone().any(|(_, value)| *value <= 0.9), "no bad reading before the entry");
                        prop_assert!(recent.count() >= 4, "entry after too few readings");
                    }
                }
                let recent_transitions = transition_times.iter().filter(|at| now - **at <= 600.0).count();
                prop_assert!(recent_transitions <= 4, "{recent_transitions} transitions in ten minutes");
            }
        }
        // After a long time of good readings, the level is `normal` in every case.
        simulation.run(900.0, |_| Some(1.0));
        prop_assert_eq!(simulation.level(), "normal");
    }
}

/// Given two zones that become unreachable one after the other and an upgrade in between, the newer process restores
/// the levels of both zones, sheds nothing else, and returns each zone to `normal` independently.
#[test]
fn zones_lost_one_after_the_other_have_separate_levels_that_survive_an_upgrade() {
    let names = Names { zones: vec!["north".into(), "south".into()], ..names() };
    let settings = || SheddingSettings::with_defaults(&names, &[false, true]).expect("settings");
    let mut manager = LevelManager::new(settings(), 0.0);
    let mut now = 0.0;
    let run = |manager: &mut LevelManager, now: &mut f64, seconds: f64, lost: [f64; 2]| {
        let (end, mut transitions) = (*now + seconds, Vec::new());
        while *now < end {
            *now += PERIOD_S;
            for (zone, lost) in lost.into_iter().enumerate() {
                manager.record_reading(Scope::Zone(zone as u16), Signal::NodesLost, lost, *now);
                manager.record_reading(Scope::Zone(zone as u16), OBJECTIVE_MET, 1.0 - lost, *now);
            }
            manager.record_reading(Scope::Head, OBJECTIVE_MET, 0.99, *now);
            for transition in manager.evaluate(*now) {
                transitions.push(format!("{} {}", transition.scope, transition.to));
            }
        }
        transitions
    };
    assert_eq!(run(&mut manager, &mut now, 4.0, [1.0, 0.0]), ["north hall-cut"]);
    assert_eq!(run(&mut manager, &mut now, 4.0, [1.0, 1.0]), ["south hall-cut"]);
    let mut newer = LevelManager::new(settings(), now);
    newer.restore(now + 0.5, manager.save(now));
    now += 0.5;
    let restricted_zones = |manager: &LevelManager| {
        manager.admission(now).zones.iter().map(|(zone, _)| *zone).collect::<Vec<_>>()
    };
    assert_eq!(restricted_zones(&newer), [0, 1]);
    assert!(newer.admission(now).head.admits_all(), "nothing else is shed");
    assert_eq!(run(&mut newer, &mut now, 3.0, [0.0, 1.0]), ["north hall-returning"]);
    let transitions = run(&mut newer, &mut now, 12.0, [0.0, 0.0]);
    assert_eq!(transitions, ["south hall-returning", "north normal", "south normal"]);
}
