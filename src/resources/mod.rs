//! The machine's scarce resources: budgets of file descriptors and of memory for bodies.

pub mod descriptors;
pub mod memory;
