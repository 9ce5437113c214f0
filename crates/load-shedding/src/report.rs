//! What operators are shown of levels: the body of `GET /ops/levels` and the history. Times are seconds on the
//! caller's clock. The `serde` names are the words of that body and of the file that a newer process reads; they
//! stay as they are.

use crate::level_override::LevelOverride;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Why a level is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum TransitionReason {
    /// Nothing has happened since the start.
    #[serde(rename = "start")]
    Initial,
    /// A condition to enter the level held over its window.
    #[serde(rename = "pressed")]
    ThresholdBreached {
        /// The signal's name.
        signal: String,
        /// Its value at the time.
        value: f64,
        /// The threshold that it was past.
        threshold: f64,
        /// The fraction of the evaluations at which the condition held.
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// All conditions to leave the level above held over their window.
    #[serde(rename = "eased")]
    Recovered {
        /// The signals at the time.
        #[serde(rename = "figures")]
        signals: Vec<RecoveredSignal>,
    },
    /// No reading was fresh for so long that the level above was left as a trial.
    #[serde(rename = "blind")]
    NoReadings {
        /// Seconds without a fresh reading.
        seconds: f64,
    },
    /// An operator set the level.
    #[serde(rename = "pinned")]
    OverrideSet {
        /// Name of the operator.
        #[serde(rename = "who")]
        operator: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
        /// When the override expires.
        #[serde(rename = "until")]
        expires_at: f64,
    },
    /// An override expired; readings decide again.
    #[serde(rename = "lapsed")]
    OverrideExpired {
        /// Name of the operator who had set it.
        #[serde(rename = "who")]
        operator: String,
    },
    /// An operator released an override; readings decide again.
    #[serde(rename = "released")]
    OverrideReleased {
        /// Name of the operator who released it.
        #[serde(rename = "who")]
        operator: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// New settings have no level of that name.
    #[serde(rename = "settings")]
    NotInSettings,
}

/// A signal that is on the good side of its threshold. Stored as the list `[signal, value, threshold]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64)", into = "(String, f64, f64)")]
pub struct RecoveredSignal {
    /// The signal's name.
    pub signal: String,
    /// Its value at the time.
    pub value: f64,
    /// The threshold to leave the level by.
    pub threshold: f64,
}

impl From<(String, f64, f64)> for RecoveredSignal {
    fn from((signal, value, threshold): (String, f64, f64)) -> RecoveredSignal {
        RecoveredSignal { signal, value, threshold }
    }
}

impl From<RecoveredSignal> for (String, f64, f64) {
    fn from(recovered: RecoveredSignal) -> (String, f64, f64) {
        (recovered.signal, recovered.value, recovered.threshold)
    }
}

impl fmt::Display for TransitionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TransitionReason::Initial => f.write_str("start"),
            TransitionReason::ThresholdBreached { signal, value, threshold, fraction } => {
                write!(f, "{signal} at {value:.3}, past {threshold} at {:.0} % of looks", fraction * 100.0)
            }
            TransitionReason::Recovered { signals } => {
                f.write_str("eased:")?;
                for RecoveredSignal { signal, value, threshold } in signals {
                    write!(f, " {signal} at {value:.3}, good from {threshold}")?;
                }
                Ok(())
            }
            TransitionReason::NoReadings { seconds } => {
                write!(f, "no reading for {seconds:.1} s, tried without")
            }
            TransitionReason::OverrideSet { operator, reason, .. } => {
                write!(f, "pinned by {operator}: {reason}")
            }
            TransitionReason::OverrideExpired { operator } => write!(f, "the pin by {operator} lapsed"),
            TransitionReason::OverrideReleased { operator, reason } => {
                write!(f, "released by {operator}: {reason}")
            }
            TransitionReason::NotInSettings => f.write_str("new settings know no such level"),
        }
    }
}

/// One change of level, or of its override, in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelTransition {
    /// When.
    pub at: f64,
    /// `head`, or the zone's name.
    pub scope: String,
    /// The level before.
    pub from: String,
    /// The level since; the same where only the override changed.
    pub to: String,
    /// Why.
    #[serde(rename = "why")]
    pub reason: TransitionReason,
}

impl fmt::Display for LevelTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}: {}", self.scope, self.from, self.to, self.reason)
    }
}

/// The level of one scope as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelReport {
    /// `head`, or the zone's name.
    pub scope: String,
    /// Name of the level in force.
    #[serde(rename = "level")]
    pub level_name: String,
    /// Its number, 0 for `normal`.
    #[serde(rename = "rung")]
    pub level: usize,
    /// Since when.
    pub since: f64,
    /// Seconds that it has been in force.
    #[serde(rename = "for_s")]
    pub in_force_s: f64,
    /// The reason in words.
    #[serde(rename = "why")]
    pub reason_text: String,
    /// The reason.
    pub reason: TransitionReason,
    /// The operator's override, if there is one.
    #[serde(rename = "pin")]
    pub level_override: Option<LevelOverride>,
    /// Seconds until the level could end at the earliest.
    #[serde(rename = "soonest_s")]
    pub earliest_end_s: f64,
    /// What has to happen for the level to end, in words.
    #[serde(rename = "ends")]
    pub end_conditions: Vec<String>,
    /// Transitions left of those allowed in the present span.
    #[serde(rename = "changes_left")]
    pub transitions_left: usize,
    /// Each signal's reading, in words.
    pub readings: BTreeMap<String, String>,
}

/// All levels of a head as operators see them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatusReport {
    /// The time of the report.
    pub now: f64,
    /// The head's level first, then the zones'.
    pub levels: Vec<LevelReport>,
    /// The names of the head's levels, the mildest first.
    pub head_levels: Vec<String>,
    /// The names of a zone's levels, the mildest first.
    #[serde(rename = "hall_levels")]
    pub zone_levels: Vec<String>,
    /// Transitions since the start.
    #[serde(rename = "changes_total")]
    pub total_transitions: u64,
    /// The latest transitions, the newest first.
    #[serde(rename = "changes")]
    pub recent_transitions: Vec<LevelTransition>,
}
