//! Load shedding by named levels: which signals are measured, when a level is entered and left, and why.
//!
//! Readings come in with [`LevelManager::record_reading`]; [`LevelManager::evaluate`] evaluates them once a period
//! and returns the levels that changed; [`LevelManager::admission`] is what the levels in force admit. Nothing here
//! reads a clock, opens a file or a socket, or knows how requests are served: times are arguments, in seconds on a
//! monotonic clock of the caller's choice, and the package's `clippy.toml` forbids the rest.
//!
//! | module | concern |
//! | --- | --- |
//! | [`signal`] | the signals, their names in settings, and how old a reading is |
//! | [`measurement`] | how readings are computed from single events |
//! | [`settings`] | the escalation policy as operators write it in TOML, and its check |
//! | [`evaluation_window`] | evaluations of a condition over a window |
//! | [`level_state`] | the level of one scope: entry, minimum duration, steps down, override |
//! | [`level_manager`] | all scopes of one head, their history and what they admit |
//! | [`level_override`] | a level that an operator sets, and its checks |
//! | [`report`] | what operators are shown |
//! | [`saved_state`] | what a newer process takes over |

pub mod evaluation_window;
pub mod level_manager;
pub mod level_override;
pub mod level_state;
pub mod measurement;
pub mod report;
pub mod saved_state;
pub mod settings;
pub mod signal;
mod transition_limit;

pub use level_manager::LevelManager;
pub use settings::{Admission, Names, SheddingSettings, SheddingSettingsError};
pub use signal::{ClassSelector, Scope, Signal};
