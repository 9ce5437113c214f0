//! The exact JSON of the saved file `flaxgap-NAME.levels` and of the response to `GET /ops/levels`. Processes of
//! different versions read each other's files, and operators' tools parse the response.

use flaxgap_load_shedding::level_override::{OperatorNote, OverrideRequest};
use flaxgap_load_shedding::report::TransitionReason;
use flaxgap_load_shedding::{ClassSelector, LevelManager, Names, Scope, SheddingSettings, Signal};

/// A saved file as written by the revision of December 2026.
const SAVED: &str = concat!(
    r#"{"written":41.0,"head":{"level":"saves-limited","since":40.0,"why":{"kind":"pinned","who":"ann","#,
    r#""why":"storm warning","until":640.0},"dwells":{"reserve-only":15.0,"saves-limited":15.0,"#,
    r#""trim":15.0},"stepped":[18.25,"trim"],"recent":[3.25,18.25],"pin":{"who":"ann","#,
    r#""why":"storm warning","since":40.0,"until":640.0}},"halls":{"north":{"level":"hall-returning","#,
    r#""since":36.0,"why":{"kind":"eased","figures":[["nodes_lost",0.0,0.5]]},"dwells":{"hall-cut":2.0,"#,
    r#""hall-returning":6.0},"stepped":[36.0,"hall-cut"],"recent":[1.75,36.0],"pin":null},"#,
    r#""south":{"level":"hall-cut","since":40.0,"why":{"kind":"released","who":"bob","why":"it passed"},"#,
    r#""dwells":{"hall-cut":2.0,"hall-returning":6.0},"stepped":null,"recent":[],"pin":null}},"#,
    r#""changes":[{"at":1.75,"scope":"north","from":"normal","to":"hall-cut","why":{"kind":"pressed","#,
    r#""signal":"nodes_lost","value":1.0,"threshold":0.75,"part":1.0}},{"at":3.25,"scope":"head","#,
    r#""from":"normal","to":"trim","why":{"kind":"pressed","signal":"aims","value":0.85,"threshold":0.9,"#,
    r#""part":1.0}},{"at":18.25,"scope":"head","from":"trim","to":"normal","why":{"kind":"eased","#,
    r#""figures":[["aims",1.0,0.96],["held",0.125,0.3]]}},{"at":36.0,"scope":"north","from":"hall-cut","#,
    r#""to":"hall-returning","why":{"kind":"eased","figures":[["nodes_lost",0.0,0.5]]}},{"at":40.0,"#,
    r#""scope":"head","from":"normal","to":"saves-limited","why":{"kind":"pinned","who":"ann","#,
    r#""why":"storm warning","until":640.0}},{"at":40.0,"scope":"south","from":"normal","to":"hall-cut","#,
    r#""why":{"kind":"pinned","who":"ann","why":"x","until":100.0}},{"at":41.0,"scope":"south","#,
    r#""from":"hall-cut","to":"hall-cut","why":{"kind":"released","who":"bob","why":"it passed"}}]}"#,
);

/// The response to `GET /ops/levels` at the same time, without line breaks and indentation.
const STATUS: &str = concat!(
    r#"{"now":41.0,"levels":[{"scope":"head","level":"saves-limited","rung":2,"since":40.0,"for_s":1.0,"#,
    r#""why":"pinned by ann: storm warning","reason":{"kind":"pinned","who":"ann","why":"storm warning","#,
    r#""until":640.0},"pin":{"who":"ann","why":"storm warning","since":40.0,"until":640.0},"#,
    r#""soonest_s":599.0,"ends":["the pin lapses in 599 s, or is released"],"changes_left":2,"#,
    r#""readings":{"aims.play-fetch":"stale (1.000, 1.0 s ago)","held":"stale (0.125, 1.0 s ago)"}},"#,
    r#"{"scope":"north","level":"hall-returning","rung":1,"since":36.0,"for_s":5.0,"#,
    r#""why":"eased: nodes_lost at 0.000, good from 0.5","reason":{"kind":"eased","figures":[["nodes_lost","#,
    r#"0.0,0.5]]},"pin":null,"soonest_s":1.5,"ends":["1.0 s of the 6 s that it lasts at least are to go","#,
    r#""aims at 0.9 or above; now missing","nodes_lost at 0.2 or below; now stale (0.000, 1.0 s ago)"],"#,
    r#""changes_left":7,"readings":{"aims":"missing","nodes_lost":"stale (0.000, 1.0 s ago)"}},"#,
    r#"{"scope":"south","level":"hall-cut","rung":2,"since":40.0,"for_s":1.0,"#,
    r#""why":"released by bob: it passed","reason":{"kind":"released","who":"bob","why":"it passed"},"#,
    r#""pin":null,"soonest_s":1.5,"ends":["1.0 s of the 2 s that it lasts at least are to go","#,
    r#""nodes_lost at 0.5 or below; now missing"],"changes_left":9,"readings":{"nodes_lost":"missing"}}],"#,
    r#""head_levels":["normal","trim","saves-limited","reserve-only"],"hall_levels":["normal","#,
    r#""hall-returning","hall-cut"],"changes_total":7,"changes":[{"at":41.0,"scope":"south","#,
    r#""from":"hall-cut","to":"hall-cut","why":{"kind":"released","who":"bob","why":"it passed"}},"#,
    r#"{"at":40.0,"scope":"south","from":"normal","to":"hall-cut","why":{"kind":"pinned","who":"ann","#,
    r#""why":"x","until":100.0}},{"at":40.0,"scope":"head","from":"normal","to":"saves-limited","#,
    r#""why":{"kind":"pinned","who":"ann","why":"storm warning","until":640.0}},{"at":36.0,"scope":"north","#,
    r#""from":"hall-cut","to":"hall-returning","why":{"kind":"eased","figures":[["nodes_lost",0.0,0.5]]}},"#,
    r#"{"at":18.25,"scope":"head","from":"trim","to":"normal","why":{"kind":"eased","figures":[["aims",1.0,"#,
    r#"0.96],["held",0.125,0.3]]}},{"at":3.25,"scope":"head","from":"normal","to":"trim","#,
    r#""why":{"kind":"pressed","signal":"aims","value":0.85,"threshold":0.9,"part":1.0}},{"at":1.75,"#,
    r#""scope":"north","from":"normal","to":"hall-cut","why":{"kind":"pressed","signal":"nodes_lost","#,
    r#""value":1.0,"threshold":0.75,"part":1.0}}]}"#,
);

/// Time at which the file was written, in seconds.
const WRITTEN_AT: f64 = 41.0;

fn settings() -> SheddingSettings {
    let names = Names {
        classes: vec!["play-fetch".into(), "episode-save".into()],
        plans: vec!["community".into(), "network".into()],
        zones: vec!["north".into(), "south".into()],
    };
    SheddingSettings::with_defaults(&names, &[false, true]).expect("settings")
}

fn note(operator: &str, reason: &str) -> OperatorNote {
    OperatorNote { operator: operator.into(), reason: reason.into() }
}

fn request(level_name: &str, duration_s: f64, note: OperatorNote) -> OverrideRequest {
    OverrideRequest { level_name: level_name.into(), duration_s, note }
}

/// Creates a manager whose history contains entries and steps down by readings, and overrides set and released.
fn levels_with_a_history() -> LevelManager {
    let mut manager = LevelManager::new(settings(), 0.0);
    let mut now = 0.0;
    while now < 40.0 {
        now += 0.25;
        let objective_met = if now < 4.0 { 0.85 } else { 1.0 };
        let nodes_lost = if now < 35.0 { 1.0 } else { 0.0 };
        let class = ClassSelector::Class(0);
        manager.record_reading(Scope::Head, Signal::ObjectiveMet(class), objective_met, now);
        manager.record_reading(Scope::Head, Signal::Pending, 0.125, now);
        manager.record_reading(Scope::Zone(0), Signal::NodesLost, nodes_lost, now);
        manager.evaluate(now);
    }
    let storm = request("saves-limited", 600.0, note("ann", "storm warning"));
    manager.set_override(now, Scope::Head, &storm).expect("set");
    let south = request("hall-cut", 60.0, note("ann", "x"));
    manager.set_override(now, Scope::Zone(1), &south).expect("set");
    manager.release_override(WRITTEN_AT, Scope::Zone(1), &note("bob", "it passed")).expect("released");
    manager
}

#[test]
fn the_saved_file_keeps_its_form() {
    let written = serde_json::to_string(&levels_with_a_history().save(WRITTEN_AT)).expect("JSON");
    assert_eq!(written, SAVED);
}

#[test]
fn a_saved_file_is_restored_and_saved_again_unchanged() {
    let mut manager = LevelManager::new(settings(), WRITTEN_AT);
    manager.restore(WRITTEN_AT, serde_json::from_str(SAVED).expect("a saved file"));
    let written = serde_json::to_string(&manager.save(WRITTEN_AT)).expect("JSON");
    assert_eq!(written, SAVED);
}

/// Guards against changes to the stored form of a transition reason: all kinds must be read and written unchanged.
#[test]
fn every_reason_keeps_its_stored_form() {
    for reason in [
        r#"{"kind":"start"}"#,
        r#"{"kind":"pressed","signal":"aims","value":0.5,"threshold":0.9,"part":0.75}"#,
        r#"{"kind":"eased","figures":[["held",0.1,0.3],["aims",1.0,0.96]]}"#,
        r#"{"kind":"blind","seconds":10.25}"#,
        r#"{"kind":"pinned","who":"ann","why":"storm","until":640.0}"#,
        r#"{"kind":"lapsed","who":"ann"}"#,
        r#"{"kind":"released","who":"bob","why":"it passed"}"#,
        r#"{"kind":"settings"}"#,
    ] {
        let read: TransitionReason = serde_json::from_str(reason).expect(reason);
        assert_eq!(serde_json::to_string(&read).expect("JSON"), reason);
    }
}

#[test]
fn the_status_report_keeps_its_form() {
    let status = serde_json::to_string(&levels_with_a_history().status(WRITTEN_AT)).expect("JSON");
    assert_eq!(status, STATUS);
}
