//! The bound on what bodies hold of the memory, over all requests and answers in hand.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use thiserror::Error;

/// Memory that is not for bodies: the program, the module, connections and their buffers.
const OWN: usize = 8 << 20;
/// Longest body that is taken, whatever the memory.
pub const LONGEST: usize = 4 << 20;
/// Longest body that does not say how long it is.
const LONGEST_UNSAID: usize = 256 << 10;
/// How many of the longest bodies there is room for at least.
const ROOM_FOR: usize = 4;

/// Why a body was not taken.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// It is longer than any that is taken.
    #[error("a body past any sensible length")]
    TooLong,
    /// Other bodies hold all the memory there is for them.
    #[error("no memory for a body now")]
    Full,
    /// It broke off, or its framing is wrong.
    #[error("a broken body: {0}")]
    Broken(E),
}

/// What bodies hold, and may hold together.
pub struct Memory {
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
    fn grow(&mut self, data: &[u8], limit: usize) -> bool {
        if self.held.load(Ordering::Relaxed) + data.len() > limit {
            return false;
        }
        self.held.fetch_add(data.len(), Ordering::Relaxed);
        self.part += data.len();
        self.bytes.extend_from_slice(data);
        true
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

impl Memory {
    /// The part for bodies of a machine with so many MB.
    pub fn new(memory_mb: usize) -> Rc<Memory> {
        let memory = Memory { held: Arc::default(), limit: Cell::new(0), part: Cell::new(1.0) };
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

    /// Takes a body whole, and no more of it than may be held.
    pub async fn collect<B: Body<Data = Bytes>>(&self, body: B) -> Result<Bytes, BodyError<B::Error>> {
        let (limit, hint) = ((self.limit.get() as f64 * self.part.get()) as usize, body.size_hint());
        let longest = LONGEST.min(limit / ROOM_FOR);
        let longest = if hint.exact().is_some() { longest } else { longest.min(LONGEST_UNSAID) };
        if hint.lower() > longest as u64 {
            return Err(BodyError::TooLong);
        }
        let mut body = pin!(body);
        let mut taken = Held { bytes: BytesMut::new(), held: self.held.clone(), part: 0 };
        while let Some(frame) = body.frame().await {
            let data = frame.map_err(BodyError::Broken)?.into_data().unwrap_or_default();
            if taken.bytes.len() + data.len() > longest {
                return Err(BodyError::TooLong);
            }
            if !taken.grow(&data, limit) {
                return Err(BodyError::Full);
            }
        }
        Ok(if taken.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(taken) })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use http_body_util::Full;

    /// Guards against bodies that take the memory together though each is within bounds.
    #[test]
    fn bodies_share_the_memory_and_give_their_part_back() {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let (memory, body) = (Memory::new(32), |length: usize| Full::new(Bytes::from(vec![1; length])));
        runtime.block_on(async {
            assert!(
                matches!(memory.collect(body(LONGEST)).await, Err(BodyError::TooLong)),
                "a quarter of 12 MB"
            );
            let mut held = Vec::new();
            for _ in 0..4 {
                held.push(memory.collect(body(3 << 20)).await.expect("room"));
            }
            assert!(matches!(memory.collect(body(1)).await, Err(BodyError::Full)));
            held.pop();
            assert_eq!(memory.collect(body(1)).await.expect("room again").len(), 1);
        });
    }
}
