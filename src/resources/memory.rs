//! The budget of memory that the head holds for its peers.
//!
//! Whoever holds bytes for a peer reserves them first, by the capacity of the buffer that holds them, and nothing is
//! read for which there is no room: the sender is then subject to backpressure. The budget counts request and response
//! bodies, long heads and pipelined requests, and for each request in progress and each connection to a node a fixed
//! amount that covers the buffers of the HTTP library; what the plug-in holds is counted as it grows. Connections without a request are covered by the part of the
//! memory that the budget leaves free ([`MemoryPlan`]).

mod body_buffer;
mod plan;

pub use body_buffer::{BodyError, EarlyReturn, GatheredBody, MAX_BODY_BYTES, PartialBody};
pub use plan::MemoryPlan;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{Mutex, Notify};

/// Memory of a request in progress, in bytes: the read and write buffers of the HTTP library, the request's fields and
/// its tasks.
pub const REQUEST_BYTES: usize = 40 * 1024;
/// Memory of a connection to a node, in bytes: the read and write buffers of the HTTP library.
pub const NODE_CONNECTION_BYTES: usize = 28 * 1024;
/// Memory of a connection of the HTTP/2 frontend, in bytes: the buffers and field tables of the HTTP library, and its
/// state of the streams that were open at the same time.
const HTTP2_CONNECTION_BYTES: usize = 96 * 1024;
/// Divisor of the limit that gives the part in use from which on memory is scarce.
const SCARCE_DIVISOR: usize = 4;
/// Divisor of the limit that gives the part that connections of the HTTP/2 frontend may hold together.
const HTTP2_DIVISOR: usize = 4;
/// Divisor of the limit that gives the part that bodies leave free for requests and connections to nodes.
const BODIES_DIVISOR: usize = 2;
/// Divisor of the limit that gives the part that requests leave free for connections to nodes: accepting a request is
/// useless if no connection to a node can be opened for it.
const NODE_RESERVE_DIVISOR: usize = 5;
/// Divisor of the bodies' limit that gives the size of the overdraft, by which one reservation at a time may exceed that
/// limit. Bodies that wait for a reservation may together hold all memory for bodies; without the overdraft, none of
/// them could proceed.
const OVERDRAFT_DIVISOR: usize = 4;

/// Memory in use. Shared by the reservations, which may be dropped on any thread.
#[derive(Default)]
struct MemoryUsage {
    /// Bytes reserved for bodies, heads and pipelined requests.
    body_bytes: AtomicUsize,
    /// Bytes reserved for requests in progress and connections to nodes.
    exchange_bytes: AtomicUsize,
    /// Bytes reserved for connections of the HTTP/2 frontend.
    http2_bytes: AtomicUsize,
    /// Bytes that the plug-in holds.
    plugin_bytes: AtomicUsize,
    /// Whether the overdraft is held by a reservation.
    is_overdrawn: AtomicBool,
    /// Notified when bytes are released.
    released: Notify,
}

impl MemoryUsage {
    fn bytes(&self, purpose: Purpose) -> &AtomicUsize {
        match purpose {
            Purpose::Body => &self.body_bytes,
            Purpose::Exchange => &self.exchange_bytes,
            Purpose::Http2Connection => &self.http2_bytes,
        }
    }

    fn total(&self) -> usize {
        let counts = [&self.body_bytes, &self.exchange_bytes, &self.http2_bytes, &self.plugin_bytes];
        counts.iter().map(|bytes| bytes.load(Ordering::Relaxed)).sum()
    }

    fn release(&self, purpose: Purpose, bytes: usize) {
        if bytes > 0 {
            self.bytes(purpose).fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_one();
        }
    }
}

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    /// Bytes that a peer has sent: of a body, a long head or a pipelined request.
    Body,
    /// The fixed memory of a request in progress or of a connection to a node.
    Exchange,
    /// The fixed memory of a connection of the HTTP/2 frontend.
    Http2Connection,
}

/// A reservation of memory, released when dropped.
pub struct MemoryReservation {
    bytes: usize,
    purpose: Purpose,
    /// Whether the reservation holds the overdraft.
    is_overdraft: bool,
    usage: Arc<MemoryUsage>,
}

impl MemoryReservation {
    /// Number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Releases all but `bytes` bytes; no effect if the reservation is not larger.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.usage.release(self.purpose, released);
    }

    /// Merges another reservation of the same memory into this one.
    pub fn merge(&mut self, mut other: MemoryReservation) {
        self.bytes += std::mem::take(&mut other.bytes);
        self.is_overdraft |= std::mem::take(&mut other.is_overdraft);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if self.is_overdraft {
            self.usage.is_overdrawn.store(false, Ordering::Relaxed);
            self.usage.released.notify_one();
        }
        self.usage.release(self.purpose, self.bytes);
    }
}

/// Reserved memory at one moment, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservedMemory {
    /// Bytes of bodies, long heads and pipelined requests.
    pub body_bytes: usize,
    /// Bytes of requests in progress, connections to nodes, connections of the HTTP/2 frontend and the plug-in.
    pub exchange_bytes: usize,
    /// Bytes that the plug-in holds.
    pub plugin_bytes: usize,
    /// Bytes that may be reserved in all.
    pub limit_bytes: usize,
}

impl fmt::Display for ReservedMemory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ReservedMemory { body_bytes, exchange_bytes, limit_bytes, .. } = self;
        write!(f, "bodies={body_bytes} exchanges={exchange_bytes} limit={limit_bytes}")
    }
}

/// The memory budget that all peers share.
pub struct MemoryBudget {
    /// Memory in use, shared with each reservation.
    in_use: Arc<MemoryUsage>,
    /// Held by the caller that waits for memory, so that waiting callers are served in order of arrival.
    reservation_queue: Mutex<()>,
    /// Number of bytes that all processes of the head may use together.
    limit: Cell<usize>,
    /// This process's share of the limit, from 0 to 1.
    share: Cell<f64>,
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("MemoryBudget").field(&self.usage()).finish()
    }
}

impl MemoryBudget {
    /// Creates the budget for a machine with `memory_mb` MiB of memory.
    pub fn new(memory_mb: usize) -> Rc<MemoryBudget> {
        let memory = MemoryBudget {
            in_use: Arc::default(),
            reservation_queue: Mutex::new(()),
            limit: Cell::new(0),
            share: Cell::new(1.0),
        };
        memory.set_limit(memory_mb);
        Rc::new(memory)
    }

    /// Changes the limit. Memory in use beyond a lower limit stays in use until it is dropped.
    pub fn set_limit(&self, memory_mb: usize) {
        self.limit.set(MemoryPlan::new(memory_mb).peer_bytes);
    }

    /// Changes this process's share of the limit, from 0 to 1.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// Sets how many bytes the plug-in holds. They are taken from the memory for peers.
    pub fn set_plugin_bytes(&self, bytes: usize) {
        let before = self.in_use.plugin_bytes.swap(bytes, Ordering::Relaxed);
        if bytes < before {
            self.in_use.released.notify_one();
        }
    }

    /// Fraction of this process's limit that is in use; above 1 if more than the limit is.
    pub fn used_fraction(&self) -> f64 {
        self.in_use.total() as f64 / self.limit_bytes().max(1) as f64
    }

    /// Whether so much is in use that connections without a request should hold as little as they can.
    pub fn is_scarce(&self) -> bool {
        self.in_use.total() > self.limit_bytes() / SCARCE_DIVISOR
    }

    /// What is reserved, by its purpose, and the limit.
    pub fn usage(&self) -> ReservedMemory {
        ReservedMemory {
            body_bytes: self.in_use.body_bytes.load(Ordering::Relaxed),
            exchange_bytes: self.in_use.total() - self.in_use.body_bytes.load(Ordering::Relaxed),
            plugin_bytes: self.in_use.plugin_bytes.load(Ordering::Relaxed),
            limit_bytes: self.limit_bytes(),
        }
    }

    /// The limit of all processes of the head together, in bytes.
    pub fn head_limit_bytes(&self) -> usize {
        self.limit.get()
    }

    /// This process's share of the limit, in bytes.
    pub fn limit_bytes(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// The part of this process's limit that bodies may use, in bytes.
    fn bodies_limit_bytes(&self) -> usize {
        self.limit_bytes() / BODIES_DIVISOR
    }

    /// Reserves the memory of a request, or returns `None` if the rest is needed for connections to nodes.
    pub fn try_reserve_request(&self) -> Option<MemoryReservation> {
        let limit = self.limit_bytes();
        self.reserve_exchange(REQUEST_BYTES, limit - limit / NODE_RESERVE_DIVISOR)
    }

    /// Reserves the memory of a connection to a node, or returns `None` if it is not free.
    pub fn try_reserve_node_connection(&self) -> Option<MemoryReservation> {
        self.reserve_exchange(NODE_CONNECTION_BYTES, self.limit_bytes())
    }

    /// Reserves the memory of a connection of the HTTP/2 frontend, or returns `None` if those that are open hold all that
    /// they may hold together.
    pub fn try_reserve_http2_connection(&self) -> Option<MemoryReservation> {
        let limit = self.limit_bytes();
        let bytes = HTTP2_CONNECTION_BYTES;
        let held_bytes = self.in_use.http2_bytes.load(Ordering::Relaxed);
        let fits = held_bytes + bytes <= limit / HTTP2_DIVISOR && self.in_use.total() + bytes <= limit;
        fits.then(|| self.reservation(Purpose::Http2Connection, bytes))
    }

    fn reserve_exchange(&self, bytes: usize, limit: usize) -> Option<MemoryReservation> {
        let fits = self.in_use.total() + bytes <= limit;
        fits.then(|| self.reservation(Purpose::Exchange, bytes))
    }

    /// Reserves `bytes` bytes for a body, or half of the bodies' limit if that is less, so that a single body never
    /// reserves all memory. Waits until they are free; waiting callers are served in order of arrival. If they are not
    /// free, one reservation at a time may instead exceed the limit, by up to a quarter of it.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let _turn = self.reservation_queue.lock().await;
        loop {
            if let Some(reservation) = self.try_reserve(bytes).or_else(|| self.overdraw(bytes)) {
                return reservation;
            }
            self.in_use.released.notified().await;
        }
    }

    /// Like [`MemoryBudget::reserve`], but returns `None` instead of waiting or exceeding the limit. May overtake
    /// waiting callers.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let limit = self.bodies_limit_bytes();
        self.reserve_within(bytes.min(limit / 2), limit)
    }

    /// Reserves all of `bytes` bytes for a buffer, or returns `None` if they are not free.
    pub fn try_reserve_buffer(&self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_within(bytes, self.bodies_limit_bytes())
    }

    /// Reserves `bytes` bytes for optional work, or returns `None` if more than half of the bodies' limit would then be
    /// in use.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_within(bytes, self.bodies_limit_bytes() / 2)
    }

    fn reserve_within(&self, bytes: usize, limit: usize) -> Option<MemoryReservation> {
        let fits =
            self.usage().body_bytes + bytes <= limit && self.in_use.total() + bytes <= self.limit_bytes();
        fits.then(|| self.reservation(Purpose::Body, bytes))
    }

    /// Reserves memory beyond the bodies' limit, unless another reservation holds the overdraft.
    fn overdraw(&self, bytes: usize) -> Option<MemoryReservation> {
        if self.in_use.is_overdrawn.swap(true, Ordering::Relaxed) {
            return None;
        }
        let bytes = bytes.min(self.bodies_limit_bytes() / OVERDRAFT_DIVISOR);
        let mut reservation = self.reservation(Purpose::Body, bytes);
        reservation.is_overdraft = true;
        Some(reservation)
    }

    fn reservation(&self, purpose: Purpose, bytes: usize) -> MemoryReservation {
        self.in_use.bytes(purpose).fetch_add(bytes, Ordering::Relaxed);
        MemoryReservation { bytes, purpose, is_overdraft: false, usage: self.in_use.clone() }
    }
}

#[cfg(test)]
mod tests;
