//! What the operating system knows of a socket at this moment, before the runtime has been notified, and which errors of
//! calls on it say nothing of the connection.

use rustix::io::Errno;
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

/// A look at a socket that does not wait, whether the socket is in non-blocking mode or not.
const PEEK_FLAGS: i32 = libc::MSG_PEEK | libc::MSG_DONTWAIT;
/// Pause before a call is repeated for which the system had no resources.
pub const SHORTAGE_PAUSE: Duration = Duration::from_millis(2);
/// How long a call is repeated for which the system has no resources: as long as clients wait at most.
const SHORTAGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of unread bytes that are at hand, one at most; 0 if the peer has closed its side. Interrupted calls are
/// repeated.
///
/// # Errors
///
/// [`io::ErrorKind::WouldBlock`] if the socket is open with no bytes to read, the error of the connection, or a shortage of
/// the system ([`is_shortage`]).
pub fn peek(socket: &impl AsFd) -> io::Result<usize> {
    loop {
        match SockRef::from(socket).recv_with_flags(&mut [MaybeUninit::uninit()], PEEK_FLAGS) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Whether the socket is open with no bytes to read. If the system can't tell, it may have some.
pub fn has_nothing_unread(socket: &impl AsFd) -> bool {
    peek(socket).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether a call on a socket that is ready has to be made again: it was interrupted, or the readiness was outdated.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Whether a call failed since the system had no memory, buffers or descriptors for it at this moment. The connection is
/// not affected.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::NOMEM, Errno::NOBUFS, Errno::NFILE, Errno::MFILE, Errno::NOSPC];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Whether a call failed since the process or the system has no more descriptors.
pub fn is_descriptor_shortage(error: &io::Error) -> bool {
    matches!(Errno::from_io_error(error), Some(Errno::NFILE | Errno::MFILE))
}

/// Repeats calls of one kind on one socket that fail for a shortage of the system, with a pause between them.
#[derive(Debug, Default)]
pub struct ShortageRetry {
    pause: Option<Pin<Box<Sleep>>>,
    /// When the first of the failed calls in a row was made.
    failing_since: Option<Instant>,
}

impl ShortageRetry {
    /// Polls `call` until it succeeds, is pending, or fails for another reason than a shortage or a transient one.
    pub fn poll<T>(
        &mut self,
        cx: &mut Context<'_>,
        mut call: impl FnMut(&mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        loop {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(cx));
                self.pause = None;
            }
            match call(cx) {
                Poll::Ready(Err(error)) if is_transient(&error) || self.pauses_after(&error) => {}
                polled => {
                    self.failing_since = None;
                    return polled;
                }
            }
        }
    }

    /// Whether the call is repeated after this error; if so, a pause begins.
    fn pauses_after(&mut self, error: &io::Error) -> bool {
        if !is_shortage(error) {
            return false;
        }
        let now = Instant::now();
        let failing_since = *self.failing_since.get_or_insert(now);
        if now.saturating_duration_since(failing_since) >= SHORTAGE_TIMEOUT {
            return false;
        }
        log::debug!("socket: call repeated, error={error}");
        self.pause = Some(Box::pin(sleep_until(now + SHORTAGE_PAUSE)));
        true
    }
}

/// A connection whose reads and writes are repeated while the system is short of resources for them.
#[derive(Debug)]
pub struct RetryingStream {
    stream: TcpStream,
    reads: ShortageRetry,
    writes: ShortageRetry,
}

impl RetryingStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream) -> RetryingStream {
        RetryingStream { stream, reads: ShortageRetry::default(), writes: ShortageRetry::default() }
    }
}

impl AsyncRead for RetryingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let RetryingStream { stream, reads, .. } = &mut *self;
        reads.poll(cx, |cx| Pin::new(&mut *stream).poll_read(cx, buf))
    }
}

impl AsyncWrite for RetryingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let RetryingStream { stream, writes, .. } = &mut *self;
        writes.poll(cx, |cx| Pin::new(&mut *stream).poll_write(cx, buf))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
