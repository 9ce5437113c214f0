//! Counters of the head, and their export to Graphite and collectd.

pub mod counters;
pub mod event_loop;
pub mod export;
