//! Timeouts and size limits of the node transport.

use crate::resources::memory;
use std::time::Duration;

/// Fraction of the nodes' idle timeout after which a pooled connection is closed: a request sent as the node closes the
/// connection would be reset.
pub(super) const POOL_IDLE_FRACTION: f64 = 0.5;
/// Maximum time that a head of a small fleet keeps an idle connection in its pool, in seconds: nodes have closed
/// connections after 1.8 s although 15 s were configured. Heads of larger fleets contact each node seldom, and opening
/// a connection for each request would cost the nodes more than an occasional reset, so only [`POOL_IDLE_FRACTION`]
/// applies to them.
pub(super) const SMALL_FLEET_MAX_POOL_IDLE_S: f64 = 1.5;
/// Minimum idle time of a connection before its reuse, so that unsolicited bytes that follow a response are detected
/// before the next request is written.
pub(super) const REUSE_DELAY: Duration = Duration::from_millis(20);

/// Maximum length of a response head, in bytes.
pub(super) const MAX_RESPONSE_HEAD_BYTES: usize = 16 * 1024;
/// Maximum length of a complete response, including interim responses, in bytes.
pub(super) const MAX_RESPONSE_BYTES: usize = memory::MAX_BODY_BYTES as usize + (1 << 20);

/// Maximum length of a response that is buffered completely before it is forwarded, in bytes, so that the request can
/// be retried if the response ends early.
pub(super) const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Number of bytes of a longer response that are buffered before it is forwarded.
pub(super) const STREAM_START_BYTES: usize = 8 * 1024;
/// Minimum time for which a response of unknown length is buffered, unless it fills the buffer earlier.
pub(super) const UNKNOWN_LENGTH_BUFFER_TIME: Duration = Duration::from_millis(30);

/// How long the body of an error response is read before the connection is closed instead.
pub(super) const ERROR_BODY_TIME: Duration = Duration::from_millis(30);
/// Maximum pause in a response that is being forwarded, whose request can no longer be retried: longer than any client
/// waits for an answer, so that only a node that has stopped is given up.
pub(super) const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(5);
