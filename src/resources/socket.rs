//! What the operating system knows of a socket at this moment, before the runtime has been notified.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

/// Number of unread bytes that are at hand, one at most; 0 if the peer has closed its side. Interrupted calls are
/// repeated.
///
/// # Errors
///
/// [`io::ErrorKind::WouldBlock`] if the socket is open with no bytes to read, or the error of the connection.
pub fn peek(socket: &impl AsFd) -> io::Result<usize> {
    loop {
        match SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            peeked => return peeked,
        }
    }
}

/// Whether the socket is open with no bytes to read.
pub fn has_nothing_unread(socket: &impl AsFd) -> bool {
    peek(socket).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether a call on a socket that is ready has to be made again: it was interrupted, or the readiness was outdated.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}
