//! A client of HTTP/2 that sends raw frames, right or wrong, and reads what comes back.

use flaxgap_streams::frames::{FrameHeader, HEADER_BYTES, PREFACE, flag, kind};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Time limit for a response; generous because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Error codes (RFC 9113, section 7).
pub mod code {
    pub const NO_ERROR: u32 = 0;
    pub const PROTOCOL_ERROR: u32 = 1;
    pub const INTERNAL_ERROR: u32 = 2;
    pub const FLOW_CONTROL_ERROR: u32 = 3;
    pub const STREAM_CLOSED: u32 = 5;
    pub const FRAME_SIZE_ERROR: u32 = 6;
    pub const REFUSED_STREAM: u32 = 7;
    pub const CANCEL: u32 = 8;
    pub const COMPRESSION_ERROR: u32 = 9;
    pub const ENHANCE_YOUR_CALM: u32 = 11;
    pub const HTTP_1_1_REQUIRED: u32 = 13;
}

/// A received frame.
#[derive(Clone, Debug)]
pub struct Frame {
    pub head: FrameHeader,
    pub payload: Vec<u8>,
}

impl Frame {
    fn word(&self, at: usize) -> u32 {
        self.payload.get(at..at + 4).map_or(0, |b| u32::from_be_bytes([b[0], b[1], b[2], b[3]]))
    }
}

/// Encodes a frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let head = FrameHeader { length: payload.len() as u32, kind, flags, stream };
    [&head.encode()[..], payload].concat()
}

/// Fields as HPACK literals without indexing (RFC 7541, section 6.2.2), not Huffman coded.
pub fn fields(pairs: &[(&str, &str)]) -> Vec<u8> {
    let text = |text: &str| {
        let mut bytes = Vec::new();
        match text.len() {
            short @ 0..127 => bytes.push(short as u8),
            long => {
                bytes.push(127);
                let mut rest = long - 127;
                while rest >= 128 {
                    bytes.push((rest % 128) as u8 | 128);
                    rest /= 128;
                }
                bytes.push(rest as u8);
            }
        }
        bytes.extend(text.as_bytes());
        bytes
    };
    pairs.iter().flat_map(|(name, value)| [vec![0], text(name), text(value)].concat()).collect()
}

static IDS: AtomicU32 = AtomicU32::new(1);

/// The fields of a request of a class, fit to be changed.
pub fn request(method: &str, class: &str) -> Vec<(String, String)> {
    let id = IDS.fetch_add(1, Ordering::SeqCst);
    let pairs = [
        (":method", method.to_string()),
        (":scheme", "http".into()),
        (":path", format!("/{class}/00000000000000b2/{:016x}", 0x5000 + id)),
        (":authority", "origin.svc".into()),
        ("x-correlation-id", format!("f{id:015x}")),
        ("x-qos-policy", "network".into()),
        ("x-time-left", "2.0".into()),
        ("x-placement", "units=1,shard=0,hosts=1".into()),
    ];
    let mut all: Vec<(String, String)> = pairs.map(|(name, value)| (name.to_string(), value)).into();
    if method == "PUT" {
        all.push(("idempotency-key".into(), format!("key-{id}")));
    }
    all
}

/// The bytes of some fields.
pub fn encode(pairs: &[(String, String)]) -> Vec<u8> {
    fields(&pairs.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect::<Vec<_>>())
}

/// A whole read.
pub fn read(stream: u32) -> Vec<u8> {
    frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, stream, &encode(&request("GET", "play-fetch")))
}

/// A whole read whose path ends with a word for the node.
pub fn read_of(stream: u32, word: &str) -> Vec<u8> {
    let mut pairs = request("GET", "play-fetch");
    pairs[2].1 += &format!("?{word}");
    frame(kind::HEADERS, flag::END_HEADERS | flag::END_STREAM, stream, &encode(&pairs))
}

/// The head of a save; its data follow.
pub fn save(stream: u32) -> Vec<u8> {
    frame(kind::HEADERS, flag::END_HEADERS, stream, &encode(&request("PUT", "episode-save")))
}

/// A SETTINGS frame.
pub fn settings(pairs: &[(u16, u32)]) -> Vec<u8> {
    let payload: Vec<u8> =
        pairs.iter().flat_map(|(id, value)| [&id.to_be_bytes()[..], &value.to_be_bytes()].concat()).collect();
    frame(kind::SETTINGS, 0, 0, &payload)
}

/// A WINDOW_UPDATE frame.
pub fn update(stream: u32, more: u32) -> Vec<u8> {
    frame(kind::WINDOW_UPDATE, 0, stream, &more.to_be_bytes())
}

/// What became of a stream or a connection.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The final status of each stream that has one.
    pub statuses: BTreeMap<u32, u16>,
    /// Statuses before a final one.
    pub informational: Vec<u16>,
    /// Streams that ended whole.
    pub ended: Vec<u32>,
    /// Streams that were reset, and the code.
    pub resets: BTreeMap<u32, u32>,
    /// Each GOAWAY: last stream and code.
    pub goaways: Vec<(u32, u32)>,
    /// Bytes of data, by stream.
    pub data: BTreeMap<u32, usize>,
    /// PINGs that were answered.
    pub pongs: usize,
    /// Whether the connection was closed.
    pub closed: bool,
}

/// A connection.
pub struct Raw {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    pub seen: Seen,
}

impl Raw {
    /// Connects without sending the preface.
    pub fn silent(address: SocketAddr) -> Raw {
        let stream = TcpStream::connect(address).expect("the head listens");
        stream.set_nodelay(true).expect("no delay");
        Raw { stream, buffer: Vec::new(), seen: Seen::default() }
    }

    /// Connects, with the preface and these settings.
    pub fn with(address: SocketAddr, pairs: &[(u16, u32)]) -> Raw {
        let mut raw = Raw::silent(address);
        // Without a table of fields, each status comes as it is.
        raw.send(&[PREFACE, &settings(&[&[(1, 0)], pairs].concat())].concat());
        raw
    }

    pub fn new(address: SocketAddr) -> Raw {
        Raw::with(address, &[])
    }

    /// Sends; the other side may have closed.
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes);
    }

    /// The next frame; none once the connection has ended, or nothing came in time.
    pub fn next(&mut self, by: Instant) -> Option<Frame> {
        loop {
            if let Some(head) = self.buffer.first_chunk::<HEADER_BYTES>().map(FrameHeader::decode) {
                let whole = HEADER_BYTES + head.length as usize;
                if self.buffer.len() >= whole {
                    let payload = self.buffer[HEADER_BYTES..whole].to_vec();
                    self.buffer.drain(..whole);
                    return Some(Frame { head, payload });
                }
            }
            let left = by.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())?;
            self.stream.set_read_timeout(Some(left)).expect("a time-out");
            let mut piece = [0; 16 * 1024];
            match self.stream.read(&mut piece) {
                Ok(0) => {
                    self.seen.closed = true;
                    return None;
                }
                Ok(some) => self.buffer.extend_from_slice(&piece[..some]),
                Err(problem)
                    if matches!(
                        problem.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return None;
                }
                Err(_) => {
                    self.seen.closed = true;
                    return None;
                }
            }
        }
    }

    /// Reads until something holds of what was seen, or its time is over; whether it holds.
    pub fn until(&mut self, holds: impl Fn(&Seen) -> bool) -> bool {
        let by = Instant::now() + WAIT_TIMEOUT;
        while !holds(&self.seen) {
            let Some(frame) = self.next(by) else { return holds(&self.seen) };
            self.note(&frame);
        }
        true
    }

    fn note(&mut self, frame: &Frame) {
        let (head, seen) = (frame.head, &mut self.seen);
        match head.kind {
            kind::HEADERS => {
                if let Some(status) = status(&frame.payload) {
                    match status {
                        100..200 => seen.informational.push(status),
                        _ => _ = seen.statuses.insert(head.stream, status),
                    }
                }
            }
            kind::DATA => *seen.data.entry(head.stream).or_default() += frame.payload.len(),
            kind::RST_STREAM => _ = seen.resets.insert(head.stream, frame.word(0)),
            kind::GOAWAY => seen.goaways.push((frame.word(0) & 0x7fff_ffff, frame.word(4))),
            kind::PING if head.flags & flag::ACK != 0 => seen.pongs += 1,
            kind::PING => {
                let pong = super::frames::frame(kind::PING, flag::ACK, 0, &frame.payload);
                self.send(&pong);
            }
            kind::SETTINGS if head.flags & flag::ACK == 0 => {
                let acknowledged = super::frames::frame(kind::SETTINGS, flag::ACK, 0, &[]);
                self.send(&acknowledged);
            }
            _ => {}
        }
        if matches!(head.kind, kind::HEADERS | kind::DATA) && head.flags & flag::END_STREAM != 0 {
            self.seen.ended.push(head.stream);
        }
    }

    /// The status that a stream got; 0 if none in time.
    pub fn status(&mut self, stream: u32) -> u16 {
        self.until(|seen| seen.statuses.contains_key(&stream) || seen.closed);
        self.seen.statuses.get(&stream).copied().unwrap_or(0)
    }
}

/// The status at the beginning of a field section: indexed (RFC 7541, section 6.1 and appendix A), or a literal whose
/// digits are Huffman coded (appendix B) or plain.
fn status(section: &[u8]) -> Option<u16> {
    let mut rest = section;
    // A change of the table's size may come first.
    while rest.first()? & 0xe0 == 0x20 {
        rest = &rest[1..];
    }
    let indexed = [200, 204, 206, 304, 400, 404, 500];
    let first = *rest.first()?;
    if first & 0x80 != 0 {
        return indexed.get(usize::from(first & 0x7f).checked_sub(8)?).copied();
    }
    let length = *rest.get(1)?;
    let text = rest.get(2..2 + usize::from(length & 0x7f))?;
    if length & 0x80 == 0 {
        return std::str::from_utf8(text).ok()?.parse().ok();
    }
    let bits: Vec<u8> = text.iter().flat_map(|byte| (0..8).rev().map(move |bit| byte >> bit & 1)).collect();
    let (mut at, mut number) = (0, 0);
    for _ in 0..3 {
        let take = |from: usize, count: usize| {
            bits.get(from..from + count).map(|bits| bits.iter().fold(0u16, |n, bit| n << 1 | u16::from(*bit)))
        };
        // 0 to 2 have five bits, 3 to 9 six, from 011001 on.
        let digit = match take(at, 5)? {
            short @ 0..=2 => {
                at += 5;
                short
            }
            _ => {
                let digit = take(at, 6)?.checked_sub(0b01_1001)? + 3;
                at += 6;
                digit
            }
        };
        number = number * 10 + digit;
    }
    Some(number)
}
