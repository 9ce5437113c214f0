//! Load shedding in a running head. [`monitor`] measures the signals, [`controller`] runs the evaluation and carries
//! out operators' overrides, [`level_file`] keeps the levels for the next process. `flaxgap_load_shedding` decides.

pub mod controller;
pub mod level_file;
pub mod monitor;
mod pending_requests;
mod reserved_work;
mod usage_reports;
