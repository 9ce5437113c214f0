//! The limits of a relay's replica and of its watchers.

/// Limits of a replica and of its watchers.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicaLimits {
    /// Limit on the bytes of changes in the log. 8 MiB hold about 60,000 changed entries, eight times the entries of
    /// the planned list.
    pub log_bytes: usize,
    /// Limit on the records in the log. 4,096 records cover more than an hour at one change per second.
    pub log_records: usize,
    /// Duration of the lease that each message from upstream renews, in seconds. Upstream sends a heartbeat every 2 s,
    /// so one of them may be lost.
    pub lease_s: f64,
    /// How long a watcher that knows a newer version waits for the replica to reach it, in seconds. Discovery's changes
    /// arrive within 6 s, so a relay that only lags has caught up by then.
    pub catch_up_s: f64,
    /// Heartbeat interval of an idle watch, in seconds, as the protocol defines it.
    pub heartbeat_s: f64,
    /// How long a watcher may leave pending data unread, in seconds.
    pub slow_reader_s: f64,
}

impl Default for ReplicaLimits {
    fn default() -> ReplicaLimits {
        ReplicaLimits {
            log_bytes: 8 << 20,
            log_records: 4096,
            lease_s: 4.0,
            catch_up_s: 5.0,
            heartbeat_s: 2.0,
            slow_reader_s: 10.0,
        }
    }
}
