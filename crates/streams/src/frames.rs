//! Encodes frames that end a connection, and parses frame headers from a byte stream that arrives in reads of any size. Payloads are skipped; parsing them is
//! left to the HTTP/2 library.

use thiserror::Error;

/// The bytes that a client sends before its first frame (RFC 9113, section 3.4).
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length of a frame header, in bytes (section 4.1).
pub const HEADER_BYTES: usize = 9;
/// Length of the line with which the preface begins, in bytes. Like an HTTP/1 request line, it begins with a method.
const PREFACE_REQUEST_LINE_BYTES: usize = 16;
/// Content type of a TLS handshake record, the first byte of a TLS connection (RFC 8446, section 5.1).
const TLS_HANDSHAKE_RECORD: u8 = 22;

/// Frame types (section 6).
pub mod kind {
    /// Section 6.1.
    pub const DATA: u8 = 0;
    /// Section 6.2.
    pub const HEADERS: u8 = 1;
    /// Section 6.3.
    pub const PRIORITY: u8 = 2;
    /// Section 6.4.
    pub const RST_STREAM: u8 = 3;
    /// Section 6.5.
    pub const SETTINGS: u8 = 4;
    /// Section 6.6.
    pub const PUSH_PROMISE: u8 = 5;
    /// Section 6.7.
    pub const PING: u8 = 6;
    /// Section 6.8.
    pub const GOAWAY: u8 = 7;
    /// Section 6.9.
    pub const WINDOW_UPDATE: u8 = 8;
    /// Section 6.10.
    pub const CONTINUATION: u8 = 9;
}

/// Frame flags (section 6). Their meaning depends on the frame type.
pub mod flag {
    /// On SETTINGS and PING: acknowledges one that was received.
    pub const ACK: u8 = 0x1;
    /// On DATA and HEADERS: the sender's last frame on the stream.
    pub const END_STREAM: u8 = 0x1;
    /// On HEADERS and CONTINUATION: the end of the field section.
    pub const END_HEADERS: u8 = 0x4;
    /// On DATA and HEADERS: the payload is padded.
    pub const PADDED: u8 = 0x8;
}

/// A frame header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Length of the payload, in bytes.
    pub length: u32,
    /// The frame type, see [`kind`].
    pub kind: u8,
    /// The flags, see [`flag`].
    pub flags: u8,
    /// The stream identifier; 0 for the connection.
    pub stream: u32,
}

/// The frames of a server that ends a connection before it processes any stream: SETTINGS, then a GOAWAY with this error
/// code (section 7) and text.
pub fn goaway_frames(error_code: u32, text: &str) -> Vec<u8> {
    const LAST_STREAM: [u8; 4] = [0; 4];
    let frame = |length, kind| FrameHeader { length, kind, flags: 0, stream: 0 }.encode();
    let settings = frame(0, kind::SETTINGS);
    let goaway = frame((LAST_STREAM.len() + size_of::<u32>() + text.len()) as u32, kind::GOAWAY);
    [&settings[..], &goaway, &LAST_STREAM, &error_code.to_be_bytes(), text.as_bytes()].concat()
}

impl FrameHeader {
    /// Decodes a frame header.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> FrameHeader {
        let [a, b, c, kind, flags, s0, s1, s2, s3] = *bytes;
        FrameHeader {
            length: u32::from_be_bytes([0, a, b, c]),
            kind,
            flags,
            // The first bit is reserved and must be ignored.
            stream: u32::from_be_bytes([s0, s1, s2, s3]) & 0x7fff_ffff,
        }
    }

    /// Whether the payload length is valid for a frame type of fixed or least length (sections 6.1 to 6.10). The HTTP/2
    /// library checks the lengths of other types.
    pub fn has_valid_length(&self) -> bool {
        match self.kind {
            kind::PING => self.length == 8,
            kind::RST_STREAM | kind::WINDOW_UPDATE => self.length == 4,
            kind::PRIORITY => self.length == 5,
            kind::SETTINGS if self.flags & flag::ACK != 0 => self.length == 0,
            kind::SETTINGS => self.length % 6 == 0,
            kind::GOAWAY => self.length >= 8,
            _ => true,
        }
    }

    /// Encodes the frame header.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let [_, a, b, c] = self.length.to_be_bytes();
        let [s0, s1, s2, s3] = self.stream.to_be_bytes();
        [a, b, c, self.kind, self.flags, s0, s1, s2, s3]
    }
}

/// The client does not speak HTTP/2.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotHttp2 {
    /// The first bytes look like an HTTP/1 request.
    #[error("HTTP/1 request on the HTTP/2 port")]
    Http1,
    /// The first byte is that of a TLS handshake record.
    #[error("TLS handshake on the cleartext HTTP/2 port")]
    Tls,
    /// The first bytes are those of another protocol.
    #[error("invalid HTTP/2 connection preface")]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// In the preface, of which `received` bytes have arrived.
    Preface { received: usize },
    /// In a frame header, of which `received` bytes have arrived.
    Header { received: usize },
    /// In a payload, of which `remaining` bytes are still to arrive.
    Payload { remaining: u32 },
    /// Scanning has ended: the client does not speak HTTP/2, or the caller stopped at a frame.
    Stopped,
}

impl Position {
    /// The position with `remaining` bytes of a payload to come; the next frame header follows the last of them.
    fn in_payload(remaining: u32) -> Position {
        if remaining == 0 { Position::Header { received: 0 } } else { Position::Payload { remaining } }
    }
}

/// Finds the frame headers in one direction of a connection, from its first byte on.
#[derive(Clone, Debug)]
pub struct Scanner {
    position: Position,
    /// The bytes of the current frame header that have arrived.
    header: [u8; HEADER_BYTES],
    /// The first byte of the connection.
    first_byte: u8,
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner { position: Position::Preface { received: 0 }, header: [0; HEADER_BYTES], first_byte: 0 }
    }
}

impl Scanner {
    /// Scans the next bytes. `on_frame` is called with each frame header once it is complete, and returns whether to
    /// continue. Returns how many of `input`'s bytes precede the frame at which `on_frame` stopped, or its length if it
    /// did not stop. After a stop or an error nothing more is scanned.
    ///
    /// # Errors
    ///
    /// The connection does not begin with the HTTP/2 preface.
    pub fn scan(
        &mut self,
        input: &[u8],
        mut on_frame: impl FnMut(FrameHeader) -> bool,
    ) -> Result<usize, NotHttp2> {
        let (mut bytes, mut frame_start) = (input, 0);
        while let Some(byte) = bytes.first() {
            match self.position {
                Position::Stopped => return Ok(frame_start),
                Position::Preface { received } => {
                    if received == 0 {
                        self.first_byte = *byte;
                    }
                    if PREFACE.get(received) != Some(byte) {
                        self.position = Position::Stopped;
                        return Err(match (self.first_byte, received) {
                            (TLS_HANDSHAKE_RECORD, _) => NotHttp2::Tls,
                            (first, received)
                                if first.is_ascii_uppercase() && received < PREFACE_REQUEST_LINE_BYTES =>
                            {
                                NotHttp2::Http1
                            }
                            _ => NotHttp2::Other,
                        });
                    }
                    let received = received + 1;
                    self.position = if received == PREFACE.len() {
                        Position::Header { received: 0 }
                    } else {
                        Position::Preface { received }
                    };
                    bytes = &bytes[1..];
                }
                Position::Header { received } => {
                    if received == 0 {
                        frame_start = input.len() - bytes.len();
                    }
                    let count = bytes.len().min(HEADER_BYTES - received);
                    self.header[received..received + count].copy_from_slice(&bytes[..count]);
                    bytes = &bytes[count..];
                    self.position = Position::Header { received: received + count };
                    if received + count == HEADER_BYTES {
                        let header = FrameHeader::decode(&self.header);
                        self.position = Position::in_payload(header.length);
                        if !on_frame(header) {
                            self.position = Position::Stopped;
                            return Ok(frame_start);
                        }
                    }
                }
                Position::Payload { remaining } => {
                    let count = bytes.len().min(remaining as usize);
                    bytes = &bytes[count..];
                    self.position = Position::in_payload(remaining - count as u32);
                }
            }
        }
        Ok(input.len())
    }

    /// Whether the preface is complete and scanning has not stopped.
    pub fn is_past_preface(&self) -> bool {
        !matches!(self.position, Position::Preface { .. } | Position::Stopped)
    }
}

#[cfg(test)]
mod tests;
