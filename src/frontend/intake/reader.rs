//! The socket that hyper reads requests from and writes answers to. It passes one request on at a time. Later bytes are
//! buffered here until that request is answered, so that reading never stops and a client that closes its side is
//! noticed at once, whatever it sent before.

use super::buffered_arrivals::BufferedArrivals;
use super::connection_state::ConnectionState;
use super::framing::{self, MAX_HEAD_BYTES, Parsed, Part};
use crate::resources::memory::{MemoryBudget, MemoryReservation};
use crate::resources::socket::ShortageRetry;
use bytes::{Buf, BytesMut};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Size of a read of heads and framing, in bytes. As much may be buffered without a reservation of memory.
const READ_BYTES: usize = 4096;
/// Most bytes that are buffered of pipelined requests: one head of the largest size, as clients send one request at a
/// time. Bytes beyond it are read and dropped, so that a client that closes its side is still noticed.
pub(super) const MAX_PIPELINED_BYTES: usize = MAX_HEAD_BYTES;
/// The first bytes from a client that speaks HTTP/2 (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2";

/// A client's connection, read one request at a time.
pub struct RequestReader {
    state: Rc<ConnectionState>,
    buffered: BytesMut,
    /// When the buffered bytes arrived.
    arrivals: BufferedArrivals,
    /// How many of the buffered bytes may be passed on.
    released: usize,
    /// The part that follows the released bytes.
    next: Part,
    /// More pipelined bytes have arrived than are buffered.
    pipeline_overflowed: bool,
    memory: Rc<MemoryBudget>,
    /// Reservation for the capacity of the buffer beyond [`READ_BYTES`].
    reservation: Option<MemoryReservation>,
    reads: ShortageRetry,
    writes: ShortageRetry,
}

/// What [`RequestReader::poll_request`] waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// Bytes that hyper has to read: a complete head, or one that it rejects.
    Request,
    /// The client has closed its side, or sent bytes that are not read.
    End,
}

impl RequestReader {
    /// Creates the reader of a connection from which nothing was read yet.
    pub fn new(state: Rc<ConnectionState>, memory: Rc<MemoryBudget>) -> RequestReader {
        RequestReader {
            state,
            buffered: BytesMut::new(),
            arrivals: BufferedArrivals::default(),
            released: 0,
            next: Part::Head,
            pipeline_overflowed: false,
            memory,
            reservation: None,
            reads: ShortageRetry::default(),
            writes: ShortageRetry::default(),
        }
    }

    /// Waits for the next request while hyper does not read.
    pub fn poll_request(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<Arrival>> {
        loop {
            if self.poll_released().is_ready() {
                return Poll::Ready(Ok(if self.released > 0 { Arrival::Request } else { Arrival::End }));
            }
            if ready!(self.poll_read_more(cx))? == 0 {
                return Poll::Ready(Ok(Arrival::End));
            }
        }
    }

    /// Number of bytes still to come of the body of the latest request; the largest number if its length is unknown.
    pub fn unread_body_bytes(&self) -> u64 {
        match self.next {
            Part::Head | Part::Unreadable => 0,
            Part::Body { remaining } => remaining,
            Part::ChunkSize | Part::Chunk { .. } | Part::Trailer => u64::MAX,
        }
    }

    /// Whether all bytes of the requests so far are passed on, and none of a later one.
    pub fn is_between_requests(&self) -> bool {
        self.next == Part::Head && self.released == 0
    }

    /// Whether the next bytes belong to a pipelined request: the request before it is not answered yet.
    fn is_pipelined(&self) -> bool {
        self.state.is_answer_due() && self.next == Part::Head
    }

    /// Reads bytes that have arrived into the buffer. Returns their number, 0 if the client has closed its side.
    fn poll_read_more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let mut bytes = [0; READ_BYTES];
        let count = ready!(self.poll_receive(cx, &mut bytes))?;
        self.buffer(&bytes[..count])?;
        Poll::Ready(Ok(count))
    }

    /// Reads bytes of a body past the buffer, which is empty. `remaining` bytes are still to come. Returns the number
    /// read, 0 if the client has closed its side.
    fn poll_read_body(
        &mut self,
        cx: &mut Context<'_>,
        remaining: u64,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = buf.remaining().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        let count = ready!(self.poll_receive(cx, buf.initialize_unfilled_to(max_bytes)))?;
        buf.advance(count);
        if count > 0 {
            self.state.request_bytes_passed(self.state.arrivals.latest());
            self.body_bytes_passed(remaining - count as u64);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the socket.
    fn poll_receive(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        let RequestReader { state, reads, .. } = self;
        let count = ready!(reads.poll(cx, |cx| state.arrivals.poll_read(&state.stream, cx, bytes)))?;
        if count > 0 {
            state.bytes_received();
        }
        Poll::Ready(Ok(count))
    }

    /// Buffers bytes that were read. Drops those of requests that will not be served.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::OutOfMemory`] if there is no memory for a long head.
    fn buffer(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.next == Part::Unreadable {
            return Ok(());
        }
        let is_pipelined = self.is_pipelined();
        let is_too_long = is_pipelined && self.buffered.len() + bytes.len() > MAX_PIPELINED_BYTES;
        self.pipeline_overflowed |= is_too_long;
        if self.pipeline_overflowed {
            return Ok(());
        }
        if !self.make_room(bytes.len()) {
            self.pipeline_overflowed = is_pipelined;
            return if is_pipelined { Ok(()) } else { Err(io::ErrorKind::OutOfMemory.into()) };
        }
        if is_pipelined {
            self.state.request_arriving();
        }
        self.buffered.extend_from_slice(bytes);
        self.arrivals.push(bytes.len(), self.state.arrivals.latest());
        Ok(())
    }

    /// Makes room in the buffer, with its memory reserved. Returns whether there is room.
    fn make_room(&mut self, count: usize) -> bool {
        let needed = self.buffered.len() + count;
        if needed <= READ_BYTES || self.reserved_bytes() >= needed {
            return true;
        }
        let capacity = (2 * needed).min(MAX_PIPELINED_BYTES).max(needed);
        let Some(reservation) = self.memory.try_reserve_buffer(capacity) else { return false };
        let mut buffered = BytesMut::with_capacity(capacity);
        buffered.extend_from_slice(&self.buffered);
        self.buffered = buffered;
        self.reservation = Some(reservation);
        true
    }

    fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, MemoryReservation::bytes)
    }

    /// Frees the buffer once all of it is passed on.
    fn free_empty_buffer(&mut self) {
        if self.buffered.is_empty() {
            self.buffered = BytesMut::new();
            self.reservation = None;
        }
    }

    /// Releases the buffered bytes of the next part, so that they may be passed on.
    fn release(&mut self) {
        match self.next {
            Part::Head => self.release_head(),
            Part::Body { remaining } | Part::Chunk { remaining } => {
                self.released = self.buffered.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                self.body_bytes_passed(remaining - self.released as u64);
            }
            Part::ChunkSize => self.release_framing(framing::parse_chunk_size(&self.buffered)),
            Part::Trailer => {
                self.release_framing(framing::parse_trailer(&self.buffered));
                if self.next == Part::Head {
                    self.request_ended();
                }
            }
            Part::Unreadable => {
                self.arrivals.consume(self.buffered.len());
                self.buffered.clear();
            }
        }
        if self.released > 0 {
            let arrived_at = self.arrivals.last_of(self.released);
            self.state.request_bytes_passed(arrived_at.unwrap_or_else(|| self.state.arrivals.latest()));
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

    /// Notes that bytes of a body or chunk are passed on, after which `remaining` bytes of it are still to come.
    fn body_bytes_passed(&mut self, remaining: u64) {
        self.state.body_arriving();
        match self.next {
            Part::Body { .. } if remaining == 0 => self.request_ended(),
            Part::Body { .. } => self.next = Part::Body { remaining },
            Part::Chunk { .. } if remaining == 0 => self.next = Part::ChunkSize,
            Part::Chunk { .. } => self.next = Part::Chunk { remaining },
            Part::Head | Part::ChunkSize | Part::Trailer | Part::Unreadable => {}
        }
    }

    /// Notes that the last byte of the request is released.
    fn request_ended(&mut self) {
        self.next = Part::Head;
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
        self.arrivals.consume(count);
        self.released -= count;
        self.free_empty_buffer();
    }

    /// Releases buffered bytes. Ready once some are released, or once the connection has to end since pipelined bytes
    /// were dropped.
    fn poll_released(&mut self) -> Poll<()> {
        if self.released == 0 && !self.buffered.is_empty() && !self.is_pipelined() {
            self.release();
        }
        if self.released > 0 {
            return Poll::Ready(());
        }
        if self.pipeline_overflowed && !self.is_pipelined() {
            // The buffered requests have been served. The rest was dropped, so it is unknown where the next one begins.
            self.state.record_flood();
            return Poll::Ready(());
        }
        Poll::Pending
    }

    fn poll_send(
        &mut self,
        cx: &mut Context<'_>,
        send: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let RequestReader { state, writes, .. } = self;
        writes.poll(cx, |cx| {
            let ready = state.stream.poll_write_ready(cx);
            state.writable_changed(ready.is_ready());
            ready!(ready)?;
            let sent = send(&state.stream);
            if let Ok(count) = sent {
                state.bytes_written(count);
            }
            Poll::Ready(sent)
        })
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if self.poll_released().is_ready() {
                self.pass_on(buf);
                return Poll::Ready(Ok(()));
            }
            if let Part::Body { remaining } | Part::Chunk { remaining } = self.next {
                return self.poll_read_body(cx, remaining, buf);
            }
            if ready!(self.poll_read_more(cx))? == 0 {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for RequestReader {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_send(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
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
