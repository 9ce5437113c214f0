//! The transport to the storage nodes: HTTP/1.1 over a small connection pool per node.
//!
//! [`NodeTransport`] executes an attempt in these steps: the send guard (`guard`) checks that the node still accepts
//! requests; a connection is taken from the `pool` or opened; the `attempt` drives the `connection` until the
//! `response` is buffered, completely or far enough to stream the rest. The instrumented socket (`stream`) runs the
//! guard's check again immediately before the first byte, and records in the exchange's `progress` when the last byte
//! has been written: if the connection fails before that, the node can't have started to execute the request.
//!
//! A connection has no task of its own. The attempt that uses it polls it, so dropping the attempt closes the socket
//! immediately. The transport never sends a request twice.

mod addresses;
mod attempt;
mod client_check;
mod connection;
mod guard;
mod limits;
mod pool;
mod progress;
mod request;
mod response;
mod reuse_policy;
mod stream;
mod transport;

#[cfg(test)]
mod tests;

pub use addresses::NodeAddress;
pub use transport::{NodeTransport, NodeTransportSettings};
