//! The messages that two processes of a head exchange, and their codec: one line of text each. The texts stay
//! as they are, since an older process hands over to a newer one and back.

use thiserror::Error;

/// Most bytes that a message may have; the longest has six. A peer that sends more without a line's end
/// speaks something else.
pub(super) const MAX_MESSAGE_BYTES: usize = 64;

/// A message to the other process of this head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Message {
    /// The older process's first message, which carries its listening sockets.
    Sockets,
    /// The sender accepts connections from now on.
    Ready,
    /// An operator has changed which nodes are excluded.
    ExclusionsChanged,
    /// An operator has changed which shedding levels are overridden.
    OverridesChanged,
}

/// A line that is no message of this version.
#[derive(Debug, Error)]
#[error("an unknown message")]
pub(super) struct UnknownMessage;

impl Message {
    const ALL: [Message; 4] =
        [Message::Sockets, Message::Ready, Message::ExclusionsChanged, Message::OverridesChanged];

    /// The message on the wire, with its line's end.
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

/// Bytes received from the other process that are not yet decoded.
#[derive(Default)]
pub(super) struct MessageDecoder {
    buffer: Vec<u8>,
}

impl MessageDecoder {
    /// Adds received bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next complete line.
    pub(super) fn next(&mut self) -> Option<Result<Message, UnknownMessage>> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        Some(Message::decode(&line))
    }

    /// Whether the incomplete line that is left is too long for any message.
    pub(super) fn is_too_long(&self) -> bool {
        self.buffer.len() >= MAX_MESSAGE_BYTES
    }
}

#[cfg(test)]
mod tests;
