//! How fast a head tries, opens and moves its watches.

/// The paces of a head.
#[derive(Clone, Debug, PartialEq)]
pub struct Pacing {
    /// In this time a head without a relay tries each of them once, in seconds.
    pub sweep_s: f64,
    /// The first try without a relay comes within this time, in seconds: at the coming size, where a whole region's
    /// relays are lost, 210 calls in a second for each of the other region's.
    pub first_try_s: f64,
    /// The second watch is opened within this time, in seconds: at the coming size, where one relay is lost, 5 calls in a
    /// second for each other one of the region if they were spread evenly.
    pub second_s: f64,
    /// A head moves back to a better relay within this time, in seconds.
    pub return_s: f64,
    /// A head moves back only if both its watches have spoken for so long, in seconds: a head learns that a source counts
    /// anew over some 10 s on one watch, and begins again on another.
    pub settled_s: f64,
    /// How long an opening may take, in seconds.
    pub open_s: f64,
    /// A watch is lost that says nothing for so long, in seconds: a heartbeat is due every 2 s, so that two may be
    /// missed. Its client tells that; see [`LostReason::Silent`].
    pub silence_s: f64,
    /// A relay that failed is left alone for half to all of this, in seconds, twice as long after each next failure.
    pub avoid_s: f64,
    /// But for no longer than this, in seconds.
    pub max_avoid_s: f64,
    /// A watch that stood for so long makes up for its relay's earlier failures, in seconds.
    pub stable_s: f64,
    /// A relay's failures count for so long after it need not be left alone any more, in seconds.
    pub forget_s: f64,
}

impl Default for Pacing {
    fn default() -> Pacing {
        Pacing {
            sweep_s: 3.6,
            first_try_s: 1.0,
            second_s: 10.0,
            return_s: 60.0,
            settled_s: 15.0,
            open_s: 3.0,
            silence_s: 5.0,
            avoid_s: 2.0,
            max_avoid_s: 60.0,
            stable_s: 30.0,
            forget_s: 600.0,
        }
    }
}
