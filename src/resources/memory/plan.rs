//! How the memory limit of a head is divided. Does no I/O.

/// Memory of the program itself, in bytes: its code, the scheduler, the endpoint list and the log's queue.
const PROGRAM_BYTES: usize = 8 << 20;
/// Divisor of the memory limit that gives the memory for connections without a request.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// Memory of a connection without a request, in bytes: its task, its socket and the beginning of a head.
const IDLE_CONNECTION_BYTES: usize = 8 * 1024;
/// Numerator and denominator of the part of the remaining memory that peers may use; the allocator needs the rest for
/// what it can't give back.
const PEERS_NUMERATOR: usize = 3;
const PEERS_DENOMINATOR: usize = 4;
/// Lower bound of the memory for peers in bytes, so that a machine with little memory can still serve requests.
const MIN_PEER_BYTES: usize = 4 << 20;

/// The parts of a head's memory limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Number of connections without a request for which there is memory.
    pub idle_connections: usize,
    /// Memory that may be held for peers with a request in progress, in bytes.
    pub peer_bytes: usize,
}

impl MemoryPlan {
    /// Divides a limit of `memory_mb` MiB.
    pub fn new(memory_mb: usize) -> MemoryPlan {
        let machine_bytes = memory_mb.saturating_mul(1 << 20);
        let idle_bytes = machine_bytes / IDLE_CONNECTIONS_DIVISOR;
        let remaining = machine_bytes.saturating_sub(PROGRAM_BYTES + idle_bytes);
        MemoryPlan {
            idle_connections: idle_bytes / IDLE_CONNECTION_BYTES,
            peer_bytes: (remaining / PEERS_DENOMINATOR * PEERS_NUMERATOR).max(MIN_PEER_BYTES),
        }
    }
}
