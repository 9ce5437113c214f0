//! Request and response bodies that are buffered, streamed, or buffered at the beginning and streamed for the rest.

use crate::core::upload::UploadStream;
use bytes::Bytes;
use futures_core::Stream;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use thiserror::Error;

/// Error of a body that ended before its last byte.
#[derive(Clone, Debug, Error)]
#[error("body incomplete: {reason}")]
pub struct IncompleteBody {
    /// Why the body ended early.
    pub reason: String,
}

impl IncompleteBody {
    /// Creates an error with the given reason.
    pub fn new(reason: impl Into<String>) -> IncompleteBody {
        IncompleteBody { reason: reason.into() }
    }
}

/// The bytes of a body as they arrive. The sender is subject to backpressure until the next item is polled.
pub type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteBody>>>>;

/// A body whose beginning is buffered and whose rest, if any, is streamed.
pub struct StreamedBody {
    /// The buffered beginning of the body.
    pub buffered: Bytes,
    /// Stream of the remaining bytes; `None` if `buffered` is the complete body.
    pub rest: Option<ByteStream>,
    /// Length of the complete body in bytes, if known.
    pub length: Option<u64>,
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedBody")
            .field("buffered", &self.buffered.len())
            .field("length", &self.length)
            .finish()
    }
}

impl From<Bytes> for StreamedBody {
    fn from(buffered: Bytes) -> StreamedBody {
        let length = Some(buffered.len() as u64);
        StreamedBody { buffered, rest: None, length }
    }
}

impl StreamedBody {
    /// Reads the complete body. Returns `None` if the body ends early, or if it exceeds `max_bytes` while the rest is
    /// read.
    pub async fn collect(mut self, max_bytes: usize) -> Option<Bytes> {
        let Some(rest) = &mut self.rest else { return Some(self.buffered) };
        let mut collected = Vec::from(self.buffered);
        while let Some(chunk) = poll_fn(|cx| rest.as_mut().poll_next(cx)).await {
            collected.extend_from_slice(&chunk.ok()?);
            if collected.len() > max_bytes {
                return None;
            }
        }
        Some(collected.into())
    }
}

/// Body of a request to a node.
#[derive(Clone, Debug)]
pub enum Payload {
    /// Buffered in memory, so that the request can be retried.
    Buffered(Bytes),
    /// Forwarded to the node as it arrives; it can be sent only once.
    Streamed(Rc<UploadStream>),
}

impl Payload {
    /// Length in bytes; 0 if unknown.
    pub fn length(&self) -> u64 {
        match self {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streamed(upload) => upload.length.unwrap_or(0),
        }
    }

    /// The upload, if the body is streamed.
    pub fn upload(&self) -> Option<&Rc<UploadStream>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(upload) => Some(upload),
        }
    }
}
