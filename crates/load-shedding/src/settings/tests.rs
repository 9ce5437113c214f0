//! Unit tests of the defaults and the validation of settings.

use super::*;

fn names() -> Names {
    let to_strings = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Names {
        classes: to_strings(&["play-fetch", "episode-save"]),
        plans: to_strings(&["community", "network"]),
        zones: to_strings(&["north", "south", "east"]),
    }
}

fn parse(text: &str) -> Result<SheddingSettings, SheddingSettingsError> {
    SheddingSettings::parse(text, &names(), &[false, true])
}

#[test]
fn an_empty_table_gives_the_default_levels() {
    let settings = parse("").expect("defaults");
    let level_names: Vec<&str> = settings.head.levels.iter().map(|level| level.name.as_str()).collect();
    assert_eq!(level_names, ["trim", "saves-limited", "reserve-only"]);
    assert_eq!(settings.head.levels[1].admission.admission(0, 1), Admission::WithinQuota);
    assert_eq!(settings.head.levels[1].admission.admission(1, 0), Admission::WithinReserve);
    assert_eq!(settings.zone.levels[1].admission.admission(0, 0), Admission::TrialOnly);
    assert_eq!(SheddingSettings::with_defaults(&names(), &[false, true]), Ok(settings));
}

/// Guards against invalid or contradictory settings that are accepted, or rejected without their line and key.
#[test]
fn invalid_settings_are_rejected_with_line_and_key() {
    let level = |lets: &str, enter: &str, leave: &str| {
        format!(
            "[[head.level]]\nname = \"a\"\nlets = [{lets}]\nenter = {{ {enter} }}\nleave = {{ {leave} }}\n"
        )
    };
    let reserve = "{ pass = \"reserve\" }";
    let cases = [
        (level(reserve, "held = 0.5", "held = 0.6"), 5, "levels.head.level[0].leave.held", "gap"),
        (level(reserve, "held = 0.5", "held = 0.5"), 5, "levels.head.level[0].leave.held", "gap"),
        (level(reserve, "aims = 0.9", "aims = 0.8"), 5, "levels.head.level[0].leave.aims", "gap"),
        (
            level(reserve, "aims = 0.9", "held = 0.8"),
            1,
            "levels.head.level[0].leave.aims",
            "needs an exit threshold",
        ),
        (
            level(reserve, "\"aims.gold\" = 0.9", "held = 0.8"),
            4,
            "levels.head.level[0].enter",
            "unknown signal or class \"aims.gold\"",
        ),
        (level(reserve, "", "held = 0.8"), 1, "levels.head.level[0].enter", "needs an entry condition"),
        (level(reserve, "held = 0.5", ""), 1, "levels.head.level[0].leave", "needs an exit condition"),
        (level("", "held = 0.5", "held = 0.2"), 1, "levels.head.level[0].lets", "admits all requests"),
        (level(reserve, "memory = 1.5", "memory = 0.2"), 4, "levels.head.level[0].enter.memory", "0 to 1"),
        (
            level("{ pass = \"share\", classes = [\"gold\"] }", "held = 0.5", "held = 0.2"),
            3,
            "levels.head.level[0].lets",
            "unknown class \"gold\"; must be one of: play-fetch, episode-save",
        ),
        (
            level(reserve, "held = 0.5", "held = 0.2")
                + &level("{ pass = \"share\" }", "held = 0.9", "held = 0.2").replace("\"a\"", "\"b\""),
            6,
            "levels.head.level[1].lets",
            "more of play-fetch on community",
        ),
        (
            level(reserve, "held = 0.5", "held = 0.2").repeat(2),
            7,
            "levels.head.level[1].name",
            "duplicate level name \"a\"",
        ),
        ("\n[head]\nwindow_s = 0.1".into(), 3, "levels.head.window_s", "0.5 to 600"),
        ("[head]\ndwell_s = 1.0".into(), 2, "levels.head.dwell_s", "3 to 3600"),
        ("[head]\nchanges = 3".into(), 2, "levels.head.changes", "4 to 1000"),
        ("[hall]\nevidence = 0.2".into(), 2, "levels.hall.evidence", "0.5 to 1"),
        (
            "period_s = 0.25\nstale_s = 2.0".into(),
            2,
            "levels.stale_s",
            "a single reading could change a level",
        ),
        ("\n\nwindow = 3".into(), 3, "levels", "unknown field"),
    ];
    for (text, line, key, problem) in cases {
        let error = parse(&text).expect_err(&text);
        let is_expected = error.line == line && error.key.starts_with(key) && error.problem.contains(problem);
        assert!(is_expected, "{error}\nin:\n{text}");
    }
}
