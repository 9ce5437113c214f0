//! Distribution of the endpoint list from discovery to thousands of heads through a few relays, over the published list
//! protocol (list and watch).
//!
//! A relay holds one replica of the list with a bounded log of changes ([`replica`]), which all its watchers share
//! ([`watcher`]), and limits the complete lists that it sends at a time ([`snapshot_admission`]). A head selects its
//! relays and moves between them ([`selection`]), and filters the updates that it receives from two of them at once
//! ([`update_filter`]).
//!
//! Nothing here reads a clock, opens a socket or starts a thread: time is an argument, in seconds of Unix time.

mod encode;
pub mod log;
mod random;
pub mod replica;
pub mod selection;
pub mod snapshot_admission;
pub mod update_filter;
pub mod watcher;
