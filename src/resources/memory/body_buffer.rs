//! Receives a body into a buffer whose memory is reserved before it is read.

use super::{MemoryBudget, MemoryReservation};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Maximum length of a body in bytes, buffered or forwarded: far longer than any that clients of a head send or
/// request.
pub const MAX_BODY_BYTES: u64 = 33 << 20;
/// Room that is reserved before the next frame of a body is read, in bytes: the longest frame that the HTTP libraries
/// return.
const FRAME_BYTES: usize = 16 * 1024;

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

/// Permits [`MemoryBudget::gather`] to return before the body has ended.
#[derive(Clone, Copy, Debug)]
pub struct PartialBody {
    /// When to return if enough has been received; `None` to wait until `latest`.
    pub early: Option<EarlyReturn>,
    /// When to return whatever has been received.
    pub latest: Instant,
}

/// When [`MemoryBudget::gather`] may return with so many bytes.
#[derive(Clone, Copy, Debug)]
pub struct EarlyReturn {
    /// The time from which on it returns.
    pub at: Instant,
    /// Number of bytes that it waits for even after that time.
    pub min_bytes: usize,
}

impl PartialBody {
    /// When to return with `received` bytes.
    fn return_at(&self, received: usize) -> Instant {
        match self.early {
            Some(early) if received >= early.min_bytes => early.at.min(self.latest),
            _ => self.latest,
        }
    }
}

/// A buffer of received bytes and the reservation of its capacity.
struct BodyBuffer {
    bytes: BytesMut,
    reservation: Option<MemoryReservation>,
}

impl BodyBuffer {
    /// Makes room for `count` more bytes, with its memory reserved. Returns whether there is room. `expected` is the
    /// length of the complete body, if known: the buffer does not grow beyond it.
    fn make_room(&mut self, memory: &MemoryBudget, count: usize, expected: Option<usize>) -> bool {
        let needed = self.bytes.len() + count;
        if needed <= self.bytes.capacity() {
            return true;
        }
        let doubled = 2 * self.bytes.capacity();
        let capacity = expected.map_or(doubled, |expected| doubled.min(expected)).max(needed);
        let Some(reservation) = memory.try_reserve_buffer(capacity) else { return false };
        self.grow(capacity);
        self.reservation = Some(reservation);
        true
    }

    /// Moves the bytes to a buffer of this capacity.
    fn grow(&mut self, capacity: usize) {
        let mut bytes = BytesMut::with_capacity(capacity);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
    }

    /// Converts the buffer to shared bytes, whose last owner releases the reservation.
    fn into_bytes(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Receives a body until it ends, there is no memory for its next frame, more than `max_bytes` have been received,
    /// or `partial` permits to return. The remaining bytes stay in `body`.
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
        let size = body.size_hint();
        if size.lower() > MAX_BODY_BYTES {
            return Err(BodyError::TooLong);
        }
        let expected = size.exact().and_then(|length| usize::try_from(length).ok());
        let mut buffer = BodyBuffer { bytes: BytesMut::new(), reservation: None };
        let is_complete = loop {
            let received = buffer.bytes.len();
            if received > max_bytes || body.is_end_stream() {
                break body.is_end_stream();
            }
            let still_to_come = expected.map_or(FRAME_BYTES, |expected| expected.saturating_sub(received));
            if !buffer.make_room(self, still_to_come.min(FRAME_BYTES), expected) {
                break false;
            }
            let return_at = partial.map(|partial| partial.return_at(received));
            let frame = match return_at {
                Some(return_at) => match timeout_at(return_at, body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => break false,
                },
                None => body.frame().await,
            };
            let Some(frame) = frame else { break true };
            let data = frame.map_err(BodyError::Broken)?.into_data().unwrap_or_default();
            buffer.bytes.extend_from_slice(&data);
        };
        Ok(GatheredBody { bytes: buffer.into_bytes(), is_complete })
    }
}
