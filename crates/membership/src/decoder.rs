//! Decodes a stream of endpoint lists: JSON objects in any layout, one per line, indented over many lines, or several
//! on one line.
//!
//! The decoder does no I/O: the caller pushes bytes as they arrive, and a list is decoded as soon as its closing
//! brace has been pushed. The decoder buffers at most one incomplete object of [`MAX_LIST_BYTES`]. Malformed text
//! does not prevent later lists from being decoded.

use crate::compact::CompactList;
use crate::json_scanner::{ObjectScanner, ScanResult};
use crate::list::EndpointList;
use crate::list_header;
use crate::wire::ListError;
use std::hash::{DefaultHasher, Hasher};
use thiserror::Error;

/// Maximum size of the text of one list, in bytes. A list of 7,100 nodes takes about 1.3 MB on one line, and 2.5 MB
/// with each field on its own line, indented by 16 spaces. The limit is three times that, and a head still has enough
/// memory for several lists of this size that arrive at the same time.
pub const MAX_LIST_BYTES: usize = 8 << 20;
/// Maximum buffer capacity that is kept between lists, in bytes. The larger buffer of a long list is freed, since the
/// lists that follow are mostly short.
const RETAINED_CAPACITY: usize = 64 << 10;

/// Why a part of a stream can't be decoded as a list.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The text has unmatched brackets, an unterminated string, or a missing comma or field name. Decoding continues at
    /// the next line.
    #[error("byte {offset}: {problem}")]
    Malformed {
        /// Offset in the stream, in bytes.
        offset: u64,
        /// Description of the syntax error.
        problem: &'static str,
    },
    /// The text is a complete JSON object but not a valid list.
    #[error("value at byte {offset}: {source}")]
    NotAList {
        /// Offset of the object in the stream, in bytes.
        offset: u64,
        /// Why the object can't be parsed as a list.
        source: ListError,
    },
    /// An object exceeds [`MAX_LIST_BYTES`]. Nothing after it can be decoded.
    #[error("value at byte {offset}: exceeds {MAX_LIST_BYTES} bytes")]
    TooLong {
        /// Offset of the object in the stream, in bytes.
        offset: u64,
    },
}

/// Hash of the text of a list, to detect that the same list is received again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

impl Fingerprint {
    fn of(text: &[u8]) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        hasher.write(text);
        Fingerprint(hasher.finish())
    }
}

/// The result of decoding one object of the stream.
#[derive(Debug)]
pub enum Decoded<L = EndpointList> {
    /// A list and the fingerprint of its text.
    List(L, Fingerprint),
    /// A list whose text has the known fingerprint. It was not parsed.
    KnownList,
}

/// Decoder of one stream of lists.
#[derive(Debug, Default)]
pub struct ListDecoder {
    /// The bytes that were pushed and are not decoded yet.
    buffer: Vec<u8>,
    /// Offset of the buffer's first byte in the stream.
    offset: u64,
    scanner: ObjectScanner,
    /// Whether to skip the rest of the line because of a syntax error.
    is_skipping_line: bool,
    /// Whether an error was returned since the last list. Further errors are suppressed, since a malformed object of
    /// many lines would otherwise cause an error for each line.
    error_reported: bool,
    known: Option<Fingerprint>,
}

impl ListDecoder {
    /// Creates a decoder at the start of a stream. A list whose text has the `known` fingerprint is scanned but not
    /// parsed: a source may answer every request with a long snapshot that has not changed.
    pub fn new(known: Option<Fingerprint>) -> ListDecoder {
        ListDecoder { known, ..ListDecoder::default() }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffer contains an incomplete object.
    pub fn has_incomplete_list(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The version of the incomplete snapshot in the buffer, if its first two fields have arrived.
    pub fn incomplete_snapshot_version(&self) -> Option<u64> {
        if self.is_skipping_line { None } else { list_header::snapshot_version(&self.buffer) }
    }

    /// Decodes the next list like [`Self::next_compact`], and converts it to an [`EndpointList`].
    pub fn next_list(&mut self) -> Option<Result<Decoded, DecodeError>> {
        let decoded = self.next_compact()?.map(|decoded| match decoded {
            Decoded::List(list, fingerprint) => Decoded::List(list.into(), fingerprint),
            Decoded::KnownList => Decoded::KnownList,
        });
        Some(decoded)
    }

    /// Decodes the next list, or returns why a part of the stream can't be decoded. Returns `None` if more bytes are
    /// needed.
    pub fn next_compact(&mut self) -> Option<Result<Decoded<CompactList>, DecodeError>> {
        loop {
            self.skip_malformed_line();
            self.skip_white_space();
            let decoded = match self.scanner.scan(&self.buffer) {
                ScanResult::Incomplete if self.buffer.len() <= MAX_LIST_BYTES => return None,
                ScanResult::Incomplete => return Some(Err(self.discard_too_long())),
                ScanResult::Complete(end) => self.decode_front(end),
                ScanResult::Malformed(index, problem) => Err(self.on_malformed(index, problem)),
            };
            match decoded {
                Ok(decoded) => {
                    self.error_reported = false;
                    return Some(Ok(decoded));
                }
                Err(error) => {
                    let was_reported = std::mem::replace(&mut self.error_reported, true);
                    if !was_reported {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Parses the object that ends before index `end` of the buffer, and removes its text.
    fn decode_front(&mut self, end: usize) -> Result<Decoded<CompactList>, DecodeError> {
        let text = &self.buffer[..end];
        let fingerprint = Fingerprint::of(text);
        if self.known == Some(fingerprint) {
            self.discard_front(end);
            return Ok(Decoded::KnownList);
        }
        let parsed = CompactList::parse(text);
        let offset = self.offset;
        self.discard_front(end);
        match parsed {
            Ok(list) => Ok(Decoded::List(list, fingerprint)),
            Err(source) => Err(DecodeError::NotAList { offset, source }),
        }
    }

    /// Starts to skip the line with a syntax error at `index` of the buffer, and returns the error.
    fn on_malformed(&mut self, index: usize, problem: &'static str) -> DecodeError {
        self.is_skipping_line = true;
        self.scanner = ObjectScanner::default();
        DecodeError::Malformed { offset: self.offset + index as u64, problem }
    }

    fn discard_too_long(&mut self) -> DecodeError {
        let offset = self.offset;
        self.discard_front(self.buffer.len());
        DecodeError::TooLong { offset }
    }

    fn skip_malformed_line(&mut self) {
        if !self.is_skipping_line {
            return;
        }
        match self.buffer.iter().position(|byte| *byte == b'\n') {
            Some(line_end) => {
                self.is_skipping_line = false;
                self.discard_front(line_end + 1);
            }
            None => self.discard_front(self.buffer.len()),
        }
    }

    /// Skips white space between objects.
    fn skip_white_space(&mut self) {
        if self.scanner.is_at_start() {
            let blanks = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.discard_front(blanks);
        }
    }

    fn discard_front(&mut self, count: usize) {
        self.buffer.drain(..count);
        self.offset += count as u64;
        self.scanner = ObjectScanner::default();
        if self.buffer.is_empty() && self.buffer.capacity() > RETAINED_CAPACITY {
            self.buffer = Vec::new();
        }
    }
}
