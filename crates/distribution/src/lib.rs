//! How the node list gets from discovery to thousands of heads through a few relays, in the list protocol as it is
//! published. A relay keeps one copy of the list with a bounded log of changes ([`replica`]), which all its watchers
//! share ([`watcher`]), and bounds the whole lists that it sends at a time ([`admission`]). A head chooses its relays
//! and moves between them ([`selection`]), and takes lists from two of them at once ([`intake`]).
//!
//! Nothing here reads a clock, opens a socket or starts a thread: time is an argument, in seconds of Unix time.

pub mod admission;
mod draw;
mod encode;
pub mod intake;
pub mod log;
pub mod replica;
pub mod selection;
pub mod watcher;
