//! Data that need not be whole: what is at hand, and what is still to come, piece by piece.

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

/// Data that ended before they were whole.
#[derive(Clone, Debug, Error)]
#[error("broken off: {0}")]
pub struct Broken(pub String);

/// Data as they come. Whoever asks for the next piece holds the sender back until then.
pub type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Broken>>>>;

/// Data of which the first part is at hand.
pub struct Content {
    /// What is at hand.
    pub first: Bytes,
    /// The rest; none where the first part is all.
    pub rest: Option<Pieces>,
    /// How long all is, where that is known.
    pub length: Option<u64>,
}

impl fmt::Debug for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Content").field("first", &self.first.len()).field("length", &self.length).finish()
    }
}

impl From<Bytes> for Content {
    fn from(first: Bytes) -> Content {
        let length = Some(first.len() as u64);
        Content { first, rest: None, length }
    }
}

impl Content {
    /// All of it, if it is no longer than so many bytes and comes to its end.
    pub async fn whole(mut self, most: usize) -> Option<Bytes> {
        let Some(rest) = &mut self.rest else { return Some(self.first) };
        let mut all = Vec::from(self.first);
        while let Some(piece) = poll_fn(|cx| rest.as_mut().poll_next(cx)).await {
            all.extend_from_slice(&piece.ok()?);
            if all.len() > most {
                return None;
            }
        }
        Some(all.into())
    }
}

/// The data of a write that are not held: they go to a node as they come, and once.
pub struct Upload {
    pieces: RefCell<Pieces>,
    spent: Cell<bool>,
    /// How long all of it is, where that is known.
    pub length: Option<u64>,
    /// How long the client waits once its last byte has come.
    wait: Duration,
    started: Notify,
    moved: Cell<Instant>,
    ended: Cell<Option<Instant>>,
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).finish()
    }
}

impl Upload {
    /// A node that takes nothing for so long has stalled.
    const STALL: Duration = Duration::from_secs(5);

    /// Data that were not asked for yet.
    pub fn new(pieces: Pieces, length: Option<u64>, wait: Duration) -> Rc<Upload> {
        let (pieces, spent, ended) = (RefCell::new(pieces), Cell::new(false), Cell::new(None));
        let (started, moved) = (Notify::new(), Cell::new(Instant::now()));
        Rc::new(Upload { pieces, spent, length, wait, started, moved, ended })
    }

    /// Takes the data to send them; from now on no other attempt can.
    pub fn take(self: &Rc<Self>) -> Option<Taken> {
        self.moved.set(Instant::now());
        self.started.notify_one();
        (!self.spent.replace(true)).then(|| Taken(self.clone()))
    }

    /// Whether they were taken.
    pub fn spent(&self) -> bool {
        self.spent.get()
    }

    /// Reads what is left of the data to its end, so that the client gets to read its answer.
    pub async fn drain(self: Rc<Self>) {
        while let Some(Ok(_)) = poll_fn(|cx| self.poll(cx)).await {}
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Broken>>> {
        if self.ended.get().is_some() {
            return Poll::Ready(None);
        }
        let piece = ready!(self.pieces.borrow_mut().as_mut().poll_next(cx));
        self.moved.set(Instant::now());
        if piece.is_none() {
            self.ended.set(Some(Instant::now()));
        }
        Poll::Ready(piece)
    }

    /// Waits until they are.
    pub async fn started(&self) {
        self.started.notified().await;
    }

    /// When the last byte came.
    pub fn ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// By when its attempt must end: while the data come, all that counts is that they do.
    pub fn until(&self) -> Instant {
        self.ended.get().map_or(self.moved.get() + Upload::STALL, |ended| ended + self.wait)
    }
}

/// The data of an upload, for the one attempt that sends them.
pub struct Taken(Rc<Upload>);

impl Stream for Taken {
    type Item = Result<Bytes, Broken>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.0.poll(cx)
    }
}

/// The data of a write.
#[derive(Clone, Debug)]
pub enum Payload {
    /// In memory, so that the request can be sent again.
    Buffered(Bytes),
    /// Forwarded as they arrive.
    Streamed(Rc<Upload>),
}

impl Payload {
    /// How long the data are, as far as that is known.
    pub fn length(&self) -> u64 {
        match self {
            Payload::Buffered(bytes) => bytes.len() as u64,
            Payload::Streamed(upload) => upload.length.unwrap_or(0),
        }
    }

    /// The upload, where the data are not held.
    pub fn upload(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(upload) => Some(upload),
        }
    }
}

/// What was gathered before, then the rest.
pub struct Chain {
    first: Option<Bytes>,
    rest: Pieces,
}

impl Chain {
    /// The one before the other.
    pub fn link(first: Bytes, rest: Pieces) -> Pieces {
        let first = Some(first).filter(|first| !first.is_empty());
        Box::pin(Chain { first, rest })
    }
}

impl Stream for Chain {
    type Item = Result<Bytes, Broken>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.first.take() {
            Some(first) => Poll::Ready(Some(Ok(first))),
            None => self.rest.as_mut().poll_next(cx),
        }
    }
}
