//! Limits the bytes of answers that `h2` holds for a client that does not read its connection: the flow-control windows
//! that the client grants don't bound them.

use std::cell::Cell;
use tokio::sync::Notify;

/// Most bytes of answers that all streams of a connection pass to `h2` before it has written them to the socket.
const MAX_UNWRITTEN_BYTES: usize = 16 * 1024;

/// Whether the streams of a connection may pass bytes to `h2`. `h2` writes all that it may when it is polled, so after
/// that either everything is written or the socket takes no more.
#[derive(Default)]
pub(super) struct SendGate {
    /// Bytes passed to `h2` since it last wrote everything.
    unwritten_bytes: Cell<usize>,
    opened: Notify,
}

impl SendGate {
    /// Waits until bytes may be passed to `h2`.
    pub(super) async fn wait_open(&self) {
        while self.unwritten_bytes.get() >= MAX_UNWRITTEN_BYTES {
            self.opened.notified().await;
        }
    }

    /// Notes bytes passed to `h2`.
    pub(super) fn bytes_passed(&self, count: usize) {
        self.unwritten_bytes.set(self.unwritten_bytes.get() + count);
    }

    /// Notes that `h2` has written its buffer to the socket.
    pub(super) fn flushed(&self) {
        self.unwritten_bytes.set(0);
        self.opened.notify_waiters();
    }

    /// Notes that the socket takes no more bytes. Nothing may be passed to `h2` until its buffer is written.
    pub(super) fn blocked(&self) {
        self.unwritten_bytes.set(self.unwritten_bytes.get().max(MAX_UNWRITTEN_BYTES));
    }
}
