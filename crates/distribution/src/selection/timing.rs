//! The timeouts, delays and backoff of a head's watches on relays.

/// Timeouts and delays of a head, in seconds. A delay "up to" a value is drawn uniformly from 0 to it, to spread the
/// fleet's calls.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionTiming {
    /// A head without a relay tries each of them once in this time.
    pub search_sweep_s: f64,
    /// Delay of the first attempt without a relay, up to this: at the planned size, where a whole region's relays are
    /// lost, 210 calls a second to each relay of the other region.
    pub first_attempt_delay_s: f64,
    /// Delay of opening the second watch, up to this: at the planned size, where one relay is lost, 5 calls a second to
    /// each other relay of the region if they were spread evenly.
    pub second_watch_delay_s: f64,
    /// Delay of moving back to a better relay, up to this.
    pub failback_delay_s: f64,
    /// A head moves back only after both its watches have been open for this time: a head takes about 10 s on one watch
    /// to learn that a source has restarted its numbering, and starts over on another watch.
    pub settle_s: f64,
    /// Timeout of opening a watch.
    pub open_timeout_s: f64,
    /// A watch without any message for this time is lost: a heartbeat is due every 2 s, so two may be missed. The
    /// caller detects it; see [`super::LostReason::IdleTimeout`].
    pub idle_timeout_s: f64,
    /// Backoff of a relay after its first failure: half to all of this, doubled with each further failure.
    pub backoff_base_s: f64,
    /// Upper limit of the backoff.
    pub backoff_max_s: f64,
    /// A watch that was open for this time clears the earlier failures of its relay.
    pub stable_s: f64,
    /// Failures of a relay lower its preference for this time after its backoff.
    pub failure_memory_s: f64,
}

impl Default for SelectionTiming {
    fn default() -> SelectionTiming {
        SelectionTiming {
            search_sweep_s: 3.6,
            first_attempt_delay_s: 1.0,
            second_watch_delay_s: 10.0,
            failback_delay_s: 60.0,
            settle_s: 15.0,
            open_timeout_s: 3.0,
            idle_timeout_s: 5.0,
            backoff_base_s: 2.0,
            backoff_max_s: 60.0,
            stable_s: 30.0,
            failure_memory_s: 600.0,
        }
    }
}
