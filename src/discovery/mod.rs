//! Discovery: the head's list of storage nodes, and the clients that keep it up to date.
//!
//! - [`client`] lists and watches one source, at the times that [`schedule`] determines.
//! - [`relist`] tracks whether the complete list has to be requested again.
//! - `reflector` follows sources and applies their lists to the [`directory`], which owns the membership and updates
//!   the scheduler and the node transport.
//! - [`relays`] follows two relays instead of the discovery server.

pub mod client;
pub mod directory;
mod reflector;
pub mod relays;
pub mod relist;
pub mod schedule;

pub use directory::EndpointDirectory;
