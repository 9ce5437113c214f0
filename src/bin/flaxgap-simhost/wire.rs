//! The binary frames of the wire: reading batches, writing replies.

use std::io;
use thiserror::Error;

/// Longest frame that is read; a longer one is taken for garbage.
const MAX_FRAME_BYTES: usize = 1 << 30;

/// Bytes of a batch's header.
pub const HEADER_BYTES: usize = 16;

/// Bytes of a target: an address and a port.
const TARGET_BYTES: usize = 6;

/// Bytes of a reply's header.
const REPLY_HEADER_BYTES: usize = 12;

/// Input that can't be served.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The input can't be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// The output can't be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// The input ends within a batch's header.
    #[error("frame: header is cut short")]
    HeaderCutShort,
    /// The input ends within a batch.
    #[error("frame: batch {0} is cut short")]
    BatchCutShort(u32),
    /// A batch's length can't be true.
    #[error("frame: batch {number} has an impossible length of {length} bytes")]
    ImpossibleLength {
        /// The batch's number.
        number: u32,
        /// The length that its header states.
        length: usize,
    },
    /// A batch ends within a record.
    #[error("frame: record cut short at byte {0}")]
    RecordCutShort(usize),
    /// A record's code is unknown.
    #[error("frame: unknown event code {0}")]
    UnknownEvent(u8),
    /// A node's state is unknown.
    #[error("frame: unknown node state {0}")]
    UnknownNodeState(u8),
    /// The kind of an endpoint update is unknown.
    #[error("frame: unknown kind of list {0}")]
    UnknownUpdateKind(u8),
    /// An endpoint update refers to a list that was not given.
    #[error("frame: list {0} was never given")]
    UnknownList(u32),
    /// An attempt's outcome is unknown.
    #[error("frame: unknown outcome {0}")]
    UnknownOutcome(u16),
    /// An instance's settings can't be served; says which field is wrong.
    #[error("{0}")]
    Settings(String),
}

/// The header of a batch.
pub struct BatchHeader {
    /// The batch's number.
    pub number: u32,
    /// Bytes that follow the header.
    pub body_bytes: usize,
    /// The simulated clock, in seconds.
    pub clock: f64,
}

impl BatchHeader {
    /// Parses a header.
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

/// A cursor over one frame.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    /// A cursor at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, position: 0 }
    }

    /// Whether all bytes were read.
    pub fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// The next `count` bytes.
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

    /// One byte.
    pub fn u8(&mut self) -> Result<u8, FrameError> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes.
    pub fn u16(&mut self) -> Result<u16, FrameError> {
        self.array().map(u16::from_le_bytes)
    }

    /// Four bytes.
    pub fn u32(&mut self) -> Result<u32, FrameError> {
        self.array().map(u32::from_le_bytes)
    }

    /// Eight bytes.
    pub fn u64(&mut self) -> Result<u64, FrameError> {
        self.array().map(u64::from_le_bytes)
    }

    /// A short float; what is no number counts as 0.
    pub fn f32(&mut self) -> Result<f64, FrameError> {
        let value = f64::from(self.array().map(f32::from_le_bytes)?);
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// A float; what is no number counts as 0.
    pub fn f64(&mut self) -> Result<f64, FrameError> {
        let value = self.array().map(f64::from_le_bytes)?;
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// A target: four bytes of address and a port, kept as one number.
    pub fn target(&mut self) -> Result<u64, FrameError> {
        let mut bytes = [0; 8];
        bytes[..TARGET_BYTES].copy_from_slice(&self.array::<TARGET_BYTES>()?);
        Ok(u64::from_le_bytes(bytes))
    }

    /// The values of a load report.
    pub fn report_values(&mut self) -> Result<Vec<f64>, FrameError> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts a record for an instance.
    pub fn record(&mut self, code: u8, instance_id: u32) -> &mut Reply {
        self.count += 1;
        self.put(&[code]).put(&instance_id.to_le_bytes())
    }

    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) -> &mut Reply {
        self.records.extend_from_slice(bytes);
        self
    }

    /// Appends a target.
    pub fn target(&mut self, node: u64) -> &mut Reply {
        self.put(&node.to_le_bytes()[..TARGET_BYTES])
    }

    /// Appends a counted text, cut at what the count can hold.
    pub fn text(&mut self, text: &str) -> &mut Reply {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// The complete frame that answers a batch.
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
