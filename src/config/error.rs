//! Errors of the configuration file and of the settings in it.

use thiserror::Error;

/// A configuration that no head can start with; says which part is wrong.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("configuration {path}: {source}")]
    Unreadable {
        /// Where it was looked for.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// The text is not of the form expected.
    #[error("{part}{}{path}: {source}", if path.is_empty() { "" } else { "." })]
    Malformed {
        /// Which text it is.
        part: ConfigPart,
        /// The path of what can't be read, as far as the parser came; empty where it is no JSON.
        path: String,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A field holds a value that can't be served.
    #[error("{field}: {problem}")]
    Field {
        /// The field's path, in the operators' words.
        field: String,
        /// What is wrong with it.
        problem: String,
    },
}

impl ConfigError {
    /// An error of the field at a path.
    pub(super) fn field(field: impl Into<String>, problem: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), problem: problem.into() }
    }
}

/// A text that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigPart {
    /// A head's configuration file.
    Configuration,
    /// Settings by themselves, as the simulator's adapter receives them.
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
