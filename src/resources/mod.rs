//! Budgets of limited resources: file descriptors and memory for bodies.

pub mod descriptors;
pub mod memory;
