//! Budgets of limited resources, file descriptors and memory, the admission of requests by what is left of
//! them, the state of sockets, and when what they hold arrived.

pub mod admission;
pub mod allocations;
pub mod arrivals;
pub mod descriptors;
pub mod listening_socket;
pub mod memory;
pub mod reading_watch;
pub mod repeat;
pub mod socket;
pub mod tcp_info;
