//! How readings are computed from single events. Each type keeps no more than its span or its nodes need.

pub mod node_silence;
pub mod report_lag;
pub mod sliding_sums;
