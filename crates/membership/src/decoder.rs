//! Decodes a stream of endpoint lists: JSON objects in any layout, one to a line, indented over many lines, or several on
//! one line.
//!
//! The decoder does no I/O: bytes are pushed as they arrive, and a list can be taken out as soon as its closing brace has
//! been pushed. It buffers at most one incomplete object of [`MAX_LIST_BYTES`]. Text that can't be read costs no later
//! list.

use crate::compact::CompactList;
use crate::json_scanner::{ObjectScanner, ScanResult};
use crate::list::EndpointList;
use crate::list_header;
use crate::wire::ListError;
use std::hash::{DefaultHasher, Hasher};
use thiserror::Error;

/// Longest text of one list, in bytes. 7,100 nodes take some 1.3 MB on one line, and 2.5 MB where each field is on a line
/// of its own behind sixteen blanks. This limit leaves room for three times as much, and several lists that arrive at
/// once still fit into a head's memory.
pub const MAX_LIST_BYTES: usize = 8 << 20;
/// Buffer capacity that is kept between lists, in bytes: a long list's is not kept for the short ones that follow.
const RETAINED_CAPACITY: usize = 64 << 10;

/// Why a part of a stream is no list.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// Its brackets or strings don't match. Decoding goes on at the next line.
    #[error("byte {offset}: {problem}")]
    Malformed {
        /// Offset in the stream, in bytes.
        offset: u64,
        /// What is wrong there.
        problem: &'static str,
    },
    /// It is a complete object, but no list.
    #[error("value at byte {offset}: {source}")]
    NotAList {
        /// Offset of the object in the stream, in bytes.
        offset: u64,
        /// Why it is no list.
        source: ListError,
    },
    /// It is an object of over [`MAX_LIST_BYTES`]. Nothing after it can be read.
    #[error("value at byte {offset}: over {MAX_LIST_BYTES} bytes")]
    TooLong {
        /// Offset of the object in the stream, in bytes.
        offset: u64,
    },
}

/// A hash of a list's text, by which its repetition is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

impl Fingerprint {
    fn of(text: &[u8]) -> Fingerprint {
        let mut hasher = DefaultHasher::new();
        hasher.write(text);
        Fingerprint(hasher.finish())
    }
}

/// A decoded object.
#[derive(Debug)]
pub enum Decoded<L = EndpointList> {
    /// A list, and the fingerprint of its text.
    List(L, Fingerprint),
    /// The text of the known fingerprint again. It is not parsed.
    KnownList,
}

/// Decoder of one stream.
#[derive(Debug, Default)]
pub struct ListDecoder {
    /// The bytes that were pushed and not yet decoded.
    buffer: Vec<u8>,
    /// Offset of the buffer's first byte in the stream.
    offset: u64,
    scanner: ObjectScanner,
    /// The rest of a line that can't be read is skipped.
    is_skipping_line: bool,
    /// An error was reported since the last list. Further ones are not: an object over many lines that can't be read is
    /// one problem.
    error_reported: bool,
    known: Option<Fingerprint>,
}

impl ListDecoder {
    /// Creates a decoder that stands at the start of a stream. The text of the `known` fingerprint is not parsed again:
    /// where each answer is a snapshot, a long one that has not changed costs one scan.
    pub fn new(known: Option<Fingerprint>) -> ListDecoder {
        ListDecoder { known, ..ListDecoder::default() }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether an object has begun and not ended.
    pub fn has_incomplete_list(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The version of a snapshot that has begun and not ended, if its first fields have come.
    pub fn incomplete_snapshot_version(&self) -> Option<u64> {
        if self.is_skipping_line { None } else { list_header::snapshot_version(&self.buffer) }
    }

    /// The next list, with owned entries, or why a part of the stream is none; see [`Self::next_compact`].
    pub fn next_list(&mut self) -> Option<Result<Decoded, DecodeError>> {
        let decoded = self.next_compact()?.map(|decoded| match decoded {
            Decoded::List(list, fingerprint) => Decoded::List(list.into(), fingerprint),
            Decoded::KnownList => Decoded::KnownList,
        });
        Some(decoded)
    }

    /// The next list, or why a part of the stream is none. None until more bytes are pushed.
    pub fn next_compact(&mut self) -> Option<Result<Decoded<CompactList>, DecodeError>> {
        loop {
            self.skip_broken_line();
            self.skip_white_space();
            let decoded = match self.scanner.scan(&self.buffer) {
                ScanResult::Incomplete if self.buffer.len() <= MAX_LIST_BYTES => return None,
                ScanResult::Incomplete => return Some(Err(self.drop_too_long())),
                ScanResult::Complete(end) => self.decode_front(end),
                ScanResult::Broken(index, problem) => Err(self.break_line(index, problem)),
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

    /// Parses the object that ends at this index of the buffer, and drops its text.
    fn decode_front(&mut self, end: usize) -> Result<Decoded<CompactList>, DecodeError> {
        let text = &self.buffer[..end];
        let fingerprint = Fingerprint::of(text);
        if self.known == Some(fingerprint) {
            self.drop_front(end);
            return Ok(Decoded::KnownList);
        }
        let parsed = CompactList::parse(text);
        let offset = self.offset;
        self.drop_front(end);
        match parsed {
            Ok(list) => Ok(Decoded::List(list, fingerprint)),
            Err(source) => Err(DecodeError::NotAList { offset, source }),
        }
    }

    /// The text is broken at this index of the buffer: the rest of the line is to be skipped.
    fn break_line(&mut self, index: usize, problem: &'static str) -> DecodeError {
        self.is_skipping_line = true;
        self.scanner = ObjectScanner::default();
        DecodeError::Malformed { offset: self.offset + index as u64, problem }
    }

    fn drop_too_long(&mut self) -> DecodeError {
        let offset = self.offset;
        self.drop_front(self.buffer.len());
        DecodeError::TooLong { offset }
    }

    fn skip_broken_line(&mut self) {
        if !self.is_skipping_line {
            return;
        }
        match self.buffer.iter().position(|byte| *byte == b'\n') {
            Some(line_end) => {
                self.is_skipping_line = false;
                self.drop_front(line_end + 1);
            }
            None => self.drop_front(self.buffer.len()),
        }
    }

    /// Skips white space between objects.
    fn skip_white_space(&mut self) {
        if self.scanner.is_at_start() {
            let blanks = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
            self.drop_front(blanks);
        }
    }

    fn drop_front(&mut self, count: usize) {
        self.buffer.drain(..count);
        self.offset += count as u64;
        self.scanner = ObjectScanner::default();
        if self.buffer.is_empty() && self.buffer.capacity() > RETAINED_CAPACITY {
            self.buffer = Vec::new();
        }
    }
}
