//! Limits the bytes of answers that `h2` holds for a client that does not read its connection: the flow-control windows
//! that the client grants don't bound them. The streams of a connection take turns, so that none of them waits for another
//! to end.

use crate::resources::reading_watch::{ReadingWatch, StoppedReading};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, SemaphorePermit};
use tokio::time::{Instant, sleep_until};

/// Most bytes of answers that all streams of a connection pass to `h2` before it has written them to the socket.
const MAX_UNWRITTEN_BYTES: usize = 16 * 1024;
/// Interval at which a closed gate is looked at whose socket is not known to be blocked.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the streams of a connection may pass bytes to `h2`. `h2` writes all that it may when it is polled, so after
/// that either everything is written or the socket takes no more.
pub(super) struct SendGate {
    socket: Rc<TcpStream>,
    /// Whether the client goes on reading while the socket takes no more bytes.
    reading: ReadingWatch,
    /// Bytes passed to `h2` since it last wrote everything.
    unwritten_bytes: Cell<usize>,
    /// Bytes passed to `h2` in all.
    passed_bytes: Cell<u64>,
    /// When bytes were last passed to `h2`, or else when the connection opened.
    passed_at: Cell<Instant>,
    opened: Notify,
    /// Held by the stream that may pass bytes next; streams get it in the order in which they ask.
    turn: Semaphore,
}

impl SendGate {
    /// The gate of a connection, open. A client that reads too little for `stall_timeout` has stopped reading.
    pub(super) fn new(socket: Rc<TcpStream>, stall_timeout: Duration) -> SendGate {
        SendGate {
            socket,
            reading: ReadingWatch::new(stall_timeout),
            unwritten_bytes: Cell::new(0),
            passed_bytes: Cell::new(0),
            passed_at: Cell::new(Instant::now()),
            opened: Notify::new(),
            turn: Semaphore::new(1),
        }
    }

    /// Waits until bytes may be passed to `h2`, after the streams that have asked before. The caller passes its bytes
    /// before it drops the returned permit.
    ///
    /// # Errors
    ///
    /// [`StoppedReading`] if the client has stopped reading meanwhile.
    pub(super) async fn wait_open(&self) -> Result<Option<SemaphorePermit<'_>>, StoppedReading> {
        // Fails only if the semaphore is closed, which it never is.
        let turn = self.turn.acquire().await.ok();
        while self.unwritten_bytes.get() >= MAX_UNWRITTEN_BYTES {
            let next_look = self.reading.next_look().unwrap_or_else(|| Instant::now() + LOOK_INTERVAL);
            tokio::select! {
                () = self.opened.notified() => {}
                () = sleep_until(next_look) => self.reading.look(&*self.socket)?,
            }
        }
        Ok(turn)
    }

    /// Notes bytes passed to `h2`.
    pub(super) fn bytes_passed(&self, count: usize) {
        self.unwritten_bytes.set(self.unwritten_bytes.get() + count);
        self.passed_bytes.set(self.passed_bytes.get() + count as u64);
        self.passed_at.set(Instant::now());
    }

    /// When a stream of the connection last passed bytes to `h2`, or else when the connection opened.
    pub(super) fn passed_at(&self) -> Instant {
        self.passed_at.get()
    }

    /// Number of bytes that all streams of the connection have passed to `h2`.
    pub(super) fn passed_bytes(&self) -> u64 {
        self.passed_bytes.get()
    }

    /// Notes that the socket has taken bytes.
    pub(super) fn bytes_written(&self) {
        self.reading.unblocked();
    }

    /// Notes that `h2` has written its buffer to the socket.
    pub(super) fn flushed(&self) {
        self.reading.unblocked();
        self.unwritten_bytes.set(0);
        self.opened.notify_waiters();
    }

    /// Notes that the socket takes no more bytes. Nothing may be passed to `h2` until its buffer is written.
    pub(super) fn blocked(&self) {
        self.unwritten_bytes.set(self.unwritten_bytes.get().max(MAX_UNWRITTEN_BYTES));
        self.reading.blocked();
    }
}
