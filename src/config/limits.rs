//! Limits of the machine that a head runs on.

use serde::Deserialize;

/// Clients hold one in so many of the descriptors with requests; the others serve attempts at nodes and
/// connections between two requests.
const DESCRIPTORS_PER_PENDING_REQUEST: usize = 3;
/// KB of each MB of the memory that the buffers of connections may take: a quarter.
const CONNECTION_BUFFERS_KB_PER_MB: usize = 256;
/// Memory that the buffers of one connection take, in KB.
const CONNECTION_BUFFERS_KB: usize = 24;

/// The limits.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold, in MB.
    pub memory_mb: usize,
}

impl Limits {
    /// Descriptors that may be held: no more than there is memory for.
    pub fn descriptors(&self) -> usize {
        let with_memory = self.memory_mb.saturating_mul(CONNECTION_BUFFERS_KB_PER_MB) / CONNECTION_BUFFERS_KB;
        self.sockets.min(with_memory)
    }

    /// Requests of clients that may be pending at a time.
    pub(super) fn pending_requests(&self) -> usize {
        self.sockets / DESCRIPTORS_PER_PENDING_REQUEST
    }
}
