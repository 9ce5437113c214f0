//! How a client's connection is closed, for whatever reason. Its sending is ended first, and what still arrives is read
//! and discarded for a bounded time: a close over bytes that were not read resets the connection, which can lose the
//! answer before it. Nothing that arrives after the end is served; its client has seen the end and retries on another
//! connection.

use crate::metrics::counters::Counters;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// How long a client has to end its side after this one. One that got the answer does so within a round trip.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// The same if descriptors run short: what was answered before the connection became idle has long been read.
const LINGER_TIMEOUT_DESCRIPTORS_SHORT: Duration = Duration::from_millis(20);
/// Most bytes that are read and discarded: more than a request, less than what a flood costs.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Bytes that are read at a time.
const READ_BYTES: usize = 4096;

/// Why a connection is closed, as far as it matters for how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// Nothing arrived on it, so no answer can be lost.
    Unused,
    /// It has had its last answer, or has timed out.
    Done,
    /// An answer that had begun broke off: the connection's end must not look like the answer's.
    AnswerBroken,
}

/// Closes a connection. `descriptors_short` is ready once descriptors run short.
pub async fn close(
    stream: &TcpStream,
    reason: CloseReason,
    descriptors_short: impl Future<Output = ()>,
    counters: &Counters,
) {
    let socket = socket2::SockRef::from(stream);
    if reason == CloseReason::AnswerBroken {
        counters.broken_off.add();
        // The close that follows is a reset (RFC 9293, section 3.10.4; SO_LINGER of zero).
        if let Err(error) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("http: SO_LINGER not set: {error}");
        }
        return;
    }
    let is_reset_by_client = socket.shutdown(Shutdown::Write).is_err();
    if is_reset_by_client || reason == CloseReason::Unused {
        return;
    }
    let discarded_bytes = discard_until_end(stream, descriptors_short).await;
    if discarded_bytes > 0 {
        counters.lingered.add();
        log::debug!("http: bytes after a connection's end discarded, bytes={discarded_bytes}");
    }
}

/// Reads and discards until the client ends its side, for a bounded time and number of bytes. Returns that number.
async fn discard_until_end(stream: &TcpStream, descriptors_short: impl Future<Output = ()>) -> usize {
    let mut descriptors_short = pin!(descriptors_short);
    let mut are_short = false;
    let mut discard_until = Instant::now() + LINGER_TIMEOUT;
    let mut discarded_bytes = 0;
    let mut buffer = [0; READ_BYTES];
    while discarded_bytes < MAX_DISCARDED_BYTES {
        tokio::select! {
            biased;
            () = descriptors_short.as_mut(), if !are_short => {
                are_short = true;
                discard_until = discard_until.min(Instant::now() + LINGER_TIMEOUT_DESCRIPTORS_SHORT);
            }
            () = sleep_until(discard_until) => break,
            ready = stream.readable() => match ready.and_then(|()| stream.try_read(&mut buffer)) {
                Ok(0) => break,
                Ok(count) => discarded_bytes += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
    discarded_bytes
}

/// A connection's socket for a protocol's library, shared with whoever closes the connection after it.
pub struct SharedStream(pub Rc<TcpStream>);

impl AsyncRead for SharedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(count) => {
                    buf.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
