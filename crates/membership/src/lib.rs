//! Endpoint membership: which storage nodes are listed, and in which state, given the lists that a head receives.
//!
//! A list is a snapshot (complete list) or contains only changes. Lists may arrive out of order, from several
//! sources: a source may lag behind another one or may have restarted its version count. All rules serve one
//! guarantee: a node that was reported as draining or gone accepts requests again only after a later start of that
//! node or by a newer record, never because of an older list. Callers pass the current time in seconds of Unix time.
//! The crate uses no clock, file or socket.
//!
//! A list is processed in two steps:
//! 1. [`decoder`] splits a byte stream into JSON objects, and [`wire`] parses each into a [`compact::CompactList`].
//! 2. [`Membership::apply`] compares the list with the known nodes and returns the [`NodeChange`]s.
//!
//! Parsing a list takes time linear in its length, and so does finding the nodes that are missing from a snapshot. All
//! further work is proportional to the number of changes. Each listed node is one compact record, since a list may have
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
