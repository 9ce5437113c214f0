//! Resource limits of a head's process.

use serde::Deserialize;

/// Descriptors set aside for each pending request: one for its client connection, the others for its attempts at nodes
/// and for idle connections.
const DESCRIPTORS_PER_PENDING_REQUEST: usize = 3;
/// Memory for connection buffers, in KB for each MB of the memory limit: a quarter of it.
const CONNECTION_BUFFERS_KB_PER_MB: usize = 256;
/// Memory used by the buffers of one connection, in KB.
const CONNECTION_BUFFERS_KB: usize = 24;

/// Resource limits of a head's process, as configured.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Maximum memory use, in MB.
    pub memory_mb: usize,
}

impl Limits {
    /// Maximum number of open file descriptors, reduced if the memory limit has no room for the buffers of as many
    /// connections.
    pub fn descriptors(&self) -> usize {
        let within_memory =
            self.memory_mb.saturating_mul(CONNECTION_BUFFERS_KB_PER_MB) / CONNECTION_BUFFERS_KB;
        self.sockets.min(within_memory)
    }

    /// Maximum number of client requests pending at the same time.
    pub(super) fn pending_requests(&self) -> usize {
        self.sockets / DESCRIPTORS_PER_PENDING_REQUEST
    }
}
