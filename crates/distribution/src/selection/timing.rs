//! The timeouts, delays and backoff of a head's watches on relays.

/// Timeouts and delays of a head, in seconds. A delay with a maximum is drawn uniformly between 0 and the maximum, to
/// spread the calls of the heads.
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionTiming {
    /// While no relay is reachable, a head tries each relay once in this time.
    pub search_sweep_s: f64,
    /// Maximum delay of the first attempt while no relay is reachable. At the planned fleet size, the loss of all
    /// relays of a region causes 210 calls per second to each relay of the other region.
    pub first_attempt_delay_s: f64,
    /// Maximum delay of opening the second watch. At the planned fleet size, the loss of one relay causes 5 calls per
    /// second to each other relay of the region if they are spread evenly.
    pub second_watch_delay_s: f64,
    /// Maximum delay of moving back to a better relay.
    pub failback_delay_s: f64,
    /// A head moves back only after both its watches have been open for this time. It takes about 10 s on one watch to
    /// detect that a source has restarted its numbering, and a move to another watch restarts that detection.
    pub settle_s: f64,
    /// Timeout of opening a watch.
    pub open_timeout_s: f64,
    /// A watch without any message for this time is lost: a heartbeat is due every 2 s, so two may be missed. The
    /// caller detects it; see [`super::LostReason::IdleTimeout`].
    pub idle_timeout_s: f64,
    /// Maximum backoff after the first failure of a relay; it doubles with each further failure. The backoff is drawn
    /// between half the maximum and the maximum.
    pub backoff_base_s: f64,
    /// Limit of the doubled backoff.
    pub backoff_max_s: f64,
    /// A watch that was open for this time resets the failures of its relay.
    pub stable_s: f64,
    /// How long after its backoff a failed relay is less preferred than relays without failures.
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
