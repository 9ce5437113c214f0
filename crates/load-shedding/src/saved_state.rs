//! The content of the file `flaxgap-NAME.levels`, from which the next process of a head restores its levels. Times are
//! seconds on the caller's clock. Processes of different versions read each other's files, so the `serde` names and
//! representations must not change.

use crate::level_override::LevelOverride;
use crate::report::{LevelTransition, TransitionReason};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The saved level of one scope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedLevel {
    /// Name of the level in force.
    #[serde(rename = "level")]
    pub level_name: String,
    /// When the level was entered.
    pub since: f64,
    /// Why the level is in force.
    #[serde(rename = "why")]
    pub reason: TransitionReason,
    /// The minimum duration of each level in seconds, including increases after relapses, by level name.
    #[serde(rename = "dwells")]
    pub min_durations: BTreeMap<String, f64>,
    /// The last step down, if any.
    #[serde(rename = "stepped")]
    pub last_step_down: Option<SavedStepDown>,
    /// Times of the transitions that count towards the limit, oldest first.
    #[serde(rename = "recent")]
    pub counted_transitions: Vec<f64>,
    /// The operator's override, if one is set.
    #[serde(rename = "pin")]
    pub level_override: Option<LevelOverride>,
}

/// A step down to the next lower level. Serialized as the list `[at, from_level]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, String)", into = "(f64, String)")]
pub struct SavedStepDown {
    /// Time of the step.
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

/// The saved levels of a head and its zones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SavedState {
    /// When the state was saved.
    #[serde(rename = "written")]
    pub written_at: f64,
    /// The head's level.
    pub head: SavedLevel,
    /// The zones' levels, by zone name.
    #[serde(rename = "halls")]
    pub zones: BTreeMap<String, SavedLevel>,
    /// The latest transitions, oldest first.
    #[serde(rename = "changes")]
    pub recent_transitions: Vec<LevelTransition>,
}
