//! Counts the open connections, so that a shutdown can wait until they are closed.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The counter of open connections.
#[derive(Debug, Default)]
pub struct OpenConnections {
    count: Cell<usize>,
    last_closed: Notify,
}

impl OpenConnections {
    /// Counts a connection until the guard is dropped.
    pub fn open(self: &Rc<Self>) -> ConnectionGuard {
        self.count.set(self.count.get() + 1);
        ConnectionGuard(self.clone())
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.count() > 0 {
            self.last_closed.notified().await;
        }
    }
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<OpenConnections>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let remaining = self.0.count() - 1;
        self.0.count.set(remaining);
        if remaining == 0 {
            self.0.last_closed.notify_one();
        }
    }
}
