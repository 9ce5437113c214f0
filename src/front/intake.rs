//! Reads a client's connection one head at a time, below hyper.
//!
//! hyper drops `Content-Length` where `Transfer-Encoding` comes too, so the service never sees both; a
//! request with both may hide another in its body. Each head is read here to its end, with hyper's own
//! parser, before hyper gets it, and what follows a doubtful one never gets there at all.

use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest head that is read, and most fields in it; hyper is set to the same.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// Most fields of a head.
pub const MOST_FIELDS: usize = 64;
/// Read at a time.
const PIECE: usize = 4096;
/// How long a new connection has for its first request, body and all.
const FIRST: Duration = Duration::from_millis(2500);
/// The same for a later one, from its first byte.
const LATER: Duration = Duration::from_secs(2);
/// How long a connection is kept without a request.
const IDLE: Duration = Duration::from_millis(2100);

/// What the intake, the service and the task of one connection share: when the connection is to end, unless
/// something happens before, and what the newest head was like.
pub struct Watch {
    due: Cell<Instant>,
    moved: Notify,
    coming: Cell<bool>,
    serving: Cell<bool>,
    doubtful: Cell<bool>,
}

impl Default for Watch {
    /// Of a new connection.
    fn default() -> Watch {
        let due = Instant::now() + FIRST;
        let (coming, serving, doubtful) = (Cell::new(true), Cell::new(false), Cell::new(false));
        Watch { due: Cell::new(due), moved: Notify::new(), coming, serving, doubtful }
    }
}

impl Watch {
    /// When the connection is to end; never while a request is served.
    pub fn due(&self) -> Option<Instant> {
        Some(self.due.get()).filter(|_| !self.serving.get())
    }

    /// Waits until that may have changed.
    pub async fn moved(&self) {
        self.moved.notified().await;
    }

    /// A request's head has come; its body must have come by the moment given back.
    pub fn serving(&self) -> Instant {
        self.serving.set(true);
        self.coming.set(false);
        self.moved.notify_one();
        self.due.get()
    }

    /// The request is answered; the connection is kept for another.
    pub fn answered(&self) {
        self.serving.set(false);
        self.due.set(Instant::now() + if self.coming.get() { LATER } else { IDLE });
        self.moved.notify_one();
    }

    /// Whether the newest head leaves room for doubt where its request ends.
    pub fn doubtful(&self) -> bool {
        self.doubtful.get()
    }

    /// Bytes of a head have come: the rest is due, too.
    fn coming(&self) {
        if !self.coming.replace(true) {
            self.due.set(Instant::now() + LATER);
            self.moved.notify_one();
        }
    }
}

/// What comes next on the connection.
#[derive(Clone, Copy)]
enum Next {
    Head,
    Body(u64),
    /// A body whose end hyper finds. Its request is the connection's last.
    Rest,
    /// Nothing that may be read.
    Nothing,
}

/// Whether nothing has come on a connection that was not read yet, by the system's word: the runtime may not
/// have heard of it.
pub fn quiet(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    peeked.is_err_and(|problem| problem.kind() == io::ErrorKind::WouldBlock)
}

/// A client's connection.
pub struct Intake {
    stream: Rc<TcpStream>,
    watch: Rc<Watch>,
    held: BytesMut,
    /// How many of the held bytes may be handed on.
    passed: usize,
    next: Next,
}

impl Intake {
    /// A connection from which nothing was read yet.
    pub fn new(stream: Rc<TcpStream>, watch: Rc<Watch>) -> Intake {
        Intake { stream, watch, held: BytesMut::new(), passed: 0, next: Next::Head }
    }

    /// Looks for the end of the head that is held, and for what comes after it.
    fn examine(&mut self) {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let mut head = httparse::Request::new(&mut fields);
        let end = match head.parse(&self.held) {
            Ok(httparse::Status::Complete(end)) => end,
            Ok(httparse::Status::Partial) if self.held.len() < LONGEST_HEAD => return,
            // hyper answers what can't be read, and ends the connection.
            Ok(httparse::Status::Partial) | Err(_) => {
                (self.passed, self.next) = (self.held.len(), Next::Nothing);
                return;
            }
        };
        let values = |name: &'static str| {
            head.headers.iter().filter(move |f| f.name.eq_ignore_ascii_case(name)).map(|f| f.value)
        };
        let length = |value: &[u8]| std::str::from_utf8(value).ok()?.trim().parse::<u64>().ok();
        let (lengths, codings) = (values("content-length").count(), values("transfer-encoding").count());
        let coding = values("transfer-encoding").next().map(<[u8]>::trim_ascii);
        self.next = match (lengths, codings, values("content-length").next().and_then(length)) {
            (0, 0, _) | (1, 0, Some(0)) => Next::Head,
            (1, 0, Some(length)) => Next::Body(length),
            (0, 1, _) if coding.is_some_and(|c| c.eq_ignore_ascii_case(b"chunked")) => Next::Rest,
            _ => Next::Nothing,
        };
        self.watch.doubtful.set(matches!(self.next, Next::Nothing));
        self.passed = end;
    }
}

impl AsyncRead for Intake {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.passed == 0 && !this.held.is_empty() {
                match this.next {
                    Next::Head => {
                        this.watch.coming();
                        this.examine();
                    }
                    Next::Body(left) => {
                        this.passed = this.held.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                        let left = left - this.passed as u64;
                        this.next = if left > 0 { Next::Body(left) } else { Next::Head };
                    }
                    Next::Rest => this.passed = this.held.len(),
                    Next::Nothing => this.held.clear(),
                }
            }
            if this.passed > 0 {
                let some = this.passed.min(buf.remaining());
                buf.put_slice(&this.held[..some]);
                this.held.advance(some);
                this.passed -= some;
                return Poll::Ready(Ok(()));
            }
            if matches!(this.next, Next::Nothing) {
                // The answer still goes out, and ends the connection; if there is none, its time does.
                return Poll::Pending;
            }
            let mut piece = [0; PIECE];
            ready!(this.stream.poll_read_ready(cx))?;
            match this.stream.try_read(&mut piece) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(some) => this.held.extend_from_slice(&piece[..some]),
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
                Err(problem) => return Poll::Ready(Err(problem)),
            }
        }
    }
}

impl Intake {
    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match send(&self.stream) {
                Err(problem) if problem.kind() == io::ErrorKind::WouldBlock => {}
                sent => return Poll::Ready(sent),
            }
        }
    }
}

impl AsyncWrite for Intake {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
