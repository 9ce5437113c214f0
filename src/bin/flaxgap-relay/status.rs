//! The body of the response to `GET /-/counters`: a snapshot of the state and the counters of a relay.

use serde::Serialize;

/// The state and the counters of a relay. The field names are the keys of the JSON object that operators read.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The relay's name.
    pub name: String,
    /// Whether requests for the list are served.
    pub ready: bool,
    /// The version of the replica.
    pub version: u64,
    /// See [`Replica::generation`](flaxgap_distribution::replica::Replica::generation).
    pub generation: u64,
    /// Number of listed nodes.
    pub nodes: usize,
    /// Number of watches that are being served.
    pub watchers: usize,
    /// Number of complete lists that are being sent.
    pub whole_sending: usize,
    /// Number of queued requests for the complete list.
    pub whole_waiting: usize,
    /// Number of records in the log of changes.
    pub log_changes: usize,
    /// Bytes of encoded text in the log of changes.
    pub log_bytes: usize,
    /// See [`Counters::snapshots_sent`](crate::counters::Counters::snapshots_sent).
    pub whole_sent: u64,
    /// See [`Counters::resumed`](crate::counters::Counters::resumed).
    pub resumed: u64,
    /// See [`Counters::changes`](crate::counters::Counters::changes).
    pub changes: u64,
    /// See [`Counters::bytes_sent`](crate::counters::Counters::bytes_sent).
    pub bytes_sent: u64,
    /// See [`Counters::bytes_received`](crate::counters::Counters::bytes_received).
    pub bytes_received: u64,
    /// See [`Counters::heartbeats`](crate::counters::Counters::heartbeats).
    pub heartbeats: u64,
    /// See [`Counters::slow_readers_ended`](crate::counters::Counters::slow_readers_ended).
    pub slow_readers_ended: u64,
    /// See [`Counters::lease_expired`](crate::counters::Counters::lease_expired).
    pub lease_expired: u64,
    /// See [`Counters::rejected`](crate::counters::Counters::rejected).
    pub refused: u64,
    /// See [`Counters::unparsed`](crate::counters::Counters::unparsed).
    pub unread: u64,
}

impl StatusReport {
    /// The report as a JSON object.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|error| format!("{{\"problem\":\"{error}\"}}"))
    }
}
