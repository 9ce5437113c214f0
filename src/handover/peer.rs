//! A connection to another process of this head.

use super::message::{MAX_MESSAGE_BYTES, Message, MessageDecoder, UnknownMessage};
use crate::resources::socket::{self, SHORTAGE_PAUSE};
use std::cell::{Cell, RefCell};
use std::io;
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::time::sleep;

/// Most bytes that wait for a peer that does not read; further messages are dropped.
const MAX_OUTGOING_BYTES: usize = 512 * 1024;

/// The connection to one peer process. It closes when the peer ends.
pub(super) struct PeerConnection {
    /// The stream that carries the messages and the passed sockets.
    pub(super) stream: UnixStream,
    decoder: RefCell<MessageDecoder>,
    /// Bytes that do not fit in the socket's buffer yet.
    outgoing: RefCell<Vec<u8>>,
    /// Whether the system had no resources for the last read or write.
    is_short: Cell<bool>,
    /// Notified when bytes are left to be sent by [`PeerConnection::receive`], which may be waiting already.
    unsent: Notify,
}

impl PeerConnection {
    /// Creates the connection of a stream on which no message was read yet.
    pub(super) fn new(stream: UnixStream) -> PeerConnection {
        PeerConnection {
            stream,
            decoder: RefCell::default(),
            outgoing: RefCell::default(),
            is_short: Cell::default(),
            unsent: Notify::new(),
        }
    }

    /// Sends a message without waiting for buffer space. What does not fit is sent by [`PeerConnection::receive`]; only
    /// for a peer that has stopped reading, messages are dropped with a warning.
    pub(super) fn send(&self, message: Message) {
        let is_full = self.outgoing.borrow().len() >= MAX_OUTGOING_BYTES;
        if is_full {
            log::warn!("handover: another process does not read, message dropped");
            return;
        }
        self.outgoing.borrow_mut().extend_from_slice(&message.encode());
        self.flush();
        if !self.outgoing.borrow().is_empty() {
            self.unsent.notify_one();
        }
    }

    /// Writes as much as the socket's buffer takes. Errors are left to the reader, which sees the end of the connection.
    fn flush(&self) {
        let outgoing = &mut *self.outgoing.borrow_mut();
        while !outgoing.is_empty() {
            match self.stream.try_write(outgoing) {
                Ok(written) => _ = outgoing.drain(..written),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if socket::is_shortage(&error) => {
                    self.is_short.set(true);
                    return;
                }
                Err(error) => {
                    if error.kind() != io::ErrorKind::WouldBlock {
                        log::debug!("handover: sending a message to another process: {error}");
                        outgoing.clear();
                    }
                    return;
                }
            }
        }
    }

    /// Receives the next message; `None` if the connection has closed or failed, or the peer sent a line that is too
    /// long for a message.
    pub(super) async fn receive(&self) -> Option<Result<Message, UnknownMessage>> {
        loop {
            match self.try_receive() {
                Received::Message(message) => return Some(message),
                Received::End => return None,
                Received::Nothing => {}
            }
            if self.is_short.take() {
                sleep(SHORTAGE_PAUSE).await;
            }
            let is_outgoing = !self.outgoing.borrow().is_empty();
            let interest =
                if is_outgoing { Interest::READABLE | Interest::WRITABLE } else { Interest::READABLE };
            tokio::select! {
                ready = self.stream.ready(interest) => if ready.ok()?.is_writable() {
                    self.flush();
                },
                () = self.unsent.notified() => {}
            }
        }
    }

    /// Returns the next message that has arrived by now.
    pub(super) fn try_receive(&self) -> Received {
        let decoder = &mut *self.decoder.borrow_mut();
        loop {
            if let Some(message) = decoder.next() {
                return Received::Message(message);
            }
            if decoder.is_too_long() {
                return Received::End;
            }
            let mut bytes = [0; MAX_MESSAGE_BYTES];
            match self.stream.try_read(&mut bytes) {
                Ok(0) => return Received::End,
                Ok(length) => decoder.push(&bytes[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Received::Nothing,
                Err(error) if socket::is_shortage(&error) => {
                    self.is_short.set(true);
                    return Received::Nothing;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Received::End,
            }
        }
    }
}

/// What has arrived from a peer.
pub(super) enum Received {
    /// A message, or a line that is none.
    Message(Result<Message, UnknownMessage>),
    /// No complete message yet.
    Nothing,
    /// The connection has closed or failed.
    End,
}
