//! An iSCSI connection: reads and writes PDUs, assigns status sequence numbers and keeps the command window
//! (RFC 7143, section 4.2.2).

use super::error::SessionError;
use super::pdu::{Codec, HEADER_LENGTH, MAX_DATA_SEGMENT, NO_TAG, Pdu, response};
use crate::action_rules::is_past_transit;
use crate::frontend::closing::SharedStream;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::ClientSlot;
use crate::resources::reading_watch::ReadingWatch;
use crate::resources::socket;
use bytes::{Buf, BytesMut};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{self, sleep_until};

/// Time-out of an initiator that has stopped reading what is sent to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes reserved before each read; holds many PDUs without a data segment.
const READ_BUFFER: usize = 4096;

/// Reason codes of the Reject PDU (RFC 7143, section 11.17.1).
pub mod reject_reason {
    /// Data digest error.
    pub const DATA_DIGEST: u8 = 0x02;
    /// SNACK Reject: SNACK requests are not supported.
    pub const SNACK: u8 = 0x03;
    /// Protocol error.
    pub const PROTOCOL: u8 = 0x04;
    /// Command not supported.
    pub const NOT_SUPPORTED: u8 = 0x05;
    /// Task in progress: the initiator task tag is already in use.
    pub const TASK_IN_PROGRESS: u8 = 0x07;
    /// Invalid PDU field.
    pub const INVALID_FIELD: u8 = 0x09;
}

/// Position of a received CmdSN relative to the command window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOrder {
    /// Equal to ExpCmdSN, which has been advanced.
    Next,
    /// Inside the window but past ExpCmdSN: a command is missing.
    Gap,
    /// Outside the window; the PDU must be ignored.
    Outside,
}

/// An iSCSI connection with its sequence numbers and digest settings.
pub struct Connection {
    stream: SharedStream,
    /// The connection's slot in the descriptor budget.
    slot: Rc<ClientSlot>,
    counters: Rc<Counters>,
    codec: Codec,
    incoming: BytesMut,
    /// When the latest bytes arrived, or else when the connection was created.
    last_received: Instant,
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
}

impl Connection {
    /// Creates a connection in its initial state: no digests, and sequence numbers not yet set by a login.
    pub fn new(stream: SharedStream, slot: Rc<ClientSlot>, counters: Rc<Counters>) -> Connection {
        let codec = Codec { header_digest: false, data_digest: false, max_data_segment: MAX_DATA_SEGMENT };
        Connection {
            stream,
            slot,
            counters,
            codec,
            incoming: BytesMut::new(),
            last_received: Instant::now(),
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
        }
    }

    /// Returns the local address that the initiator connected to.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system does not report the socket's address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.stream.socket().local_addr()
    }

    /// Reads the next PDU. Cancel safe: bytes received so far stay in the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the initiator closed the connection, the connection failed or a PDU is invalid.
    pub async fn read(&mut self) -> Result<Pdu, SessionError> {
        loop {
            if let Some(pdu) = self.codec.decode(&mut self.incoming)? {
                return Ok(pdu);
            }
            self.incoming.reserve(READ_BUFFER);
            if self.stream.read_buf(&mut self.incoming).await? == 0 {
                return Err(SessionError::Closed);
            }
            self.last_received = self.stream.latest_arrival().into_std();
            self.slot.bytes_received(self.last_received);
        }
    }

    /// When the latest bytes arrived, or else when the connection was created.
    pub fn last_received(&self) -> Instant {
        self.last_received
    }

    /// Marks whether the connection carries a command, or a PDU of which a part has been received.
    pub fn mark_use(&self, has_commands: bool) {
        if has_commands {
            self.slot.mark_in_use();
        } else if self.incoming.is_empty() {
            self.slot.mark_idle();
        } else {
            self.slot.mark_incomplete_since(self.last_received);
        }
    }

    /// Whether bytes of a PDU have arrived that may be complete in a moment.
    pub fn is_receiving(&self) -> bool {
        let is_partly_received = !self.incoming.is_empty() && !is_past_transit(self.last_received.elapsed());
        is_partly_received || !socket::has_nothing_unread(self.stream.socket())
    }

    /// Whether bytes have arrived that are not a handled PDU yet, read or unread.
    pub fn has_unhandled_bytes(&self) -> bool {
        !self.incoming.is_empty() || !socket::has_nothing_unread(self.stream.socket())
    }

    /// Initializes CmdSN and StatSN from the first login request. Login requests are immediate, so the first command
    /// of the full feature phase has the same CmdSN.
    pub fn start_numbering(&mut self, login: &Pdu) {
        self.exp_cmd_sn = login.u32_at(24);
        self.max_cmd_sn = self.exp_cmd_sn;
        self.stat_sn = login.u32_at(28).max(1);
    }

    /// Enables the negotiated digests; they apply from the full feature phase on.
    pub fn set_digests(&mut self, header_digest: bool, data_digest: bool) {
        (self.codec.header_digest, self.codec.data_digest) = (header_digest, data_digest);
    }

    /// Sets the size of the command window, counted from ExpCmdSN.
    pub fn set_window(&mut self, commands: u32) {
        self.max_cmd_sn = self.exp_cmd_sn.wrapping_add(commands).wrapping_sub(1);
    }

    /// Extends the command window by one command.
    pub fn widen_window(&mut self) {
        self.max_cmd_sn = self.max_cmd_sn.wrapping_add(1);
    }

    /// Compares the CmdSN of a received PDU with the command window and advances ExpCmdSN if both are equal.
    pub fn accept_command_number(&mut self, number: u32) -> CommandOrder {
        let window = self.max_cmd_sn.wrapping_sub(self.exp_cmd_sn).wrapping_add(1);
        if number.wrapping_sub(self.exp_cmd_sn) >= window {
            return CommandOrder::Outside;
        }
        if number != self.exp_cmd_sn {
            return CommandOrder::Gap;
        }
        self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(1);
        CommandOrder::Next
    }

    /// Sends a PDU with the next StatSN and advances StatSN.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the initiator did not read within the time limit.
    pub async fn respond(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        self.respond_after(Vec::new(), pdu).await
    }

    /// Sends the Data-In PDUs of a read, then its response with the next StatSN, and advances StatSN.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the initiator did not read within the time limit.
    pub async fn respond_after(&mut self, mut data: Vec<Pdu>, pdu: Pdu) -> Result<(), SessionError> {
        data.push(pdu.with_u32(24, self.stat_sn));
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.write(&data).await
    }

    /// Sends a PDU that carries the next StatSN without advancing it (R2T, and a NOP-In that requests a reply).
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the initiator did not read within the time limit.
    pub async fn send_unnumbered(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let pdu = pdu.with_u32(24, self.stat_sn);
        self.write(&[pdu]).await
    }

    /// Sends a Reject PDU that returns the header of the rejected one.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the initiator did not read within the time limit.
    pub async fn reject(&mut self, reason: u8, header: &[u8; HEADER_LENGTH]) -> Result<(), SessionError> {
        let mut pdu = Pdu::new(response::REJECT, 0x80, NO_TAG).with_data(header.to_vec());
        pdu.header[2] = reason;
        self.respond(pdu).await
    }

    /// Writes PDUs with the current ExpCmdSN and MaxCmdSN.
    async fn write(&mut self, pdus: &[Pdu]) -> Result<(), SessionError> {
        let mut out = BytesMut::new();
        for pdu in pdus {
            let pdu = pdu.clone().with_u32(28, self.exp_cmd_sn).with_u32(32, self.max_cmd_sn);
            self.codec.encode(&pdu, &mut out);
        }
        while out.has_remaining() {
            let written = self.write_some(&out).await?;
            out.advance(written);
        }
        Ok(())
    }

    /// Writes as many bytes as the socket takes, at least one. Returns their number.
    async fn write_some(&mut self, bytes: &[u8]) -> Result<usize, SessionError> {
        let reading = ReadingWatch::new(WRITE_TIMEOUT);
        reading.blocked();
        loop {
            let next_look = reading.next_look().unwrap_or_else(time::Instant::now);
            tokio::select! {
                biased;
                written = self.stream.write(bytes) => match written? {
                    0 => return Err(SessionError::Closed),
                    written => return Ok(written),
                },
                () = sleep_until(next_look) => {}
            }
            if let Err(stopped) = reading.look(self.stream.socket()) {
                self.counters.stalled_readers.add();
                if self.counters.stall_log.is_due() {
                    log::info!("block: initiator stopped reading, {stopped}");
                }
                return Err(SessionError::Timeout);
            }
        }
    }
}
