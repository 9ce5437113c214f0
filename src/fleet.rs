//! Sizes of the fleet of heads that several modules' limits depend on.

/// Largest number of heads whose simultaneous requests one shared server, node or discovery source is assumed to bear.
/// Larger fleets spread their polls and open new connections rather than reuse old ones.
pub const SMALL_FLEET_MAX_HEADS: u32 = 8;
