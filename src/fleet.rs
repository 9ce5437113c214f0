//! Fleet sizes on which the limits of several modules depend.

/// Largest number of heads whose simultaneous requests a single server, node or discovery source is assumed to handle.
/// Heads of larger fleets spread their polls over time and open new connections instead of reusing old ones.
pub const SMALL_FLEET_MAX_HEADS: u32 = 8;
