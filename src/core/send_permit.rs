//! The permission of an attempt to begin, checked right before its first byte is written.

use crate::core::upload::UploadStream;
use crate::core::{Client, ShutdownDeadline, WriteProgress};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Why the first byte of an attempt may not be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitExpired {
    /// The attempt's time is over.
    Deadline,
    /// The time in which its class allows a retry is over.
    RetryWindow,
    /// The head has to have answered everything by now.
    Shutdown,
    /// Its client has disconnected.
    ClientDisconnected,
    /// Its client may have disconnected: unread bytes of its upload may hide that.
    ClientUnconfirmed,
}

/// The permission of one attempt to begin, and the record of how much of it was written.
///
/// A transport checks it right before the first byte: a connection may take long to establish, and what held when the
/// scheduler decided may no longer hold.
#[derive(Debug)]
pub struct SendPermit {
    /// When the attempt ends at the latest.
    pub expires_at: Instant,
    /// When it has to have begun at the latest: for a retry, the end of its class's retry window.
    pub retry_window_ends_at: Option<Instant>,
    /// When the head has to have answered everything; it may be set while the attempt is in progress.
    pub shutdown_deadline: Rc<ShutdownDeadline>,
    /// The client that waits for the answer.
    pub client: Option<Rc<dyn Client>>,
    /// The body, if it is forwarded as it arrives.
    pub upload: Option<Rc<UploadStream>>,
    /// How much of the request was written; the core reads it when the attempt has ended.
    pub written: Cell<WriteProgress>,
}

impl SendPermit {
    /// A permit without a retry window, a shutdown deadline or a client.
    pub fn expiring_at(expires_at: Instant) -> SendPermit {
        SendPermit {
            expires_at,
            retry_window_ends_at: None,
            shutdown_deadline: Rc::default(),
            client: None,
            upload: None,
            written: Cell::default(),
        }
    }

    /// Why the attempt may not begin at this moment; `None` if it may.
    pub fn expired(&self, now: Instant) -> Option<PermitExpired> {
        let has_passed = |limit: Option<Instant>| limit.is_some_and(|limit| now >= limit);
        if has_passed(Some(self.expires_at)) {
            return Some(PermitExpired::Deadline);
        }
        if has_passed(self.retry_window_ends_at) {
            return Some(PermitExpired::RetryWindow);
        }
        if has_passed(self.shutdown_deadline.get()) {
            return Some(PermitExpired::Shutdown);
        }
        if self.client.as_ref().is_some_and(|client| !client.is_connected()) {
            return Some(PermitExpired::ClientDisconnected);
        }
        if self.unconfirmed_upload(now, Duration::ZERO).is_some() {
            return Some(PermitExpired::ClientUnconfirmed);
        }
        None
    }

    /// The client and its upload, if that may hide that the client has disconnected and it is not certain for an attempt
    /// that begins within `margin`.
    pub fn unconfirmed_upload(&self, now: Instant, margin: Duration) -> Option<(&dyn Client, &UploadStream)> {
        let client = self.client.as_deref()?;
        let upload = self.upload.as_deref()?;
        (!upload.is_client_confirmed(now, margin)).then_some((client, upload))
    }

    /// The latest moment at which the attempt may begin, and so until when to wait for a connection.
    pub fn latest_start(&self) -> Instant {
        let mut latest = self.expires_at;
        for limit in [self.retry_window_ends_at, self.shutdown_deadline.get()].into_iter().flatten() {
            latest = latest.min(limit);
        }
        latest
    }
}
