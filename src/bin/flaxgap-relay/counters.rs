//! The counters of a relay.

use flaxgap::discovery::client::Traffic;
use std::cell::Cell;

/// A monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increases the counter.
    pub fn add(&self, increment: u64) {
        self.0.set(self.0.get() + increment);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// All counters of one relay.
#[derive(Debug, Default)]
pub struct Counters {
    /// Bytes of response bodies that were passed to connections.
    pub bytes_sent: Counter,
    /// Bytes received from upstream.
    pub bytes_received: Counter,
    /// Complete lists sent.
    pub snapshots_sent: Counter,
    /// Watches that were opened without a request for the complete list.
    pub resumed: Counter,
    /// Lists from upstream that changed entries.
    pub changes: Counter,
    /// Heartbeats (empty lines) sent.
    pub heartbeats: Counter,
    /// Responses ended because their reader was too slow.
    pub slow_readers_ended: Counter,
    /// Number of times that the lease has expired.
    pub lease_expired: Counter,
    /// Requests for the list that were answered with status 503.
    pub rejected: Counter,
    /// Messages from upstream, or parts of them, that could not be parsed.
    pub unparsed: Counter,
}

impl Traffic for Counters {
    fn add_call(&self) {}

    fn add_received(&self, bytes: u64) {
        self.bytes_received.add(bytes);
    }

    fn add_sent(&self, _: u64) {}
}
