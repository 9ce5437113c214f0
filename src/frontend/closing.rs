//! How a client's connection ends, whoever asks for it. Its sending is ended first, and what still comes is read and
//! dropped for a bounded time: a close over bytes that were not read resets the connection, and the answer before it
//! can be lost with that. Nothing that comes after the end is served; its client has seen the end and comes again on
//! another connection.

use crate::metrics::counters::Counters;
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// How long a client has to end its side after this one. Who got the answer does so within a round trip.
const LINGER: Duration = Duration::from_secs(2);
/// The same where descriptors run short: what was answered before the connection came to rest has long been read.
const SCARCE: Duration = Duration::from_millis(20);
/// What is read and dropped at most: more than a request, less than what a flood costs.
const DROPPED: usize = 256 * 1024;
/// Read at a time.
const PIECE: usize = 4096;

/// Why a connection ends, as far as it matters for how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing came on it, so no answer can be lost with it.
    Unused,
    /// It has had its last answer, or its time is over.
    Done,
    /// An answer broke off that had begun: its end must not look like the answer's.
    BrokenOff,
}

/// Ends a connection. `scarce` is ready once descriptors run short.
pub async fn end(stream: &TcpStream, why: Why, scarce: impl Future<Output = ()>, counters: &Counters) {
    let socket = socket2::SockRef::from(stream);
    if why == Why::BrokenOff {
        counters.broken_off.add();
        // The close that follows is a reset (RFC 9293, section 3.10.4; SO_LINGER of zero).
        if let Err(problem) = socket.set_linger(Some(Duration::ZERO)) {
            log::debug!("http: {problem}");
        }
        return;
    }
    // An error: the other side has reset it, and there is nothing to wait for.
    if socket.shutdown(Shutdown::Write).is_err() || why == Why::Unused {
        return;
    }
    let (mut dropped, mut until) = (0, Instant::now() + LINGER);
    let (mut scarce, mut short) = (std::pin::pin!(scarce), false);
    let mut piece = [0; PIECE];
    while dropped < DROPPED {
        tokio::select! {
            biased;
            () = scarce.as_mut(), if !short => {
                short = true;
                until = until.min(Instant::now() + SCARCE);
            }
            () = sleep_until(until) => break,
            ready = stream.readable() => match ready.and_then(|()| stream.try_read(&mut piece)) {
                Ok(0) => break,
                Ok(some) => dropped += some,
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
    }
    if dropped > 0 {
        counters.lingered.add();
        log::debug!("http: {dropped} bytes came after a connection's end");
    }
}

/// A connection's socket for a protocol's library, held as well by whoever ends the connection after it.
pub struct Shared(pub Rc<TcpStream>);

impl AsyncRead for Shared {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(some) => {
                    buf.advance(some);
                    return Poll::Ready(Ok(()));
                }
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
                Err(problem) => return Poll::Ready(Err(problem)),
            }
        }
    }
}

impl AsyncWrite for Shared {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
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
