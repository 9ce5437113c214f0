//! Passes listening sockets from one process to another as ancillary data (`SCM_RIGHTS`) of a handover message.

use super::message::Message;
use crate::resources::listening_socket::ListeningSocket;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Maximum number of sockets passed: one for each frontend (HTTP/1.1, HTTP/2, block).
const MAX_SOCKETS: usize = 3;

/// Sends [`Message::Sockets`] with the listening sockets as its ancillary data.
pub(super) async fn send_sockets(stream: &UnixStream, sockets: &[Rc<ListeningSocket>]) -> io::Result<()> {
    let descriptors: Vec<BorrowedFd> = sockets.iter().map(|socket| socket.as_fd()).collect();
    stream.async_io(Interest::WRITABLE, || send_descriptors(stream, &descriptors)).await
}

fn send_descriptors(stream: &UnixStream, descriptors: &[BorrowedFd]) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    ancillary.push(SendAncillaryMessage::ScmRights(descriptors));
    let text = IoSlice::new(Message::SOCKETS_TEXT);
    sendmsg(stream, &[text], &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Receives [`Message::Sockets`] and returns the listening sockets passed with it, in non-blocking mode.
///
/// # Errors
///
/// `UnexpectedEof` if the peer closed the connection before it sent the message.
pub(super) async fn receive_sockets(stream: &UnixStream) -> io::Result<Vec<std::net::TcpListener>> {
    let descriptors = stream.async_io(Interest::READABLE, || receive_descriptors(stream)).await?;
    let mut sockets = Vec::with_capacity(descriptors.len());
    for descriptor in descriptors {
        let socket = std::net::TcpListener::from(descriptor);
        socket.set_nonblocking(true)?;
        sockets.push(socket);
    }
    Ok(sockets)
}

fn receive_descriptors(stream: &UnixStream) -> io::Result<Vec<OwnedFd>> {
    let mut text = [0; Message::SOCKETS_TEXT.len()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_SOCKETS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut text)];
    let received = recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut descriptors = Vec::new();
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(rights) = message {
            descriptors.extend(rights);
        }
    }
    Ok(descriptors)
}
