//! The body of `GET /-/counters`: the state and the counters of a relay at one moment.

use serde::Serialize;

/// The state and the counters of a relay. The field names are the keys of the JSON object that operators read.
#[derive(Debug, Serialize)]
pub struct StatusReport {
    /// The relay's name.
    pub name: String,
    /// Whether it serves heads.
    pub ready: bool,
    /// The version of its list.
    pub version: u64,
    /// How often upstream restarted its numbering: versions of different generations do not compare.
    pub generation: u64,
    /// Number of listed nodes.
    pub nodes: usize,
    /// Number of watches.
    pub watchers: usize,
    /// Complete lists that are being sent.
    pub whole_sending: usize,
    /// Queued requests for the complete list.
    pub whole_waiting: usize,
    /// Records in the log of changes.
    pub log_changes: usize,
    /// Bytes in the log of changes.
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
