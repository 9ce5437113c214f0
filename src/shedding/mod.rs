//! Load shedding in a running head. [`monitor`] measures the signals, [`controller`] evaluates them periodically and
//! applies operators' overrides, and [`level_file`] saves the levels for the next process. The decisions about levels
//! are made in `flaxgap_load_shedding`.

pub mod controller;
pub mod level_file;
pub mod monitor;
mod pending_requests;
mod reserved_work;
mod usage_reports;
