//! Budgets of limited resources, file descriptors and memory, and the admission of requests by what is left of them.

pub mod admission;
pub mod descriptors;
pub mod memory;
