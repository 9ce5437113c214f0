//! Where the requests on a connection begin and end. No I/O: bytes go in, and what they are comes out.

/// Longest head of a request, in bytes; hyper is set to the same.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most fields of a head; hyper is set to the same.
pub const MAX_HEAD_FIELDS: usize = 64;
/// Longest line with a chunk's size and its extensions, in bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 4096;
/// Length of the line end that follows a chunk's data, in bytes.
const CHUNK_LINE_END_BYTES: u64 = 2;

/// What comes next on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Part {
    /// The head of a request.
    Head,
    /// So many bytes of a body with a length.
    Body { left: u64 },
    /// The line with a chunk's size.
    ChunkSize,
    /// So many bytes of a chunk's data and its line end.
    Chunk { left: u64 },
    /// What follows the last chunk.
    Trailer,
    /// Nothing that may be read: it is unknown where a further request would begin.
    Unreadable,
}

/// What is known of a head, a chunk's size or a trailer by the bytes that have arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Parsed {
    /// Its end has not arrived yet.
    Incomplete,
    /// It can't be read, or is too long.
    Malformed,
    /// It is complete.
    Complete {
        /// Its length in bytes.
        length: usize,
        /// What follows it.
        next: Part,
    },
}

impl Parsed {
    /// Of a part whose end has not arrived yet, given how much of it has and how much may.
    fn incomplete(length: usize, max_length: usize) -> Parsed {
        if length < max_length { Parsed::Incomplete } else { Parsed::Malformed }
    }
}

/// Parses a request's head. What follows it is `Unreadable` if its framing is ambiguous.
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

/// What follows a head with these fields: a body, or the next head.
fn part_after_head(fields: &[httparse::Header<'_>]) -> Part {
    let lengths = values(fields, "content-length");
    let codings = values(fields, "transfer-encoding");
    match (&lengths[..], &codings[..]) {
        ([], []) => Part::Head,
        ([length], []) => match parse_length(length) {
            Some(0) => Part::Head,
            Some(length) => Part::Body { left: length },
            None => Part::Unreadable,
        },
        ([], [coding]) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Part::ChunkSize,
        _ => Part::Unreadable,
    }
}

/// The values of all fields of a name.
fn values<'a>(fields: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = fields.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
    named.map(|field| field.value).collect()
}

fn parse_length(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Parses the line with a chunk's size.
pub(super) fn parse_chunk_size(bytes: &[u8]) -> Parsed {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((length, 0))) => Parsed::Complete { length, next: Part::Trailer },
        Ok(httparse::Status::Complete((length, size))) => {
            let left = size.saturating_add(CHUNK_LINE_END_BYTES);
            Parsed::Complete { length, next: Part::Chunk { left } }
        }
        Ok(httparse::Status::Partial) => Parsed::incomplete(bytes.len(), MAX_CHUNK_SIZE_LINE_BYTES),
        Err(_) => Parsed::Malformed,
    }
}

/// Parses what follows the last chunk.
pub(super) fn parse_trailer(bytes: &[u8]) -> Parsed {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    match httparse::parse_headers(bytes, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => Parsed::Complete { length, next: Part::Head },
        Ok(httparse::Status::Partial) => Parsed::incomplete(bytes.len(), MAX_HEAD_BYTES),
        Err(_) => Parsed::Malformed,
    }
}
