//! Tests of this module's private parts.

use super::*;

fn plan() -> (Plan, SheddingSettings) {
    let size = Size { heads: 3, nodes: 4, volumes: 4, cores: 2, held: 64 };
    let fleet = Fleet::draw(size, 1);
    let settings = SheddingSettings::with_defaults(&fleet.names, &[false, true]).expect("settings");
    (Plan { size, seconds: 100.0 }, settings)
}

/// Guards against a model that is not the same twice, and against rules that it breaks.
#[test]
fn the_same_seed_gives_the_same_row_and_no_response_is_missing() {
    let (plan, settings) = plan();
    for drive in [Drive::Entry(1), Drive::BusyCut, Drive::Lag, Drive::Surge] {
        let once = row(drive, plan, &settings, 5).expect("a row");
        let twice = row(drive, plan, &settings, 5).expect("a row");
        assert_eq!(serde_json::to_string(&once).ok(), serde_json::to_string(&twice).ok());
        assert_eq!(once.broken, 0, "{once:?}");
        assert!(once.changes_head <= 4, "{once:?}");
    }
}

/// Guards against a zone that is shed for too long, and against heads that shed others for it.
#[test]
fn a_zone_that_is_cut_off_is_left_found_again_and_costs_the_others_nothing() {
    let (plan, settings) = plan();
    let staged = stage(Drive::Cut, plan, &settings, 3).expect("a day");
    let levels = staged.play(plan, &Policy::Levels(Box::new(settings.clone())), 3).expect("played");
    let none = staged.play(plan, &Policy::Plain, 3).expect("played");
    let zone_levels: Vec<&str> =
        levels.played.changes.iter().flatten().filter(|c| c.scope != "head").map(|c| c.to.as_str()).collect();
    assert!(zone_levels.contains(&"hall-cut") && zone_levels.contains(&"hall-returning"), "{zone_levels:?}");
    let ends = zone_levels.iter().filter(|to| **to == "normal").count();
    let cuts = zone_levels.iter().filter(|to| **to == "hall-cut").count();
    assert_eq!(ends, cuts, "each is back by the end: {zone_levels:?}");
    assert!(
        levels.service.whole > none.service.whole - 0.01,
        "{} against {}",
        levels.service.whole,
        none.service.whole
    );
}

/// The safeguards can be seen to matter: without them levels swing.
#[test]
fn without_its_safeguards_a_level_swings() {
    let (plan, settings) = plan();
    let all = ablations(plan, &settings, &[2]).expect("rows");
    let of = |guard| all.iter().find(|a| a.guard == guard).map_or(0, |a| a.changes_max);
    assert!(of(Ablation::Full) <= 4);
    assert!(of(Ablation::NoSafeguard) > 5 * of(Ablation::Full).max(1), "{all:?}");
}
