//! Encoding and decoding of iSCSI PDUs (RFC 7143, section 11): basic header segment, data segment and digests.

use bytes::{Buf, Bytes, BytesMut};
use thiserror::Error;

/// Length of a basic header segment, in bytes.
pub const HEADER_LENGTH: usize = 48;
/// Largest data segment that the target accepts, in bytes; declared as MaxRecvDataSegmentLength.
pub const MAX_DATA_SEGMENT: usize = 64 * 1024;
/// Reserved value of a task tag or transfer tag: no tag.
pub const NO_TAG: u32 = u32::MAX;

/// Opcodes of PDUs that initiators send.
pub mod request {
    /// NOP-Out.
    pub const NOP_OUT: u8 = 0x00;
    /// SCSI Command.
    pub const SCSI_COMMAND: u8 = 0x01;
    /// Task Management Function Request.
    pub const TASK_MANAGEMENT: u8 = 0x02;
    /// Login Request.
    pub const LOGIN: u8 = 0x03;
    /// Text Request.
    pub const TEXT: u8 = 0x04;
    /// SCSI Data-Out.
    pub const DATA_OUT: u8 = 0x05;
    /// Logout Request.
    pub const LOGOUT: u8 = 0x06;
    /// SNACK Request.
    pub const SNACK: u8 = 0x10;
}

/// Opcodes of PDUs that the target sends.
pub mod response {
    /// NOP-In.
    pub const NOP_IN: u8 = 0x20;
    /// SCSI Response.
    pub const SCSI: u8 = 0x21;
    /// Task Management Function Response.
    pub const TASK_MANAGEMENT: u8 = 0x22;
    /// Login Response.
    pub const LOGIN: u8 = 0x23;
    /// Text Response.
    pub const TEXT: u8 = 0x24;
    /// SCSI Data-In.
    pub const DATA_IN: u8 = 0x25;
    /// Logout Response.
    pub const LOGOUT: u8 = 0x26;
    /// Ready To Transfer.
    pub const R2T: u8 = 0x31;
    /// Asynchronous Message.
    pub const ASYNC: u8 = 0x32;
    /// Reject.
    pub const REJECT: u8 = 0x3f;
}

/// An error while decoding a PDU.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum PduError {
    /// The data segment exceeds the declared maximum; holds its length in bytes.
    #[error("data segment of {0} bytes exceeds the declared maximum")]
    TooLong(usize),
    /// The header digest does not match, so that no field of the header can be trusted.
    #[error("header digest error")]
    HeaderDigest,
    /// The data digest does not match; holds the header, which a Reject PDU returns.
    #[error("data digest error")]
    DataDigest(Box<[u8; HEADER_LENGTH]>),
}

/// An iSCSI PDU without additional header segments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// The basic header segment.
    pub header: [u8; HEADER_LENGTH],
    /// The data segment.
    pub data: Bytes,
}

impl Pdu {
    /// Creates a PDU with an opcode, the flags byte and the initiator task tag.
    pub fn new(opcode: u8, flags: u8, task: u32) -> Pdu {
        let mut header = [0; HEADER_LENGTH];
        (header[0], header[1]) = (opcode, flags);
        Pdu { header, data: Bytes::new() }.with_u32(16, task)
    }

    /// Sets the big-endian 32-bit field at byte `at` of the header.
    pub fn with_u32(mut self, at: usize, value: u32) -> Pdu {
        self.header[at..at + 4].copy_from_slice(&value.to_be_bytes());
        self
    }

    /// Sets the data segment.
    pub fn with_data(mut self, data: impl Into<Bytes>) -> Pdu {
        self.data = data.into();
        self
    }

    /// Returns the opcode.
    pub fn opcode(&self) -> u8 {
        self.header[0] & 0x3f
    }

    /// Returns whether the PDU is marked for immediate delivery.
    pub fn immediate(&self) -> bool {
        self.header[0] & 0x40 != 0
    }

    /// Returns the flags byte.
    pub fn flags(&self) -> u8 {
        self.header[1]
    }

    /// Returns the initiator task tag.
    pub fn task(&self) -> u32 {
        self.u32_at(16)
    }

    /// Returns the big-endian 32-bit field at byte `at` of the header.
    pub fn u32_at(&self, at: usize) -> u32 {
        self.header[at..at + 4].iter().fold(0, |value, byte| value << 8 | u32::from(*byte))
    }

    /// Returns the logical unit number, or `None` if the field uses neither peripheral device nor flat space addressing.
    pub fn lun(&self) -> Option<u16> {
        let field = &self.header[8..16];
        let number = u16::from_be_bytes([field[0] & 0x3f, field[1]]);
        let form = field[0] >> 6;
        let known = form == 1 || form == 0 && field[0] == 0;
        (known && field[2..].iter().all(|b| *b == 0)).then_some(number)
    }
}

/// Encodes and decodes the PDUs of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Whether a CRC32C follows each header.
    pub header_digest: bool,
    /// Whether a CRC32C follows each data segment.
    pub data_digest: bool,
    /// Largest data segment accepted, in bytes.
    pub max_data_segment: usize,
}

impl Codec {
    /// Decodes the next PDU and removes it from the buffer, or returns `None` if the buffer does not hold all of it.
    ///
    /// # Errors
    ///
    /// Returns an error if the data segment exceeds `max_data_segment` or a digest does not match.
    pub fn decode(&self, buffer: &mut BytesMut) -> Result<Option<Pdu>, PduError> {
        if buffer.len() < HEADER_LENGTH {
            return Ok(None);
        }
        let mut header = [0; HEADER_LENGTH];
        header.copy_from_slice(&buffer[..HEADER_LENGTH]);
        let length = usize::from(header[5]) << 16 | usize::from(header[6]) << 8 | usize::from(header[7]);
        if length > self.max_data_segment {
            return Err(PduError::TooLong(length));
        }
        let headers = HEADER_LENGTH + usize::from(header[4]) * 4;
        let digest = |on: bool| if on { 4 } else { 0 };
        let data_at = headers + digest(self.header_digest);
        let padded = length.next_multiple_of(4);
        let end = data_at + padded + digest(self.data_digest && length > 0);
        if buffer.len() < end {
            buffer.reserve(end - buffer.len());
            return Ok(None);
        }
        let frame = buffer.split_to(end).freeze();
        if self.header_digest && frame[headers..data_at] != crc32c::crc32c(&frame[..headers]).to_le_bytes() {
            return Err(PduError::HeaderDigest);
        }
        let data_end = data_at + padded;
        if end > data_end && frame[data_end..] != crc32c::crc32c(&frame[data_at..data_end]).to_le_bytes() {
            return Err(PduError::DataDigest(Box::new(header)));
        }
        Ok(Some(Pdu { header, data: frame.slice(data_at..data_at + length) }))
    }

    /// Appends an encoded PDU, with its digests and padding, to `out`.
    pub fn encode(&self, pdu: &Pdu, out: &mut BytesMut) {
        let mut header = pdu.header;
        header[5..8].copy_from_slice(&(pdu.data.len() as u32).to_be_bytes()[1..]);
        out.extend_from_slice(&header);
        if self.header_digest {
            out.extend_from_slice(&crc32c::crc32c(&header).to_le_bytes());
        }
        let from = out.len();
        out.extend_from_slice(&pdu.data);
        out.resize(from + pdu.data.len().next_multiple_of(4), 0);
        if self.data_digest && pdu.data.has_remaining() {
            let crc = crc32c::crc32c(&out[from..]);
            out.extend_from_slice(&crc.to_le_bytes());
        }
    }
}

#[cfg(test)]
mod tests;
