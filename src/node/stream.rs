//! Instrumented socket of a node connection: it checks the send guard before the request's first byte and records when
//! the last byte has been written.

use super::progress::ExchangeProgress;
use crate::resources::socket::ShortageRetry;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that reports reads, writes and flushes to the progress of the exchange.
pub(super) struct InstrumentedStream {
    pub(super) stream: TcpStream,
    pub(super) progress: Rc<ExchangeProgress>,
    reads: ShortageRetry,
    writes: ShortageRetry,
}

impl InstrumentedStream {
    /// Wraps the socket of a connection.
    pub(super) fn new(stream: TcpStream, progress: Rc<ExchangeProgress>) -> InstrumentedStream {
        let reads = ShortageRetry::default();
        let writes = ShortageRetry::default();
        InstrumentedStream { stream, progress, reads, writes }
    }

    /// Writes to the socket, unless the send guard refuses the first byte of the request.
    fn poll_guarded_write(
        &mut self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let InstrumentedStream { stream, progress, writes, .. } = self;
        let written = writes.poll(cx, |cx| {
            progress.check_first_byte(stream)?;
            write(Pin::new(stream), cx)
        });
        self.progress.writable_changed(&self.stream, written.is_ready());
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.progress.bytes_written();
        }
        written
    }
}

impl AsyncRead for InstrumentedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let InstrumentedStream { stream, reads, .. } = &mut *self;
        let read = reads.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf));
        let Poll::Ready(result) = &read else { return Poll::Pending };
        let count = buf.filled().len() - filled_before;
        if result.is_err() || count == 0 {
            self.progress.closed_by_node();
            return read;
        }
        self.progress.bytes_received(count)?;
        read
    }
}

impl AsyncWrite for InstrumentedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_guarded_write(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_guarded_write(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
