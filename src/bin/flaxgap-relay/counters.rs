//! What a relay counts.

use flaxgap::discovery::client::Traffic;
use serde::Serialize;
use std::cell::Cell;

/// A count that only grows.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// So many more.
    pub fn add(&self, more: u64) {
        self.0.set(self.0.get() + more);
    }

    /// The count.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// All counts of one relay.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of answers that connections took.
    pub bytes_sent: Counter,
    /// Bytes received from upstream.
    pub bytes_received: Counter,
    /// Whole lists sent.
    pub whole_sent: Counter,
    /// Watches that went on from a version they had.
    pub resumed: Counter,
    /// Lists taken in from upstream that changed something.
    pub changes: Counter,
    /// Empty lines sent.
    pub heartbeats: Counter,
    /// Watchers cut off since they did not read.
    pub slow_readers_ended: Counter,
    /// Times that the lease ran out.
    pub lease_expired: Counter,
    /// Calls turned away with 503.
    pub refused: Counter,
    /// Words from upstream that could not be read.
    pub unread: Counter,
}

impl Traffic for Counters {
    fn add_call(&self) {}

    fn add_received(&self, bytes: u64) {
        self.bytes_received.add(bytes);
    }

    fn add_sent(&self, _: u64) {}
}

/// The counts and the state at one moment, as `GET /-/counters` gives them.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The relay's name.
    pub name: String,
    /// Whether it answers heads.
    pub ready: bool,
    /// The version of the list that it holds.
    pub version: u64,
    /// Which list of the source's, counted from the relay's start: versions of different generations do not compare.
    pub generation: u64,
    /// Entries of the list.
    pub nodes: usize,
    /// Watches that stand.
    pub watchers: usize,
    /// Whole lists that are being sent.
    pub whole_sending: usize,
    /// Callers that wait for the whole list.
    pub whole_waiting: usize,
    /// Lines of changes that are kept.
    pub log_changes: usize,
    /// Bytes of changes that are kept.
    pub log_bytes: usize,
    /// See [`Counters`].
    pub whole_sent: u64,
    /// See [`Counters`].
    pub resumed: u64,
    /// See [`Counters`].
    pub changes: u64,
    /// See [`Counters`].
    pub bytes_sent: u64,
    /// See [`Counters`].
    pub bytes_received: u64,
    /// See [`Counters`].
    pub heartbeats: u64,
    /// See [`Counters`].
    pub slow_readers_ended: u64,
    /// See [`Counters`].
    pub lease_expired: u64,
    /// See [`Counters`].
    pub refused: u64,
    /// See [`Counters`].
    pub unread: u64,
}
