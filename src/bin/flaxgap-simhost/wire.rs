//! The binary frames of the wire: reading batches, writing replies.

/// Longest frame that is read; a longer one is taken for garbage.
const LONGEST_FRAME: usize = 1 << 30;

/// Bytes of a batch header.
pub const HEADER: usize = 16;

/// A frame that can't be read; says what is wrong with it.
pub type Bad = String;

/// The header of a batch.
pub struct Header {
    /// The batch's number.
    pub number: u32,
    /// Bytes that follow the header.
    pub rest: usize,
    /// The clock.
    pub clock: f64,
}

/// A cursor over one frame.
pub struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    /// A cursor at the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Reader<'a> {
        Reader { bytes, at: 0 }
    }

    /// Whether all has been read.
    pub fn done(&self) -> bool {
        self.at == self.bytes.len()
    }

    /// The next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8], Bad> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len());
        let end = end.ok_or_else(|| format!("frame: record cut short at byte {}", HEADER + self.at))?;
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Bad> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// One byte.
    pub fn u8(&mut self) -> Result<u8, Bad> {
        Ok(self.array::<1>()?[0])
    }

    /// Two bytes.
    pub fn u16(&mut self) -> Result<u16, Bad> {
        self.array().map(u16::from_le_bytes)
    }

    /// Four bytes.
    pub fn u32(&mut self) -> Result<u32, Bad> {
        self.array().map(u32::from_le_bytes)
    }

    /// Eight bytes.
    pub fn u64(&mut self) -> Result<u64, Bad> {
        self.array().map(u64::from_le_bytes)
    }

    /// A short float; what is no number counts as 0.
    pub fn f32(&mut self) -> Result<f64, Bad> {
        let value = f64::from(self.array().map(f32::from_le_bytes)?);
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// A float; what is no number counts as 0.
    pub fn f64(&mut self) -> Result<f64, Bad> {
        let value = self.array().map(f64::from_le_bytes)?;
        Ok(if value.is_finite() { value } else { 0.0 })
    }

    /// A target: four bytes of address and a port, kept as one number.
    pub fn target(&mut self) -> Result<u64, Bad> {
        let b: [u8; 6] = self.array()?;
        Ok(u64::from_le_bytes([b[0], b[1], b[2], b[3], b[4], b[5], 0, 0]))
    }

    /// A list of report values.
    pub fn stats(&mut self) -> Result<Vec<f64>, Bad> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

/// Reads a batch header.
pub fn header(bytes: &[u8; HEADER]) -> Result<Header, Bad> {
    let mut reader = Reader::new(bytes);
    let (number, length, clock) = (reader.u32()?, reader.u32()? as usize, reader.f64()?);
    if !(HEADER..=LONGEST_FRAME).contains(&length) {
        return Err(format!("frame: batch {number} has an impossible length of {length} bytes"));
    }
    Ok(Header { number, rest: length - HEADER, clock })
}

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts a record for an instance.
    pub fn record(&mut self, code: u8, who: u32) -> &mut Reply {
        self.count += 1;
        self.put(&[code]).put(&who.to_le_bytes())
    }

    /// Appends bytes.
    pub fn put(&mut self, bytes: &[u8]) -> &mut Reply {
        self.records.extend_from_slice(bytes);
        self
    }

    /// Appends a target.
    pub fn target(&mut self, node: u64) -> &mut Reply {
        self.put(&node.to_le_bytes()[..6])
    }

    /// Appends a counted text, cut at what the count can hold.
    pub fn text(&mut self, text: &str) -> &mut Reply {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_le_bytes()).put(bytes)
    }

    /// The whole frame for a batch.
    pub fn frame(&self, number: u32) -> Vec<u8> {
        let mut frame = Vec::with_capacity(12 + self.records.len());
        frame.extend_from_slice(&number.to_le_bytes());
        frame.extend_from_slice(&(12 + self.records.len() as u32).to_le_bytes());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
