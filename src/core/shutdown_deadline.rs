//! The time by which a head that shuts down must have answered all requests.

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time by which every request must be answered because the process exits; unset while the process is in service.
///
/// Requests in flight wait for the deadline, and send permits check it.
#[derive(Debug, Default)]
pub struct ShutdownDeadline(watch::Sender<Option<Instant>>);

impl ShutdownDeadline {
    /// Sets the deadline.
    pub fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// The deadline, if one is set.
    pub fn get(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until the deadline has passed; forever while none is set.
    pub async fn passed(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let deadline = self.0.subscribe().wait_for(Option::is_some).await.ok().and_then(|deadline| *deadline);
        match deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    }
}
