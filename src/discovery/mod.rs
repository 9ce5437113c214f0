//! Discovery: which storage nodes there are, and how the head keeps up with changes.
//!
//! - [`client`] lists and watches one source, at the pace that [`schedule`] sets.
//! - [`relist`] tracks whether the complete list has to be requested again.
//! - `reflector` follows sources and applies what they send to the [`directory`], which owns the membership and updates
//!   the scheduler and the node transport.
//! - [`relays`] follows two relays in place of discovery itself.

pub mod client;
pub mod directory;
mod reflector;
pub mod relays;
pub mod relist;
pub mod schedule;

pub use directory::EndpointDirectory;
