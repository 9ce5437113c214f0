//! How far the exchange on a connection has come: the request's way out and the response's way in.

use super::guard::{NotSentReason, SendGuard, Stage};
use super::limits::{MAX_RESPONSE_BYTES, MIN_RESPONSE_RATE, RESPONSE_STALL_TIMEOUT};
use crate::core::WriteProgress;
use crate::metrics::counters::Counters;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The request's way out. `body_taken` says whether the HTTP library has taken the body's last bytes from us; it may
/// still buffer them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// No byte has been written.
    NotStarted { body_taken: bool },
    /// The guard refused the first byte.
    Refused(NotSentReason),
    /// Some bytes have been written.
    Writing { body_taken: bool },
    /// The last byte has been written, so the node may run the request.
    Complete,
}

/// Progress of the exchange that a connection carries, shared between the attempt, the request's body and the socket.
pub(super) struct ExchangeProgress {
    counters: Rc<Counters>,
    /// Asked right before the request's first byte.
    guard: RefCell<Option<SendGuard>>,
    request: Cell<WriteState>,
    /// By when further bytes of the response must arrive; `None` until the first, and after an interim response.
    next_bytes_due: Cell<Option<Instant>>,
    /// Bytes read since the request began.
    bytes_read: Cell<usize>,
    /// An interim (1xx) response has arrived; the final one is still to come.
    interim_received: Arc<AtomicBool>,
    /// The node has closed or reset the connection.
    closed_by_node: Cell<bool>,
}

impl ExchangeProgress {
    /// The progress of a new connection, which carries no exchange yet.
    pub(super) fn new(counters: Rc<Counters>) -> Rc<ExchangeProgress> {
        Rc::new(ExchangeProgress {
            counters,
            guard: RefCell::default(),
            request: Cell::new(WriteState::NotStarted { body_taken: false }),
            next_bytes_due: Cell::default(),
            bytes_read: Cell::default(),
            interim_received: Arc::default(),
            closed_by_node: Cell::default(),
        })
    }

    /// Resets everything for the next request. `body_is_empty` is set if the HTTP library has no body to take.
    pub(super) fn start(&self, body_is_empty: bool, guard: SendGuard) {
        guard.permit.written.set(WriteProgress::Nothing);
        self.guard.replace(Some(guard));
        self.request.set(WriteState::NotStarted { body_taken: body_is_empty });
        self.next_bytes_due.set(None);
        self.bytes_read.set(0);
        self.interim_received.store(false, Ordering::Relaxed);
    }

    /// Asks the guard before the request's first byte. An error if it refuses; it does so for good.
    pub(super) fn check_first_byte(&self, stream: &TcpStream) -> io::Result<()> {
        let refused = || io::Error::other("the request may not begin");
        match self.request.get() {
            WriteState::NotStarted { .. } => {}
            WriteState::Refused(_) => return Err(refused()),
            WriteState::Writing { .. } | WriteState::Complete => return Ok(()),
        }
        let guard = self.guard.borrow();
        let Some(guard) = guard.as_ref() else { return Ok(()) };
        guard.check(Stage::FirstByte, Some(stream)).map_err(|reason| {
            self.request.set(WriteState::Refused(reason));
            refused()
        })?;
        guard.log_first_byte();
        Ok(())
    }

    /// Notes that the HTTP library has taken the body's last bytes.
    pub(super) fn body_taken(&self) {
        match self.request.get() {
            WriteState::NotStarted { .. } => {
                self.request.set(WriteState::NotStarted { body_taken: true });
            }
            WriteState::Writing { .. } => self.request.set(WriteState::Writing { body_taken: true }),
            WriteState::Refused(_) | WriteState::Complete => {}
        }
    }

    /// Notes that some bytes have been written to the socket.
    pub(super) fn bytes_written(&self) {
        match self.request.get() {
            WriteState::NotStarted { body_taken } | WriteState::Writing { body_taken } => {
                self.request.set(WriteState::Writing { body_taken });
                self.report_written(WriteProgress::Partial);
            }
            WriteState::Refused(_) | WriteState::Complete => {}
        }
    }

    /// Notes that the HTTP library flushes. It does so only once its own buffer is empty, so after the body's last
    /// bytes were taken from us this means that the socket has the complete request.
    pub(super) fn flushed(&self) {
        if self.request.get() == (WriteState::Writing { body_taken: true }) {
            self.request.set(WriteState::Complete);
            self.report_written(WriteProgress::Complete);
            self.counters.attempts.add();
        }
    }

    /// Tells the core, by way of the permit, how much was written.
    fn report_written(&self, written: WriteProgress) {
        if let Some(guard) = &*self.guard.borrow() {
            guard.permit.written.set(written);
        }
    }

    /// Why the request was not begun, if the guard refused it.
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

    /// Notes that bytes of the response have arrived. An error if the response is longer than any may be.
    pub(super) fn bytes_received(&self, count: usize) -> io::Result<()> {
        self.bytes_read.set(self.bytes_read.get() + count);
        let time_at_min_rate = Duration::from_secs_f64(count as f64 / MIN_RESPONSE_RATE);
        self.next_bytes_due.set(Some(Instant::now() + RESPONSE_STALL_TIMEOUT + time_at_min_rate));
        if self.bytes_read.get() > MAX_RESPONSE_BYTES {
            return Err(io::Error::other("response too long"));
        }
        Ok(())
    }

    /// The flag to set when an interim response arrives.
    pub(super) fn interim_flag(&self) -> Arc<AtomicBool> {
        self.interim_received.clone()
    }

    /// Whether part of the final response has arrived.
    pub(super) fn has_response_begun(&self) -> bool {
        self.next_bytes_due.get().is_some()
    }

    /// By when the exchange must make progress or end, given the attempt's deadline.
    pub(super) fn due(&self, attempt_deadline: Instant) -> Instant {
        if self.interim_received.swap(false, Ordering::Relaxed) {
            self.next_bytes_due.set(None);
        }
        match self.next_bytes_due.get() {
            Some(due) => due.min(attempt_deadline),
            None => attempt_deadline,
        }
    }

    /// Notes that the node has closed or reset the connection.
    pub(super) fn closed_by_node(&self) {
        self.closed_by_node.set(true);
    }

    /// Whether the node has closed or reset the connection.
    pub(super) fn is_closed_by_node(&self) -> bool {
        self.closed_by_node.get()
    }
}
