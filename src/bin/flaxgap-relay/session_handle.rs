//! The handle by which other parts of the relay wake a session, admit its complete list, or abort its connection.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use tokio::sync::Notify;

/// The handle of one session, shared by the session and the parts that act on it.
#[derive(Default)]
pub struct SessionHandle {
    waker: RefCell<Option<Waker>>,
    is_snapshot_admitted: Cell<bool>,
    aborted: Notify,
}

impl SessionHandle {
    /// Sets the waker of the task that polls the session.
    pub fn set_waker(&self, waker: &Waker) {
        *self.waker.borrow_mut() = Some(waker.clone());
    }

    /// Wakes the task that polls the session, because there may be data to send.
    pub fn wake(&self) {
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Admits the session's complete list, and wakes the session.
    pub fn admit_snapshot(&self) {
        self.set_snapshot_admitted(true);
        self.wake();
    }

    /// Records whether the session's complete list may be sent now.
    pub fn set_snapshot_admitted(&self, is_admitted: bool) {
        self.is_snapshot_admitted.set(is_admitted);
    }

    /// Whether the session's complete list may be sent now.
    pub fn is_snapshot_admitted(&self) -> bool {
        self.is_snapshot_admitted.get()
    }

    /// Requests that the session's connection is dropped at once.
    pub fn abort(&self) {
        self.aborted.notify_one();
    }

    /// Waits for [`SessionHandle::abort`].
    pub async fn aborted(&self) {
        self.aborted.notified().await;
    }
}
