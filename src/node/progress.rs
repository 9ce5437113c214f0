//! Progress of the exchange on a connection: how much of the request was written and of the response received.

use super::guard::{NotSentReason, SendGuard, Stage};
use super::limits::MAX_RESPONSE_BYTES;
use crate::action_rules::may_tell;
use crate::core::WriteProgress;
use crate::core::upload::UploadStream;
use crate::metrics::counters::Counters;
use crate::resources::reading_watch::ReadingWatch;
use crate::scheduler::NodeId;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Write progress of the request. `body_taken` is whether hyper has polled the last bytes out of the body; it may still
/// hold them in its write buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// No byte has been written.
    NotStarted { body_taken: bool },
    /// The send guard refused the first byte.
    Refused(NotSentReason),
    /// Some bytes have been written.
    Writing { body_taken: bool },
    /// The last byte has been written, so the node may execute the request.
    Complete,
}

/// Why an idle connection can't carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnusableReason {
    /// The node has closed or reset it.
    ClosedByNode,
    /// The node has sent bytes that belong to no request.
    SurplusBytes,
}

/// Progress of the exchange on a connection, shared by the attempt, the request's body and the socket.
pub(super) struct ExchangeProgress {
    counters: Rc<Counters>,
    /// Send guard of the request, checked immediately before its first byte.
    guard: RefCell<Option<SendGuard>>,
    request: Cell<WriteState>,
    /// As of when the request tells the node how much time is left.
    told_at: Cell<Instant>,
    /// When bytes of the response last arrived; `None` until its first bytes, and again after an interim response.
    last_bytes_at: Cell<Option<Instant>>,
    /// Number of bytes read since the request was started.
    bytes_read: Cell<usize>,
    /// Whether an interim (1xx) response was received since the last call of [`ExchangeProgress::due`].
    interim_received: Arc<AtomicBool>,
    /// Whether the node has closed or reset the connection.
    closed_by_node: Cell<bool>,
    /// Whether the node goes on reading while the socket takes no more bytes.
    reading: ReadingWatch,
    /// When the node will have stopped reading if it reads no more by then; `None` while the socket takes bytes.
    reading_stops_at: Cell<Option<Instant>>,
}

impl ExchangeProgress {
    /// Creates the progress of a new connection, which carries no exchange yet.
    pub(super) fn new(counters: Rc<Counters>) -> Rc<ExchangeProgress> {
        Rc::new(ExchangeProgress {
            counters,
            guard: RefCell::default(),
            request: Cell::new(WriteState::NotStarted { body_taken: false }),
            told_at: Cell::new(Instant::now()),
            last_bytes_at: Cell::default(),
            bytes_read: Cell::default(),
            interim_received: Arc::default(),
            closed_by_node: Cell::default(),
            reading: ReadingWatch::new(UploadStream::STALL_TIMEOUT),
            reading_stops_at: Cell::default(),
        })
    }

    /// Resets the progress for the next request. `body_is_empty` is set if hyper has no body to poll; the request tells
    /// the node how much time is left at `told_at`.
    pub(super) fn start(&self, body_is_empty: bool, guard: SendGuard, told_at: Instant) {
        self.told_at.set(told_at);
        guard.permit.written.set(WriteProgress::Nothing);
        self.guard.replace(Some(guard));
        self.request.set(WriteState::NotStarted { body_taken: body_is_empty });
        self.last_bytes_at.set(None);
        self.bytes_read.set(0);
        self.reading.unblocked();
        self.reading_stops_at.set(None);
        self.interim_received.store(false, Ordering::Relaxed);
    }

    /// Runs the send guard's check before the request's first byte.
    ///
    /// # Errors
    ///
    /// Returns an error if the guard refuses the request; the refusal is permanent.
    pub(super) fn check_first_byte(&self, stream: &TcpStream) -> io::Result<()> {
        let refused = || io::Error::other("request refused by the send guard");
        match self.request.get() {
            WriteState::NotStarted { .. } => {}
            WriteState::Refused(_) => return Err(refused()),
            WriteState::Writing { .. } | WriteState::Complete => return Ok(()),
        }
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return Ok(()) };
        if !may_tell(self.told_at.get(), Instant::now()) {
            self.request.set(WriteState::Refused(NotSentReason::Outdated));
            return Err(refused());
        }
        guard.check(Stage::FirstByte, Some(stream)).map_err(|reason| {
            self.request.set(WriteState::Refused(reason));
            refused()
        })?;
        guard.log_first_byte();
        Ok(())
    }

    /// Records whether the socket takes bytes of the request.
    pub(super) fn writable_changed(&self, stream: &TcpStream, is_writable: bool) {
        if is_writable {
            self.reading.unblocked();
            self.reading_stops_at.set(None);
        } else {
            self.reading_stops_at.set(Some(self.reading.blocked_until(stream)));
        }
    }

    /// When the node will have stopped reading the request if it reads no more by then; `None` while the socket takes bytes.
    pub(super) fn reading_stops_at(&self) -> Option<Instant> {
        self.reading_stops_at.get()
    }

    /// Records that hyper has polled the last bytes out of the body.
    pub(super) fn body_taken(&self) {
        match self.request.get() {
            WriteState::NotStarted { .. } => {
                self.request.set(WriteState::NotStarted { body_taken: true });
            }
            WriteState::Writing { .. } => self.request.set(WriteState::Writing { body_taken: true }),
            WriteState::Refused(_) | WriteState::Complete => {}
        }
    }

    /// Records that bytes have been written to the socket.
    pub(super) fn bytes_written(&self) {
        if let (WriteState::NotStarted { .. }, Some(guard)) = (self.request.get(), &*self.guard.borrow()) {
            guard.check_written(self.told_at.get());
        }
        match self.request.get() {
            WriteState::NotStarted { body_taken } | WriteState::Writing { body_taken } => {
                self.request.set(WriteState::Writing { body_taken });
                self.report_written(WriteProgress::Partial);
            }
            WriteState::Refused(_) | WriteState::Complete => {}
        }
    }

    /// Records that hyper flushes the socket. It does so only when its own write buffer is empty, so a flush after the
    /// body's last bytes were polled means that the complete request has been written to the socket.
    pub(super) fn flushed(&self) {
        if self.request.get() == (WriteState::Writing { body_taken: true }) {
            self.request.set(WriteState::Complete);
            self.report_written(WriteProgress::Complete);
            self.counters.attempts.add();
        }
    }

    /// Records in the send permit how much of the request has been written.
    fn report_written(&self, written: WriteProgress) {
        if let Some(guard) = &*self.guard.borrow() {
            guard.permit.written.set(written);
        }
    }

    /// Why the request was not sent, if the send guard refused it.
    pub(super) fn refused(&self) -> Option<NotSentReason> {
        match self.request.get() {
            WriteState::Refused(reason) => Some(reason),
            _ => None,
        }
    }

    /// Whether the complete request has been written.
    pub(super) fn is_request_complete(&self) -> bool {
        self.request.get() == WriteState::Complete
    }

    /// Records that bytes of the response have been received.
    ///
    /// # Errors
    ///
    /// Returns an error if the response exceeds [`MAX_RESPONSE_BYTES`].
    pub(super) fn bytes_received(&self, count: usize) -> io::Result<()> {
        self.bytes_read.set(self.bytes_read.get() + count);
        self.last_bytes_at.set(Some(Instant::now()));
        if self.bytes_read.get() > MAX_RESPONSE_BYTES {
            return Err(io::Error::other(format!("response exceeds {MAX_RESPONSE_BYTES} bytes")));
        }
        Ok(())
    }

    /// The flag to set when an interim response is received.
    pub(super) fn interim_flag(&self) -> Arc<AtomicBool> {
        self.interim_received.clone()
    }

    /// Whether part of the final response has been received.
    pub(super) fn has_response_begun(&self) -> bool {
        self.last_bytes_at.get().is_some()
    }

    /// The time by which the exchange must make progress or end: the attempt's deadline or, if earlier, the end of the
    /// wait for the rest of a response that has stalled.
    pub(super) fn due(&self, attempt_deadline: Instant) -> Instant {
        if self.interim_received.swap(false, Ordering::Relaxed) {
            self.last_bytes_at.set(None);
        }
        match self.stalled_at() {
            Some(stalled_at) => stalled_at.min(attempt_deadline),
            None => attempt_deadline,
        }
    }

    fn stalled_at(&self) -> Option<Instant> {
        let last_bytes_at = self.last_bytes_at.get()?;
        let guard = self.guard.borrow();
        guard.as_ref()?.permit.response_wait.stalled_at(last_bytes_at)
    }

    /// Records that an idle connection can't carry another request, and returns why.
    pub(super) fn connection_unusable(&self, node: NodeId) -> UnusableReason {
        if self.is_closed_by_node() {
            log::debug!("node: idle connection closed by node, node={}", node.0);
            return UnusableReason::ClosedByNode;
        }
        self.counters.surplus_responses.add();
        log::debug!("node: bytes of no request on an idle connection, node={}", node.0);
        UnusableReason::SurplusBytes
    }

    /// Records that the node has closed or reset the connection.
    pub(super) fn closed_by_node(&self) {
        self.closed_by_node.set(true);
    }

    /// Whether the node has closed or reset the connection.
    pub(super) fn is_closed_by_node(&self) -> bool {
        self.closed_by_node.get()
    }
}
