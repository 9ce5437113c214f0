//! Closes the connections of clients. The sending side is shut down first, and what still arrives is read and discarded
//! for a bounded time: closing a socket with unread bytes resets the connection, by which the client can lose the last
//! answer. Requests that arrive after the shutdown are not served; the client sees the end of the connection and
//! retries on another one.

use crate::metrics::counters::Counters;
use crate::resources::arrivals::ConnectionArrivals;
use crate::resources::descriptors::ClientSlot;
use crate::resources::memory::MAX_BODY_BYTES;
use crate::resources::socket::{self, ShortageRetry};
use std::future::Future;
use std::io;
use std::net::Shutdown;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// How long a client has to close its side after the server's. One that has received the answer does so within a round
/// trip.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// [`LINGER_TIMEOUT`] if descriptors run short: such a connection was idle, so the client has read its last answer, or
/// it has been closing for as long already.
const LINGER_TIMEOUT_DESCRIPTORS_SHORT: Duration = Duration::from_millis(20);
/// Most bytes that are read and discarded: more than a request, few enough to bound what a flood costs.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4096;

/// Why a connection is closed, which decides how it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has sent no complete request or login, so no answer can be lost.
    NothingOwed,
    /// The last answer was sent, or the connection timed out.
    Done,
    /// An answer failed after its beginning was sent: the client must not take the end of the connection for the end of
    /// the answer.
    AnswerBroken,
}

/// How the service of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEnd {
    /// Why the connection is closed.
    pub reason: CloseReason,
    /// Whether the connection had to close because descriptors ran short.
    pub reclaimed: bool,
    /// Number of bytes still to come of a request that was answered before the end of its body. The client may read its
    /// answer only after it has sent them.
    pub unread_body_bytes: u64,
}

impl ServiceEnd {
    /// The end of a connection that closes for another reason than short descriptors.
    pub fn not_reclaimed(reason: CloseReason) -> ServiceEnd {
        ServiceEnd { reason, reclaimed: false, unread_body_bytes: 0 }
    }

    /// The end of a connection that closes because descriptors ran short.
    pub fn reclaimed(reason: CloseReason) -> ServiceEnd {
        ServiceEnd { reason, reclaimed: true, unread_body_bytes: 0 }
    }
}

/// Closes a connection. Its `slot` may be reclaimed meanwhile, which shortens the wait for the client.
pub async fn close(stream: &TcpStream, end: ServiceEnd, slot: &ClientSlot, counters: &Counters) {
    let reason = end.reason;
    let client = socket2::SockRef::from(stream);
    if reason == CloseReason::AnswerBroken {
        counters.broken_off.add();
        // With SO_LINGER of zero, closing the socket sends a reset (RFC 9293, section 3.10.4).
        if let Err(error) = client.set_linger(Some(Duration::ZERO)) {
            log::debug!("http: SO_LINGER not set: {error}");
        }
        return;
    }
    let is_reset_by_client = shut_down_sending(stream).await.is_err();
    if is_reset_by_client || reason == CloseReason::NothingOwed {
        return;
    }
    slot.mark_idle();
    let descriptors_short = async {
        if !end.reclaimed {
            slot.reclaimed().await;
        }
    };
    let body_bytes = usize::try_from(end.unread_body_bytes.min(MAX_BODY_BYTES)).unwrap_or(usize::MAX);
    let discarded_bytes = discard_until_end(stream, body_bytes, descriptors_short).await;
    if discarded_bytes > 0 {
        counters.lingered.add();
        log::debug!("http: bytes discarded at the close of a connection, bytes={discarded_bytes}");
    }
}

/// Shuts the sending side down. While the system has no resources for that, the client is not told of the end, so the call
/// is repeated.
///
/// # Errors
///
/// Returns an error if the client has reset the connection, or after [`LINGER_TIMEOUT`].
async fn shut_down_sending(stream: &TcpStream) -> io::Result<()> {
    let given_up_at = Instant::now() + LINGER_TIMEOUT;
    loop {
        match socket2::SockRef::from(stream).shutdown(Shutdown::Write) {
            Err(error) if socket::is_shortage(&error) && Instant::now() < given_up_at => {
                sleep(socket::SHORTAGE_PAUSE).await;
            }
            result => return result,
        }
    }
}

/// Reads and discards bytes until the client closes its side, the time is over, or [`MAX_DISCARDED_BYTES`] are reached
/// beyond the `body_bytes` of a body that is still to come. While that body arrives, the time begins anew with each read.
/// Returns the number of bytes.
async fn discard_until_end(
    stream: &TcpStream,
    body_bytes: usize,
    descriptors_short: impl Future<Output = ()>,
) -> usize {
    let mut descriptors_short = pin!(descriptors_short);
    let mut are_short = false;
    let mut lingers_since = Instant::now();
    let mut discarded_bytes = 0;
    while discarded_bytes < MAX_DISCARDED_BYTES + body_bytes {
        let linger_timeout = if are_short { LINGER_TIMEOUT_DESCRIPTORS_SHORT } else { LINGER_TIMEOUT };
        tokio::select! {
            biased;
            () = descriptors_short.as_mut(), if !are_short => are_short = true,
            () = sleep_until(lingers_since + linger_timeout) => break,
            ready = stream.readable() => match ready.and_then(|()| stream.try_read(&mut [0; READ_BYTES])) {
                Ok(0) => break,
                Ok(count) => discarded_bytes += count,
                Err(error) if socket::is_transient(&error) => continue,
                Err(error) if socket::is_shortage(&error) => sleep(socket::SHORTAGE_PAUSE).await,
                Err(_) => break,
            }
        }
        if discarded_bytes < body_bytes && !are_short {
            lingers_since = Instant::now();
        }
    }
    discarded_bytes
}

/// A socket that a protocol library reads and writes, shared with the code that closes the connection afterwards. It tells
/// when the bytes arrived that were read, and repeats calls for which the system is short of resources.
pub struct SharedStream {
    socket: Rc<TcpStream>,
    arrivals: Rc<ConnectionArrivals>,
    reads: ShortageRetry,
    writes: ShortageRetry,
}

impl SharedStream {
    /// A handle of a socket.
    pub fn new(socket: Rc<TcpStream>, arrivals: Rc<ConnectionArrivals>) -> SharedStream {
        SharedStream { socket, arrivals, reads: ShortageRetry::default(), writes: ShortageRetry::default() }
    }

    /// The socket.
    pub fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// The socket, for an owner that outlives this handle.
    pub fn shared_socket(&self) -> Rc<TcpStream> {
        self.socket.clone()
    }

    /// When the bytes arrived.
    pub fn arrivals(&self) -> Rc<ConnectionArrivals> {
        self.arrivals.clone()
    }

    /// When the bytes arrived that were read last.
    pub fn latest_arrival(&self) -> Instant {
        self.arrivals.latest()
    }
}

impl Clone for SharedStream {
    fn clone(&self) -> SharedStream {
        SharedStream::new(self.socket.clone(), self.arrivals.clone())
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let SharedStream { socket, arrivals, reads, .. } = &mut *self;
        let read = reads.poll(cx, |cx| arrivals.poll_read(socket, cx, buf.initialize_unfilled()));
        buf.advance(ready!(read)?);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let SharedStream { socket, writes, .. } = &mut *self;
        writes.poll(cx, |cx| {
            ready!(socket.poll_write_ready(cx))?;
            Poll::Ready(socket.try_write(buf))
        })
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.socket).shutdown(Shutdown::Write))
    }
}
