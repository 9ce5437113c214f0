//! A head's connection, which ends itself when its reader takes nothing for too long.

use crate::session::{Handle, Session};
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// What a connection and the call on it know of each other.
#[derive(Default)]
pub struct Link {
    /// What others may do to the session.
    pub handle: Rc<Handle>,
    session: RefCell<Weak<Session>>,
}

impl Link {
    /// The call on this connection is answered by a session.
    pub fn set_session(&self, session: &Rc<Session>) {
        *self.session.borrow_mut() = Rc::downgrade(session);
    }

    /// What comes of a write, as far as the session has a say in it.
    fn judge(&self, written: Poll<io::Result<usize>>, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let Some(session) = self.session.borrow().upgrade() else { return written };
        match written {
            Poll::Ready(written) => {
                session.progressed();
                Poll::Ready(written)
            }
            Poll::Pending => session.poll_blocked(context).map(Err),
        }
    }
}

/// The connection.
pub struct LinkedStream {
    /// The socket.
    pub stream: TcpStream,
    /// Its call.
    pub link: Rc<Link>,
}

impl AsyncRead for LinkedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LinkedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.link.judge(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.link.judge(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
