//! Overrides: levels that an operator sets for a limited time, regardless of the readings, and the validation of such
//! requests.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum duration of an override, in seconds: one day, so that a forgotten override ends by the next shift.
pub const MAX_OVERRIDE_S: f64 = 86_400.0;
/// Minimum duration of an override, in seconds.
const MIN_OVERRIDE_S: f64 = 1.0;
/// Maximum length of an operator's name or reason, in characters. Both are kept in the history and logged.
const MAX_TEXT_CHARS: usize = 200;

/// An override in force. Times are seconds on the caller's clock. The `serde` names are used in the saved file and in
/// the response to `GET /ops/levels`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LevelOverride {
    /// Name of the operator.
    #[serde(rename = "who")]
    pub operator: String,
    /// The operator's reason.
    #[serde(rename = "why")]
    pub reason: String,
    /// When the override was set.
    pub since: f64,
    /// When the override expires.
    #[serde(rename = "until")]
    pub expires_at: f64,
}

/// The operator who sets or releases an override, and the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorNote {
    /// Name of the operator.
    pub operator: String,
    /// The operator's reason.
    pub reason: String,
}

impl OperatorNote {
    /// Checks that both texts are present and can be logged on one line.
    ///
    /// # Errors
    ///
    /// A text is empty, too long or contains control characters.
    pub fn check(&self) -> Result<(), OverrideError> {
        check_text("who", &self.operator)?;
        check_text("why", &self.reason)
    }
}

/// A request to set an override.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideRequest {
    /// Name of the level.
    pub level_name: String,
    /// Duration of the override, in seconds.
    pub duration_s: f64,
    /// The operator and the reason.
    pub note: OperatorNote,
}

impl OverrideRequest {
    /// Checks the note and the duration. The level's name is checked by
    /// [`LevelManager::set_override`](crate::LevelManager::set_override), which knows the scope's levels.
    ///
    /// # Errors
    ///
    /// A text of the note is empty, too long or contains control characters, or the duration is out of range.
    pub fn check(&self) -> Result<(), OverrideError> {
        self.note.check()?;
        if (MIN_OVERRIDE_S..=MAX_OVERRIDE_S).contains(&self.duration_s) {
            Ok(())
        } else {
            Err(OverrideError::InvalidDuration)
        }
    }

    /// The override that this request puts in force at `now`.
    pub fn starting(&self, now: f64) -> LevelOverride {
        LevelOverride {
            operator: self.note.operator.clone(),
            reason: self.note.reason.clone(),
            since: now,
            expires_at: now + self.duration_s,
        }
    }
}

/// The reason for which an operator's request was rejected. All variants are mistakes in the request.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum OverrideError {
    /// The scope has no level of this name.
    #[error("unknown level {level_name:?}; must be one of: {known}")]
    UnknownLevel {
        /// The requested name.
        level_name: String,
        /// The names of the scope's levels.
        known: String,
    },
    /// The installation has no zone of this name.
    #[error("unknown scope {zone_name:?}; must be `head` or one of: {known}")]
    UnknownZone {
        /// The requested name.
        zone_name: String,
        /// The names of all zones.
        known: String,
    },
    /// The operator's name or reason is empty, too long or contains control characters.
    #[error("{parameter} must be a text of 1 to {MAX_TEXT_CHARS} characters without control characters")]
    InvalidText {
        /// Name of the request's parameter.
        parameter: &'static str,
    },
    /// The duration is out of range.
    #[error("seconds must be from {MIN_OVERRIDE_S} to {MAX_OVERRIDE_S}")]
    InvalidDuration,
    /// The scope has no override to release.
    #[error("no override is set for {scope}")]
    NotOverridden {
        /// `head`, or the zone's name.
        scope: String,
    },
}

fn check_text(parameter: &'static str, text: &str) -> Result<(), OverrideError> {
    let is_blank = text.trim().is_empty();
    let is_too_long = text.chars().count() > MAX_TEXT_CHARS;
    let has_control_characters = text.chars().any(char::is_control);
    if is_blank || is_too_long || has_control_characters {
        return Err(OverrideError::InvalidText { parameter });
    }
    Ok(())
}
