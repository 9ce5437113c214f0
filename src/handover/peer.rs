//! A connection to another process of this head.

use super::message::{MAX_MESSAGE_BYTES, Message, MessageDecoder, UnknownMessage};
use std::io;
use tokio::net::UnixStream;

/// The connection to one peer process. It closes when the peer ends.
pub(super) struct PeerConnection {
    /// The stream that carries the messages and the passed sockets.
    pub(super) stream: UnixStream,
}

impl PeerConnection {
    /// Sends a message without waiting for buffer space. Messages are short and rare, so only a peer that has stopped
    /// reading lets the socket buffer fill up; the message is then dropped with a warning.
    pub(super) fn send(&self, message: Message) {
        if let Err(error) = self.stream.try_write(message.encode()) {
            log::warn!("handover: sending a message to another process: {error}");
        }
    }

    /// Receives the next message; `None` if the connection has closed or failed, or the peer sent a line that is too
    /// long for a message.
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
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return None,
            }
        }
    }
}
