//! The request that goes to a storage node, the same for each attempt.

use crate::core::content::Payload;
use bytes::Bytes;

/// What a request does to the data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads them.
    Read,
    /// Writes them.
    Write,
}

/// The part of a request that goes to a node unchanged.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// Read or write.
    pub operation: Operation,
    /// The object's name, as nodes know it.
    pub target: String,
    /// The request's id, unique over all heads, as the client wrote it.
    pub id: Bytes,
    /// The idempotency key by which nodes recognise a retry.
    pub idempotency_key: Option<Bytes>,
    /// The data of a write.
    pub payload: Payload,
}
