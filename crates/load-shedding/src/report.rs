//! The status report for operators: the response body of `GET /ops/levels`, including the transition history. Times
//! are seconds on the caller's clock. The `serde` names are part of that response and of the file that the next
//! process reads, so they must not change.

use crate::level_override::LevelOverride;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Why a level is in force, or why a transition was made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind")]
pub enum TransitionReason {
    /// The initial state: there has been no transition since the start.
    #[serde(rename = "start")]
    Initial,
    /// An entry condition of the level held over its window.
    #[serde(rename = "pressed")]
    ThresholdBreached {
        /// Name of the signal.
        signal: String,
        /// The signal's value at the transition.
        value: f64,
        /// The threshold of the condition.
        threshold: f64,
        /// The fraction of the evaluations in the window for which the condition held.
        #[serde(rename = "part")]
        fraction: f64,
    },
    /// All exit conditions of the next higher level held over their window.
    #[serde(rename = "eased")]
    Recovered {
        /// The signals of the exit conditions at the transition.
        #[serde(rename = "figures")]
        signals: Vec<RecoveredSignal>,
    },
    /// The next higher level was left on trial, because its exit conditions had no fresh readings for the configured
    /// time.
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
    /// An override expired, so that the readings determine the level again.
    #[serde(rename = "lapsed")]
    OverrideExpired {
        /// Name of the operator who had set the override.
        #[serde(rename = "who")]
        operator: String,
    },
    /// An operator released an override, so that the readings determine the level again.
    #[serde(rename = "released")]
    OverrideReleased {
        /// Name of the operator who released the override.
        #[serde(rename = "who")]
        operator: String,
        /// The operator's reason.
        #[serde(rename = "why")]
        reason: String,
    },
    /// The settings changed and no longer contain the level that was in force.
    #[serde(rename = "settings")]
    NotInSettings,
}

/// A signal on the good side of its exit threshold. Serialized as the list `[signal, value, threshold]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64)", into = "(String, f64, f64)")]
pub struct RecoveredSignal {
    /// Name of the signal.
    pub signal: String,
    /// The signal's value at the transition.
    pub value: f64,
    /// The exit threshold.
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

/// A change of a scope's level or override, as kept in the history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelTransition {
    /// Time of the transition.
    pub at: f64,
    /// `head`, or the zone's name.
    pub scope: String,
    /// Name of the previous level.
    pub from: String,
    /// Name of the new level, which equals `from` if only the override changed.
    pub to: String,
    /// Why the transition was made.
    #[serde(rename = "why")]
    pub reason: TransitionReason,
}

impl fmt::Display for LevelTransition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}: {}", self.scope, self.from, self.to, self.reason)
    }
}

/// The status of one scope.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LevelReport {
    /// `head`, or the zone's name.
    pub scope: String,
    /// Name of the level in force.
    #[serde(rename = "level")]
    pub level_name: String,
    /// Number of the level, 0 for `normal`.
    #[serde(rename = "rung")]
    pub level: usize,
    /// When the level was entered.
    pub since: f64,
    /// Seconds since the level was entered.
    #[serde(rename = "for_s")]
    pub in_force_s: f64,
    /// Why the level is in force, as text.
    #[serde(rename = "why")]
    pub reason_text: String,
    /// Why the level is in force, as structured data.
    pub reason: TransitionReason,
    /// The operator's override, if one is set.
    #[serde(rename = "pin")]
    pub level_override: Option<LevelOverride>,
    /// Seconds until the earliest time at which the level can end.
    #[serde(rename = "soonest_s")]
    pub earliest_end_s: f64,
    /// The conditions under which the level ends, as text.
    #[serde(rename = "ends")]
    pub end_conditions: Vec<String>,
    /// The number of transitions that the limit still allows in the current span.
    #[serde(rename = "changes_left")]
    pub transitions_left: usize,
    /// The state of each signal's reading as text, by signal name.
    pub readings: BTreeMap<String, String>,
}

/// The status of a head and its zones.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StatusReport {
    /// When the report was made.
    pub now: f64,
    /// The status of the head, followed by that of each zone.
    pub levels: Vec<LevelReport>,
    /// The names of the head's levels, from `normal` to the most restrictive.
    pub head_levels: Vec<String>,
    /// The names of a zone's levels, from `normal` to the most restrictive.
    #[serde(rename = "hall_levels")]
    pub zone_levels: Vec<String>,
    /// The number of transitions since the start of the process.
    #[serde(rename = "changes_total")]
    pub total_transitions: u64,
    /// The latest transitions, newest first.
    #[serde(rename = "changes")]
    pub recent_transitions: Vec<LevelTransition>,
}
