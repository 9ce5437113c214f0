//! The messages that two processes of a head exchange during a handover, and their codec. Each message is one line of
//! text.
//!
//! The texts must not change: upgrades and rollbacks hand over between processes of different versions.

use thiserror::Error;

/// Maximum length of a message, in bytes; the longest one defined has 6. A peer that sends this many bytes without a
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
}

/// A received line that is not a message known to this version.
#[derive(Debug, Error)]
#[error("received a message unknown to this version")]
pub(super) struct UnknownMessage;

impl Message {
    const ALL: [Message; 4] =
        [Message::Sockets, Message::Ready, Message::ExclusionsChanged, Message::OverridesChanged];

    /// Encodes the message, including the terminating line feed.
    pub(super) const fn encode(self) -> &'static [u8] {
        match self {
            Message::Sockets => b"here\n",
            Message::Ready => b"ready\n",
            Message::ExclusionsChanged => b"bans\n",
            Message::OverridesChanged => b"pins\n",
        }
    }

    fn decode(line: &[u8]) -> Result<Message, UnknownMessage> {
        Message::ALL.into_iter().find(|message| message.encode() == line).ok_or(UnknownMessage)
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
