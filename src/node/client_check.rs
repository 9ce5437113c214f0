//! Makes sure that the client of an upload is connected right before its attempt begins.
//!
//! A client's end arrives behind what it sent before. While its upload waits for an attempt, nothing is read of it; once
//! the receive buffer is full, the client's system holds the rest, and the end behind that. So what
//! is there is read ahead into memory until one of these holds:
//!
//! - Nothing has arrived for [`QUIET_TIME`]: the receive buffer was open, so an end would have arrived, too.
//! - The receive buffer was open for [`OPEN_TIME`], and right now nothing is unread: the client sends at its own pace.
//! - More has arrived at once than two systems hold for a connection: the client wrote some of it during the check.
//!
//! What is on its way through the network for longer than [`OPEN_TIME`] is not told from what a client still sends.

use crate::core::upload::UploadStream;
use crate::core::{Client, PermitExpired, SendPermit};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long nothing must arrive: several round trips within a data centre.
const QUIET_TIME: Duration = Duration::from_millis(2);
/// How long the receive buffer must be open if a client sends without such a pause. At 1 Gbit/s, a client's system sends
/// what it holds within it.
const OPEN_TIME: Duration = Duration::from_millis(50);
/// What two systems hold for a connection at most: 4 MiB at the client's, the maximum of `tcp_wmem` that Linux sets unless
/// told otherwise, and 2 MiB here: a receive buffer grows only as it is read, and little of the upload has been.
const SOCKET_BUFFERS_BYTES: usize = 6 << 20;
/// How much of an upload may have been read just now without opening a receive buffer that was full.
const READ_BEFORE_BYTES: u64 = 16 << 10;
/// What is left of the confirmation's validity for the attempt to begin, without another check.
const BEGIN_MARGIN: Duration = Duration::from_millis(20);

/// Checks the client of an upload that waits for this permit's attempt; nothing to do for any other request, or if it
/// was checked just before. Waits for memory for up to `memory_timeout`.
///
/// # Errors
///
/// The client has disconnected, or it can't be made certain in time that it has not.
pub(super) async fn confirm_client(
    permit: &SendPermit,
    memory_timeout: Duration,
) -> Result<(), PermitExpired> {
    let Some((client, upload)) = permit.unconfirmed_upload(Instant::now(), BEGIN_MARGIN) else {
        return Ok(());
    };
    let check = ClientCheck { client, upload, began_at: Instant::now(), check_by: permit.latest_start() };
    let confirmed = check.run(memory_timeout).await;
    upload.release_unused_memory();
    confirmed
}

/// The check of one upload's client.
struct ClientCheck<'a> {
    client: &'a dyn Client,
    upload: &'a UploadStream,
    began_at: Instant,
    check_by: Instant,
}

impl ClientCheck<'_> {
    async fn run(&self, memory_timeout: Duration) -> Result<(), PermitExpired> {
        if self.is_buffer_open() {
            self.upload.confirm_client(Instant::now() - QUIET_TIME);
            return Ok(());
        }
        let memory_by = self.check_by.min(self.began_at + memory_timeout);
        let reserving = self.upload.reserve_memory(self.wanted_bytes());
        if timeout_at(memory_by, reserving).await.is_err() {
            log::debug!("node: no memory to check an upload's client, waited={:?}", self.began_at.elapsed());
            return Err(PermitExpired::ClientUnconfirmed);
        }
        self.read_until_certain().await
    }

    /// Whether the receive buffer is empty and has had room for at least [`QUIET_TIME`], so that the client's end would
    /// have arrived.
    fn is_buffer_open(&self) -> bool {
        let upload = self.upload;
        let was_opened_now =
            upload.received() > READ_BEFORE_BYTES && upload.last_received().elapsed() < QUIET_TIME;
        !was_opened_now && self.client.has_nothing_unread()
    }

    /// How much may be read ahead before it is certain.
    fn wanted_bytes(&self) -> usize {
        let remaining = self.upload.remaining().and_then(|remaining| usize::try_from(remaining).ok());
        remaining.unwrap_or(SOCKET_BUFFERS_BYTES).min(SOCKET_BUFFERS_BYTES)
    }

    /// Reads ahead until it is certain that the client is connected, or that it is not.
    async fn read_until_certain(&self) -> Result<(), PermitExpired> {
        let reading_since = Instant::now();
        let mut read_bytes = 0;
        loop {
            let quiet_at = Instant::now() + QUIET_TIME;
            match timeout_at(quiet_at, self.upload.read_ahead()).await {
                Err(_) if self.client.has_nothing_unread() => {
                    return self.confirmed(Instant::now() - QUIET_TIME, reading_since);
                }
                Err(_) if !self.client.is_connected() => return Err(PermitExpired::ClientDisconnected),
                Err(_) => {}
                Ok(Err(error)) => {
                    log::debug!("node: upload not sent, error={error}");
                    return Err(PermitExpired::ClientDisconnected);
                }
                Ok(Ok(length)) => read_bytes += length,
            }
            if reading_since.elapsed() >= OPEN_TIME && self.client.has_nothing_unread() {
                return self.confirmed(Instant::now() - QUIET_TIME, reading_since);
            }
            if read_bytes >= SOCKET_BUFFERS_BYTES && reading_since.elapsed() <= OPEN_TIME {
                return self.confirmed(reading_since, reading_since);
            }
            if Instant::now() >= self.check_by {
                return Err(PermitExpired::ClientUnconfirmed);
            }
            self.extend_memory()?;
        }
    }

    fn confirmed(&self, at: Instant, reading_since: Instant) -> Result<(), PermitExpired> {
        self.upload.confirm_client(at);
        log::debug!(
            "node: client of an upload is connected, read_for={:?} remaining={:?}",
            reading_since.elapsed(),
            self.upload.remaining()
        );
        Ok(())
    }

    /// Gets more memory if that which was reserved is used up, without a wait: two uploads that each held some and waited
    /// for more would wait for each other.
    fn extend_memory(&self) -> Result<(), PermitExpired> {
        if self.upload.may_read_ahead() || self.upload.remaining() == Some(0) {
            return Ok(());
        }
        if self.upload.try_reserve_memory(self.wanted_bytes()) {
            return Ok(());
        }
        log::debug!("node: no more memory to check an upload's client");
        Err(PermitExpired::ClientUnconfirmed)
    }
}
