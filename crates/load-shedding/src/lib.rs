//! Named levels of reduced service: what is measured, when a level is entered and left, and why.
//!
//! Readings come in with [`Governor::read`]; [`Governor::decide`] looks at them once a period and says which
//! levels changed; [`Governor::effect`] is what the levels in force let pass. Nothing here reads a clock, opens a
//! file or a socket, or knows how requests are served: times are arguments, in seconds on a clock of the caller's
//! choosing that never runs backwards, and the package's `clippy.toml` forbids the rest.
//!
//! | module | concern |
//! | --- | --- |
//! | [`signal`] | what can be read, and how old a reading is |
//! | [`estimate`] | how a reading comes out of single events |
//! | [`settings`] | the ladder as operators word it, checked |
//! | [`evidence`] | looks at a condition over a window |
//! | [`ladder`] | one scope's level: entry, dwell, steps down, pins |
//! | [`governor`] | all scopes of one head, their history and what they let pass |
//! | [`report`] | what operators are shown, and what a newer process takes over |

pub mod estimate;
pub mod evidence;
pub mod governor;
pub mod ladder;
pub mod report;
pub mod settings;
pub mod signal;

pub use governor::Governor;
pub use settings::{Names, Pass, Settings, SettingsError};
pub use signal::{Of, Scope, Signal};
