//! A level that an operator sets for a while, whatever the readings say, and the checks of such a request.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest that an override may last, in seconds: a day, so that one that is forgotten ends by the next shift.
pub const MAX_OVERRIDE_S: f64 = 86_400.0;
/// Shortest override, in seconds.
const MIN_OVERRIDE_S: f64 = 1.0;
/// Longest operator name or reason, in characters: they stand in the history and on log lines.
const MAX_TEXT_CHARS: usize = 200;

/// A level that an operator has set. The `serde` names are those of the saved file and of `GET /ops/levels`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelOverride {
    /// Name of the operator.
    #[serde(rename = "who")]
    pub operator: String,
    /// The operator's reason.
    #[serde(rename = "why")]
    pub reason: String,
    /// Since when.
    pub since: f64,
    /// When it expires.
    #[serde(rename = "until")]
    pub expires_at: f64,
}

/// Who asks for a change of an override, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorNote {
    /// Name of the operator.
    pub operator: String,
    /// The operator's reason.
    pub reason: String,
}

impl OperatorNote {
    /// Checks that both texts are given and fit on a log line.
    ///
    /// # Errors
    ///
    /// A text is empty, too long, or has control characters.
    pub fn check(&self) -> Result<(), OverrideError> {
        check_text("who", &self.operator)?;
        check_text("why", &self.reason)
    }
}

/// A request to set a level.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideRequest {
    /// Name of the level.
    pub level_name: String,
    /// How long it lasts, in seconds.
    pub duration_s: f64,
    /// Who asks, and why.
    pub note: OperatorNote,
}

impl OverrideRequest {
    /// Checks the texts and the duration; the level's name is checked against the scope's levels.
    ///
    /// # Errors
    ///
    /// A text is empty, too long or has control characters, or the duration is too short or too long.
    pub fn check(&self) -> Result<(), OverrideError> {
        self.note.check()?;
        if (MIN_OVERRIDE_S..=MAX_OVERRIDE_S).contains(&self.duration_s) {
            Ok(())
        } else {
            Err(OverrideError::InvalidDuration)
        }
    }

    /// The override that is in force from now on.
    pub fn starting(&self, now: f64) -> LevelOverride {
        LevelOverride {
            operator: self.note.operator.clone(),
            reason: self.note.reason.clone(),
            since: now,
            expires_at: now + self.duration_s,
        }
    }
}

/// Why an operator's request was rejected. All are mistakes in the request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OverrideError {
    /// The scope has no level of this name.
    #[error("no level {level_name:?} here; there are {known}")]
    UnknownLevel {
        /// The requested name.
        level_name: String,
        /// The names of the scope's levels.
        known: String,
    },
    /// There is no zone of this name.
    #[error("no hall {zone_name:?}; known are {known}")]
    UnknownZone {
        /// The requested name.
        zone_name: String,
        /// The names of all zones.
        known: String,
    },
    /// The operator's name or reason is missing, too long, or not plain text.
    #[error("{parameter} has to be said, in 1 to {MAX_TEXT_CHARS} characters")]
    InvalidText {
        /// The parameter's name.
        parameter: &'static str,
    },
    /// The duration is out of range.
    #[error("a pin lasts from 1 to {MAX_OVERRIDE_S} seconds")]
    InvalidDuration,
    /// There is no override to release.
    #[error("nobody holds the level of {scope}")]
    NotOverridden {
        /// `head`, or the zone's name.
        scope: String,
    },
}

fn check_text(parameter: &'static str, text: &str) -> Result<(), OverrideError> {
    let is_given = !text.trim().is_empty();
    let fits = text.chars().count() <= MAX_TEXT_CHARS;
    let is_plain = text.chars().all(|c| !c.is_control());
    if is_given && fits && is_plain { Ok(()) } else { Err(OverrideError::InvalidText { parameter }) }
}
