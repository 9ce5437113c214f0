//! Limit on the memory that request and response bodies use together.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use thiserror::Error;
use tokio::sync::{Mutex, Notify};
use tokio::time::{Instant, timeout_at};

/// Memory not available to bodies: the program, the scheduler, connections and their buffers, in bytes.
const RESERVED_BYTES: usize = 8 << 20;
/// Lower bound of the limit in bytes, so that a machine with little memory can still serve requests.
const MIN_LIMIT_BYTES: usize = RESERVED_BYTES / 4;
/// Maximum length of a body in bytes, buffered or forwarded: far longer than any that clients of a head send or
/// request.
pub const MAX_BODY_BYTES: u64 = 33 << 20;

/// Why a body could not be received.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("body exceeds {MAX_BODY_BYTES} bytes")]
    TooLong,
    /// The body ended early, or its framing is invalid.
    #[error("body incomplete or malformed: {0}")]
    Broken(E),
}

/// The received beginning of a body.
pub struct GatheredBody {
    /// The received bytes.
    pub bytes: Bytes,
    /// Whether `bytes` is the complete body.
    pub is_complete: bool,
}

/// Permits [`BodyMemory::gather`] to return before the body has ended.
#[derive(Clone, Copy, Debug)]
pub struct PartialBody {
    /// When [`BodyMemory::gather`] returns what it has received, provided that it has received `min_bytes`.
    pub deadline: Instant,
    /// Number of bytes that [`BodyMemory::gather`] waits for even after `deadline`.
    pub min_bytes: usize,
}

/// Divisor of the limit that gives the size of the overdraft, by which one reservation at a time may exceed the limit.
/// Bodies that wait for a reservation may together hold all of the memory; without the overdraft, none of them could
/// proceed. The limit itself leaves as much memory again free.
const OVERDRAFT_DIVISOR: usize = 4;

/// Number of bytes that bodies hold. Shared by the buffers, which may be dropped on any thread.
#[derive(Default)]
struct MemoryUsage {
    bytes: AtomicUsize,
    /// Whether the overdraft is held by a reservation.
    is_overdrawn: AtomicBool,
    /// Notified when bytes are released.
    released: Notify,
}

impl MemoryUsage {
    /// Adds bytes and returns the new number of bytes in use.
    fn add(&self, bytes: usize) -> usize {
        self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_one();
        }
    }

    fn get(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }
}

/// A reservation of memory for bodies, released when dropped.
pub struct MemoryReservation {
    bytes: usize,
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
        self.usage.release(released);
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
        self.usage.release(self.bytes);
    }
}

/// The memory budget that all bodies share.
pub struct BodyMemory {
    /// Number of bytes in use, shared with each buffer and reservation.
    in_use: Arc<MemoryUsage>,
    /// Held by the caller that waits for memory, so that waiting callers are served in order of arrival.
    reservation_queue: Mutex<()>,
    /// Number of bytes that all processes of the head may use together.
    limit: Cell<usize>,
    /// This process's share of the limit, from 0 to 1.
    share: Cell<f64>,
}

/// A body's buffer, which releases its bytes when its last owner drops it.
struct BodyBuffer {
    bytes: BytesMut,
    in_use: Arc<MemoryUsage>,
}

impl BodyBuffer {
    /// Appends received bytes and returns whether memory is left for more.
    fn append(&mut self, data: &[u8], limit: usize) -> bool {
        let in_use = self.in_use.add(data.len());
        self.bytes.extend_from_slice(data);
        in_use < limit
    }

    /// Converts the buffer to shared bytes.
    fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.in_use.release(self.bytes.len());
    }
}

impl BodyMemory {
    /// Creates the budget for a machine with `memory_mb` MiB of memory.
    pub fn new(memory_mb: usize) -> Rc<BodyMemory> {
        let memory = BodyMemory {
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
        let machine_bytes = memory_mb.saturating_mul(1 << 20);
        // Halved, because a buffer grows by doubling and the connection that sends the body buffers part of it.
        let limit = machine_bytes.saturating_sub(RESERVED_BYTES) / 2;
        self.limit.set(limit.max(MIN_LIMIT_BYTES));
    }

    /// Changes this process's share of the limit, from 0 to 1.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// Fraction of this process's limit that is in use; above 1 if more than the limit is.
    pub fn used_fraction(&self) -> f64 {
        let limit = self.limit.get() as f64 * self.share.get();
        self.in_use.get() as f64 / limit.max(1.0)
    }

    /// This process's share of the limit, in bytes.
    fn limit_bytes(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// Reserves `bytes` bytes, or half of the limit if that is less, so that a single body never reserves all memory.
    /// Waits until they are free; waiting callers are served in order of arrival. If they are not free, one reservation
    /// at a time may instead exceed the limit, by up to a quarter of it.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let _turn = self.reservation_queue.lock().await;
        loop {
            if let Some(reservation) = self.try_reserve(bytes).or_else(|| self.overdraw(bytes)) {
                return reservation;
            }
            self.in_use.released.notified().await;
        }
    }

    /// Like [`BodyMemory::reserve`], but returns `None` instead of waiting or exceeding the limit. May overtake waiting
    /// callers.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let limit = self.limit_bytes();
        self.reserve_within(bytes.min(limit / 2), limit)
    }

    /// Reserves `bytes` bytes for optional work, or returns `None` if more than half of the limit would then be in use.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_within(bytes, self.limit_bytes() / 2)
    }

    fn reserve_within(&self, bytes: usize, limit: usize) -> Option<MemoryReservation> {
        if self.in_use.get() + bytes > limit {
            return None;
        }
        Some(self.reservation(bytes, false))
    }

    /// Reserves memory beyond the limit, unless another reservation holds the overdraft.
    fn overdraw(&self, bytes: usize) -> Option<MemoryReservation> {
        if self.in_use.is_overdrawn.swap(true, Ordering::Relaxed) {
            return None;
        }
        Some(self.reservation(bytes.min(self.limit_bytes() / OVERDRAFT_DIVISOR), true))
    }

    fn reservation(&self, bytes: usize, is_overdraft: bool) -> MemoryReservation {
        self.in_use.add(bytes);
        MemoryReservation { bytes, is_overdraft, usage: self.in_use.clone() }
    }

    /// Receives a body until it ends, the memory is used up, slightly more than `max_bytes` have been received, or
    /// `partial` permits to return. The remaining bytes stay in `body`.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLong`] if the body's announced length exceeds [`MAX_BODY_BYTES`], [`BodyError::Broken`] if it
    /// ends early or its framing is invalid.
    pub async fn gather<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        max_bytes: usize,
        partial: Option<PartialBody>,
    ) -> Result<GatheredBody, BodyError<B::Error>> {
        let limit = self.limit_bytes();
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        let mut buffer = BodyBuffer { bytes: BytesMut::new(), in_use: self.in_use.clone() };
        let is_complete = loop {
            if buffer.bytes.len() > max_bytes || body.is_end_stream() {
                break body.is_end_stream();
            }
            let may_return_at = partial.filter(|partial| buffer.bytes.len() >= partial.min_bytes);
            let frame = match may_return_at {
                Some(partial) => match timeout_at(partial.deadline, body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => break false,
                },
                None => body.frame().await,
            };
            let Some(frame) = frame else { break true };
            let data = frame.map_err(BodyError::Broken)?.into_data().unwrap_or_default();
            if !buffer.append(&data, limit) {
                break body.is_end_stream();
            }
        };
        Ok(GatheredBody { bytes: buffer.into_bytes(), is_complete })
    }
}

#[cfg(test)]
mod tests;
