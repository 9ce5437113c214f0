//! One iSCSI connection: whole PDUs in and out, the status numbers of responses and the command window
//! (RFC 7143, section 4.2.2).

use super::error::SessionError;
use super::pdu::{BHS, Codec, LONGEST_SEGMENT, NO_TAG, Pdu, response};
use crate::frontend::closing::SharedStream;
use bytes::BytesMut;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long an initiator may leave what is sent to it unread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Room made for what is read at a time: most PDUs without data fit many times.
const READ_BUFFER: usize = 4096;

/// Reasons of a Reject (RFC 7143, section 11.17.1).
pub mod reject_reason {
    /// The data's digest is wrong.
    pub const DATA_DIGEST: u8 = 0x02;
    /// SNACK is not supported.
    pub const SNACK: u8 = 0x03;
    /// The PDU has no place here.
    pub const PROTOCOL: u8 = 0x04;
    /// The command is not supported.
    pub const NOT_SUPPORTED: u8 = 0x05;
    /// The task tag is in use.
    pub const TASK_IN_PROGRESS: u8 = 0x07;
    /// A field is invalid.
    pub const INVALID_FIELD: u8 = 0x09;
}

/// Where a numbered PDU stands in the command window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOrder {
    /// The one that is expected; the next is expected from now on.
    Next,
    /// In the window, but not the next: a number is missing.
    Gap,
    /// Outside the window: to be ignored.
    Outside,
}

/// A connection with its numbering.
pub struct Connection {
    stream: SharedStream,
    codec: Codec,
    incoming: BytesMut,
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
}

impl Connection {
    /// A connection at its start.
    pub fn new(stream: Rc<TcpStream>) -> Connection {
        let codec = Codec { header_digest: false, data_digest: false, longest: LONGEST_SEGMENT };
        Connection {
            stream: SharedStream(stream),
            codec,
            incoming: BytesMut::new(),
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
        }
    }

    /// The address that the initiator connected to.
    ///
    /// # Errors
    ///
    /// The socket can't tell its address.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.stream.0.local_addr()
    }

    /// The next PDU. May be dropped and called again without loss.
    ///
    /// # Errors
    ///
    /// The initiator closed the connection, it broke, or what came is not a valid PDU.
    pub async fn read(&mut self) -> Result<Pdu, SessionError> {
        loop {
            if let Some(pdu) = self.codec.decode(&mut self.incoming)? {
                return Ok(pdu);
            }
            self.incoming.reserve(READ_BUFFER);
            if self.stream.read_buf(&mut self.incoming).await? == 0 {
                return Err(SessionError::Closed);
            }
        }
    }

    /// Takes the numbers of the first login request: the first command bears the same one.
    pub fn start_numbering(&mut self, login: &Pdu) {
        self.exp_cmd_sn = login.at(24);
        self.max_cmd_sn = self.exp_cmd_sn;
        self.stat_sn = login.at(28).max(1);
    }

    /// Sets the digests agreed, from the full feature phase on.
    pub fn set_digests(&mut self, header_digest: bool, data_digest: bool) {
        (self.codec.header_digest, self.codec.data_digest) = (header_digest, data_digest);
    }

    /// Opens the command window to so many commands.
    pub fn set_window(&mut self, commands: u32) {
        self.max_cmd_sn = self.exp_cmd_sn.wrapping_add(commands).wrapping_sub(1);
    }

    /// Opens the command window by one.
    pub fn widen_window(&mut self) {
        self.max_cmd_sn = self.max_cmd_sn.wrapping_add(1);
    }

    /// Takes the number of a command.
    pub fn take_command_number(&mut self, number: u32) -> CommandOrder {
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

    /// Sends a PDU that bears a status number and takes it.
    ///
    /// # Errors
    ///
    /// The connection broke, or the initiator did not read in time.
    pub async fn respond(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        self.respond_after(Vec::new(), pdu).await
    }

    /// Sends the data of a read, then the response that bears a status number and takes it.
    ///
    /// # Errors
    ///
    /// The connection broke, or the initiator did not read in time.
    pub async fn respond_after(&mut self, mut data: Vec<Pdu>, pdu: Pdu) -> Result<(), SessionError> {
        data.push(pdu.with(24, self.stat_sn));
        self.stat_sn = self.stat_sn.wrapping_add(1);
        self.write(&data).await
    }

    /// Sends a PDU that bears the next status number without taking it (R2T, and a NOP-In that asks for an answer).
    ///
    /// # Errors
    ///
    /// The connection broke, or the initiator did not read in time.
    pub async fn send_unnumbered(&mut self, pdu: Pdu) -> Result<(), SessionError> {
        let pdu = pdu.with(24, self.stat_sn);
        self.write(&[pdu]).await
    }

    /// Rejects a PDU, whose header goes back.
    ///
    /// # Errors
    ///
    /// The connection broke, or the initiator did not read in time.
    pub async fn reject(&mut self, why: u8, header: &[u8; BHS]) -> Result<(), SessionError> {
        let mut pdu = Pdu::new(response::REJECT, 0x80, NO_TAG).with_data(header.to_vec());
        pdu.header[2] = why;
        self.respond(pdu).await
    }

    /// Sends PDUs with the command window of this moment.
    async fn write(&mut self, pdus: &[Pdu]) -> Result<(), SessionError> {
        let mut out = BytesMut::new();
        for pdu in pdus {
            let pdu = pdu.clone().with(28, self.exp_cmd_sn).with(32, self.max_cmd_sn);
            self.codec.encode(&pdu, &mut out);
        }
        timeout(WRITE_TIMEOUT, self.stream.write_all(&out)).await.map_err(|_| SessionError::Silent)??;
        Ok(())
    }
}
