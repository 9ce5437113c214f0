//! TCP connections to list sources that count their traffic.

use super::connect::Connect;
use crate::metrics::counters::Counters;
use crate::resources::socket::RetryingStream;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpSocket;

/// Size of a connection's receive buffer, in bytes; the operating system may double it. A small buffer avoids that a
/// snapshot which is skipped after its first bytes has been transferred in full. With this size, a list of 1.3 MB takes
/// about 40 round trips.
const RECEIVE_BUFFER: u32 = 32 * 1024;

/// Number of bytes at the start of a connection that are read without reading further ones, so that most snapshots
/// can be skipped early: the response header and the first fields of a list.
const FIRST_READ_BYTES: usize = 512;

/// Counters of the calls to list sources.
pub trait Traffic: 'static {
    /// Counts a connection attempt.
    fn add_call(&self);
    /// Counts bytes that were read.
    fn add_received(&self, bytes: u64);
    /// Counts bytes that were written.
    fn add_sent(&self, bytes: u64);
}

impl Traffic for Counters {
    fn add_call(&self) {
        self.discovery_calls.add();
    }

    fn add_received(&self, bytes: u64) {
        self.discovery_bytes_received.add_many(bytes);
    }

    fn add_sent(&self, bytes: u64) {
        self.discovery_bytes_sent.add_many(bytes);
    }
}

/// Opens TCP connections that count their traffic.
pub struct CountedTcp<T>(pub Rc<T>);

impl<T> Clone for CountedTcp<T> {
    fn clone(&self) -> CountedTcp<T> {
        CountedTcp(self.0.clone())
    }
}

impl<T: Traffic> Connect for CountedTcp<T> {
    type Stream = CountedStream<T>;

    async fn connect(&self, address: SocketAddr) -> io::Result<CountedStream<T>> {
        self.0.add_call();
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
        let stream = socket.connect(address).await?;
        stream.set_nodelay(true)?;
        let stream = RetryingStream::new(stream);
        Ok(CountedStream { stream, traffic: self.0.clone(), first_read_remaining: FIRST_READ_BYTES })
    }
}

/// A TCP connection that counts the bytes read and written.
pub struct CountedStream<T> {
    stream: RetryingStream,
    traffic: Rc<T>,
    /// The number of bytes to read until [`FIRST_READ_BYTES`] is reached.
    first_read_remaining: usize,
}

impl<T> CountedStream<T> {
    fn poll_first_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; FIRST_READ_BYTES];
        let mut first = ReadBuf::new(&mut bytes[..self.first_read_remaining.min(buf.remaining())]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut first))?;
        buf.put_slice(first.filled());
        self.first_read_remaining -= first.filled().len();
        Poll::Ready(Ok(()))
    }
}

impl<T: Traffic> AsyncRead for CountedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        match self.first_read_remaining {
            0 => ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?,
            _ => ready!(self.poll_first_read(cx, buf))?,
        }
        self.traffic.add_received((buf.filled().len() - before) as u64);
        Poll::Ready(Ok(()))
    }
}

impl<T: Traffic> AsyncWrite for CountedStream<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.traffic.add_sent(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
