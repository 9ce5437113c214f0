//! Budgets of limited resources, file descriptors and memory, the admission of requests by what is left of
//! them, and the state of a socket.

pub mod admission;
pub mod descriptors;
pub mod memory;
pub mod socket;
