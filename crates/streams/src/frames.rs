//! The heads of frames out of bytes as they come. It follows where frames begin and end and nothing else: what they
//! hold is the protocol library's.

use thiserror::Error;

/// What a client sends before its first frame (RFC 9113, section 3.4).
pub const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Bytes of a frame's head (section 4.1).
pub const HEAD: usize = 9;

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

/// Flags (section 6); what they mean depends on the type.
pub mod flag {
    /// Of SETTINGS and PING.
    pub const ACK: u8 = 0x1;
    /// Of DATA and HEADERS.
    pub const END_STREAM: u8 = 0x1;
    /// Of HEADERS and CONTINUATION.
    pub const END_HEADERS: u8 = 0x4;
    /// Of DATA and HEADERS.
    pub const PADDED: u8 = 0x8;
}

/// A frame's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Bytes that follow.
    pub length: u32,
    /// Its type.
    pub kind: u8,
    /// Its flags.
    pub flags: u8,
    /// Its stream; 0 for the connection.
    pub stream: u32,
}

impl Head {
    /// Reads one.
    pub fn read(bytes: &[u8; HEAD]) -> Head {
        let [a, b, c, kind, flags, s0, s1, s2, s3] = *bytes;
        Head {
            length: u32::from_be_bytes([0, a, b, c]),
            kind,
            flags,
            // The first bit is reserved and must be ignored.
            stream: u32::from_be_bytes([s0, s1, s2, s3]) & 0x7fff_ffff,
        }
    }

    /// Whether its length is one that its type can have (sections 6.1 to 6.10); those of other bounds are the
    /// receiver's to check.
    pub fn fits(&self) -> bool {
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

    /// Its bytes.
    pub fn write(&self) -> [u8; HEAD] {
        let [_, a, b, c] = self.length.to_be_bytes();
        let [s0, s1, s2, s3] = self.stream.to_be_bytes();
        [a, b, c, self.kind, self.flags, s0, s1, s2, s3]
    }
}

/// What speaks is not HTTP/2.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum NotHttp2 {
    /// It begins as a request of HTTP/1 does.
    #[error("HTTP/1 on the port of HTTP/2")]
    Http1,
    /// It begins as TLS does.
    #[error("TLS on the port of cleartext HTTP/2")]
    Tls,
    /// Something else.
    #[error("no preface of HTTP/2")]
    Other,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    /// So many bytes of the preface have come.
    Preface(usize),
    /// So many bytes of a head have come.
    Head(usize),
    /// So many bytes of a frame are to come.
    Payload(u32),
    /// What came is not HTTP/2.
    Lost,
}

/// Follows one direction of a connection, from its first byte on.
#[derive(Clone, Debug)]
pub struct Scanner {
    at: At,
    head: [u8; HEAD],
    first: u8,
}

impl Default for Scanner {
    fn default() -> Self {
        Scanner { at: At::Preface(0), head: [0; HEAD], first: 0 }
    }
}

impl Scanner {
    /// Takes bytes in; `seen` is called with each head once it is whole, and says whether to go on. How many of the
    /// bytes come before the frame at which it did not: all of them where it always did. After that, and after an
    /// error, nothing is followed.
    ///
    /// # Errors
    ///
    /// The bytes do not begin with the preface of HTTP/2.
    pub fn take(&mut self, all: &[u8], mut seen: impl FnMut(Head) -> bool) -> Result<usize, NotHttp2> {
        let (mut bytes, mut begun) = (all, 0);
        while let Some(byte) = bytes.first() {
            match self.at {
                At::Lost => return Ok(begun),
                At::Preface(come) => {
                    if come == 0 {
                        self.first = *byte;
                    }
                    if PREFACE.get(come) != Some(byte) {
                        self.at = At::Lost;
                        return Err(match (self.first, come) {
                            // A handshake record begins with 22.
                            (22, _) => NotHttp2::Tls,
                            (first, come) if first.is_ascii_uppercase() && come < 16 => NotHttp2::Http1,
                            _ => NotHttp2::Other,
                        });
                    }
                    self.at = if come + 1 == PREFACE.len() { At::Head(0) } else { At::Preface(come + 1) };
                    bytes = &bytes[1..];
                }
                At::Head(come) => {
                    if come == 0 {
                        begun = all.len() - bytes.len();
                    }
                    let part = bytes.len().min(HEAD - come);
                    self.head[come..come + part].copy_from_slice(&bytes[..part]);
                    bytes = &bytes[part..];
                    self.at = At::Head(come + part);
                    if come + part == HEAD {
                        let head = Head::read(&self.head);
                        self.at = if head.length == 0 { At::Head(0) } else { At::Payload(head.length) };
                        if !seen(head) {
                            self.at = At::Lost;
                            return Ok(begun);
                        }
                    }
                }
                At::Payload(left) => {
                    let part = bytes.len().min(left as usize);
                    bytes = &bytes[part..];
                    self.at = match left - part as u32 {
                        0 => At::Head(0),
                        left => At::Payload(left),
                    };
                }
            }
        }
        Ok(all.len())
    }

    /// Whether the whole preface has come.
    pub fn begun(&self) -> bool {
        !matches!(self.at, At::Preface(_) | At::Lost)
    }
}

#[cfg(test)]
mod tests;
