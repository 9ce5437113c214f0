//! A listening socket from which no accepted connection is lost: a connection stays open until it is handed to the frontend
//! that serves it, whichever call fails on the way and whoever stops waiting for it.

use super::arrivals::ArrivalBounds;
use super::{socket, tcp_info};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::pin;
use std::time::Duration;
use thiserror::Error;
use tokio::io::unix::AsyncFd;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Length of the kernel's accept queue: the number of connections that clients may open in one burst.
pub const BACKLOG: u32 = 1024;
/// Number of connections that are accepted before others have a turn of the event loop.
const CONNECTIONS_IN_A_TURN: u64 = 8;
/// Most connections in the accept queue: the system admits one more than asked for.
const MAX_QUEUED: usize = BACKLOG as usize + 1;
/// How long an accepted connection is kept that the runtime can't watch: as long as its client waits at most.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection that was accepted and is not handed to its frontend yet.
#[derive(Debug)]
struct QueuedConnection {
    /// Its socket, which the runtime does not watch yet.
    stream: std::net::TcpStream,
    /// When the connection may have come to the accept queue.
    queued_since: ArrivalBounds,
    /// When it was accepted.
    accepted_at: Instant,
}

/// The listening socket of a frontend.
#[derive(Debug)]
pub struct ListeningSocket {
    socket: AsyncFd<std::net::TcpListener>,
    /// When connections that are in the accept queue may have come there.
    queued_since: Cell<ArrivalBounds>,
    /// When connections were accepted since the queue was last empty, no more of them than the queue holds.
    accepted_at: RefCell<VecDeque<Instant>>,
    /// How many connections are still accepted before the socket closes, once it has to.
    last_accepts: Cell<Option<usize>>,
    /// Number of connections accepted so far.
    accepted: Cell<u64>,
    /// Number of failed calls of `accept` since the last one that did not fail.
    failures: Cell<u32>,
    /// A connection that was accepted, while whoever waits for it has not taken it yet.
    held: RefCell<Option<QueuedConnection>>,
}

impl ListeningSocket {
    /// Wraps a socket that listens. Must be called within the runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime can't watch the socket.
    pub fn new(socket: std::net::TcpListener) -> io::Result<ListeningSocket> {
        socket.set_nonblocking(true)?;
        #[expect(
            deprecated,
            reason = "the replacement is unsafe, for types that may change their descriptor"
        )]
        let socket = AsyncFd::new(socket)?;
        Ok(ListeningSocket {
            socket,
            queued_since: Cell::new(ArrivalBounds::after(Instant::now())),
            accepted_at: RefCell::default(),
            last_accepts: Cell::default(),
            accepted: Cell::default(),
            failures: Cell::default(),
            held: RefCell::default(),
        })
    }

    /// The address that the socket is bound to.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Number of failed calls of `accept` since the last one that did not fail.
    pub fn failures_in_a_row(&self) -> u32 {
        self.failures.get()
    }

    /// Whether so many connections have been accepted that others should have a turn.
    pub fn is_turn_over(&self) -> bool {
        self.accepted.get() % CONNECTIONS_IN_A_TURN == 0
    }

    /// Number of connections in the accept queue, if the system tells.
    pub fn queue_length(&self) -> Option<usize> {
        tcp_info::queue_length(self.socket.get_ref())
    }

    /// For how long connections may have been in the accept queue.
    pub fn queue_wait(&self) -> Duration {
        self.queued_since.get().assumed.elapsed()
    }

    /// Notes that another process has accepted the queued connections up to now.
    pub fn accepted_elsewhere(&self) {
        let earliest = self.queued_since.get().earliest;
        self.queued_since.set(ArrivalBounds { earliest, assumed: Instant::now() });
    }

    /// Waits until a connection is held, and accepts one if none is. Cancel safe.
    ///
    /// # Errors
    ///
    /// The error of `accept`.
    pub async fn hold_next(&self) -> io::Result<()> {
        while !self.hold_queued()? {
            let mut has_waited = false;
            let mut readable = pin!(self.socket.readable());
            let ready = poll_fn(|cx| {
                let polled = readable.as_mut().poll(cx);
                has_waited |= polled.is_pending();
                polled
            });
            ready.await?.clear_ready();
            if has_waited {
                // The process was notified of the connection that is in the queue now.
                self.accepted_elsewhere();
            }
        }
        Ok(())
    }

    /// Holds the next connection of the accept queue, unless one is held already. Returns whether one is held.
    ///
    /// # Errors
    ///
    /// The error of `accept`.
    pub fn hold_queued(&self) -> io::Result<bool> {
        if self.is_holding() {
            return Ok(true);
        }
        loop {
            let asked_at = Instant::now();
            match self.socket.get_ref().accept() {
                Ok((stream, _)) => {
                    self.accepted.set(self.accepted.get() + 1);
                    self.failures.set(0);
                    let queued_since = self.queued_since_before_accept(asked_at);
                    let held = QueuedConnection { stream, queued_since, accepted_at: asked_at };
                    self.held.replace(Some(held));
                    return Ok(true);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.failures.set(0);
                    self.queued_since.set(ArrivalBounds::after(asked_at));
                    self.accepted_at.replace(VecDeque::new());
                    return Ok(false);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    self.failures.set(self.failures.get() + 1);
                    return Err(error);
                }
            }
        }
    }
}

impl ListeningSocket {
    /// Holds the next of the connections that were in the accept queue at the first call, unless one is held already.
    /// Those that come later are left to the close of the socket: clients may come faster than they are accepted.
    /// Returns whether one is held.
    ///
    /// # Errors
    ///
    /// The error of `accept`.
    pub fn hold_last_queued(&self) -> io::Result<bool> {
        if self.is_holding() {
            return Ok(true);
        }
        let left = self.last_accepts.get().unwrap_or_else(|| self.queue_length().unwrap_or(MAX_QUEUED));
        self.last_accepts.set(Some(left));
        if left == 0 || !self.hold_queued()? {
            return Ok(false);
        }
        self.last_accepts.set(Some(left - 1));
        Ok(true)
    }

    /// When the connection may have come to the queue that was accepted now. It came after the one was accepted that is
    /// further ahead of it than the queue is long.
    fn queued_since_before_accept(&self, now: Instant) -> ArrivalBounds {
        let mut accepted_at = self.accepted_at.borrow_mut();
        accepted_at.push_back(now);
        if accepted_at.len() > MAX_QUEUED {
            if let Some(ahead) = accepted_at.pop_front() {
                let ArrivalBounds { earliest, assumed } = self.queued_since.get();
                let bounds = ArrivalBounds { earliest: earliest.max(ahead), assumed: assumed.max(ahead) };
                self.queued_since.set(bounds);
            }
        }
        self.queued_since.get()
    }
}

/// The held connection.
impl ListeningSocket {
    /// Whether a connection is held.
    pub fn is_holding(&self) -> bool {
        self.held.borrow().is_some()
    }

    /// What a look at the held connection shows; `None` if none is held.
    pub fn look_at_held(&self) -> Option<HeldState> {
        self.held.borrow().as_ref().map(QueuedConnection::look)
    }

    /// Accepts the next connection and has the runtime watch it. Cancel safe.
    ///
    /// # Errors
    ///
    /// The error of `accept`, or why the connection is not watched; it may be held still.
    pub async fn accept(&self) -> io::Result<TcpStream> {
        loop {
            self.hold_next().await?;
            match self.take_held() {
                Ok(Some(registered)) => return Ok(registered.stream),
                Ok(None) => {}
                Err(RegistrationError::Retry(error) | RegistrationError::Lost(error)) => return Err(error),
            }
        }
    }

    /// Closes the held connection.
    pub fn drop_held(&self) {
        self.held.take();
    }

    /// Has the runtime watch the held connection and returns it; `None` if none is held. While that fails, the connection
    /// stays held.
    ///
    /// # Errors
    ///
    /// [`RegistrationError`] with what to do about it.
    pub fn take_held(&self) -> Result<Option<RegisteredConnection>, RegistrationError> {
        let Some(queued) = self.held.take() else { return Ok(None) };
        let silent_since = match queued.look() {
            HeldState::Silent { since } => since,
            HeldState::HasBytes | HeldState::Closed => Instant::now(),
        };
        let QueuedConnection { stream, queued_since, accepted_at } = queued;
        let keep = |stream| self.held.replace(Some(QueuedConnection { stream, queued_since, accepted_at }));
        let may_retry = accepted_at.elapsed() < REGISTRATION_TIMEOUT;
        // The runtime closes a socket that it can't watch, so a duplicate keeps the connection open.
        let spare = match stream.set_nonblocking(true).and_then(|()| stream.try_clone()) {
            Ok(spare) => Some(spare),
            Err(error) if may_retry && socket::is_shortage(&error) => {
                keep(stream);
                return Err(RegistrationError::Retry(error));
            }
            Err(_) => None,
        };
        match (TcpStream::from_std(stream), spare) {
            (Ok(stream), _) => Ok(Some(RegisteredConnection { stream, queued_since, silent_since })),
            (Err(error), Some(spare)) if may_retry => {
                keep(spare);
                Err(RegistrationError::Retry(error))
            }
            (Err(error), _) => Err(RegistrationError::Lost(error)),
        }
    }
}

impl QueuedConnection {
    /// What a look at the socket shows.
    fn look(&self) -> HeldState {
        match socket::peek(&self.stream) {
            Ok(1..) => HeldState::HasBytes,
            Ok(0) => HeldState::Closed,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                HeldState::Silent { since: self.silent_since() }
            }
            Err(error) if socket::is_shortage(&error) => HeldState::HasBytes,
            Err(_) => HeldState::Closed,
        }
    }

    /// Since when nothing has arrived on the connection; if the system does not tell, since when it may have been queued.
    fn silent_since(&self) -> Instant {
        let now = Instant::now();
        match tcp_info::last_data_age(&self.stream) {
            Some(age) => now.checked_sub(age).unwrap_or(now).max(self.queued_since.earliest),
            None => self.queued_since.assumed,
        }
    }
}

/// What is known of a held connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldState {
    /// It holds bytes, or may hold some.
    HasBytes,
    /// It is open, and nothing has arrived since this time.
    Silent {
        /// Since when.
        since: Instant,
    },
    /// Its client has closed it without sending anything, or it has failed.
    Closed,
}

/// A connection that the runtime watches.
#[derive(Debug)]
pub struct RegisteredConnection {
    /// The connection.
    pub stream: TcpStream,
    /// When it may have come to the accept queue.
    pub queued_since: ArrivalBounds,
    /// Since when nothing has arrived on it; if something has, since now, as it is read at once.
    pub silent_since: Instant,
}

/// Why a held connection could not be taken.
#[derive(Debug, Error)]
pub enum RegistrationError {
    /// The connection is still held, and can be taken later.
    #[error("the connection is not watched yet: {0}")]
    Retry(#[source] io::Error),
    /// The connection is closed.
    #[error("the connection is closed, since it can't be watched: {0}")]
    Lost(#[source] io::Error),
}

impl AsFd for ListeningSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.get_ref().as_fd()
    }
}
