//! Distribution of the endpoint list from discovery to thousands of heads through a few relays, over the published list
//! protocol (list and watch).
//!
//! A relay holds one replica of the list with a bounded log of changes ([`replica`]), which is shared by all watches on
//! the relay ([`watcher`]), and limits how many complete lists it sends concurrently ([`snapshot_admission`]). A head
//! selects the relays that it watches and moves between them ([`selection`]), and filters the updates that it receives
//! from two relays ([`update_filter`]).
//!
//! The crate does not read a clock, open a socket or start a thread: the current time is an argument, in seconds of
//! Unix time.

mod encode;
pub mod log;
mod random;
pub mod replica;
pub mod selection;
pub mod snapshot_admission;
pub mod update_filter;
pub mod watcher;
