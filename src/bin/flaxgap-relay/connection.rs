//! The connection of a client. It reports to the session that is served on it whether writes progress or stall, and
//! fails when the session's reader is too slow.

use crate::session::Session;
use crate::session_handle::SessionHandle;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Links a connection to the session that is served on it. There is no session until a request has opened one.
#[derive(Default)]
pub struct SessionLink {
    handle: Rc<SessionHandle>,
    session: RefCell<Weak<Session>>,
}

impl SessionLink {
    /// The handle of the session.
    pub fn handle(&self) -> &Rc<SessionHandle> {
        &self.handle
    }

    /// Sets the session that is served on the connection.
    pub fn set_session(&self, session: &Rc<Session>) {
        *self.session.borrow_mut() = Rc::downgrade(session);
    }

    /// Reports the result of a write to the session. A stalled write fails once the session's reader is too slow.
    fn report_write(
        &self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let Some(session) = self.session.borrow().upgrade() else { return written };
        match written {
            Poll::Ready(written) => {
                session.write_progressed();
                Poll::Ready(written)
            }
            Poll::Pending => session.poll_stalled(context).map(Err),
        }
    }
}

/// A socket whose writes are reported to its session.
pub struct MonitoredStream {
    socket: TcpStream,
    link: Rc<SessionLink>,
}

impl MonitoredStream {
    /// Wraps a socket to report its writes.
    pub fn new(socket: TcpStream, link: Rc<SessionLink>) -> MonitoredStream {
        MonitoredStream { socket, link }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write(context, bytes);
        self.link.report_write(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.socket).poll_write_vectored(context, buffers);
        self.link.report_write(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
