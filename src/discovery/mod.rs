//! Discovery: where the node list comes from and how the head keeps up with it. [`client`] makes the calls,
//! [`schedule`] decides when they are due, and [`directory`] turns what they bring into the nodes that the
//! decision module and the transport know. [`relays`] follows two relays in place of discovery itself.

pub mod client;
pub mod directory;
pub mod relays;
pub mod relist;
pub mod schedule;

pub use directory::EndpointDirectory;
