//! The moment by which a head that shuts down has answered everything.

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// The moment by which every request has to be answered since the process ends; none while it is in service.
///
/// Requests in flight wait for it, and send permits read it.
#[derive(Debug, Default)]
pub struct ShutdownDeadline(watch::Sender<Option<Instant>>);

impl ShutdownDeadline {
    /// Sets the moment.
    pub fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// The moment, if one is set.
    pub fn get(&self) -> Option<Instant> {
        *self.0.borrow()
    }

    /// Waits until the moment has come; for ever while none is set.
    pub async fn passed(&self) {
        // The sender lives in `self`, so the wait can't fail.
        let deadline = self.0.subscribe().wait_for(Option::is_some).await.ok().and_then(|deadline| *deadline);
        match deadline {
            Some(deadline) => sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    }
}
