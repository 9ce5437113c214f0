//! The transport to the storage nodes: HTTP/1.1 over a small pool of connections for each node.
//!
//! [`NodeTransport`] carries an attempt out in these steps: the send guard (`guard`) is asked whether the node still
//! takes work; a connection comes from the `pool` or is opened; the `attempt` drives the `connection` until the
//! `response` is buffered, or so much of it that the rest can be streamed. The instrumented socket (`stream`) asks the
//! guard again right before the first byte and notes in the exchange's `progress` when the last byte is written: a
//! break before it means that the node can't have begun.
//!
//! A connection is no task of its own. The attempt that uses it drives it, so dropping the attempt closes the socket at
//! once. Nothing here sends a request twice.

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
mod stream;
mod transport;

#[cfg(test)]
mod tests;

pub use addresses::NodeAddress;
pub use transport::{NodeTransport, NodeTransportSettings};
