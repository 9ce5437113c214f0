//! A connection to another process of this head.

use super::message::{MAX_MESSAGE_BYTES, Message, MessageDecoder, UnknownMessage};
use std::io;
use tokio::net::UnixStream;

/// The connection; its end is the other process's end.
pub(super) struct PeerConnection {
    /// The stream, over which sockets are passed too.
    pub(super) stream: UnixStream,
}

impl PeerConnection {
    /// Sends a message without waiting: messages are short and few, and a peer whose buffer they fill does not
    /// respond.
    pub(super) fn send(&self, message: Message) {
        if let Err(problem) = self.stream.try_write(message.encode()) {
            log::warn!("handover: {problem}");
        }
    }

    /// Receives the next message; `None` when the connection has ended or carries something else.
    pub(super) async fn receive(
        &self,
        decoder: &mut MessageDecoder,
    ) -> Option<Result<Message, UnknownMessage>> {
        loop {
            if let Some(message) = decoder.next() {
                return Some(message);
            }
            if decoder.is_too_long() {
                return None;
            }
            self.stream.readable().await.ok()?;
            let mut bytes = [0; MAX_MESSAGE_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return None,
                Ok(length) => decoder.push(&bytes[..length]),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}
