//! Instrumented socket of a node connection: it checks the send guard before the request's first byte and records when
//! the last byte has been written.

use super::progress::ExchangeProgress;
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
}

impl InstrumentedStream {
    /// Writes to the socket, unless the send guard refuses the first byte of the request.
    fn poll_guarded_write(
        &mut self,
        mut write: impl FnMut(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.progress.check_first_byte(&self.stream)?;
        let written = loop {
            match write(Pin::new(&mut self.stream)) {
                Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                written => break written,
            }
        };
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
        let read = loop {
            match Pin::new(&mut self.stream).poll_read(cx, buf) {
                Poll::Ready(Err(error)) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
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
        self.poll_guarded_write(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_guarded_write(|stream| stream.poll_write_vectored(cx, bufs))
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
