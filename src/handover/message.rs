//! The messages that two processes of a head exchange during a handover, and their codec. Each message is one line of
//! text.
//!
//! The texts must not change: upgrades and rollbacks hand over between processes of different versions.

use crate::core::RequestKey;
use std::borrow::Cow;
use thiserror::Error;

/// Maximum length of a message, in bytes; the longest one defined has 20. A peer that sends this many bytes without a
/// line feed does not use this protocol.
pub(super) const MAX_MESSAGE_BYTES: usize = 64;

/// A message between two processes of the same head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Message {
    /// First message of the older process; carries its listening sockets as ancillary data.
    Sockets,
    /// The sender has started to accept client connections.
    Ready,
    /// An operator changed the node exclusions; the receiver reads them again.
    ExclusionsChanged,
    /// An operator changed the overrides of shedding levels; the receiver reads them again.
    OverridesChanged,
    /// The sender has claimed the id of a request. Unknown to earlier versions, which ignore it.
    IdClaimed(RequestKey),
}

/// A received line that is not a message known to this version.
#[derive(Debug, Error)]
#[error("received a message unknown to this version")]
pub(super) struct UnknownMessage;

impl Message {
    /// Text of [`Message::Sockets`].
    pub(super) const SOCKETS_TEXT: &'static [u8] = b"here\n";
    /// Beginning of the text of [`Message::IdClaimed`], before the key in hexadecimal digits.
    const ID_CLAIMED_PREFIX: &'static str = "id ";

    /// Encodes the message, including the terminating line feed.
    pub(super) fn encode(self) -> Cow<'static, [u8]> {
        match self {
            Message::Sockets => Message::SOCKETS_TEXT.into(),
            Message::Ready => b"ready\n".into(),
            Message::ExclusionsChanged => b"bans\n".into(),
            Message::OverridesChanged => b"pins\n".into(),
            Message::IdClaimed(RequestKey(key)) => {
                format!("{}{key:016x}\n", Message::ID_CLAIMED_PREFIX).into_bytes().into()
            }
        }
    }

    fn decode(line: &[u8]) -> Result<Message, UnknownMessage> {
        match line {
            Message::SOCKETS_TEXT => Ok(Message::Sockets),
            b"ready\n" => Ok(Message::Ready),
            b"bans\n" => Ok(Message::ExclusionsChanged),
            b"pins\n" => Ok(Message::OverridesChanged),
            line => Message::decode_id_claimed(line).ok_or(UnknownMessage),
        }
    }

    fn decode_id_claimed(line: &[u8]) -> Option<Message> {
        let line = std::str::from_utf8(line).ok()?;
        let digits = line.strip_prefix(Message::ID_CLAIMED_PREFIX)?.strip_suffix('\n')?;
        let key = u64::from_str_radix(digits, 16).ok()?;
        Some(Message::IdClaimed(RequestKey(key)))
    }
}

/// Buffers received bytes and splits them into messages.
#[derive(Default)]
pub(super) struct MessageDecoder {
    buffer: Vec<u8>,
}

impl MessageDecoder {
    /// Appends received bytes to the buffer.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes and removes the next complete line; `None` if the buffer holds no complete line.
    pub(super) fn next(&mut self) -> Option<Result<Message, UnknownMessage>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        Some(Message::decode(&line))
    }

    /// Whether the buffered incomplete line has reached [`MAX_MESSAGE_BYTES`], so that it can't be a message.
    pub(super) fn is_too_long(&self) -> bool {
        self.buffer.len() >= MAX_MESSAGE_BYTES
    }
}

#[cfg(test)]
mod tests;
