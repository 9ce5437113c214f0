//! Reads a client's connection one head at a time, below hyper.
//!
//! hyper drops `Content-Length` where `Transfer-Encoding` comes too, so the service never sees both; a
//! request with both may hide another in its body. Each head is read here to its end, with hyper's own
//! parser, before hyper gets it, and what follows a doubtful one never gets there at all.

use crate::core::Client;
use crate::metrics::counters::Counters;
use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest head that is read, and most fields in it; hyper is set to the same.
pub const LONGEST_HEAD: usize = 16 * 1024;
/// Most fields of a head.
pub const MOST_FIELDS: usize = 64;
/// Read at a time.
const PIECE: usize = 4096;
/// How long a new connection has for its first head, and a later head from its first byte: a slow client takes
/// 2 s, and a bad one is to be rid of within 3 s.
const HEAD: Duration = Duration::from_millis(2500);
/// How long a client that sends slowly may be waited for in all, beyond what its bytes take at the least pace:
/// from the beginning of its head, and from its end. Who sends at full speed and stops is to be rid of within 3 s.
const SLOW: Duration = Duration::from_millis(2700);
const SLOW_BODY: Duration = Duration::from_millis(1500);
/// How long a client may leave what is sent to it unread.
const UNREAD: Duration = Duration::from_secs(10);
/// Longest line that tells a chunk's size, with its extensions.
const LONGEST_SIZE: usize = 4096;
/// How long a connection is kept without a request.
const IDLE: Duration = Duration::from_millis(2100);
/// What is held of requests that come while one is being answered: a whole head. Clients send one at a time; of who
/// sends more before its answer, what goes past this is read and dropped, so that its end is seen behind it.
const MOST_AHEAD: usize = LONGEST_HEAD;

/// What the intake, the service and the task of one connection share: how far its requests have come, and from that
/// when it is to end and whether it may.
#[derive(Debug)]
pub struct Conversation {
    stream: Rc<TcpStream>,
    counters: Rc<Counters>,
    due: Cell<Instant>,
    /// When the newest request began to come.
    begun: Cell<Instant>,
    moved: Notify,
    /// Nothing has come yet.
    fresh: Cell<bool>,
    /// A further request has begun to come.
    coming: Cell<bool>,
    /// A head was handed on, and its answer is not out yet: nothing after its body is handed on.
    answering: Cell<bool>,
    /// The service has it.
    serving: Cell<bool>,
    /// Its body has not been handed on to its end.
    body: Cell<bool>,
    /// Whether its head leaves room for doubt where it ends.
    doubtful: Cell<bool>,
    /// Some of an answer may not be with the system yet.
    unflushed: Cell<bool>,
    /// The connection is to close as soon as it rests.
    closing: Cell<bool>,
    /// A client of HTTP/2 came to this port.
    http2: Cell<bool>,
    /// Since when the client has left what is sent to it unread.
    unread: Cell<Option<Instant>>,
}

impl Conversation {
    /// Of a new connection.
    pub fn new(stream: Rc<TcpStream>, counters: Rc<Counters>) -> Rc<Conversation> {
        Rc::new(Conversation {
            stream,
            counters,
            due: Cell::new(Instant::now() + HEAD),
            begun: Cell::new(Instant::now()),
            moved: Notify::new(),
            fresh: Cell::new(true),
            coming: Cell::new(false),
            answering: Cell::new(false),
            serving: Cell::new(false),
            body: Cell::new(false),
            doubtful: Cell::new(false),
            unflushed: Cell::new(false),
            closing: Cell::new(false),
            http2: Cell::new(false),
            unread: Cell::new(None),
        })
    }

    /// When the connection is to end; while a request is served or its answer goes out, only for a client that does
    /// not read.
    pub fn due(&self) -> Option<Instant> {
        let unread = self.unread.get().map(|since| since + UNREAD);
        unread.or(Some(self.due.get()).filter(|_| !self.serving.get() && !self.unflushed.get()))
    }

    /// Whether the client speaks HTTP/2, which is served on another port, if at all.
    pub fn speaks_http2(&self) -> bool {
        self.http2.get()
    }

    /// Waits until any of that may have changed.
    pub async fn moved(&self) {
        self.moved.notified().await;
    }

    /// How long a request whose head has just come may be waited for beyond its body's pace.
    pub fn grace(&self) -> Duration {
        SLOW.saturating_sub(self.begun.get().elapsed()).max(SLOW_BODY)
    }

    /// The request whose head was handed on is served; whether that leaves room for doubt where it ends.
    pub fn serving(&self) -> bool {
        self.serving.set(true);
        self.moved.notify_one();
        self.doubtful.get()
    }

    /// Whether nothing has come yet.
    pub fn fresh(&self) -> bool {
        self.fresh.get()
    }

    /// Whether nothing of a request is at hand, and the last answer is with the system.
    pub fn rests(&self) -> bool {
        !self.answering.get() && !self.serving.get() && !self.coming.get() && !self.unflushed.get()
    }

    /// Whether a request is served of whose body more is to be handed on: its client's end may stand behind that.
    pub fn receives(&self) -> bool {
        self.serving.get() && self.body.get()
    }

    /// Has the connection close as soon as it rests.
    pub fn close(&self) {
        self.closing.set(true);
    }

    /// Whether it is to.
    pub fn closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether an answer may say that it is the last: no further request has come, read or not.
    pub fn last(&self) -> bool {
        !self.coming.get() && self.quiet()
    }

    /// Whether nothing has come that was not read yet, by the system's word: the runtime may not have heard of it.
    pub fn quiet(&self) -> bool {
        matches!(self.peek(), Err(problem) if problem.kind() == io::ErrorKind::WouldBlock)
    }

    fn peek(&self) -> io::Result<usize> {
        socket2::SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()])
    }

    /// Bytes of a body have come; after an early answer, the connection is kept for the rest.
    fn body(&self) {
        if !self.serving.get() && !self.coming.get() {
            self.due.set(Instant::now() + IDLE);
            self.moved.notify_one();
        }
    }

    /// Whether the client has room for what is sent to it.
    fn room(&self, room: bool) {
        let unread = (!room).then(|| self.unread.get().unwrap_or_else(Instant::now));
        if self.unread.replace(unread) != unread {
            self.moved.notify_one();
        }
    }

    /// All that was written is with the system.
    fn flushed(&self) {
        if !self.unflushed.replace(false) {
            return;
        }
        if !self.coming.get() {
            self.due.set(Instant::now() + IDLE);
        }
        if self.closing.get() {
            self.moved.notify_one();
        }
    }

    /// The request is answered; the connection is kept for another.
    pub fn answered(&self) {
        self.serving.set(false);
        self.answering.set(false);
        self.unflushed.set(true);
        self.begun.set(Instant::now());
        self.due.set(Instant::now() + if self.coming.get() { HEAD } else { IDLE });
        self.moved.notify_one();
    }

    /// Bytes of a head have come: the rest is due, too. Of a new connection's first one it was before.
    fn coming(&self) {
        let fresh = self.fresh.replace(false);
        if !self.coming.replace(true) && !fresh {
            self.begun.set(Instant::now());
            self.due.set(Instant::now() + HEAD);
            self.moved.notify_one();
        }
    }

    /// A head goes on.
    fn handed_on(&self, doubtful: bool, body: bool) {
        self.coming.set(false);
        self.answering.set(true);
        self.doubtful.set(doubtful);
        self.body.set(body);
    }
}

impl Client for Conversation {
    fn is_connected(&self) -> bool {
        match self.peek() {
            // What is unread may have its end behind it.
            Ok(1..) => !half_closed(&self.stream),
            Ok(0) => false,
            Err(problem) => problem.kind() == io::ErrorKind::WouldBlock,
        }
    }
}

/// Whether the other side has ended its sending, by what the runtime has heard.
fn half_closed(stream: &TcpStream) -> bool {
    let ready = std::pin::pin!(stream.ready(Interest::READABLE));
    match ready.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(Ok(ready)) => ready.is_read_closed(),
        Poll::Ready(Err(_)) => true,
        Poll::Pending => false,
    }
}

/// What comes next on the connection.
#[derive(Clone, Copy)]
enum Next {
    Head,
    Body(u64),
    /// Of a chunked body: the line with a chunk's size, a chunk's data, and what follows the last.
    Size,
    Chunk(u64),
    Trailer,
    /// Nothing that may be read.
    Nothing,
}

/// A client's connection.
pub struct Intake {
    conversation: Rc<Conversation>,
    held: BytesMut,
    /// How many of the held bytes may be handed on.
    passed: usize,
    next: Next,
    /// More came ahead of its turn than is held.
    flooded: bool,
}

impl Intake {
    /// A connection from which nothing was read yet.
    pub fn new(conversation: Rc<Conversation>) -> Intake {
        Intake { conversation, held: BytesMut::new(), passed: 0, next: Next::Head, flooded: false }
    }

    /// Hands on what is held of a body of which so much is left; what is left then.
    fn pass(&mut self, left: u64) -> u64 {
        self.conversation.body();
        self.passed = self.held.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        left - self.passed as u64
    }

    /// Hands on a line of a body's framing once it is whole. One that can't be read is hyper's to answer, and
    /// nothing comes after it.
    fn line(
        &mut self,
        line: Result<httparse::Status<(usize, u64)>, ()>,
        most: usize,
        next: impl Fn(u64) -> Next,
    ) {
        match line {
            Ok(httparse::Status::Complete((end, value))) => (self.passed, self.next) = (end, next(value)),
            Ok(httparse::Status::Partial) if self.held.len() < most => {}
            _ => (self.passed, self.next) = (self.held.len(), Next::Nothing),
        }
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
                self.conversation.http2.set(self.held.starts_with(b"PRI * HTTP/2"));
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
            (0, 1, _) if coding.is_some_and(|c| c.eq_ignore_ascii_case(b"chunked")) => Next::Size,
            _ => Next::Nothing,
        };
        let (doubtful, body) = (matches!(self.next, Next::Nothing), !matches!(self.next, Next::Head));
        self.conversation.handed_on(doubtful, body);
        if !doubtful && !body && self.held.len() > end {
            self.conversation.coming();
        }
        self.passed = end;
    }
}

impl Intake {
    /// Takes in what came. What belongs to no request that will be served is dropped.
    fn keep(&mut self, piece: &[u8]) {
        if matches!(self.next, Next::Nothing) {
            return;
        }
        if self.ahead() {
            self.flooded |= self.held.len() + piece.len() > MOST_AHEAD;
            if self.flooded {
                return;
            }
            self.conversation.coming();
        }
        self.held.extend_from_slice(piece);
    }

    /// Whether what comes next is ahead of its turn: the request before it is not answered yet.
    fn ahead(&self) -> bool {
        self.conversation.answering.get() && matches!(self.next, Next::Head)
    }

    /// Decides how much of what is held may be handed on.
    fn portion(&mut self) {
        match self.next {
            Next::Head => {
                self.conversation.coming();
                self.examine();
            }
            Next::Body(left) => match self.pass(left) {
                0 => self.ended(),
                left => self.next = Next::Body(left),
            },
            Next::Chunk(left) => match self.pass(left) {
                0 => self.next = Next::Size,
                left => self.next = Next::Chunk(left),
            },
            Next::Size => {
                let size = httparse::parse_chunk_size(&self.held);
                self.line(size.map_err(|_| ()), LONGEST_SIZE, |size| match size {
                    0 => Next::Trailer,
                    // The data are followed by a line's end.
                    size => Next::Chunk(size.saturating_add(2)),
                });
            }
            Next::Trailer => {
                let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
                let end = match httparse::parse_headers(&self.held, &mut fields) {
                    Ok(httparse::Status::Complete((end, _))) => Ok(httparse::Status::Complete((end, 0))),
                    Ok(httparse::Status::Partial) => Ok(httparse::Status::Partial),
                    Err(_) => Err(()),
                };
                self.line(end, LONGEST_HEAD, |_| Next::Head);
                if matches!(self.next, Next::Head) {
                    self.ended();
                }
            }
            Next::Nothing => self.held.clear(),
        }
    }

    /// The request's last byte goes on.
    fn ended(&mut self) {
        self.next = Next::Head;
        self.conversation.body.set(false);
        if self.held.len() > self.passed {
            self.conversation.coming();
        }
    }
}

impl AsyncRead for Intake {
    /// Hands on one request at a time: what comes after it waits here until it is answered, so that reading never
    /// stops and the client's end is seen at once, whatever it sent before.
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.passed == 0 && !this.held.is_empty() && !this.ahead() {
                this.portion();
            }
            if this.passed > 0 {
                let some = this.passed.min(buf.remaining());
                buf.put_slice(&this.held[..some]);
                this.held.advance(some);
                this.passed -= some;
                return Poll::Ready(Ok(()));
            }
            if this.flooded && !this.ahead() {
                // What was held of it is served; the rest is gone, and so is the way to tell where it begins.
                this.conversation.counters.floods.add();
                log::info!("http: a client sent more ahead of its answers than is held; its connection ends");
                return Poll::Ready(Ok(()));
            }
            let mut piece = [0; PIECE];
            let conversation = this.conversation.clone();
            ready!(conversation.stream.poll_read_ready(cx))?;
            match conversation.stream.try_read(&mut piece) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(some) => this.keep(&piece[..some]),
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
            let stream = &self.conversation.stream;
            let ready = stream.poll_write_ready(cx);
            self.conversation.room(ready.is_ready());
            ready!(ready)?;
            match send(stream) {
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

    /// hyper asks for it once all that it had is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.conversation.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.conversation.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
