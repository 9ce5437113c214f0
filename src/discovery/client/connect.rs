//! The connector by which a watcher connects to its source.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncRead, AsyncWrite};

/// Opens connections to list sources.
pub trait Connect: Clone + 'static {
    /// The type of an open connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;
    /// Connects to an address.
    fn connect(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}
