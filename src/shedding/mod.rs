//! Load shedding in a running head: [`monitor`] measures the signals, [`controller`] keeps the levels in force.
//! `flaxgap_load_shedding` decides.

pub mod controller;
pub mod monitor;
