//! Counters and gauges of the head, their exporters, and the measurement of event loop turns.

pub mod counters;
pub mod event_loop;
pub mod export;
