//! Timeouts and size limits of the node transport.

use crate::resources::memory;
use std::time::Duration;

/// Fraction of the nodes' idle timeout after which a pooled connection is closed: one that its node is about to close
/// would turn the next request into a reset.
pub(super) const POOL_IDLE_FRACTION: f64 = 0.5;
/// Longest time that a connection stays in the pool of a small fleet's head, in seconds: nodes were seen to close
/// connections after 1.8 s although the settings said 15 s. In a larger fleet each head contacts a node seldom, and a
/// new connection for each request would cost the nodes more than an occasional reset: there only the fraction applies.
pub(super) const SMALL_FLEET_MAX_POOL_IDLE_S: f64 = 1.5;
/// How long a connection stays unused after a response, so that bytes that follow the response and belong to no request
/// are seen before the next request is written.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Longest response head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most bytes of a complete response, interim responses before it included.
pub(super) const MAX_RESPONSE_BYTES: usize = memory::MAX_BODY_BYTES as usize + (1 << 20);

/// Longest response that is buffered completely before any of it is forwarded, in bytes, so that a break in it is an
/// outcome that a retry can make up for.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// How much of a longer response is buffered before it is forwarded, in bytes.
pub(super) const STREAM_START_BYTES: usize = 8 * 1024;
/// How long a response of unknown length is buffered at least, unless it fills the buffer.
pub(super) const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(30);

/// Longest pause in a response that is being buffered, beyond the time that the last bytes read may have taken at
/// `MIN_RESPONSE_RATE`. Another node can still serve the request.
pub(super) const RESPONSE_STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Lowest rate at which a node is expected to send a response, in bytes per second.
pub(super) const MIN_RESPONSE_RATE: f64 = 64e3;
/// Longest pause in a response that is being forwarded: no other attempt can replace it any more.
pub(super) const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);
