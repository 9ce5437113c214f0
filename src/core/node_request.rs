//! The request sent to a storage node, identical for each attempt.

use crate::core::content::Payload;
use bytes::Bytes;

/// Whether a request reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads data.
    Read,
    /// Writes data.
    Write,
}

/// The part of a request that is sent to the node unchanged in each attempt.
#[derive(Clone, Debug)]
pub struct NodeRequest {
    /// Whether the request reads or writes.
    pub operation: Operation,
    /// HTTP request target: the object's path and, for a range, its query.
    pub target: String,
    /// The request's id, unique across all heads, byte for byte as received from the client.
    pub id: Bytes,
    /// The idempotency key by which nodes recognise a retry.
    pub idempotency_key: Option<Bytes>,
    /// The data of a write.
    pub payload: Payload,
}
