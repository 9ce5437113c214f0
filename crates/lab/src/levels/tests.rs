//! Tests of this module's private parts.

use super::*;

fn plan() -> (Plan, Levels) {
    let size = Size { heads: 3, nodes: 4, volumes: 4, cores: 2, held: 64 };
    let fleet = Fleet::draw(size, 1);
    let levels = Levels::usual(&fleet.names, &[false, true]).expect("settings");
    (Plan { size, seconds: 100.0 }, levels)
}

/// Guards against a model that is not the same twice, and against rules that it breaks.
#[test]
fn the_same_seed_gives_the_same_row_and_no_answer_is_missing() {
    let (plan, levels) = plan();
    for drive in [Drive::Entry(1), Drive::BusyCut, Drive::Lag, Drive::Surge] {
        let once = row(drive, plan, &levels, 5).expect("a row");
        let twice = row(drive, plan, &levels, 5).expect("a row");
        assert_eq!(serde_json::to_string(&once).ok(), serde_json::to_string(&twice).ok());
        assert_eq!(once.broken, 0, "{once:?}");
        assert!(once.changes_head <= 4, "{once:?}");
    }
}

/// Guards against a hall that is shed for too long, and against heads that shed others for it.
#[test]
fn a_cut_hall_is_left_found_again_and_costs_the_others_nothing() {
    let (plan, levels) = plan();
    let staged = stage(Drive::Cut, plan, &levels, 3).expect("a day");
    let (played, service) = staged.play(plan, &Policy::Levels(Box::new(levels.clone())), 3).expect("played");
    let (_, none) = staged.play(plan, &Policy::Plain, 3).expect("played");
    let halls: Vec<&str> =
        played.changes.iter().flatten().filter(|c| c.scope != "head").map(|c| c.to.as_str()).collect();
    assert!(halls.contains(&"hall-cut") && halls.contains(&"hall-returning"), "{halls:?}");
    let ends = halls.iter().filter(|to| **to == "normal").count();
    let cuts = halls.iter().filter(|to| **to == "hall-cut").count();
    assert_eq!(ends, cuts, "each is back by the end: {halls:?}");
    assert!(service.whole > none.whole - 0.01, "{} against {}", service.whole, none.whole);
}

/// The guards can be seen to matter: without them levels swing.
#[test]
fn without_its_guards_a_ladder_swings() {
    let (plan, levels) = plan();
    let all = ablations(plan, &levels, &[2]).expect("rows");
    let of = |guard| all.iter().find(|a| a.guard == guard).map_or(0, |a| a.changes_max);
    assert!(of(Ablation::Full) <= 4);
    assert!(of(Ablation::NoGuard) > 5 * of(Ablation::Full).max(1), "{all:?}");
}
