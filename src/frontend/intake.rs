//! Reads a client's HTTP/1.1 connection one request at a time, below hyper.
//!
//! hyper drops `Content-Length` if `Transfer-Encoding` is there too, so the service never sees both; a request with both
//! may hide another one in its body. Here each head is read to its end, with hyper's own parser, before hyper gets it,
//! and nothing that follows a request with ambiguous framing ever gets there.
//!
//! [`RequestReader`] is the socket that hyper reads and writes, `framing` finds where requests end, and
//! [`ConnectionState`] is what the reader, the service and the connection's task share.

mod connection_state;
mod framing;
mod reader;

#[cfg(test)]
mod tests;

pub use connection_state::ConnectionState;
pub use framing::{MAX_HEAD_BYTES, MAX_HEAD_FIELDS};
pub use reader::RequestReader;
