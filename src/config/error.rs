//! Errors in the configuration file.

use thiserror::Error;

/// A configuration that can't be read or holds an invalid value. The message names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not valid JSON, or a field is missing or has the wrong type.
    #[error("{part}{}{path}: {source}", if path.is_empty() { "" } else { "." })]
    Malformed {
        /// The text that was parsed.
        part: ConfigPart,
        /// Path of the field at which parsing failed; empty if the error is not in a field.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A field has an invalid value.
    #[error("{field}: {problem}")]
    Field {
        /// Path of the field, with the names used in the file.
        field: String,
        /// Description of the error.
        problem: String,
    },
}

impl ConfigError {
    /// Creates a [`ConfigError::Field`].
    pub(super) fn field(field: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), problem: problem.into() }
    }
}

/// The text in which an error was found; it starts the error message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigPart {
    /// A head's configuration file.
    Configuration,
    /// Settings without a configuration file, as the simulator's adapter receives them.
    Settings,
}

impl std::fmt::Display for ConfigPart {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            ConfigPart::Configuration => "configuration",
            ConfigPart::Settings => "settings",
        })
    }
}
