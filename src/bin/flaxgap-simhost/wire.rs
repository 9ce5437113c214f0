//! The simulator's binary protocol: reading batches and writing replies. All numbers are little-endian.

use std::io;
use thiserror::Error;

/// Maximum length of a frame, in bytes. A longer length indicates corrupt input.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Length of a batch's header, in bytes.
pub const HEADER_BYTES: usize = 16;

/// Length of a target, in bytes: an IPv4 address and a port.
const TARGET_BYTES: usize = 6;

/// Length of a reply's header, in bytes: batch number, frame length and number of records.
const REPLY_HEADER_BYTES: usize = 12;

/// An error that ends the adapter: failed I/O or an invalid frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Reading the input failed.
    #[error("reading input: {0}")]
    Input(#[source] io::Error),
    /// Writing the output failed.
    #[error("writing output: {0}")]
    Output(#[source] io::Error),
    /// The input ended within the header of a batch.
    #[error("frame: header is cut short")]
    HeaderCutShort,
    /// The input ended within the body of a batch.
    #[error("frame: batch {0} is cut short")]
    BatchCutShort(u32),
    /// The header states a length that is shorter than the header itself or exceeds the maximum.
    #[error("frame: batch {number} has an impossible length of {length} bytes")]
    ImpossibleLength {
        /// Number of the batch.
        number: u32,
        /// Frame length stated in the header, in bytes.
        length: usize,
    },
    /// A batch ended within the record at this byte of the frame.
    #[error("frame: record cut short at byte {0}")]
    RecordCutShort(usize),
    /// A record has an unknown type code.
    #[error("frame: unknown event code {0}")]
    UnknownEvent(u8),
    /// An endpoint has an unknown code for the node's state.
    #[error("frame: unknown node state {0}")]
    UnknownNodeState(u8),
    /// An endpoint update has an unknown code for its kind.
    #[error("frame: unknown kind of endpoint update {0}")]
    UnknownUpdateKind(u8),
    /// An endpoint update refers to an endpoint list that no earlier record defined.
    #[error("frame: endpoint list {0} is not defined")]
    UnknownList(u32),
    /// An ended attempt has an unknown code for its outcome.
    #[error("frame: unknown attempt outcome {0}")]
    UnknownOutcome(u16),
    /// The settings of an instance are invalid. The message names the field.
    #[error("{0}")]
    Settings(String),
}

/// Header of a batch.
pub struct BatchHeader {
    /// Number of the batch; the reply carries the same number.
    pub number: u32,
    /// Length of the body that follows the header, in bytes.
    pub body_bytes: usize,
    /// Simulated time, in seconds.
    pub clock: f64,
}

impl BatchHeader {
    /// Parses the header of a batch.
    pub fn parse(bytes: &[u8; HEADER_BYTES]) -> Result<BatchHeader, FrameError> {
        let mut reader = Reader::new(bytes);
        let number = reader.u32()?;
        let length = reader.u32()? as usize;
        let clock = reader.f64()?;
        if !(HEADER_BYTES..=MAX_FRAME_BYTES).contains(&length) {
            return Err(FrameError::ImpossibleLength { number, length });
        }
        Ok(BatchHeader { number, body_bytes: length - HEADER_BYTES, clock })
    }
}

/// Reads values from the body of a batch, in order.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// Whether all bytes have been read.
    pub fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Reads the next `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], FrameError> {
        let end = self.position.checked_add(count).filter(|end| *end <= self.bytes.len());
        let end = end.ok_or(FrameError::RecordCutShort(HEADER_BYTES + self.position))?;
        let taken = &self.bytes[self.position..end];
        self.position = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], FrameError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads an unsigned 8-bit integer.
    pub fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads an unsigned 16-bit integer.
    pub fn u16(&mut self) -> Result<u16, FrameError> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads an unsigned 32-bit integer.
    pub fn u32(&mut self) -> Result<u32, FrameError> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads an unsigned 64-bit integer.
    pub fn u64(&mut self) -> Result<u64, FrameError> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a 32-bit float; NaN and infinities are read as 0.
    pub fn f32(&mut self) -> Result<f64, FrameError> {
        let value = f64::from(self.array().map(f32::from_le_bytes)?);
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// Reads a 64-bit float; NaN and infinities are read as 0.
    pub fn f64(&mut self) -> Result<f64, FrameError> {
        let value = self.array().map(f64::from_le_bytes)?;
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// Reads a target (IPv4 address and port) as the low six bytes of an integer.
    pub fn target(&mut self) -> Result<u64, FrameError> {
        let mut bytes = [0; 8];
        bytes[..TARGET_BYTES].copy_from_slice(&self.array::<TARGET_BYTES>()?);
        Ok(u64::from_le_bytes(bytes))
    }

    /// Reads the values of a load report.
    pub fn report_values(&mut self) -> Result<Vec<f64>, FrameError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

/// Builder of the reply to a batch.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts a record of type `code` for an instance; the caller appends its fields.
    pub fn record(&mut self, code: u8, instance_id: u32) -> &mut Reply {
        self.count += 1;
        self.put(&[code]).put(&instance_id.to_le_bytes())
    }

    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) -> &mut Reply {
        self.records.extend_from_slice(bytes);
        self
    }

    /// Appends a target (IPv4 address and port) from the low six bytes of `node`.
    pub fn target(&mut self, node: u64) -> &mut Reply {
        self.put(&node.to_le_bytes()[..TARGET_BYTES])
    }

    /// Appends a text with a 16-bit length prefix. Truncates the text to 65,535 bytes.
    pub fn text(&mut self, text: &str) -> &mut Reply {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// Returns the complete frame of the reply to batch `number`.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let length = REPLY_HEADER_BYTES + self.records.len();
        let mut frame = Vec::with_capacity(length);
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&(length as u32).to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
