//! Load shedding by named levels, which are entered and left when measured signals cross configured thresholds.
//!
//! The caller records readings with [`LevelManager::record_reading`]. [`LevelManager::evaluate`] evaluates them once
//! per period and returns the transitions that it made; [`LevelManager::admission`] returns which requests the levels
//! in force admit. The crate performs no I/O and reads no clock, which the package's `clippy.toml` enforces: all times
//! are arguments, in seconds on a monotonic clock chosen by the caller.
//!
//! | module | concern |
//! | --- | --- |
//! | [`signal`] | the signals, their names in settings, and the staleness of their readings |
//! | [`measurement`] | computes readings from single events |
//! | [`settings`] | the escalation policies: their TOML form, defaults and validation |
//! | [`evaluation_window`] | the results of a condition over a sliding window |
//! | [`level_state`] | the level of one scope: entry, minimum duration, steps down, override |
//! | [`level_manager`] | the levels of all scopes of one head, the combined admission and the transition history |
//! | [`level_override`] | levels set by an operator, and the validation of such requests |
//! | [`report`] | the status report for operators |
//! | [`saved_state`] | the state that is handed over to the next process of the head |

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
