//! Inspects the frames of a connection before `h2` receives them, and reports violations that end the connection.

use super::send_gate::SendGate;
use crate::frontend::closing::SharedStream;
use flaxgap_streams::abuse::{FloodKind, FrameBudgets};
use flaxgap_streams::frames::{NotHttp2, Scanner};
use h2::Reason;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// A violation by the client that ends its connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum Violation {
    #[error(transparent)]
    NotHttp2(#[from] NotHttp2),
    #[error("too many {0}")]
    Flood(FloodKind),
    #[error("a frame of type {kind} with {length} bytes")]
    FrameSize { kind: u8, length: u32 },
}

impl Violation {
    /// Returns the error code of the GOAWAY.
    pub(super) fn reason(self) -> Reason {
        match self {
            Violation::NotHttp2(_) => Reason::PROTOCOL_ERROR,
            Violation::Flood(_) => Reason::ENHANCE_YOUR_CALM,
            Violation::FrameSize { .. } => Reason::FRAME_SIZE_ERROR,
        }
    }
}

/// Inspects the frames of a connection. Shared by the stream that `h2` reads from and the task of the connection.
pub(super) struct FrameGuard {
    scanner: RefCell<Scanner>,
    budgets: RefCell<FrameBudgets>,
    opened_at: Instant,
    violation: Cell<Option<Violation>>,
    violated: Notify,
}

impl FrameGuard {
    /// Creates the guard of a connection that opened at `opened_at`, with its rate limits.
    pub(super) fn new(budgets: FrameBudgets, opened_at: Instant) -> Rc<FrameGuard> {
        Rc::new(FrameGuard {
            scanner: RefCell::default(),
            budgets: RefCell::new(budgets),
            opened_at,
            violation: Cell::new(None),
            violated: Notify::new(),
        })
    }

    /// Inspects bytes that have arrived. Returns how many of them may be passed to `h2`: those before the frame that
    /// violates the protocol or a rate limit, or all.
    fn inspect(&self, bytes: &[u8]) -> usize {
        if self.violation.get().is_some() {
            return 0;
        }
        let now = self.opened_at.elapsed().as_secs_f64();
        let mut budgets = self.budgets.borrow_mut();
        let mut violation = None;
        let scanned = self.scanner.borrow_mut().scan(bytes, |header| {
            let flood = budgets.count(now, &header).map(Violation::Flood);
            let frame_size = Violation::FrameSize { kind: header.kind, length: header.length };
            violation = if header.has_valid_length() { flood } else { Some(frame_size) };
            violation.is_none()
        });
        let allowed = match scanned {
            Ok(allowed) => allowed,
            Err(error) => {
                violation = Some(error.into());
                0
            }
        };
        if violation.is_some() {
            self.violation.set(violation);
            self.violated.notify_one();
        }
        allowed
    }

    /// Waits for a violation.
    pub(super) async fn violation(&self) -> Violation {
        loop {
            if let Some(violation) = self.violation.get() {
                return violation;
            }
            self.violated.notified().await;
        }
    }
}

/// A connection whose frames are inspected as they arrive, and whose writes open and close the gate of its answers.
pub(super) struct InspectedStream {
    pub(super) stream: SharedStream,
    pub(super) guard: Rc<FrameGuard>,
    pub(super) send_gate: Rc<SendGate>,
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let received = buf.filled().len() - filled_before;
        let allowed = self.guard.inspect(&buf.filled()[filled_before..]);
        buf.set_filled(filled_before + allowed);
        // After a violation `h2` receives no more bytes, but not the end of the stream either: the task of the
        // connection has been notified and closes it.
        if received > 0 && allowed == 0 { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        match written {
            Poll::Pending => self.send_gate.blocked(),
            Poll::Ready(_) => self.send_gate.bytes_written(),
        }
        written
    }

    /// Opens the gate: `h2` flushes after it has written all of its buffer.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.send_gate.flushed();
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
