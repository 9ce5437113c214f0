//! Checks that the client of an upload is still connected immediately before its attempt begins.
//!
//! A client's FIN follows the bytes that it has sent. While an upload waits for an attempt, little of it is read; once
//! the receive buffer is full, the client's kernel holds back the remaining bytes and the FIN behind them. The upload
//! is therefore read ahead into memory until one of these conditions holds:
//!
//! - Nothing has arrived for [`QUIET_TIME`]: the receive buffer had room, so a FIN would have arrived.
//! - The receive buffer has had room for [`OPEN_TIME`], and nothing is unread now: the client's kernel holds nothing
//!   back.
//! - More has arrived within [`OPEN_TIME`] than the socket buffers of both hosts hold: the client wrote some of it
//!   during the check.
//!
//! Bytes that spend longer than [`OPEN_TIME`] in the network can't be distinguished from bytes that a client still
//! sends.

use crate::core::upload::{SOCKET_BUFFERS_BYTES, UploadStream};
use crate::core::{Client, SendDenial, SendPermit};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long nothing must arrive: several round-trip times within a data centre.
const QUIET_TIME: Duration = Duration::from_millis(2);
/// How long the receive buffer must have room if a client sends without a pause of [`QUIET_TIME`]. At 1 Gbit/s, a
/// client's kernel sends its whole send buffer in this time.
const OPEN_TIME: Duration = Duration::from_millis(50);
/// Largest amount of an upload that may just have been read without making room in a full receive buffer.
const MAX_INITIAL_READ_BYTES: u64 = 16 << 10;
/// How much of the confirmation's validity must be left for the attempt to begin without another check.
const BEGIN_MARGIN: Duration = Duration::from_millis(20);

/// Checks that the client of the permit's upload is still connected. Does nothing if the permit has no upload or the
/// client was confirmed recently. Waits for memory for up to `memory_timeout`.
///
/// # Errors
///
/// [`SendDenial::ClientDisconnected`] if the client has disconnected, [`SendDenial::ClientUnconfirmed`] if it is
/// not confirmed in time.
pub(super) async fn confirm_client(permit: &SendPermit, memory_timeout: Duration) -> Result<(), SendDenial> {
    let Some((client, upload)) = permit.unconfirmed_upload(Instant::now(), BEGIN_MARGIN) else {
        return Ok(());
    };
    let check = ClientCheck { client, upload, started_at: Instant::now(), deadline: permit.latest_start() };
    let confirmed = check.run(memory_timeout).await;
    upload.release_unused_memory();
    confirmed
}

/// Check of an upload's client.
struct ClientCheck<'a> {
    client: &'a dyn Client,
    upload: &'a UploadStream,
    started_at: Instant,
    deadline: Instant,
}

impl ClientCheck<'_> {
    async fn run(&self, memory_timeout: Duration) -> Result<(), SendDenial> {
        if self.is_buffer_open() {
            self.upload.confirm_client(Instant::now() - QUIET_TIME);
            return Ok(());
        }
        let memory_deadline = self.deadline.min(self.started_at + memory_timeout);
        let reserving = self.upload.reserve_memory(self.bytes_to_reserve());
        if timeout_at(memory_deadline, reserving).await.is_err() {
            log::debug!(
                "node: no memory to check an upload's client, waited={:?}",
                self.started_at.elapsed()
            );
            return Err(SendDenial::ClientUnconfirmed);
        }
        self.read_until_known().await
    }

    /// Whether the receive buffer is empty and has had room for at least [`QUIET_TIME`], so that the client's FIN would
    /// have arrived.
    fn is_buffer_open(&self) -> bool {
        let upload = self.upload;
        let was_just_opened =
            upload.received() > MAX_INITIAL_READ_BYTES && upload.last_received().elapsed() < QUIET_TIME;
        !was_just_opened && self.client.has_nothing_unread()
    }

    /// Number of bytes to reserve for reading ahead.
    fn bytes_to_reserve(&self) -> usize {
        let remaining = self.upload.remaining().and_then(|remaining| usize::try_from(remaining).ok());
        remaining.unwrap_or(SOCKET_BUFFERS_BYTES).min(SOCKET_BUFFERS_BYTES)
    }

    /// Reads ahead until the client is known to be connected or disconnected, or until the check's deadline.
    async fn read_until_known(&self) -> Result<(), SendDenial> {
        let reading_since = Instant::now();
        let mut read_bytes = 0;
        loop {
            let quiet_at = Instant::now() + QUIET_TIME;
            match timeout_at(quiet_at, self.upload.read_ahead()).await {
                Err(_) if self.client.has_nothing_unread() => {
                    return self.confirmed(Instant::now() - QUIET_TIME, reading_since);
                }
                Err(_) if !self.client.is_connected() => return Err(SendDenial::ClientDisconnected),
                Err(_) => {}
                Ok(Err(error)) => {
                    log::debug!("node: upload not sent, error={error}");
                    return Err(SendDenial::ClientDisconnected);
                }
                Ok(Ok(length)) => read_bytes += length,
            }
            if reading_since.elapsed() >= OPEN_TIME && self.client.has_nothing_unread() {
                return self.confirmed(Instant::now() - QUIET_TIME, reading_since);
            }
            if read_bytes >= SOCKET_BUFFERS_BYTES && reading_since.elapsed() <= OPEN_TIME {
                return self.confirmed(reading_since, reading_since);
            }
            if Instant::now() >= self.deadline {
                return Err(SendDenial::ClientUnconfirmed);
            }
            self.extend_memory()?;
        }
    }

    fn confirmed(&self, at: Instant, reading_since: Instant) -> Result<(), SendDenial> {
        self.upload.confirm_client(at);
        log::debug!(
            "node: client of an upload is connected, read_for={:?} remaining={:?}",
            reading_since.elapsed(),
            self.upload.remaining()
        );
        Ok(())
    }

    /// Reserves more memory if the reserved memory is used up. Does not wait for it: two uploads that each hold memory
    /// and wait for more could deadlock.
    fn extend_memory(&self) -> Result<(), SendDenial> {
        if self.upload.may_read_ahead() || self.upload.remaining() == Some(0) {
            return Ok(());
        }
        if self.upload.try_reserve_memory(self.bytes_to_reserve()) {
            return Ok(());
        }
        log::debug!("node: no more memory to check an upload's client");
        Err(SendDenial::ClientUnconfirmed)
    }
}
