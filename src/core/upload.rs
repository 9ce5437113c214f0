//! Streamed uploads: bodies of writes that are too long to buffer and are forwarded to a node as they arrive.
//!
//! Unread bytes of an upload can hide that its client has disconnected: the client's FIN follows them in the byte
//! stream, and once the receive buffer is full, the client's kernel does not even send it. The body is therefore read
//! ahead into memory before its attempt begins: while the request waits, as far as spare memory permits, and
//! immediately before the attempt until it is certain that the client was connected a moment ago
//! (`node::client_check`).

use crate::core::Client;
use crate::core::content::IncompleteBody;
use crate::resources::memory::{MemoryBudget, MemoryReservation};
use bytes::{Bytes, BytesMut};
use futures_core::Stream;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The bytes of an upload as its client sends them. The client is subject to backpressure until the next item is
/// polled.
pub trait UploadSource: Stream<Item = Result<Bytes, IncompleteBody>> {
    /// Pauses the client's timeout until the next poll: the time until then is not counted as the client's delay.
    fn pause(self: Pin<&mut Self>);
}

/// Size of the blocks that hold bytes read ahead. Frames are copied into them, since a short frame would keep the whole
/// buffer of the read alive that it came with.
const BLOCK_BYTES: usize = 16 * 1024;

/// Bytes read before an attempt takes the body.
#[derive(Default)]
struct ReadAhead {
    /// Bytes read before the upload was created, which hold a reservation of their own.
    beginning: Option<Bytes>,
    blocks: VecDeque<BytesMut>,
    /// Total length of the bytes in the blocks.
    length: usize,
    /// Reservation of body memory for the blocks.
    reservation: Option<MemoryReservation>,
}

impl ReadAhead {
    fn push(&mut self, frame: &[u8]) {
        self.length += frame.len();
        let mut rest = frame;
        while !rest.is_empty() {
            let block = self.block_with_room();
            let (fitting, remaining) = rest.split_at(rest.len().min(BLOCK_BYTES - block.len()));
            block.extend_from_slice(fitting);
            rest = remaining;
        }
    }

    fn block_with_room(&mut self) -> &mut BytesMut {
        if self.blocks.back().is_none_or(|block| block.len() == BLOCK_BYTES) {
            self.blocks.push_back(BytesMut::with_capacity(BLOCK_BYTES));
        }
        let last = self.blocks.len() - 1;
        &mut self.blocks[last]
    }

    fn pop(&mut self) -> Option<Bytes> {
        if let Some(beginning) = self.beginning.take() {
            return Some(beginning);
        }
        let block = self.blocks.pop_front()?;
        self.length -= block.len();
        self.release_unused();
        Some(block.freeze())
    }

    /// Releases reserved memory that no block uses.
    fn release_unused(&mut self) {
        if self.blocks.is_empty() {
            self.reservation = None;
        }
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.blocks.len() * BLOCK_BYTES);
        }
    }
}

/// Maximum capacity of both hosts' socket buffers for a client's connection: 4 MiB at the client, Linux's default maximum
/// of `tcp_wmem`, and 2 MiB at the head, whose receive buffer grows only as it is read.
pub const SOCKET_BUFFERS_BYTES: usize = 6 << 20;
/// Step in which memory is reserved to read ahead while the request waits, in bytes.
const READ_AHEAD_STEP_BYTES: usize = 256 * 1024;

/// Body of a write that a single attempt forwards to its node as it arrives.
pub struct UploadStream {
    source: RefCell<Pin<Box<dyn UploadSource>>>,
    read_ahead: RefCell<ReadAhead>,
    memory: Rc<MemoryBudget>,
    /// Whether an attempt has taken the body to send it.
    taken: Cell<bool>,
    /// Length of the complete body in bytes, if known.
    pub length: Option<u64>,
    /// Number of bytes received so far.
    received: Cell<u64>,
    /// How long the client waits for the answer after the body's last byte.
    response_timeout: Duration,
    /// Notified when an attempt takes the body.
    taken_notify: Notify,
    /// When an attempt took the body or the body was last polled successfully.
    last_progress: Cell<Instant>,
    /// When bytes were last received, or else when the upload was created.
    last_received: Cell<Instant>,
    /// When the last byte was received.
    ended_at: Cell<Option<Instant>>,
    /// Until when the client is known not to have sent the last byte.
    incomplete_until: Cell<Instant>,
    /// Since when all that arrived has been read without delay; `None` after a time in which it was not.
    drained_since: Cell<Option<Instant>>,
    /// When the last poll of the source returned bytes, if it did.
    bytes_polled_at: Cell<Option<Instant>>,
    /// Whether the source has failed before the body's last byte.
    failed: Cell<bool>,
    /// The failure, if it was found while reading ahead and is still to be passed on.
    failure: Cell<Option<IncompleteBody>>,
    /// Latest time at which the client is known to have been connected, if any.
    client_confirmed_at: Cell<Option<Instant>>,
}

impl fmt::Debug for UploadStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UploadStream").field("length", &self.length).finish()
    }
}

impl UploadStream {
    /// Time-out of a node that has stopped reading the body, after which its attempt ends.
    pub const STALL_TIMEOUT: Duration = Duration::from_secs(5);
    /// Time within which bytes that have arrived are read if nothing delays it.
    const PROMPT_READ_TIME: Duration = Duration::from_millis(5);
    /// Time in which a client's system sends all that it holds, once there is room: its send buffer at 1 Gbit/s.
    const SEND_BUFFER_TIME: Duration = Duration::from_millis(50);
    /// How long after the client was known to be connected an attempt may begin. No attempt may begin more than 0.1 s
    /// after its client has disconnected; the remaining 20 ms allow for the transit of the first byte to the node.
    const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(80);

    /// Creates an upload that no attempt has taken yet. `beginning` holds the bytes already read from the body, which
    /// arrived up to `arrived_at`, `source` yields the rest, and `memory` is the memory budget for reading ahead.
    pub fn new(
        beginning: Bytes,
        source: Pin<Box<dyn UploadSource>>,
        length: Option<u64>,
        arrived_at: Instant,
        response_timeout: Duration,
        memory: Rc<MemoryBudget>,
    ) -> Rc<UploadStream> {
        let now = Instant::now();
        let received = beginning.len() as u64;
        let beginning = Some(beginning).filter(|beginning| !beginning.is_empty());
        let read_ahead = ReadAhead { beginning, ..ReadAhead::default() };
        Rc::new(UploadStream {
            source: RefCell::new(source),
            read_ahead: RefCell::new(read_ahead),
            memory,
            taken: Cell::new(false),
            length,
            received: Cell::new(received),
            response_timeout,
            taken_notify: Notify::new(),
            last_progress: Cell::new(now),
            last_received: Cell::new(now),
            ended_at: Cell::new(None),
            incomplete_until: Cell::new(arrived_at),
            drained_since: Cell::new(None),
            bytes_polled_at: Cell::new(None),
            failed: Cell::new(false),
            failure: Cell::new(None),
            client_confirmed_at: Cell::new(None),
        })
    }

    /// Takes the body to send it. Returns `None` if an earlier attempt has taken it, since the body can't be sent
    /// again.
    pub fn take(self: &Rc<Self>) -> Option<UploadReader> {
        self.last_progress.set(Instant::now());
        self.taken_notify.notify_one();
        let taken_before = self.taken.replace(true);
        if taken_before { None } else { Some(UploadReader { upload: self.clone() }) }
    }

    /// Whether an attempt has taken the body to send it.
    pub fn is_taken(&self) -> bool {
        self.taken.get()
    }

    /// Waits until an attempt has taken the body.
    pub async fn wait_taken(&self) {
        self.taken_notify.notified().await;
    }

    /// Reads and discards the rest of the body, so that a client that is still sending can read its answer.
    pub async fn drain(self: Rc<Self>) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll(cx)).await {}
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if let Some(chunk) = self.read_ahead.borrow_mut().pop() {
            self.last_progress.set(Instant::now());
            return Poll::Ready(Some(Ok(chunk)));
        }
        if let Some(error) = self.failure.take() {
            return Poll::Ready(Some(Err(error)));
        }
        self.poll_source(cx)
    }

    fn poll_source(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.ended_at.get().is_some() {
            return Poll::Ready(None);
        }
        let polled = self.source.borrow_mut().as_mut().poll_next(cx);
        let now = Instant::now();
        self.note_poll(polled.is_pending(), now);
        let chunk = ready!(polled);
        self.last_progress.set(now);
        match &chunk {
            Some(Ok(bytes)) => {
                self.received.set(self.received.get() + bytes.len() as u64);
                self.last_received.set(now);
                if self.is_more_missing_than_systems_hold() {
                    self.incomplete_until.set(now);
                }
            }
            Some(Err(_)) => self.failed.set(true),
            None => self.ended_at.set(Some(now)),
        }
        Poll::Ready(chunk)
    }

    /// Whether so many bytes are still to be received that the client can't have sent the last one.
    fn is_more_missing_than_systems_hold(&self) -> bool {
        self.remaining().is_some_and(|remaining| remaining > SOCKET_BUFFERS_BYTES as u64)
    }

    /// Notes a poll of the source. The client can't have sent the last byte while nothing is to be read, provided that
    /// its system had the time to send what it holds: while bytes were left unread, it may have held back some.
    fn note_poll(&self, is_pending: bool, now: Instant) {
        let was_left_unread = |at: Instant| now.duration_since(at) > UploadStream::PROMPT_READ_TIME;
        if self.bytes_polled_at.get().is_some_and(was_left_unread) {
            self.drained_since.set(None);
        }
        self.bytes_polled_at.set(Some(now).filter(|_| !is_pending));
        if !is_pending {
            return;
        }
        let drained_since = self.drained_since.get().unwrap_or(now);
        self.drained_since.set(Some(drained_since));
        if now.duration_since(drained_since) >= UploadStream::SEND_BUFFER_TIME {
            self.incomplete_until.set(now);
        }
    }

    /// When the last byte was received; `None` while more bytes are expected.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended_at.get()
    }

    /// Deadline of the attempt that sends the body: the response timeout after the client may have sent the last byte
    /// and, until that is received, when the node will have stopped reading. That is `reading_stops_at` while the socket to
    /// the node takes no bytes, and otherwise the stall timeout after the last progress.
    ///
    /// The client's time runs from its last byte, which may lie unread in the buffers of both systems while the node
    /// reads slowly. `client` tells whether bytes of it are unread.
    pub fn attempt_deadline(
        &self,
        client: Option<&dyn Client>,
        reading_stops_at: Option<Instant>,
    ) -> Instant {
        let now = Instant::now();
        let is_ended = self.ended_at.get().is_some();
        if self.is_more_missing_than_systems_hold() {
            self.incomplete_until.set(now);
        }
        let is_due = now >= self.incomplete_until.get() + self.response_timeout;
        let is_quiet = self.last_received.get().elapsed() >= UploadStream::SEND_BUFFER_TIME;
        if is_due && !is_ended && is_quiet && client.is_some_and(|client| client.has_nothing_unread()) {
            self.incomplete_until.set(now);
        }
        let client_deadline = self.incomplete_until.get() + self.response_timeout;
        match is_ended {
            true => client_deadline,
            false => {
                let progress_deadline = self.last_progress.get() + UploadStream::STALL_TIMEOUT;
                client_deadline.min(reading_stops_at.unwrap_or(progress_deadline))
            }
        }
    }

    /// Whether an attempt has taken the body and more of it is expected.
    fn is_receiving(&self) -> bool {
        self.is_taken() && !self.failed.get() && self.ended_at.get().is_none()
    }

    /// Reads further ahead while the node reads slowly, as far as spare memory permits, so that the end of the body is
    /// noticed when it arrives.
    pub fn poll_read_ahead(&self, cx: &mut Context<'_>) {
        while self.is_receiving() && (self.may_read_ahead() || self.reserve_spare_memory()) {
            match self.poll_source(cx) {
                Poll::Ready(Some(Ok(frame))) => self.read_ahead.borrow_mut().push(&frame),
                Poll::Ready(Some(Err(error))) => {
                    self.failure.replace(Some(error));
                }
                Poll::Ready(None) | Poll::Pending => break,
            }
        }
    }
}

/// Reading ahead before an attempt takes the body.
impl UploadStream {
    /// Number of bytes still to be received, if known.
    pub fn remaining(&self) -> Option<u64> {
        if self.ended_at.get().is_some() {
            return Some(0);
        }
        Some(self.length?.saturating_sub(self.received.get()))
    }

    /// Number of bytes received so far.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// When bytes were last received, or when the upload was created if none were.
    pub fn last_received(&self) -> Instant {
        self.last_received.get()
    }

    /// Waits for memory to read `bytes` further bytes ahead. Waiting uploads are served in order of arrival.
    pub async fn reserve_memory(&self, bytes: usize) {
        let reservation = self.memory.reserve(bytes).await;
        self.add_memory(reservation);
    }

    /// Reserves memory to read `bytes` further bytes ahead, if it is free, and returns whether it was.
    pub fn try_reserve_memory(&self, bytes: usize) -> bool {
        let reservation = self.memory.try_reserve(bytes);
        reservation.map(|reservation| self.add_memory(reservation)).is_some()
    }

    fn add_memory(&self, reservation: MemoryReservation) {
        let read_ahead = &mut *self.read_ahead.borrow_mut();
        match &mut read_ahead.reservation {
            Some(held) => held.merge(reservation),
            None => read_ahead.reservation = Some(reservation),
        }
    }

    /// Whether the reserved memory permits reading further ahead.
    pub fn may_read_ahead(&self) -> bool {
        let read_ahead = self.read_ahead.borrow();
        read_ahead.reservation.as_ref().is_some_and(|reservation| read_ahead.length < reservation.bytes())
    }

    /// Reads the next chunk ahead and returns its length in bytes. Never completes once the whole body has been
    /// received. The client's minimum sending rate is not enforced meanwhile.
    ///
    /// # Errors
    ///
    /// [`IncompleteBody`] if the body ended early, now or in an earlier call.
    pub async fn read_ahead(&self) -> Result<usize, IncompleteBody> {
        if self.failed.get() {
            return Err(IncompleteBody::new("reading the upload has already failed"));
        }
        let next = poll_fn(|cx| {
            let polled = self.poll_source(cx);
            if polled.is_pending() {
                self.source.borrow_mut().as_mut().pause();
            }
            polled
        });
        match next.await {
            Some(Ok(chunk)) => {
                self.read_ahead.borrow_mut().push(&chunk);
                Ok(chunk.len())
            }
            Some(Err(error)) => Err(error),
            None => std::future::pending().await,
        }
    }

    /// Reads ahead while the request waits, as far as spare memory permits. Returns only if the body ends early.
    pub async fn read_while_waiting(&self) -> IncompleteBody {
        loop {
            if !self.may_read_ahead() && !self.reserve_spare_memory() {
                std::future::pending::<()>().await;
            }
            if let Err(error) = self.read_ahead().await {
                return error;
            }
        }
    }

    fn reserve_spare_memory(&self) -> bool {
        let remaining = self.remaining().and_then(|remaining| usize::try_from(remaining).ok());
        let bytes = remaining.unwrap_or(READ_AHEAD_STEP_BYTES).min(READ_AHEAD_STEP_BYTES);
        let reservation = self.memory.try_reserve_spare(bytes);
        reservation.map(|reservation| self.add_memory(reservation)).is_some()
    }

    /// Releases memory that was reserved for reading ahead and not used.
    pub fn release_unused_memory(&self) {
        self.read_ahead.borrow_mut().release_unused();
    }

    /// Records that the client was connected at this time.
    pub fn confirm_client(&self, at: Instant) {
        self.client_confirmed_at.set(Some(at));
    }

    /// Whether the client was known to be connected recently enough for an attempt to begin within `margin`.
    pub fn is_client_confirmed(&self, now: Instant, margin: Duration) -> bool {
        let is_recent = |at: Instant| now.duration_since(at) + margin <= UploadStream::CONFIRMATION_VALIDITY;
        self.client_confirmed_at.get().is_some_and(is_recent)
    }
}

/// Reader of an upload's bytes for the attempt that sends them.
pub struct UploadReader {
    upload: Rc<UploadStream>,
}

impl Stream for UploadReader {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.upload.poll(cx)
    }
}
