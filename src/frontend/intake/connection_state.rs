//! Progress of the requests on a client's connection, from which its time-outs follow and whether it may be closed.

use super::reader::MAX_PIPELINED_BYTES;
use crate::action_rules::{ConnectionFacts, is_past_transit, may_close};
use crate::core::Client;
use crate::metrics::counters::Counters;
use crate::resources::arrivals::{ConnectionArrivals, RequestArrival};
use crate::resources::descriptors::ClientSlot;
use crate::resources::reading_watch::{ReadingWatch, StoppedReading};
use crate::resources::socket;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time-out of a head, from its first byte on; for the first head, from the accept of the connection. A slow client may
/// take 2 s, and one that stalls has to be disconnected within 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time that a request may take from the beginning of its head, beyond the transfer of its body at the minimum rate. A
/// client that sends at full speed and then stalls has to be disconnected within 3 s.
const SLOW_REQUEST_GRACE: Duration = Duration::from_millis(2700);
/// The part of [`SLOW_REQUEST_GRACE`] that is left for the body at least, from the end of the head.
const MIN_BODY_GRACE: Duration = Duration::from_millis(1500);
/// Time-out of a client that has stopped reading its answer.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out of a connection without a request.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(2100);

/// How much has arrived of the next request that is not passed to hyper yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextRequest {
    /// Nothing, and no request before it: the connection is unused.
    First,
    /// Nothing.
    NotBegun,
    /// A part of it, or all.
    Arriving,
}

/// The request that was passed to hyper and has no complete answer yet. No later request is passed on meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CurrentRequest {
    None,
    /// Its head was passed to hyper. `framing_ambiguous` is set if the end of its body can't be determined.
    PassedOn {
        framing_ambiguous: bool,
        body_incomplete: bool,
    },
    /// hyper has called the service with it. `body_incomplete` is set until its body is passed on to its end,
    /// `answer_begun` once the service has returned the head of its answer.
    Serving {
        body_incomplete: bool,
        answer_begun: bool,
    },
}

/// The state of one connection, shared by its reader, its service and its task.
#[derive(Debug)]
pub struct ConnectionState {
    pub(super) stream: Rc<TcpStream>,
    /// When the bytes of the connection arrived.
    pub(super) arrivals: Rc<ConnectionArrivals>,
    /// When the last byte arrived that was passed on of the latest request.
    request_arrived_at: Cell<Instant>,
    /// The connection's slot in the descriptor budget, which follows the state of the requests.
    slot: Rc<ClientSlot>,
    counters: Rc<Counters>,
    next_request: Cell<NextRequest>,
    current_request: Cell<CurrentRequest>,
    /// A part of an answer may not be written to the socket yet.
    unflushed: Cell<bool>,
    /// Whether the client goes on reading while the socket takes no more bytes.
    reading: ReadingWatch,
    /// Number of bytes that the socket has taken.
    written_bytes: Cell<u64>,
    /// The connection has to close as soon as it is idle.
    close_requested: Cell<bool>,
    /// The client speaks HTTP/2.
    speaks_http2: Cell<bool>,
    /// When the latest request began to arrive.
    request_began: Cell<Instant>,
    /// When the head or body that is awaited times out, or the idle connection does.
    receive_deadline: Cell<Instant>,
    /// Notified when the request whose body is awaited has to be rejected; a new one for each request.
    body_rejected: RefCell<Rc<Notify>>,
    changed: Notify,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(
        stream: Rc<TcpStream>,
        arrivals: Rc<ConnectionArrivals>,
        slot: Rc<ClientSlot>,
        counters: Rc<Counters>,
    ) -> Rc<ConnectionState> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            stream,
            arrivals,
            request_arrived_at: Cell::new(now),
            slot,
            counters,
            next_request: Cell::new(NextRequest::First),
            current_request: Cell::new(CurrentRequest::None),
            unflushed: Cell::new(false),
            reading: ReadingWatch::new(UNREAD_TIMEOUT),
            written_bytes: Cell::new(0),
            close_requested: Cell::new(false),
            speaks_http2: Cell::new(false),
            request_began: Cell::new(now),
            receive_deadline: Cell::new(now + HEAD_TIMEOUT),
            body_rejected: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Returns when the connection times out or has to be looked at. While a request is served or its answer is sent, it
    /// times out only if the client has stopped reading ([`check_reading`](Self::check_reading)).
    pub fn timeout_at(&self) -> Option<Instant> {
        if let Some(next_look) = self.reading.next_look() {
            return Some(next_look);
        }
        if self.is_serving() || self.unflushed.get() {
            return None;
        }
        Some(self.receive_deadline.get())
    }

    /// Waits until [`timeout_at`](Self::timeout_at) or [`is_idle`](Self::is_idle) may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Whether the client speaks HTTP/2, which is served on another port, if at all.
    pub fn speaks_http2(&self) -> bool {
        self.speaks_http2.get()
    }

    /// Sets whether the client speaks HTTP/2.
    pub(super) fn set_speaks_http2(&self, speaks_http2: bool) {
        self.speaks_http2.set(speaks_http2);
    }

    /// Whether no byte has been received on the connection yet.
    pub fn is_unused(&self) -> bool {
        self.next_request.get() == NextRequest::First
    }

    /// Whether no part of a request has been received without a complete answer, and the last answer is written to the
    /// socket.
    pub fn is_idle(&self) -> bool {
        self.is_answer_sent() && !self.is_next_arriving()
    }

    /// Whether a request is served whose body is not passed on to its end. Unread bytes of it may hide that the client
    /// has closed its side.
    pub fn is_receiving_body(&self) -> bool {
        matches!(self.current_request.get(), CurrentRequest::Serving { body_incomplete: true, .. })
    }

    /// Whether a part of a request head has arrived, and no other request is served.
    pub fn has_incomplete_head(&self) -> bool {
        self.is_answer_sent() && self.is_next_arriving()
    }

    /// Whether the client has stopped in the middle of a request head, and no other request is served.
    pub fn is_stalled_in_head(&self) -> bool {
        self.has_incomplete_head() && self.is_stalled()
    }

    /// Whether a part of an answer is still to be sent: the node has not sent it, or the client does not read.
    pub fn is_sending_answer(&self) -> bool {
        let is_begun =
            matches!(self.current_request.get(), CurrentRequest::Serving { answer_begun: true, .. });
        is_begun || self.is_send_blocked()
    }

    /// Whether the socket takes no more bytes of an answer until the client reads.
    pub fn is_send_blocked(&self) -> bool {
        self.reading.is_blocked()
    }

    /// Looks at a connection whose socket takes no more bytes.
    ///
    /// # Errors
    ///
    /// [`StoppedReading`] if its client has stopped reading.
    pub fn check_reading(&self) -> Result<(), StoppedReading> {
        let reading = self.reading.look(&*self.stream);
        if let Err(stopped) = &reading {
            self.counters.stalled_readers.add();
            if self.counters.stall_log.is_due() {
                let written = self.written_bytes.get();
                log::info!("http: client stopped reading its answer, written={written} {stopped}");
            }
        }
        reading
    }

    /// Whether the client has stopped in the middle of a request body, and the request has no answer yet.
    pub fn is_stalled_in_body(&self) -> bool {
        let awaits_body = CurrentRequest::Serving { body_incomplete: true, answer_begun: false };
        self.current_request.get() == awaits_body && self.is_stalled()
    }

    /// Whether the client has sent nothing for so long that nothing is in transit, and all that it sent is read.
    fn is_stalled(&self) -> bool {
        is_past_transit(self.arrivals.latest().elapsed()) && self.has_nothing_unread()
    }

    /// Rejects the request whose body is awaited.
    pub fn reject_body(&self) {
        self.body_rejected.borrow().notify_one();
    }

    /// Waits until the request whose body is awaited has to be rejected.
    pub async fn body_rejected(&self) {
        let rejected = self.body_rejected.borrow().clone();
        rejected.notified().await;
    }

    /// Keeps the connection open although its descriptor was to be freed, since a request has begun to arrive.
    pub fn decline_reclaim(&self) {
        if self.slot.decline_reclaim() {
            self.update_slot();
        }
    }

    /// Sets the state of the slot by that of the requests.
    fn update_slot(&self) {
        match self.current_request.get() {
            CurrentRequest::Serving { body_incomplete: true, answer_begun: false } => {
                self.mark_slot_incomplete();
            }
            CurrentRequest::PassedOn { .. } | CurrentRequest::Serving { .. } => self.slot.mark_in_use(),
            CurrentRequest::None => match self.next_request.get() {
                NextRequest::First => {}
                NextRequest::NotBegun => self.slot.mark_idle(),
                NextRequest::Arriving => self.mark_slot_incomplete(),
            },
        }
    }

    /// Notes that the rest of a request is awaited since its latest bytes arrived.
    fn mark_slot_incomplete(&self) {
        self.slot.mark_incomplete_since(self.arrivals.latest().into_std());
    }

    /// Whether a request was passed to hyper and its answer has not left the service yet.
    pub(super) fn is_answer_due(&self) -> bool {
        self.current_request.get() != CurrentRequest::None
    }

    /// Whether no request is in progress and the last answer is written to the socket.
    pub(super) fn is_answer_sent(&self) -> bool {
        !self.is_answer_due() && !self.unflushed.get()
    }

    /// Counts and logs that more pipelined bytes arrived than are buffered.
    pub(super) fn record_flood(&self) {
        self.counters.floods.add();
        if self.counters.flood_log.is_due() {
            log::info!("http: too many pipelined bytes, connection closes, max={MAX_PIPELINED_BYTES}");
        }
    }

    fn is_serving(&self) -> bool {
        matches!(self.current_request.get(), CurrentRequest::Serving { .. })
    }

    fn is_next_arriving(&self) -> bool {
        self.next_request.get() == NextRequest::Arriving
    }

    /// Makes the connection close as soon as it is idle.
    pub fn request_close(&self) {
        self.close_requested.set(true);
    }

    /// Whether the connection has to close as soon as it is idle.
    pub fn is_close_requested(&self) -> bool {
        self.close_requested.get()
    }

    /// Whether the connection may be closed now.
    pub fn may_close(&self) -> bool {
        let is_idle = self.is_idle();
        may_close(ConnectionFacts { is_idle, is_drained: is_idle && self.has_nothing_unread() })
    }

    /// Whether a request has been read completely of which no answer has begun.
    pub fn owes_answer(&self) -> bool {
        match self.current_request.get() {
            CurrentRequest::None => false,
            CurrentRequest::PassedOn { body_incomplete, .. } => !body_incomplete,
            CurrentRequest::Serving { body_incomplete, answer_begun } => !body_incomplete && !answer_begun,
        }
    }

    /// Whether an answer may carry `Connection: close`: no part of a further request has arrived, read or unread.
    pub fn may_announce_close(&self) -> bool {
        !self.is_next_arriving() && self.has_nothing_unread()
    }

    /// Whether the connection is open with no bytes to read. Asks the system, since the runtime may not have been
    /// notified yet.
    pub fn has_nothing_unread(&self) -> bool {
        socket::has_nothing_unread(&*self.stream)
    }

    /// Returns the time that the body of a request whose head has just arrived may take beyond its transfer at the
    /// minimum rate.
    pub fn body_grace(&self) -> Duration {
        SLOW_REQUEST_GRACE.saturating_sub(self.request_began.get().elapsed()).max(MIN_BODY_GRACE)
    }
}

/// Events of a request, in the order in which they occur.
impl ConnectionState {
    /// Bytes have been read from the socket.
    pub(super) fn bytes_received(&self) {
        if self.slot.is_incomplete() {
            self.mark_slot_incomplete();
        }
    }

    /// Bytes of the latest request are passed on, of which the last arrived at this time.
    pub(super) fn request_bytes_passed(&self, arrived_at: Instant) {
        self.request_arrived_at.set(arrived_at);
    }

    /// The head that has begun to arrive is not complete yet.
    pub(super) fn head_incomplete(&self) {
        if !self.slot.is_incomplete() {
            self.update_slot();
        }
        // The close was requested before these bytes were read, and has to be declined.
        if self.slot.is_closing() {
            self.changed.notify_one();
        }
    }

    /// Bytes of a head have arrived: starts the time-out of the head. That of the first head runs since the accept of
    /// the connection.
    pub(super) fn request_arriving(&self) {
        if self.next_request.replace(NextRequest::Arriving) == NextRequest::NotBegun {
            self.request_began.set(Instant::now());
            self.receive_deadline.set(Instant::now() + HEAD_TIMEOUT);
            self.changed.notify_one();
        }
    }

    /// A complete head is passed to hyper.
    pub(super) fn head_passed_on(&self, framing_ambiguous: bool, has_body: bool) {
        self.next_request.set(NextRequest::NotBegun);
        let current = CurrentRequest::PassedOn { framing_ambiguous, body_incomplete: has_body };
        self.current_request.set(current);
    }

    /// hyper has called the service with the request. Returns whether its framing is ambiguous.
    pub fn service_began(&self) -> bool {
        let (framing_ambiguous, body_incomplete) = match self.current_request.get() {
            CurrentRequest::PassedOn { framing_ambiguous, body_incomplete } => {
                (framing_ambiguous, body_incomplete)
            }
            CurrentRequest::Serving { body_incomplete, .. } => (false, body_incomplete),
            CurrentRequest::None => (false, false),
        };
        self.current_request.set(CurrentRequest::Serving { body_incomplete, answer_begun: false });
        self.body_rejected.replace(Rc::default());
        self.update_slot();
        self.changed.notify_one();
        framing_ambiguous
    }

    /// Bytes of a body have arrived. If the request was answered before the end of its body, this restarts the idle
    /// time-out, so that the rest can arrive.
    pub(super) fn body_arriving(&self) {
        if !self.is_serving() && !self.is_next_arriving() {
            self.receive_deadline.set(Instant::now() + IDLE_TIMEOUT);
            self.changed.notify_one();
        }
    }

    /// The body of the latest request is passed on to its end.
    pub(super) fn body_ended(&self) {
        match self.current_request.get() {
            // The request was answered before the end of its body.
            CurrentRequest::None => {}
            CurrentRequest::PassedOn { framing_ambiguous, .. } => {
                let current = CurrentRequest::PassedOn { framing_ambiguous, body_incomplete: false };
                self.current_request.set(current);
            }
            CurrentRequest::Serving { answer_begun, .. } => {
                self.current_request.set(CurrentRequest::Serving { body_incomplete: false, answer_begun });
                self.update_slot();
            }
        }
    }

    /// The service has returned the head of the answer.
    pub fn answer_begun(&self) {
        if let CurrentRequest::Serving { body_incomplete, .. } = self.current_request.get() {
            self.current_request.set(CurrentRequest::Serving { body_incomplete, answer_begun: true });
            self.update_slot();
        }
    }

    /// The answer has left the service: starts the time-out of the next request.
    pub fn answer_ended(&self) {
        self.current_request.set(CurrentRequest::None);
        self.update_slot();
        self.unflushed.set(true);
        self.request_began.set(Instant::now());
        let timeout = if self.is_next_arriving() { HEAD_TIMEOUT } else { IDLE_TIMEOUT };
        self.receive_deadline.set(Instant::now() + timeout);
        self.changed.notify_one();
    }

    /// hyper has written everything to the socket.
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

    /// Notes whether the socket takes bytes. It does not while its send buffer is full.
    pub(super) fn writable_changed(&self, is_writable: bool) {
        if is_writable != self.is_send_blocked() {
            return;
        }
        if is_writable {
            self.reading.unblocked();
        } else {
            self.reading.blocked();
        }
        self.changed.notify_one();
    }

    /// The socket has taken bytes of an answer.
    pub(super) fn bytes_written(&self, count: usize) {
        self.written_bytes.set(self.written_bytes.get() + count as u64);
    }
}

impl Client for ConnectionState {
    fn is_connected(&self) -> bool {
        match socket::peek(&*self.stream) {
            Err(error) if socket::is_shortage(&error) => true,
            // The client may have closed its side after the unread bytes.
            Ok(1..) => !is_half_closed(&self.stream),
            Ok(0) => false,
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    fn has_nothing_unread(&self) -> bool {
        ConnectionState::has_nothing_unread(self)
    }
}

impl RequestArrival for ConnectionState {
    fn request_arrived_at(&self) -> Instant {
        self.request_arrived_at.get()
    }
}

/// Whether the client has shut down its sending side, as far as the runtime has been notified.
fn is_half_closed(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}
