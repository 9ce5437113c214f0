//! The levels and values that apply where a file specifies none.

use super::EscalationPolicy;

/// Placeholder in [`HEAD_LEVELS`] for the names of the classes whose requests change data.
const WRITE_CLASSES: &str = "WRITE_CLASSES";

/// The head's default levels in TOML.
const HEAD_LEVELS: &str = r#"
[[level]]
name = "trim"
lets = [{ pass = "share" }]
enter = { aims = 0.9, held = 0.5 }
leave = { aims = 0.96, held = 0.3 }

[[level]]
name = "saves-limited"
lets = [{ pass = "share" }, { pass = "reserve", classes = [WRITE_CLASSES] }]
enter = { aims = 0.8, held = 0.65 }
leave = { aims = 0.93, held = 0.4 }

[[level]]
name = "reserve-only"
lets = [{ pass = "reserve" }]
enter = { aims = 0.65, held = 0.8 }
leave = { aims = 0.9, held = 0.5 }
"#;

/// A zone's default levels in TOML.
pub(super) const ZONE_LEVELS: &str = r#"
[[level]]
name = "hall-returning"
lets = [{ pass = "share" }]
leave = { nodes_lost = 0.2, aims = 0.9 }
dwell_s = 6.0

[[level]]
name = "hall-cut"
lets = [{ pass = "nothing" }]
enter = { nodes_lost = 0.75 }
leave = { nodes_lost = 0.5 }
dwell_s = 2.0
"#;

/// Minimum length of a window, in evaluation periods. A single evaluation must not be enough to change a level.
pub(super) const MIN_WINDOW_PERIODS: f64 = 2.0;
/// Minimum duration of a level, in seconds. Load that oscillates within a few seconds must not make the level
/// oscillate.
pub(super) const MIN_DURATION_S: f64 = 15.0;
/// Window of the head's policy, in seconds.
const HEAD_WINDOW_S: f64 = 3.0;
/// Window of a zone's policy, in seconds. It is shorter than the head's, since the loss of a whole zone shows at all of
/// its nodes at once.
const ZONE_WINDOW_S: f64 = 1.5;
/// Maximum number of transitions of the head in a span. It allows fewer than three entries with a step down each, which
/// would be an oscillation.
const HEAD_MAX_TRANSITIONS: usize = 4;
/// Maximum number of transitions of a zone in a span. The loss of a zone and its return take three.
const ZONE_MAX_TRANSITIONS: usize = 9;

/// The head's default levels in TOML, with the names of the classes whose requests change data.
pub(super) fn head_levels(write_classes: &[String]) -> String {
    let quoted: Vec<String> = write_classes.iter().map(|name| format!("{name:?}")).collect();
    HEAD_LEVELS.replace(WRITE_CLASSES, &quoted.join(", "))
}

/// The head's default policy, without levels.
pub(super) fn head_policy(period_s: f64) -> EscalationPolicy {
    policy(period_s, HEAD_WINDOW_S, HEAD_MAX_TRANSITIONS)
}

/// A zone's default policy, without levels.
pub(super) fn zone_policy(period_s: f64) -> EscalationPolicy {
    policy(period_s, ZONE_WINDOW_S, ZONE_MAX_TRANSITIONS)
}

fn policy(period_s: f64, window_s: f64, max_transitions: usize) -> EscalationPolicy {
    EscalationPolicy {
        levels: Vec::new(),
        window_s: window_s.max(MIN_WINDOW_PERIODS * period_s),
        required_fraction: 0.7,
        max_min_duration_s: 240.0,
        max_transitions,
        transition_span_s: 600.0,
        no_readings_after_s: 10.0,
        period_s,
    }
}
