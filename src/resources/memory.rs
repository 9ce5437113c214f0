//! The bound on what bodies hold of the memory, over all pending requests and answers.

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

/// Memory that is not for bodies: the program, the scheduler, connections and their buffers.
const RESERVED_BYTES: usize = 8 << 20;
/// Lower bound of the limit, so that little memory leaves some service.
const MIN_LIMIT_BYTES: usize = RESERVED_BYTES / 4;
/// Longest body that is received, held or forwarded: far past any that clients of a head have.
pub const MAX_BODY_BYTES: u64 = 33 << 20;

/// Why a body was not received.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// It is longer than [`MAX_BODY_BYTES`].
    #[error("a body past any sensible length")]
    TooLong,
    /// It broke off, or its framing is wrong.
    #[error("a broken body: {0}")]
    Broken(E),
}

/// The first bytes of a body.
pub struct GatheredBody {
    /// What was received.
    pub bytes: Bytes,
    /// Whether that is all of the body.
    pub is_complete: bool,
}

/// Lets [`BodyMemory::gather`] return before the body has ended.
#[derive(Clone, Copy, Debug)]
pub struct PartialBody {
    /// When it returns.
    pub deadline: Instant,
    /// How many bytes it waits for in any case.
    pub min_bytes: usize,
}

/// Part of the limit that one reservation at a time may take beyond it, as a divisor. Bodies that wait for their turn may
/// hold all of the memory; without this, none of them would ever have its turn. The limit leaves as much again free.
const OVERDRAFT_DIVISOR: usize = 4;

/// Bytes that bodies hold. Buffers share it, and may be dropped on any thread.
#[derive(Default)]
struct MemoryUsage {
    bytes: AtomicUsize,
    /// A reservation beyond the limit is held.
    is_overdrawn: AtomicBool,
    /// Notified when bytes are given back.
    released: Notify,
}

impl MemoryUsage {
    /// Adds bytes; returns how many are in use then.
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

/// A part of the memory for bodies, given back when dropped.
pub struct MemoryReservation {
    bytes: usize,
    /// It is the one beyond the limit.
    is_overdraft: bool,
    usage: Arc<MemoryUsage>,
}

impl MemoryReservation {
    /// How many bytes it has.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Gives back all but so many bytes; no effect if it has no more.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.usage.release(released);
    }

    /// Adds another reservation of the same memory.
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

/// What bodies hold, and may hold together.
pub struct BodyMemory {
    /// Bytes that bodies hold, shared with each of their buffers.
    in_use: Arc<MemoryUsage>,
    /// Held by whoever waits for memory: those who came first are served first.
    reservation_queue: Mutex<()>,
    /// Bytes that all processes of the head may hold.
    limit: Cell<usize>,
    /// This process's share of them, 0 to 1.
    share: Cell<f64>,
}

/// A body's buffer, which returns its bytes to the limit when the last owner drops it.
struct BodyBuffer {
    bytes: BytesMut,
    in_use: Arc<MemoryUsage>,
}

impl BodyBuffer {
    /// Adds received bytes; returns whether there is memory for more.
    fn append(&mut self, data: &[u8], limit: usize) -> bool {
        let in_use = self.in_use.add(data.len());
        self.bytes.extend_from_slice(data);
        in_use < limit
    }

    /// The buffer as shared bytes.
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
    /// The memory for bodies on a machine with so many MB.
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

    /// Changes the limit; what is held past a lower one stays until it is dropped.
    pub fn set_limit(&self, memory_mb: usize) {
        let machine_bytes = memory_mb.saturating_mul(1 << 20);
        // Half: a buffer grows by doubling, and the connection that the body goes out on buffers some of it.
        let limit = machine_bytes.saturating_sub(RESERVED_BYTES) / 2;
        self.limit.set(limit.max(MIN_LIMIT_BYTES));
    }

    /// Changes this process's share of the limit, 0 to 1.
    pub fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// The part of this process's limit that is in use; 1 where all of it is.
    pub fn used_fraction(&self) -> f64 {
        let limit = self.limit.get() as f64 * self.share.get();
        self.in_use.get() as f64 / limit.max(1.0)
    }

    /// This process's part of the limit, in bytes.
    fn limit_bytes(&self) -> usize {
        (self.limit.get() as f64 * self.share.get()) as usize
    }

    /// Reserves so many bytes, or half of the limit if that is less: one body never takes all. Waits until they are free;
    /// those who came first are served first. One reservation at a time may be beyond the limit instead, of a quarter of it.
    pub async fn reserve(&self, bytes: usize) -> MemoryReservation {
        let _turn = self.reservation_queue.lock().await;
        loop {
            if let Some(reservation) = self.try_reserve(bytes).or_else(|| self.overdraw(bytes)) {
                return reservation;
            }
            self.in_use.released.notified().await;
        }
    }

    /// The same without a wait; `None` if they are not free. Those who wait are passed over.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let limit = self.limit_bytes();
        self.reserve_within(bytes.min(limit / 2), limit)
    }

    /// The same for work that can do without: half of the limit is left to others.
    pub fn try_reserve_spare(&self, bytes: usize) -> Option<MemoryReservation> {
        self.reserve_within(bytes, self.limit_bytes() / 2)
    }

    fn reserve_within(&self, bytes: usize, limit: usize) -> Option<MemoryReservation> {
        if self.in_use.get() + bytes > limit {
            return None;
        }
        Some(self.reservation(bytes, false))
    }

    /// Reserves beyond the limit, unless such a reservation is held.
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

    /// Receives a body: all of it, or as much as there is memory for, or slightly more than `max_bytes`, or
    /// what `partial` asks for. The rest stays in the body.
    ///
    /// # Errors
    ///
    /// [`BodyError::TooLong`] if the body announces more than [`MAX_BODY_BYTES`], [`BodyError::Broken`] if it
    /// ends early.
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
