//! When the bytes of a connection arrived, which may be long before they are read: they lie in the accept queue while
//! descriptors run short, and in the socket while the process does other work.
//!
//! The system tells how long ago the latest bytes arrived. Where it does not, the time follows from what the head knows
//! itself: since when the accept queue or the socket has not been seen empty.

use super::tcp_info;
use std::cell::Cell;
use std::io;
use std::os::fd::AsFd;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// An age that makes no difference to any deadline.
const NEGLIGIBLE_AGE: Duration = Duration::from_millis(5);
/// How much younger than possible a queued request is taken for if the system does not tell its age: less than the time by
/// which a node may be told too much.
const UNKNOWN_AGE_MARGIN: Duration = Duration::from_millis(100);

/// The time at which something arrived that has not been looked at, as far as the head knows it itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ArrivalBounds {
    /// It arrived after this time.
    pub earliest: Instant,
    /// It is assumed to have arrived after this time if the system does not tell: the process is notified of arrivals at
    /// once, unless it is held up.
    pub assumed: Instant,
}

impl ArrivalBounds {
    /// The bounds of what arrives after `earliest`.
    pub fn after(earliest: Instant) -> ArrivalBounds {
        ArrivalBounds { earliest, assumed: earliest }
    }
}

/// When the bytes of one connection arrived.
#[derive(Debug)]
pub struct ConnectionArrivals {
    /// When bytes that have not been read may have arrived.
    unread: Cell<ArrivalBounds>,
    /// Whether nothing has been read from the connection since it was in the accept queue.
    is_fresh: Cell<bool>,
    latest: Cell<Instant>,
}

impl ConnectionArrivals {
    /// Creates the arrivals of a connection that was just accepted and may have been in the accept queue since then.
    pub fn new(queued_since: ArrivalBounds) -> ConnectionArrivals {
        ConnectionArrivals {
            unread: Cell::new(queued_since),
            is_fresh: Cell::new(true),
            latest: Cell::new(Instant::now()),
        }
    }

    /// Polls a read of the connection's socket, and notes when the bytes arrived, or that there are none.
    pub fn poll_read(
        &self,
        socket: &TcpStream,
        cx: &mut Context<'_>,
        bytes: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        ready!(socket.poll_read_ready(cx))?;
        let read = socket.try_read(bytes);
        match &read {
            Ok(0) => {}
            Ok(_) => _ = self.bytes_read(socket),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.socket_empty(),
            Err(_) => {}
        }
        Poll::Ready(read)
    }

    /// Notes that bytes have just been read from the socket, and returns when the last of them arrived.
    pub fn bytes_read(&self, socket: &impl AsFd) -> Instant {
        let now = Instant::now();
        let longest_age = now.saturating_duration_since(self.unread.get().earliest);
        let age = if longest_age <= NEGLIGIBLE_AGE {
            Duration::ZERO
        } else {
            self.age(socket, now).min(longest_age)
        };
        let arrived_at = now.checked_sub(age).unwrap_or(now);
        self.latest.set(arrived_at);
        arrived_at
    }

    fn age(&self, socket: &impl AsFd, now: Instant) -> Duration {
        if let Some(age) = tcp_info::last_data_age(socket) {
            return age;
        }
        match self.is_fresh.get() {
            true => {
                now.saturating_duration_since(self.unread.get().assumed).saturating_sub(UNKNOWN_AGE_MARGIN)
            }
            // The process is notified at once of bytes on a connection that it has read before.
            false => Duration::ZERO,
        }
    }

    /// Notes that all bytes that have arrived are read.
    pub fn socket_empty(&self) {
        self.unread.set(ArrivalBounds::after(Instant::now()));
        self.is_fresh.set(false);
    }

    /// When the bytes that were read last arrived, or else when the connection was accepted.
    pub fn latest(&self) -> Instant {
        self.latest.get()
    }
}

/// Tells when the last byte of the request arrived that a frontend serves.
pub trait RequestArrival {
    /// When the last byte of the request that has been read so far arrived.
    fn request_arrived_at(&self) -> Instant;
}

impl RequestArrival for ConnectionArrivals {
    fn request_arrived_at(&self) -> Instant {
        self.latest()
    }
}
