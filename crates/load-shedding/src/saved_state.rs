//! What a newer process takes over, as the file `flaxgap-NAME.levels` holds it. Older processes read what newer ones
//! write and the other way round, so the `serde` names and forms stay as they are.

use crate::level_override::LevelOverride;
use crate::report::{LevelTransition, TransitionReason};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The level of one scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedLevel {
    /// Name of the level in force.
    #[serde(rename = "level")]
    pub level_name: String,
    /// Since when.
    pub since: f64,
    /// Why.
    #[serde(rename = "why")]
    pub reason: TransitionReason,
    /// The minimum duration of each level as relapses have made it, by name, in seconds.
    #[serde(rename = "dwells")]
    pub min_durations: BTreeMap<String, f64>,
    /// The last step down.
    #[serde(rename = "stepped")]
    pub last_step_down: Option<SavedStepDown>,
    /// When the transitions were that count against the limit.
    #[serde(rename = "recent")]
    pub counted_transitions: Vec<f64>,
    /// The operator's override, if there is one.
    #[serde(rename = "pin")]
    pub level_override: Option<LevelOverride>,
}

/// A step down. Stored as the list `[at, from_level]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, String)", into = "(f64, String)")]
pub struct SavedStepDown {
    /// When.
    pub at: f64,
    /// Name of the level that was left.
    pub from_level: String,
}

impl From<(f64, String)> for SavedStepDown {
    fn from((at, from_level): (f64, String)) -> SavedStepDown {
        SavedStepDown { at, from_level }
    }
}

impl From<SavedStepDown> for (f64, String) {
    fn from(step_down: SavedStepDown) -> (f64, String) {
        (step_down.at, step_down.from_level)
    }
}

/// All levels of a head.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedState {
    /// When this was written.
    #[serde(rename = "written")]
    pub written_at: f64,
    /// The head's level.
    pub head: SavedLevel,
    /// The zones' levels, by name.
    #[serde(rename = "halls")]
    pub zones: BTreeMap<String, SavedLevel>,
    /// The latest transitions, the oldest first.
    #[serde(rename = "changes")]
    pub recent_transitions: Vec<LevelTransition>,
}
