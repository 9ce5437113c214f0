//! The socket that hyper reads requests from and writes answers to. It passes one request on at a time. Later bytes are
//! buffered here until that request is answered, so that reading never stops and a client that closes its side is
//! noticed at once, whatever it sent before.

use super::connection_state::ConnectionState;
use super::framing::{self, MAX_HEAD_BYTES, Parsed, Part};
use bytes::{Buf, BufMut, BytesMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of a read of heads and framing, in bytes.
const READ_BYTES: usize = 4096;
/// Largest read of a body, in bytes. No read is larger than all earlier reads of the body together, so that while an
/// upload waits, nearly all that the client has sent stays in the socket's receive buffer.
const MAX_BODY_READ_BYTES: usize = 64 * 1024;
/// Most bytes that are buffered of pipelined requests: one head of the largest size, as clients send one request at a
/// time. Bytes beyond it are read and dropped, so that a client that closes its side is still noticed.
const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES;
/// The first bytes from a client that speaks HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// A client's connection, read one request at a time.
pub struct RequestReader {
    state: Rc<ConnectionState>,
    buffered: BytesMut,
    /// How many of the buffered bytes may be passed on.
    released: usize,
    /// The part that follows the released bytes.
    next: Part,
    /// Bytes of the current body that were read by [`try_read_body`](Self::try_read_body).
    body_bytes_read: usize,
    /// More pipelined bytes have arrived than are buffered.
    pipeline_overflowed: bool,
}

impl RequestReader {
    /// Creates the reader of a connection from which nothing was read yet.
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

    /// Whether the next bytes belong to a pipelined request: the request before it is not answered yet.
    fn is_pipelined(&self) -> bool {
        self.state.is_answer_due() && self.next == Part::Head
    }

    /// Reads bytes that have arrived into the buffer. Returns their number, 0 if the client has closed its side.
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

    /// Reads bytes of a body into the buffer.
    fn try_read_body(&mut self) -> io::Result<usize> {
        let max_bytes = self.body_bytes_read.clamp(READ_BYTES, MAX_BODY_READ_BYTES);
        self.buffered.reserve(max_bytes);
        let count = self.state.stream.try_read_buf(&mut (&mut self.buffered).limit(max_bytes))?;
        self.body_bytes_read += count;
        Ok(count)
    }

    /// Buffers bytes that were read. Drops those of requests that will not be served.
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

    /// Releases the buffered bytes of the next part, so that they may be passed on.
    fn release(&mut self) {
        match self.next {
            Part::Head => self.release_head(),
            Part::Body { remaining } => match self.release_body(remaining) {
                0 => self.request_ended(),
                remaining => self.next = Part::Body { remaining },
            },
            Part::Chunk { remaining } => match self.release_body(remaining) {
                0 => self.next = Part::ChunkSize,
                remaining => self.next = Part::Chunk { remaining },
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
            Parsed::Incomplete => self.state.head_incomplete(),
            Parsed::Malformed => self.state.set_speaks_http2(self.buffered.starts_with(HTTP2_PREFACE)),
            Parsed::Complete { length, next } => {
                let framing_ambiguous = next == Part::Unreadable;
                let has_body = next != Part::Head;
                self.state.head_passed_on(framing_ambiguous, has_body);
                if !has_body && self.buffered.len() > length {
                    self.state.request_arriving();
                }
            }
        }
        self.release_framing(parsed);
    }

    /// Releases a head, a chunk-size line or a trailer section once it is complete. A malformed one is released too,
    /// since hyper answers it, and nothing is released after it.
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

    /// Releases the buffered bytes of a body of which `remaining` bytes are still to come. Returns how many are to come
    /// after them.
    fn release_body(&mut self, remaining: u64) -> u64 {
        self.state.body_arriving();
        self.released = self.buffered.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        remaining - self.released as u64
    }

    /// Notes that the last byte of the request is released.
    fn request_ended(&mut self) {
        self.next = Part::Head;
        self.body_bytes_read = 0;
        self.state.body_ended();
        if self.buffered.len() > self.released {
            self.state.request_arriving();
        }
    }

    /// Passes released bytes on to `buf`.
    fn pass_on(&mut self, buf: &mut ReadBuf<'_>) {
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
                this.pass_on(buf);
                return Poll::Ready(Ok(()));
            }
            if this.pipeline_overflowed && !this.is_pipelined() {
                // The buffered requests have been served. The rest was dropped, so it is unknown where the next one
                // begins.
                this.state.counters.floods.add();
                log::info!("http: too many pipelined bytes, connection closes, max={MAX_PIPELINED_BYTES}");
                return Poll::Ready(Ok(()));
            }
            ready!(this.state.stream.poll_read_ready(cx))?;
            match this.try_read() {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => this.state.bytes_received(),
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

    /// Notes that the answer is written to the socket: hyper flushes after it has written all of its buffer.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.state.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.state.stream).shutdown(std::net::Shutdown::Write))
    }
}
