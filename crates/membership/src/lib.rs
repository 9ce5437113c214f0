//! Endpoint membership: which storage nodes are listed, and in which state, given the lists that a head receives.
//!
//! Lists come as snapshots (complete lists) or as changes, from sources that may be behind each other or may have
//! restarted their version count, and not always in order. All rules serve one guarantee: a node that was reported as
//! draining or gone takes requests again only after a later start of that node, or by a newer record, never because of
//! an older list. Time is an argument, in seconds of Unix time. The crate uses no clock, file or socket.
//!
//! The way of a list through the modules:
//! 1. [`decoder`] cuts a byte stream into JSON values, and [`wire`] parses each into a [`compact::CompactList`].
//! 2. [`Membership::apply`] compares the list with what is known and returns the [`NodeChange`]s.
//!
//! The cost of a list is linear in its length once, to parse it, and for a snapshot once more, to find the nodes that it
//! lacks. After that only the changes count. Each listed node is one compact record: [`Membership`] is made for
//! thousands of nodes.

pub mod address;
mod change;
pub mod compact;
pub mod decoder;
mod departed_nodes;
mod json_scanner;
pub mod list;
mod list_header;
mod membership;
mod node_table;
mod record;
mod source;
pub mod wire;
mod zones;

pub use change::{EntryChange, ListedNode, NodeChange};
pub use membership::{DEPARTED_FACTOR, MIN_DEPARTED, Membership};
pub use source::{REWIND_AFTER_S, SourceCursor};
