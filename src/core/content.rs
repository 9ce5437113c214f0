//! Request and response bodies that need not be in memory as a whole: a buffered beginning and a stream of the rest.

use bytes::Bytes;
use futures_core::Stream;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

/// A body that ended before its last byte.
#[derive(Clone, Debug, Error)]
#[error("broken off: {reason}")]
pub struct IncompleteBody {
    /// What ended it.
    pub reason: String,
}

impl IncompleteBody {
    /// An error with its reason in words.
    pub fn new(reason: impl Into<String>) -> IncompleteBody {
        IncompleteBody { reason: reason.into() }
    }
}

/// The bytes of a body as they arrive. Its sender is held back until the next item is polled.
pub type ByteStream = Pin<Box<dyn Stream<Item = Result<Bytes, IncompleteBody>>>>;

/// A body whose beginning is in memory and whose rest, if any, is streamed.
pub struct StreamedBody {
    /// The beginning, in memory.
    pub buffered: Bytes,
    /// What follows the beginning; `None` if that is the complete body.
    pub rest: Option<ByteStream>,
    /// Length of the complete body in bytes, if known.
    pub length: Option<u64>,
}

impl fmt::Debug for StreamedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamedBody")
            .field("buffered", &self.buffered.len())
            .field("length", &self.length)
            .finish()
    }
}

impl From<Bytes> for StreamedBody {
    fn from(buffered: Bytes) -> StreamedBody {
        let length = Some(buffered.len() as u64);
        StreamedBody { buffered, rest: None, length }
    }
}

impl StreamedBody {
    /// Reads the complete body; `None` if it breaks off or its rest takes it past `max_bytes`.
    pub async fn collect(mut self, max_bytes: usize) -> Option<Bytes> {
        let Some(rest) = &mut self.rest else { return Some(self.buffered) };
        let mut collected = Vec::from(self.buffered);
        while let Some(chunk) = poll_fn(|cx| rest.as_mut().poll_next(cx)).await {
            collected.extend_from_slice(&chunk.ok()?);
            if collected.len() > max_bytes {
                return None;
            }
        }
        Some(collected.into())
    }
}

/// A write's body that is too long to buffer: it is forwarded to a node as it arrives, and by one attempt only.
pub struct UploadStream {
    stream: RefCell<ByteStream>,
    /// An attempt has taken the body.
    taken: Cell<bool>,
    /// Length of the complete body in bytes, if known.
    pub length: Option<u64>,
    /// How long the client waits for its answer after the body's last byte.
    response_timeout: Duration,
    /// Notified when an attempt takes the body.
    taken_notify: Notify,
    /// When the body was taken or last yielded bytes.
    last_progress: Cell<Instant>,
    /// When the last byte arrived.
    ended_at: Cell<Option<Instant>>,
}

impl fmt::Debug for UploadStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UploadStream").field("length", &self.length).finish()
    }
}

impl UploadStream {
    /// Longest time in which a node may accept nothing of the body before its attempt ends as stalled.
    const STALL_TIMEOUT: Duration = Duration::from_secs(5);

    /// An upload that no attempt has taken yet.
    pub fn new(stream: ByteStream, length: Option<u64>, response_timeout: Duration) -> Rc<UploadStream> {
        Rc::new(UploadStream {
            stream: RefCell::new(stream),
            taken: Cell::new(false),
            length,
            response_timeout,
            taken_notify: Notify::new(),
            last_progress: Cell::new(Instant::now()),
            ended_at: Cell::new(None),
        })
    }

    /// Takes the body to send it; `None` if an earlier attempt has taken it, since it can't be sent again.
    pub fn take(self: &Rc<Self>) -> Option<UploadReader> {
        self.last_progress.set(Instant::now());
        self.taken_notify.notify_one();
        let taken_before = self.taken.replace(true);
        if taken_before { None } else { Some(UploadReader { upload: self.clone() }) }
    }

    /// Whether an attempt has taken the body.
    pub fn is_taken(&self) -> bool {
        self.taken.get()
    }

    /// Waits until an attempt has taken the body.
    pub async fn wait_taken(&self) {
        self.taken_notify.notified().await;
    }

    /// Reads and discards what is left of the body, so that a client that is still sending can read its answer.
    pub async fn drain(self: Rc<Self>) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll(cx)).await {}
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, IncompleteBody>>> {
        if self.ended_at.get().is_some() {
            return Poll::Ready(None);
        }
        let chunk = ready!(self.stream.borrow_mut().as_mut().poll_next(cx));
        self.last_progress.set(Instant::now());
        if chunk.is_none() {
            self.ended_at.set(Some(Instant::now()));
        }
        Poll::Ready(chunk)
    }

    /// When the last byte arrived; `None` while more is to come.
    pub fn ended_at(&self) -> Option<Instant> {
        self.ended_at.get()
    }

    /// By when the attempt that sends the body must end. While bytes still arrive, it only must not stall.
    pub fn attempt_deadline(&self) -> Instant {
        match self.ended_at.get() {
            Some(ended_at) => ended_at + self.response_timeout,
            None => self.last_progress.get() + UploadStream::STALL_TIMEOUT,
        }
    }
}

/// Reads an upload's bytes, for the one attempt that sends them.
pub struct UploadReader {
    upload: Rc<UploadStream>,
}

impl Stream for UploadReader {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.upload.poll(cx)
    }
}

/// The body of a request to a node.
#[derive(Clone, Debug)]
pub enum Payload {
    /// In memory, so that the request can be sent again.
    Buffered(Bytes),
    /// Forwarded as it arrives, once.
    Streamed(Rc<UploadStream>),
}

impl Payload {
    /// Length in bytes; 0 if it is unknown.
    pub fn length(&self) -> u64 {
        match self {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streamed(upload) => upload.length.unwrap_or(0),
        }
    }

    /// The upload, if the body is streamed.
    pub fn upload(&self) -> Option<&Rc<UploadStream>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(upload) => Some(upload),
        }
    }
}

/// A byte stream with bytes before it that were read from it earlier.
pub struct PrefixedStream {
    prefix: Option<Bytes>,
    rest: ByteStream,
}

impl PrefixedStream {
    /// A stream of `prefix`, if there is any, and then `rest`.
    pub fn boxed(prefix: Bytes, rest: ByteStream) -> ByteStream {
        let prefix = Some(prefix).filter(|prefix| !prefix.is_empty());
        Box::pin(PrefixedStream { prefix, rest })
    }
}

impl Stream for PrefixedStream {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.prefix.take() {
            Some(prefix) => Poll::Ready(Some(Ok(prefix))),
            None => self.rest.as_mut().poll_next(cx),
        }
    }
}
