//! The bound on what bodies hold of the memory, over all requests and answers in hand.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

/// Memory that is not for bodies: the program, the module, connections and their buffers.
const OWN: usize = 8 << 20;
/// Longest body that is taken, held or passed on.
pub const LONGEST: u64 = 33 << 20;

/// Why a body was not taken.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// It is longer than any that is taken.
    #[error("a body past any sensible length")]
    TooLong,
    /// It broke off, or its framing is wrong.
    #[error("a broken body: {0}")]
    Broken(E),
}

/// The first part of a body.
pub struct Gathered {
    /// What has come.
    pub bytes: Bytes,
    /// Whether that is all.
    pub whole: bool,
}

/// What bodies hold, and may hold together.
pub struct BodyMemory {
    held: Arc<AtomicUsize>,
    limit: Cell<usize>,
    part: Cell<f64>,
}

/// A body's part, given back when the last who has the body drops it.
struct Held {
    bytes: BytesMut,
    held: Arc<AtomicUsize>,
    part: usize,
}

impl Held {
    /// Takes a piece in; whether there is room for more.
    fn grow(&mut self, data: &[u8], limit: usize) -> bool {
        let held = self.held.fetch_add(data.len(), Ordering::Relaxed) + data.len();
        self.part += data.len();
        self.bytes.extend_from_slice(data);
        held < limit
    }
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.held.fetch_sub(self.part, Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// The part for bodies of a machine with so many MB.
    pub fn new(memory_mb: usize) -> Rc<BodyMemory> {
        let memory = BodyMemory { held: Arc::default(), limit: Cell::new(0), part: Cell::new(1.0) };
        memory.set_limit(memory_mb);
        Rc::new(memory)
    }

    /// Changes the limit; what is held past a lower one stays until it is dropped.
    pub fn set_limit(&self, memory_mb: usize) {
        // Half: a body grows by doubling, and the connection that it goes out on buffers some of it.
        self.limit.set((memory_mb.saturating_mul(1 << 20).saturating_sub(OWN) / 2).max(OWN / 4));
    }

    /// Changes the part of it that is this process's.
    pub fn set_part(&self, part: f64) {
        self.part.set(part);
    }

    /// The part of it that is in use.
    pub fn used(&self) -> f64 {
        self.held.load(Ordering::Relaxed) as f64 / (self.limit.get() as f64 * self.part.get()).max(1.0)
    }

    /// Gathers a body: all of it, or as much as there is memory for, or a bit more than `most`, or what has
    /// come by a moment if it is so much at least. What is not gathered stays in the body.
    pub async fn gather<B: Body<Data = Bytes> + Unpin>(
        &self,
        body: &mut B,
        most: usize,
        by: Option<(Instant, usize)>,
    ) -> Result<Gathered, BodyError<B::Error>> {
        let limit = (self.limit.get() as f64 * self.part.get()) as usize;
        if body.size_hint().lower() > LONGEST {
            return Err(BodyError::TooLong);
        }
        let mut taken = Held { bytes: BytesMut::new(), held: self.held.clone(), part: 0 };
        let whole = loop {
            if taken.bytes.len() > most || body.is_end_stream() {
                break body.is_end_stream();
            }
            let frame = match by.filter(|(_, least)| taken.bytes.len() >= *least) {
                Some((by, _)) => match timeout_at(by, body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => break false,
                },
                None => body.frame().await,
            };
            let Some(frame) = frame else { break true };
            let data = frame.map_err(BodyError::Broken)?.into_data().unwrap_or_default();
            if !taken.grow(&data, limit) {
                break body.is_end_stream();
            }
        };
        let bytes = if taken.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(taken) };
        Ok(Gathered { bytes, whole })
    }
}

#[cfg(test)]
mod tests;
