//! Parsing of HTTP/1.1 framing, to find where the requests on a connection begin and end. Does no I/O.

/// Longest head of a request, in bytes. hyper is configured with the same limit.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most fields of a head. hyper is configured with the same limit.
pub const MAX_HEAD_FIELDS: usize = 64;
/// Longest chunk-size line with its extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 4096;
/// Length of the CRLF after the data of a chunk, in bytes.
const CHUNK_CRLF_BYTES: u64 = 2;

/// A part of a request. Names what follows on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// The head of a request.
    Head,
    /// A body with `Content-Length`, of which `remaining` bytes are still to come.
    Body { remaining: u64 },
    /// A chunk-size line.
    ChunkSize,
    /// The data of a chunk and its CRLF, of which `remaining` bytes are still to come.
    Chunk { remaining: u64 },
    /// The trailer section after the last chunk.
    Trailer,
    /// Bytes that are discarded, as it is unknown where the next request would begin.
    Unreadable,
}

/// Result of parsing a head, a chunk-size line or a trailer section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Parsed {
    /// Its end has not arrived yet.
    Incomplete,
    /// It is malformed or too long.
    Malformed,
    /// It is complete.
    Complete {
        /// Its length in bytes.
        length: usize,
        /// The part that follows.
        next: Part,
    },
}

impl Parsed {
    /// Returns the result for a part whose end has not arrived yet: malformed once it reaches its maximum length.
    fn incomplete(length: usize, max_length: usize) -> Parsed {
        if length < max_length { Parsed::Incomplete } else { Parsed::Malformed }
    }
}

/// Parses the head of a request. The next part is [`Part::Unreadable`] if the framing is ambiguous.
pub(super) fn parse_head(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            Parsed::Complete { length, next: part_after_head(head.headers) }
        }
        Ok(httparse::Status::Partial) => Parsed::incomplete(bytes.len(), MAX_HEAD_BYTES),
        Err(_) => Parsed::Malformed,
    }
}

/// Returns the part that follows a head with these fields.
fn part_after_head(fields: &[httparse::Header<'_>]) -> Part {
    let lengths = values(fields, "content-length");
    let codings = values(fields, "transfer-encoding");
    match (&lengths[..], &codings[..]) {
        ([], []) => Part::Head,
        ([length], []) => match parse_length(length) {
            Some(0) => Part::Head,
            Some(length) => Part::Body { remaining: length },
            None => Part::Unreadable,
        },
        ([], [coding]) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Part::ChunkSize,
        _ => Part::Unreadable,
    }
}

/// Returns the values of all fields with this name.
fn values<'a>(fields: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = fields.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
    named.map(|field| field.value).collect()
}

fn parse_length(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Parses a chunk-size line.
pub(super) fn parse_chunk_size(bytes: &[u8]) -> Parsed {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((length, 0))) => Parsed::Complete { length, next: Part::Trailer },
        Ok(httparse::Status::Complete((length, size))) => {
            let remaining = size.saturating_add(CHUNK_CRLF_BYTES);
            Parsed::Complete { length, next: Part::Chunk { remaining } }
        }
        Ok(httparse::Status::Partial) => Parsed::incomplete(bytes.len(), MAX_CHUNK_SIZE_LINE_BYTES),
        Err(_) => Parsed::Malformed,
    }
}

/// Parses the trailer section.
pub(super) fn parse_trailer(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    match httparse::parse_headers(bytes, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => Parsed::Complete { length, next: Part::Head },
        Ok(httparse::Status::Partial) => Parsed::incomplete(bytes.len(), MAX_HEAD_BYTES),
        Err(_) => Parsed::Malformed,
    }
}
