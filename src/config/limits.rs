//! Resource limits of a head's process.

use crate::resources::memory::MemoryPlan;
use serde::Deserialize;

/// Descriptors set aside for each pending request: one for its client connection, the others for its attempts at nodes
/// and for idle connections.
const DESCRIPTORS_PER_PENDING_REQUEST: usize = 3;
/// Resource limits of a head's process, as configured.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory use, in MB.
    pub memory_mb: usize,
}

impl Limits {
    /// Maximum number of open file descriptors, reduced if the memory limit has no room for as many connections
    /// without a request.
    pub fn descriptors(&self) -> usize {
        self.sockets.min(MemoryPlan::new(self.memory_mb).idle_connections)
    }

    /// Maximum number of client requests pending at the same time.
    pub(super) fn pending_requests(&self) -> usize {
        self.sockets / DESCRIPTORS_PER_PENDING_REQUEST
    }
}
