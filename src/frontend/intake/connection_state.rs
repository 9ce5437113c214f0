//! How far the requests on a client's connection have come, and from that when the connection is to end and whether it
//! may.

use crate::core::Client;
use crate::metrics::counters::Counters;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a new connection has for its first head, and a later head from its first byte on: a slow client takes 2 s,
/// and a bad one is to be rid of within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a slow client may be waited for in all, from the beginning of its head and beyond what its body's bytes take
/// at the least pace. A client that sends at full speed and stops is to be rid of within 3 s.
const SLOW_REQUEST_GRACE: Duration = Duration::from_millis(2700);
/// The least of that which is left for its body, from the end of its head.
const MIN_BODY_GRACE: Duration = Duration::from_millis(1500);
/// How long a client may leave what is sent to it unread.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection is kept without a request.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);

/// What has arrived of the next request that is not handed on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRequest {
    /// Nothing, and nothing before it: the connection is unused.
    First,
    /// Nothing.
    NotBegun,
    /// Some of it.
    Arriving,
}

/// The request that was handed on and has no complete answer yet. Nothing after its body is handed on meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CurrentRequest {
    None,
    /// hyper has its head. `framing_ambiguous` is set if it is in doubt where it ends.
    HandedOn {
        framing_ambiguous: bool,
        body_incomplete: bool,
    },
    /// The service has it. `body_incomplete` is set until its body is handed on to its end.
    Serving {
        body_incomplete: bool,
    },
}

/// The state of one connection, shared by its reader, its service and its task.
#[derive(Debug)]
pub struct ConnectionState {
    pub(super) stream: Rc<TcpStream>,
    pub(super) counters: Rc<Counters>,
    next_request: Cell<NextRequest>,
    current_request: Cell<CurrentRequest>,
    /// Some of an answer may not be with the system yet.
    unflushed: Cell<bool>,
    /// Since when the client has left what is sent to it unread.
    unread_since: Cell<Option<Instant>>,
    /// The connection is to close as soon as it is idle.
    close_requested: Cell<bool>,
    /// A client of HTTP/2 came to this port.
    speaks_http2: Cell<bool>,
    /// When the newest request began to arrive.
    request_began: Cell<Instant>,
    /// When the head that is awaited must have arrived, or the idle time ends.
    receive_deadline: Cell<Instant>,
    changed: Notify,
}

impl ConnectionState {
    /// Of a new connection.
    pub fn new(stream: Rc<TcpStream>, counters: Rc<Counters>) -> Rc<ConnectionState> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            stream,
            counters,
            next_request: Cell::new(NextRequest::First),
            current_request: Cell::new(CurrentRequest::None),
            unflushed: Cell::new(false),
            unread_since: Cell::new(None),
            close_requested: Cell::new(false),
            speaks_http2: Cell::new(false),
            request_began: Cell::new(now),
            receive_deadline: Cell::new(now + HEAD_TIMEOUT),
            changed: Notify::new(),
        })
    }

    /// When the connection times out; while a request is served or its answer goes out, only if the client does not
    /// read.
    pub fn timeout_at(&self) -> Option<Instant> {
        if let Some(unread_since) = self.unread_since.get() {
            return Some(unread_since + UNREAD_TIMEOUT);
        }
        if self.is_serving() || self.unflushed.get() {
            return None;
        }
        Some(self.receive_deadline.get())
    }

    /// Waits until its timeout, or whether it may close, may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether the client speaks HTTP/2, which is served on another port, if at all.
    pub fn speaks_http2(&self) -> bool {
        self.speaks_http2.get()
    }

    /// Notes that the client speaks HTTP/2, or not.
    pub(super) fn set_speaks_http2(&self, speaks_http2: bool) {
        self.speaks_http2.set(speaks_http2);
    }

    /// Whether nothing has arrived on it yet.
    pub fn is_unused(&self) -> bool {
        self.next_request.get() == NextRequest::First
    }

    /// Whether nothing of a request is at hand, and the last answer is with the system.
    pub fn is_idle(&self) -> bool {
        !self.is_answer_due() && !self.is_next_arriving() && !self.unflushed.get()
    }

    /// Whether a request is served of whose body more is to be handed on: the client's end may stand behind that.
    pub fn is_receiving_body(&self) -> bool {
        self.current_request.get() == CurrentRequest::Serving { body_incomplete: true }
    }

    /// Whether a request was handed on and its answer is not out yet.
    pub(super) fn is_answer_due(&self) -> bool {
        self.current_request.get() != CurrentRequest::None
    }

    fn is_serving(&self) -> bool {
        matches!(self.current_request.get(), CurrentRequest::Serving { .. })
    }

    fn is_next_arriving(&self) -> bool {
        self.next_request.get() == NextRequest::Arriving
    }

    /// Has the connection close as soon as it is idle.
    pub fn request_close(&self) {
        self.close_requested.set(true);
    }

    /// Whether it is to close as soon as it is idle.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.get()
    }

    /// Whether an answer may say that it is the last: no further request has come, read or not.
    pub fn may_announce_close(&self) -> bool {
        !self.is_next_arriving() && self.has_nothing_unread()
    }

    /// Whether the connection is open with no bytes to read. Asks the system, since the runtime may not have been
    /// notified yet.
    pub fn has_nothing_unread(&self) -> bool {
        self.peek().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// How long a request whose head has just come may be waited for beyond its body's pace.
    pub fn body_grace(&self) -> Duration {
        SLOW_REQUEST_GRACE.saturating_sub(self.request_began.get().elapsed()).max(MIN_BODY_GRACE)
    }
}

/// Events, in the order in which they come.
impl ConnectionState {
    /// Bytes of a head have come, so the rest is due. A first head was due from the connection's start.
    pub(super) fn request_arriving(&self) {
        if self.next_request.replace(NextRequest::Arriving) == NextRequest::NotBegun {
            self.request_began.set(Instant::now());
            self.receive_deadline.set(Instant::now() + HEAD_TIMEOUT);
            self.changed.notify_one();
        }
    }

    /// A complete head is handed on.
    pub(super) fn head_handed_on(&self, framing_ambiguous: bool, has_body: bool) {
        self.next_request.set(NextRequest::NotBegun);
        let current = CurrentRequest::HandedOn { framing_ambiguous, body_incomplete: has_body };
        self.current_request.set(current);
    }

    /// The service has the request whose head was handed on; whether its framing is ambiguous.
    pub fn service_began(&self) -> bool {
        let (framing_ambiguous, body_incomplete) = match self.current_request.get() {
            CurrentRequest::HandedOn { framing_ambiguous, body_incomplete } => {
                (framing_ambiguous, body_incomplete)
            }
            CurrentRequest::Serving { body_incomplete } => (false, body_incomplete),
            CurrentRequest::None => (false, false),
        };
        self.current_request.set(CurrentRequest::Serving { body_incomplete });
        self.changed.notify_one();
        framing_ambiguous
    }

    /// Bytes of a body have come; after an early answer, the connection is kept for the rest.
    pub(super) fn body_arriving(&self) {
        if !self.is_serving() && !self.is_next_arriving() {
            self.receive_deadline.set(Instant::now() + IDLE_TIMEOUT);
            self.changed.notify_one();
        }
    }

    /// The body of the newest request is handed on to its end.
    pub(super) fn body_ended(&self) {
        match self.current_request.get() {
            // It was answered early.
            CurrentRequest::None => {}
            CurrentRequest::HandedOn { framing_ambiguous, .. } => {
                let current = CurrentRequest::HandedOn { framing_ambiguous, body_incomplete: false };
                self.current_request.set(current);
            }
            CurrentRequest::Serving { .. } => {
                self.current_request.set(CurrentRequest::Serving { body_incomplete: false });
            }
        }
    }

    /// The request's answer has left the service; the connection is kept for another request.
    pub fn answer_ended(&self) {
        self.current_request.set(CurrentRequest::None);
        self.unflushed.set(true);
        self.request_began.set(Instant::now());
        let timeout = if self.is_next_arriving() { HEAD_TIMEOUT } else { IDLE_TIMEOUT };
        self.receive_deadline.set(Instant::now() + timeout);
        self.changed.notify_one();
    }

    /// All that was written is with the system.
    pub(super) fn flushed(&self) {
        let was_unflushed = self.unflushed.replace(false);
        if !was_unflushed {
            return;
        }
        if !self.is_next_arriving() {
            self.receive_deadline.set(Instant::now() + IDLE_TIMEOUT);
        }
        if self.close_requested.get() {
            self.changed.notify_one();
        }
    }

    /// The system takes more of what is sent to the client, or, as long as that does not read, no more.
    pub(super) fn writable_changed(&self, is_writable: bool) {
        let unread_since = match is_writable {
            true => None,
            false => Some(self.unread_since.get().unwrap_or_else(Instant::now)),
        };
        if self.unread_since.replace(unread_since) != unread_since {
            self.changed.notify_one();
        }
    }
}

impl Client for ConnectionState {
    fn is_connected(&self) -> bool {
        match self.peek() {
            // The client's end may stand behind what is unread.
            Ok(1..) => !is_half_closed(&self.stream),
            Ok(0) => false,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    fn has_nothing_unread(&self) -> bool {
        ConnectionState::has_nothing_unread(self)
    }
}

/// Whether the other side has ended its sending, as far as the runtime knows.
fn is_half_closed(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}
