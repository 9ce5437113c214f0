//! The permission to send an attempt, checked immediately before its first byte is written.

use crate::action_rules::{ClientPresence, SendConditions, SendDenial};
use crate::core::upload::UploadStream;
use crate::core::{Client, ResponseWait, ShutdownDeadline, WriteProgress};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Permission to send one attempt, and the record of how much of the request was written.
///
/// A transport checks the permit immediately before the first byte: a connection may take long to establish, and the
/// conditions under which the scheduler decided may no longer hold.
#[derive(Debug)]
pub struct SendPermit {
    /// Deadline of the attempt.
    pub expires_at: Instant,
    /// For a retry, the end of its class's retry window: the attempt must begin before it.
    pub retry_window_ends_at: Option<Instant>,
    /// Whether the request may run now, as it never ran or its class may run twice.
    pub is_repeatable: bool,
    /// Shutdown deadline of the head; it may be set while the attempt is in progress.
    pub shutdown_deadline: Rc<ShutdownDeadline>,
    /// The client that waits for the answer.
    pub client: Option<Rc<dyn Client>>,
    /// The upload, if the body is streamed.
    pub upload: Option<Rc<UploadStream>>,
    /// How long the attempt waits for the rest of a response that has begun.
    pub response_wait: ResponseWait,
    /// How much of the request has been written; the dispatcher reads it after the attempt has ended.
    pub written: Cell<WriteProgress>,
    /// Whether the head of the node's final response has been received: the node works on the request.
    pub response_begun: Cell<bool>,
}

impl SendPermit {
    /// Creates a permit without a retry window, a shutdown deadline or a client.
    pub fn expiring_at(expires_at: Instant) -> SendPermit {
        SendPermit {
            expires_at,
            retry_window_ends_at: None,
            is_repeatable: true,
            shutdown_deadline: Rc::default(),
            client: None,
            upload: None,
            response_wait: ResponseWait::new(Instant::now(), expires_at, false),
            written: Cell::default(),
            response_begun: Cell::default(),
        }
    }

    /// Decides whether the attempt may begin at `now`.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, now: Instant) -> Result<(), SendDenial> {
        self.conditions().check(now, || self.client_presence(now))
    }

    fn conditions(&self) -> SendConditions {
        SendConditions {
            expires_at: self.expires_at,
            retry_window_ends_at: self.retry_window_ends_at,
            is_repeatable: self.is_repeatable,
            shutdown_deadline: self.shutdown_deadline.get(),
        }
    }

    fn client_presence(&self, now: Instant) -> ClientPresence {
        if self.client.as_ref().is_some_and(|client| !client.is_connected()) {
            return ClientPresence::Disconnected;
        }
        match self.unconfirmed_upload(now, Duration::ZERO) {
            Some(_) => ClientPresence::Unconfirmed,
            None => ClientPresence::Connected,
        }
    }

    /// Returns the client and its upload if a disconnect of the client may be hidden behind unread bytes, that is, if
    /// the last confirmation is too old for an attempt that begins within `margin`.
    pub fn unconfirmed_upload(&self, now: Instant, margin: Duration) -> Option<(&dyn Client, &UploadStream)> {
        let client = self.client.as_deref()?;
        let upload = self.upload.as_deref()?;
        (!upload.is_client_confirmed(now, margin)).then_some((client, upload))
    }

    /// Latest time at which the attempt may begin, and therefore the limit of waiting for a connection.
    pub fn latest_start(&self) -> Instant {
        self.conditions().latest_start()
    }
}
