//! An HTTP/1.1 connection to a node. It has no task of its own: its user polls it, so dropping it closes the socket
//! immediately.

use super::limits::MAX_RESPONSE_HEAD_BYTES;
use super::progress::ExchangeProgress;
use super::request::RequestBody;
use super::reuse_policy::ExchangeTimes;
use super::stream::InstrumentedStream;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::ConnectionSlot;
use crate::resources::memory::MemoryReservation;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Why a connection to a node could not be opened.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// An operating system error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection was not established by the deadline.
    #[error("connection not established by the deadline")]
    TimedOut,
    /// An error of the HTTP library.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// An open connection to a node.
pub(super) struct NodeConnection {
    pub(super) sender: SendRequest<RequestBody>,
    http: Connection<TokioIo<InstrumentedStream>, RequestBody>,
    pub(super) progress: Rc<ExchangeProgress>,
    /// The connection's slot in the descriptor budget.
    pub(super) slot: ConnectionSlot,
    /// Reservation for the connection's buffers.
    _memory: MemoryReservation,
    /// When the connection's exchanges began and ended.
    pub(super) times: ExchangeTimes,
    /// Whether the HTTP connection has ended, so that it must not be polled again.
    ended: bool,
}

impl NodeConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails or is not complete at `deadline`.
    pub(super) async fn open(
        address: SocketAddr,
        slot: ConnectionSlot,
        memory: MemoryReservation,
        deadline: Instant,
        counters: &Rc<Counters>,
    ) -> Result<NodeConnection, ConnectError> {
        let connecting = timeout_at(deadline, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| ConnectError::TimedOut)??;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("node: TCP_NODELAY not set, address={address}: {error}");
        }
        let progress = ExchangeProgress::new(counters.clone());
        let io = TokioIo::new(InstrumentedStream::new(stream, progress.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_RESPONSE_HEAD_BYTES);
        let (sender, http) = builder.handshake(io).await?;
        Ok(NodeConnection {
            sender,
            http,
            progress,
            slot,
            _memory: memory,
            times: ExchangeTimes::unused(Instant::now()),
            ended: false,
        })
    }

    /// Polls the connection while `work` uses it, and returns the output of `work`; `None` on a timeout. The time limit
    /// is the earlier of `deadline`, which is evaluated at each poll, and the end of the wait for the rest of a response.
    /// `background` is called at each poll.
    pub(super) async fn drive<O>(
        &mut self,
        work: impl Future<Output = O>,
        deadline: impl Fn() -> Instant,
        background: impl Fn(&mut Context<'_>),
    ) -> Option<O> {
        let mut due = deadline();
        let mut work = pin!(work);
        let mut timer = pin!(sleep_until(due));
        poll_fn(|cx| {
            // Polled twice: data that the connection reads for `work` may cause `work` to request more.
            for _ in 0..2 {
                self.poll_http(cx);
                if let Poll::Ready(output) = work.as_mut().poll(cx) {
                    return Poll::Ready(Some(output));
                }
            }
            background(cx);
            let due_now = self.progress.due(deadline());
            if due_now != due {
                due = due_now;
                timer.as_mut().reset(due);
            }
            timer.as_mut().poll(cx).map(|()| None)
        })
        .await
    }

    /// Polls the HTTP connection, which reads from and writes to the socket.
    pub(super) fn poll_http(&mut self, cx: &mut Context<'_>) {
        if !self.ended && Pin::new(&mut self.http).poll(cx).is_ready() {
            self.ended = true;
        }
    }

    /// Whether the connection can carry another request now, as far as the runtime has been notified of the socket's
    /// state.
    pub(super) async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_http(cx);
            let ready = self.sender.poll_ready(cx);
            Poll::Ready(!self.ended && matches!(ready, Poll::Ready(Ok(()))))
        })
        .await
    }

    /// Whether the connection can carry no further request.
    pub(super) fn is_closed(&self) -> bool {
        self.ended || self.sender.is_closed()
    }
}
