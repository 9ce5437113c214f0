//! The socket that hyper reads requests from and writes answers to. It hands one request on at a time: what comes after
//! it waits here until it is answered, so that reading never stops and the client's end is seen at once, whatever it
//! sent before.

use super::connection_state::ConnectionState;
use super::framing::{self, MAX_HEAD_BYTES, Parsed, Part};
use bytes::{Buf, BufMut, BytesMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that are read at a time.
const READ_BYTES: usize = 4096;
/// Bytes of a body that are read at a time at most. Each read takes no more than all earlier ones together, so that the
/// receive buffer of an upload that waits is nearly as its client has filled it.
const MAX_BODY_READ_BYTES: usize = 64 * 1024;
/// Most bytes that are buffered of requests that come before the current one is answered: a complete head. Clients send
/// one request at a time; what goes past this is read and dropped, so that the client's end is seen behind it.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES;
/// How a client of HTTP/2 begins (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// A client's connection, read one request at a time.
pub struct RequestReader {
    state: Rc<ConnectionState>,
    buffered: BytesMut,
    /// How many of the buffered bytes may be handed on.
    released: usize,
    /// What follows the released bytes.
    next: Part,
    /// Bytes that were read in the middle of the present body.
    body_bytes_read: usize,
    /// More came before its turn than is buffered.
    pipeline_overflowed: bool,
}

impl RequestReader {
    /// A connection from which nothing was read yet.
    pub fn new(state: Rc<ConnectionState>) -> RequestReader {
        RequestReader {
            state,
            buffered: BytesMut::new(),
            released: 0,
            next: Part::Head,
            body_bytes_read: 0,
            pipeline_overflowed: false,
        }
    }

    /// Whether what comes next is before its turn: the request before it is not answered yet.
    fn is_pipelined(&self) -> bool {
        self.state.is_answer_due() && self.next == Part::Head
    }

    /// Reads what has come, if any, and buffers it; returns its length, 0 at the client's end.
    fn try_read(&mut self) -> io::Result<usize> {
        let state = self.state.clone();
        if matches!(self.next, Part::Body { .. } | Part::Chunk { .. }) {
            return self.try_read_body();
        }
        let mut bytes = [0; READ_BYTES];
        let count = state.stream.try_read(&mut bytes)?;
        self.buffer(&bytes[..count]);
        Ok(count)
    }

    /// The same in the middle of a body.
    fn try_read_body(&mut self) -> io::Result<usize> {
        let max_bytes = self.body_bytes_read.clamp(READ_BYTES, MAX_BODY_READ_BYTES);
        self.buffered.reserve(max_bytes);
        let count = self.state.stream.try_read_buf(&mut (&mut self.buffered).limit(max_bytes))?;
        self.body_bytes_read += count;
        Ok(count)
    }

    /// Buffers bytes that came. What belongs to no request that will be served is dropped.
    fn buffer(&mut self, bytes: &[u8]) {
        if self.next == Part::Unreadable {
            return;
        }
        if self.is_pipelined() {
            self.pipeline_overflowed |= self.buffered.len() + bytes.len() > MAX_PIPELINED_BYTES;
            if self.pipeline_overflowed {
                return;
            }
            self.state.request_arriving();
        }
        self.buffered.extend_from_slice(bytes);
    }

    /// Decides how many of the buffered bytes may be handed on.
    fn release(&mut self) {
        match self.next {
            Part::Head => self.release_head(),
            Part::Body { left } => match self.release_body(left) {
                0 => self.request_ended(),
                left => self.next = Part::Body { left },
            },
            Part::Chunk { left } => match self.release_body(left) {
                0 => self.next = Part::ChunkSize,
                left => self.next = Part::Chunk { left },
            },
            Part::ChunkSize => self.release_framing(framing::parse_chunk_size(&self.buffered)),
            Part::Trailer => {
                self.release_framing(framing::parse_trailer(&self.buffered));
                if self.next == Part::Head {
                    self.request_ended();
                }
            }
            Part::Unreadable => self.buffered.clear(),
        }
    }

    /// Releases a head once it is complete.
    fn release_head(&mut self) {
        self.state.request_arriving();
        let parsed = framing::parse_head(&self.buffered);
        match parsed {
            Parsed::Incomplete => {}
            Parsed::Malformed => self.state.set_speaks_http2(self.buffered.starts_with(HTTP2_PREFACE)),
            Parsed::Complete { length, next } => {
                let framing_ambiguous = next == Part::Unreadable;
                let has_body = next != Part::Head;
                self.state.head_handed_on(framing_ambiguous, has_body);
                if !has_body && self.buffered.len() > length {
                    self.state.request_arriving();
                }
            }
        }
        self.release_framing(parsed);
    }

    /// Releases a head or a line of a body's framing once it is complete. One that can't be read is hyper's to answer,
    /// and nothing comes after it.
    fn release_framing(&mut self, parsed: Parsed) {
        match parsed {
            Parsed::Incomplete => {}
            Parsed::Malformed => {
                self.released = self.buffered.len();
                self.next = Part::Unreadable;
            }
            Parsed::Complete { length, next } => {
                self.released = length;
                self.next = next;
            }
        }
    }

    /// Releases what is buffered of a body of which `left` bytes are to come; how many are to come after these.
    fn release_body(&mut self, left: u64) -> u64 {
        self.state.body_arriving();
        self.released = self.buffered.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        left - self.released as u64
    }

    /// The request's last byte is released.
    fn request_ended(&mut self) {
        self.next = Part::Head;
        self.body_bytes_read = 0;
        self.state.body_ended();
        if self.buffered.len() > self.released {
            self.state.request_arriving();
        }
    }

    /// Hands released bytes on.
    fn hand_on(&mut self, buf: &mut ReadBuf<'_>) {
        let count = self.released.min(buf.remaining());
        buf.put_slice(&self.buffered[..count]);
        self.buffered.advance(count);
        self.released -= count;
    }

    fn poll_send(
        &self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let stream = &self.state.stream;
            let ready = stream.poll_write_ready(cx);
            self.state.writable_changed(ready.is_ready());
            ready!(ready)?;
            match send(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                sent => return Poll::Ready(sent),
            }
        }
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        loop {
            if this.released == 0 && !this.buffered.is_empty() && !this.is_pipelined() {
                this.release();
            }
            if this.released > 0 {
                this.hand_on(buf);
                return Poll::Ready(Ok(()));
            }
            if this.pipeline_overflowed && !this.is_pipelined() {
                // What was buffered of it is served. The rest is dropped, and it is unknown where a request begins.
                this.state.counters.floods.add();
                log::info!("http: too many pipelined bytes, connection closes, max={MAX_PIPELINED_BYTES}");
                return Poll::Ready(Ok(()));
            }
            ready!(this.state.stream.poll_read_ready(cx))?;
            match this.try_read() {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for RequestReader {
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

    /// hyper flushes once all that it had is written.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.state.stream).shutdown(std::net::Shutdown::Write))
    }
}
