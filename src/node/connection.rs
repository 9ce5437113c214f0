//! One HTTP/1.1 connection to a node. It is no task of its own: whoever uses it drives it, so dropping it closes its
//! socket at once.

use super::limits::MAX_HEAD_BYTES;
use super::progress::ExchangeProgress;
use super::request::RequestBody;
use super::stream::InstrumentedStream;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::ConnectionSlot;
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
    /// The system reported an error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// It did not open in time.
    #[error("no connection in time")]
    TimedOut,
    /// The HTTP library reported an error.
    #[error(transparent)]
    Http(#[from] hyper::Error),
}

/// An open connection to a node.
pub(super) struct NodeConnection {
    pub(super) sender: SendRequest<RequestBody>,
    http: Connection<TokioIo<InstrumentedStream>, RequestBody>,
    pub(super) progress: Rc<ExchangeProgress>,
    /// Its part of the descriptor budget.
    pub(super) slot: ConnectionSlot,
    /// Since when it has been idle in the pool.
    pub(super) idle_since: Instant,
    /// The HTTP library is done with it.
    ended: bool,
}

impl NodeConnection {
    /// Opens a connection, by `open_by` at the latest.
    pub(super) async fn open(
        address: SocketAddr,
        slot: ConnectionSlot,
        open_by: Instant,
        counters: &Rc<Counters>,
    ) -> Result<NodeConnection, ConnectError> {
        let connecting = timeout_at(open_by, TcpStream::connect(address)).await;
        let stream = connecting.map_err(|_| ConnectError::TimedOut)??;
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("node: TCP_NODELAY not set, address={address}: {error}");
        }
        let progress = ExchangeProgress::new(counters.clone());
        let io = TokioIo::new(InstrumentedStream { stream, progress: progress.clone() });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, http) = builder.handshake(io).await?;
        Ok(NodeConnection { sender, http, progress, slot, idle_since: Instant::now(), ended: false })
    }

    /// Drives the connection while `work` uses it; `None` once neither ends in time. The time is the earlier of
    /// `deadline`, which is asked at each step, and what the response's pace allows.
    pub(super) async fn drive<O>(
        &mut self,
        work: impl Future<Output = O>,
        deadline: impl Fn() -> Instant,
    ) -> Option<O> {
        let mut due = deadline();
        let mut work = pin!(work);
        let mut timer = pin!(sleep_until(due));
        poll_fn(|cx| {
            // Twice: what the connection reads for `work` may let `work` ask for more.
            for _ in 0..2 {
                self.poll_http(cx);
                if let Poll::Ready(output) = work.as_mut().poll(cx) {
                    return Poll::Ready(Some(output));
                }
            }
            let due_now = self.progress.due(deadline());
            if due_now != due {
                due = due_now;
                timer.as_mut().reset(due);
            }
            timer.as_mut().poll(cx).map(|()| None)
        })
        .await
    }

    /// Lets the HTTP library read and write.
    pub(super) fn poll_http(&mut self, cx: &mut Context<'_>) {
        if !self.ended && Pin::new(&mut self.http).poll(cx).is_ready() {
            self.ended = true;
        }
    }

    /// Whether it can carry another request right now, as far as the runtime knows.
    pub(super) async fn is_usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_http(cx);
            let ready = self.sender.poll_ready(cx);
            Poll::Ready(!self.ended && matches!(ready, Poll::Ready(Ok(()))))
        })
        .await
    }

    /// Whether it can carry no further request.
    pub(super) fn is_closed(&self) -> bool {
        self.ended || self.sender.is_closed()
    }
}
