//! Computes readings from single events. The memory use of each type is bounded by its time span or by the number of
//! nodes.

pub mod node_silence;
pub mod report_lag;
pub mod sliding_sums;
