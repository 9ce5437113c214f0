//! Runs hyper on a client's connection from its first request on. Where memory is scarce hyper is dropped after each
//! answer, so that only a connection with a request in progress holds its buffers.

use super::connection_state::ConnectionState;
use super::framing::{MAX_HEAD_BYTES, MAX_HEAD_FIELDS};
use super::reader::{Arrival, RequestReader};
use crate::resources::memory::MemoryBudget;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::error::Error;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The reader of a connection, shared with hyper while a request is in progress.
#[derive(Clone)]
struct SharedReader(Rc<RefCell<RequestReader>>);

impl AsyncRead for SharedReader {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buf)
    }
}

impl AsyncWrite for SharedReader {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }
}

/// Why a connection ended with an error.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// An error of the HTTP library.
    #[error(transparent)]
    Http(hyper::Error),
    /// There was no memory for a long head.
    #[error("no memory for a request head")]
    NoMemory,
    /// Reading from the socket failed between two requests.
    #[error(transparent)]
    Io(io::Error),
}

impl From<hyper::Error> for ExchangeError {
    fn from(error: hyper::Error) -> ExchangeError {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        let is_memory = source.is_some_and(|source| source.kind() == io::ErrorKind::OutOfMemory);
        if is_memory { ExchangeError::NoMemory } else { ExchangeError::Http(error) }
    }
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> ExchangeError {
        if error.kind() == io::ErrorKind::OutOfMemory {
            ExchangeError::NoMemory
        } else {
            ExchangeError::Io(error)
        }
    }
}

type LibraryConnection<S> = http1::Connection<TokioIo<SharedReader>, S>;

/// The requests of a connection, and the connection of the HTTP library that carries them out.
pub struct Exchanges<S: HttpService<Incoming>> {
    state: Rc<ConnectionState>,
    reader: SharedReader,
    service: S,
    memory: Rc<MemoryBudget>,
    /// The library's connection; `None` before the first request, and between two requests where memory is scarce.
    current: Option<Pin<Box<LibraryConnection<S>>>>,
}

impl<S, B> Exchanges<S>
where
    S: HttpService<Incoming, ResBody = B> + Clone,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Creates the exchanges of a new connection, whose requests `service` answers.
    pub fn new(state: Rc<ConnectionState>, memory: Rc<MemoryBudget>, service: S) -> Exchanges<S> {
        let reader = RequestReader::new(state.clone(), memory.clone());
        let reader = SharedReader(Rc::new(RefCell::new(reader)));
        Exchanges { state, reader, service, memory, current: None }
    }

    /// Reads requests and sends answers until the connection has to end.
    ///
    /// # Errors
    ///
    /// [`ExchangeError`] if the connection can't be used any more.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), ExchangeError>> {
        loop {
            if let Some(current) = &mut self.current {
                if let Poll::Ready(result) = current.as_mut().poll(cx) {
                    return Poll::Ready(result.map_err(ExchangeError::from));
                }
                if !self.memory.is_scarce() || !self.has_exchange_ended() {
                    return Poll::Pending;
                }
                self.current = None;
            }
            let arrival = self.reader.0.borrow_mut().poll_request(cx);
            match ready!(arrival)? {
                Arrival::Request => self.current = Some(self.library_connection()),
                Arrival::End => return Poll::Ready(Ok(())),
            }
        }
    }

    /// Number of bytes still to come of the body of the latest request.
    pub fn unread_body_bytes(&self) -> u64 {
        self.reader.0.borrow().unread_body_bytes()
    }

    /// Whether the answer is sent completely and the client's next bytes belong to another request, so that hyper holds
    /// nothing that is still needed.
    fn has_exchange_ended(&self) -> bool {
        self.state.is_answer_sent() && self.reader.0.borrow().is_between_requests()
    }

    fn library_connection(&self) -> Pin<Box<LibraryConnection<S>>> {
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEAD_FIELDS);
        Box::pin(builder.serve_connection(TokioIo::new(self.reader.clone()), self.service.clone()))
    }
}
