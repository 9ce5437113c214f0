//! The transport to the nodes: HTTP/1.1 over a small pool of connections for each node.
//!
//! A connection is no task of its own: the attempt that uses it drives it, so dropping the attempt
//! closes the socket there and then. Nothing here sends a request twice.

use crate::core::content::{IncompleteBody, Payload, StreamedBody, UploadReader};
use crate::core::{
    AttemptResult, NodeRequest, Operation, PermitExpired, SendPermit, Transport, WriteProgress, seconds,
};
use crate::fleet::SMALL_FLEET_MAX_HEADS;
use crate::metrics::counters::Counters;
use crate::resources::descriptors::{ConnectionSlot, DescriptorBudget, Side};
use crate::resources::memory::{self, BodyMemory, Gathered};
use crate::scheduler::{AttemptOutcome, LoadReport, NodeId, NodeState};
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};

mod places;

use places::Places;

/// Part of the nodes' idle time after which a pooled connection is closed, and at most how many seconds: one
/// that the node is about to close would turn the next request into a reset, and nodes were seen to close
/// after 1.8 s though the settings said 15.
/// In a larger fleet than a small one each head asks a node seldom, and a new connection for each request
/// costs the nodes more than a reset now and then: there the part alone counts.
const IDLE_PART: f64 = 0.5;
const IDLE_MOST: f64 = 1.5;
/// Longest head, and all that an answer may come to with interim ones before it.
const LONGEST_HEAD: usize = 16 * 1024;
const LONGEST_ANSWER: usize = memory::LONGEST as usize + (1 << 20);
/// Longest answer that is held until it is whole: a break in it can still be acted on. Of a longer one so much
/// is held before the first byte goes on, and of one that does not say its length too, for so long at least.
const HELD: usize = 64 * 1024;
const FIRST: usize = 8 * 1024;
const FIRST_WAIT: Duration = Duration::from_millis(30);
/// A node that stops for so long midway in an answer has nothing more to say, but for what the last piece may
/// have taken at the least pace, in bytes a second. Once the answer passes on, there is no other to be had.
const STOPPED: Duration = Duration::from_millis(250);
const PACE: f64 = 64e3;
const STALLED: Duration = Duration::from_secs(5);
/// How long a connection rests after an answer, so that what comes after it and belongs to no request is
/// seen before the next is written.
const REST: Duration = Duration::from_millis(20);

/// Where a node is and whether it takes work, as discovery last had it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeAddress {
    /// Its name among all heads.
    pub name: Rc<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it takes work.
    pub state: NodeState,
}

/// How far an attempt has come when it is asked whether it may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The module chose the node.
    Chosen,
    /// A connection stands.
    Connected,
    /// The first byte is about to be written.
    FirstByte,
}

/// Why an attempt's first byte is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Withheld {
    /// Its node takes no more work, or has moved.
    Node,
    /// Its permit is over.
    PermitExpired(PermitExpired),
    /// Something came on the connection that belongs to no request, or it ended: another connection has to do.
    Connection,
}

/// What an attempt asks from its choice to its first byte.
#[derive(Clone)]
struct Gate {
    pools: Rc<RefCell<Pools>>,
    counters: Rc<Counters>,
    node: NodeId,
    /// Where it was when it was chosen; none if it was listed no more.
    address: Option<SocketAddr>,
    permit: Rc<SendPermit>,
}

impl Gate {
    /// The one place where it is decided whether a request may begin at its node: by what is known at this moment of
    /// the node, of the request's permit and, where there is one already, of the connection.
    fn admits(&self, stage: Stage, connection: Option<&TcpStream>) -> Result<(), Withheld> {
        let pools = self.pools.borrow();
        if self.address.is_none() || pools.ready(self.node) != self.address {
            self.counters.held_back.add();
            let known = match pools.places.get(&self.node) {
                Some((p, since)) => {
                    format!("{} is {:?} at {}, heard {since:?} ago", p.name, p.state, p.address)
                }
                None => "it is gone".into(),
            };
            log::info!("node: nothing new to node {} ({stage:?}): {known}", self.node.0);
            return Err(Withheld::Node);
        }
        // Nothing is lost by poller the rest once, when it counts.
        if stage == Stage::FirstByte {
            self.in_time(stage)?;
        }
        if connection.is_some_and(|stream| !quiet(stream)) {
            self.counters.held_back_connection.add();
            log::debug!("node: something unasked from node {} ({stage:?})", self.node.0);
            return Err(Withheld::Connection);
        }
        Ok(())
    }
}

impl Gate {
    /// Asks the permit.
    fn in_time(&self, stage: Stage) -> Result<(), Withheld> {
        let Some(late) = self.permit.expired(Instant::now()) else { return Ok(()) };
        match late {
            PermitExpired::Deadline => self.counters.held_back_deadline.add(),
            PermitExpired::RetryWindow => self.counters.held_back_window.add(),
            PermitExpired::Shutdown => self.counters.held_back_end.add(),
            PermitExpired::ClientDisconnected => self.counters.held_back_client.add(),
        }
        log::debug!("node: not sent to node {} ({stage:?}): {late:?}", self.node.0);
        Err(Withheld::PermitExpired(late))
    }
}

/// Whether nothing has come on a connection that was not read yet, by the system's word: the runtime may not have
/// heard of it.
fn quiet(stream: &TcpStream) -> bool {
    let peeked = socket2::SockRef::from(stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
    peeked.is_err_and(|problem| problem.kind() == io::ErrorKind::WouldBlock)
}

/// How far the exchange that a connection carries has come.
#[derive(Default)]
struct Progress {
    counters: Rc<Counters>,
    body_taken: Cell<bool>,
    wrote: Cell<bool>,
    whole: Cell<bool>,
    /// When the answer's last bytes so far came, and by when more must; how many have come.
    heard: Cell<Option<Instant>>,
    read: Cell<usize>,
    /// An interim answer came; the one that counts is still to come.
    interim: Arc<AtomicBool>,
    /// The other side ended the connection.
    ended: Cell<bool>,
    /// Whether the request may begin; asked right before its first byte.
    gate: RefCell<Option<Gate>>,
    /// It may not: nothing of it was written.
    withheld: Cell<Option<Withheld>>,
}

impl Progress {
    /// Before a request.
    fn restart(&self, body_taken: bool, gate: Gate) {
        gate.permit.written.set(WriteProgress::Nothing);
        self.gate.replace(Some(gate));
        self.body_taken.set(body_taken);
        self.wrote.set(false);
        self.whole.set(false);
        self.heard.set(None);
        self.read.set(0);
        self.interim.store(false, Ordering::Relaxed);
    }

    /// Asks, before the first byte of a request, whether it may begin.
    fn begin(&self, stream: &TcpStream) -> io::Result<()> {
        let gate = self.gate.borrow();
        let Some(gate) = gate.as_ref().filter(|_| !self.wrote.get()) else { return Ok(()) };
        let Err(why) = gate.admits(Stage::FirstByte, Some(stream)) else { return Ok(()) };
        self.withheld.set(Some(why));
        Err(io::Error::other("the request may not begin"))
    }

    /// So much of the request has been written.
    fn wrote(&self, written: WriteProgress) {
        self.wrote.set(true);
        self.gate.borrow().iter().for_each(|gate| gate.permit.written.set(written));
    }

    /// When the answer must be whole at the latest.
    fn due(&self, until: Instant) -> Instant {
        if self.interim.swap(false, Ordering::Relaxed) {
            self.heard.set(None);
        }
        self.heard.get().map_or(until, |due| until.min(due))
    }
}

/// The request's body: tells when its last bytes have been handed to the connection.
struct Outgoing {
    bytes: Option<Bytes>,
    passing: Option<UploadReader>,
    length: Option<u64>,
    progress: Rc<Progress>,
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        if let Some(pieces) = &mut self.passing {
            let piece = ready!(Pin::new(pieces).poll_next(cx));
            if piece.is_none() {
                self.progress.body_taken.set(true);
            }
            return Poll::Ready(piece.map(|piece| piece.map(Frame::data)));
        }
        let bytes = self.bytes.take();
        self.progress.body_taken.set(true);
        Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none() && self.passing.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The socket, watched for the moment when the request's last byte is out: the connection flushes only
/// once its own buffer is empty.
struct Watched {
    stream: TcpStream,
    progress: Rc<Progress>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let (Poll::Ready(result), progress) = (&read, &self.progress) else { return read };
        let some = buf.filled().len() - before;
        if result.is_err() || some == 0 {
            progress.ended.set(true);
            return read;
        }
        progress.read.set(progress.read.get() + some);
        let pace = Duration::from_secs_f64(some as f64 / PACE);
        progress.heard.set(Some(Instant::now() + STOPPED + pace));
        if progress.read.get() > LONGEST_ANSWER {
            return Poll::Ready(Err(io::Error::other("an answer past any sensible length")));
        }
        read
    }
}

impl Watched {
    /// Writes, unless it would be the first byte to a node that takes no more work.
    fn guarded(
        &mut self,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.progress.begin(&self.stream)?;
        let written = write(Pin::new(&mut self.stream));
        if matches!(written, Poll::Ready(Ok(1..))) && !self.progress.whole.get() {
            self.progress.wrote(WriteProgress::Partial);
        }
        written
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.guarded(|stream| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.guarded(|stream| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let out = self.progress.wrote.get() && self.progress.body_taken.get();
        if out && !self.progress.whole.replace(true) {
            self.progress.wrote(WriteProgress::Complete);
            self.progress.counters.attempts.add();
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// One connection to a node.
struct Link {
    sender: SendRequest<Outgoing>,
    connection: Connection<TokioIo<Watched>, Outgoing>,
    progress: Rc<Progress>,
    slot: ConnectionSlot,
    idle_since: Instant,
    ended: bool,
}

impl Link {
    /// Drives the connection while `work` uses it; `None` once its time is over.
    async fn drive<O>(&mut self, work: impl Future<Output = O>, until: impl Fn() -> Instant) -> Option<O> {
        let mut due = until();
        let (mut work, mut over) = (pin!(work), pin!(sleep_until(due)));
        poll_fn(|cx| {
            for _ in 0..2 {
                self.poll_connection(cx);
                if let Poll::Ready(output) = work.as_mut().poll(cx) {
                    return Poll::Ready(Some(output));
                }
            }
            let now_due = self.progress.due(until());
            if now_due != due {
                due = now_due;
                over.as_mut().reset(due);
            }
            over.as_mut().poll(cx).map(|()| None)
        })
        .await
    }

    fn poll_connection(&mut self, cx: &mut Context<'_>) {
        if !self.ended && Pin::new(&mut self.connection).poll(cx).is_ready() {
            self.ended = true;
        }
    }

    /// Whether it can carry another request right now.
    async fn usable(&mut self) -> bool {
        poll_fn(|cx| {
            self.poll_connection(cx);
            let ready = self.sender.poll_ready(cx);
            Poll::Ready(!self.ended && matches!(ready, Poll::Ready(Ok(()))))
        })
        .await
    }
}

#[derive(Default)]
struct Pools {
    /// The nodes that are listed.
    places: Places,
    idle: HashMap<NodeId, Vec<(u64, Link)>>,
    next: u64,
}

impl Pools {
    fn ready(&self, node: NodeId) -> Option<SocketAddr> {
        self.places.ready(node)
    }
}

/// The rest of an answer that passes on, with the connection that it comes over.
struct Passing {
    link: Option<Link>,
    body: Incoming,
    node: NodeId,
    pools: Rc<RefCell<Pools>>,
    over: Pin<Box<Sleep>>,
}

impl Stream for Passing {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        for _ in 0..2 {
            let Some(link) = &mut this.link else { return Poll::Ready(None) };
            link.poll_connection(cx);
            while let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) {
                this.over.as_mut().reset(Instant::now() + STALLED);
                match frame.map(|frame| frame.map(Frame::into_data)) {
                    Some(Ok(Ok(data))) => {
                        // The other side need not ask for more than the length that it was told.
                        if this.body.is_end_stream() {
                            this.link
                                .take()
                                .into_iter()
                                .for_each(|l| NodeTransport::keep(&this.pools, this.node, l));
                        }
                        return Poll::Ready(Some(Ok(data)));
                    }
                    // Trailers say nothing that goes on.
                    Some(Ok(Err(_))) => {}
                    Some(Err(problem)) => {
                        this.link = None;
                        return Poll::Ready(Some(Err(IncompleteBody::new(problem.to_string()))));
                    }
                    None => {
                        this.link
                            .take()
                            .into_iter()
                            .for_each(|l| NodeTransport::keep(&this.pools, this.node, l));
                        return Poll::Ready(None);
                    }
                }
            }
        }
        ready!(this.over.as_mut().poll(cx));
        this.link = None;
        Poll::Ready(Some(Err(IncompleteBody::new("the node stopped"))))
    }
}

/// The nodes, as places and as pools of connections.
pub struct NodeTransport {
    pools: Rc<RefCell<Pools>>,
    budget: Rc<DescriptorBudget>,
    memory: Rc<BodyMemory>,
    counters: Rc<Counters>,
    connect_timeout: Duration,
    idle_for: Duration,
}

impl NodeTransport {
    /// Knows no node yet. `conn_idle` is the time after which nodes close idle connections.
    pub fn new(
        budget: Rc<DescriptorBudget>,
        memory: Rc<BodyMemory>,
        counters: Rc<Counters>,
        connect_timeout: f64,
        conn_idle: f64,
        hosts: u32,
    ) -> Rc<NodeTransport> {
        let most = if hosts > SMALL_FLEET_MAX_HEADS { f64::INFINITY } else { IDLE_MOST };
        let (connect_timeout, idle_for) =
            (seconds(connect_timeout), seconds((conn_idle * IDLE_PART).min(most)));
        let pools = Rc::default();
        Rc::new(NodeTransport { pools, budget, memory, counters, connect_timeout, idle_for })
    }

    /// Takes in what discovery says of a node. One that takes no more work, or has moved, loses its
    /// idle connections.
    pub fn place(&self, node: NodeId, place: NodeAddress) {
        let mut pools = self.pools.borrow_mut();
        let moved = pools.places.address(node) != Some(place.address);
        let stays = place.state == NodeState::Ready && !moved;
        pools.places.insert(node, place);
        let lost = if stays { None } else { pools.idle.remove(&node) };
        drop(pools);
        drop(lost);
    }

    /// Forgets a node that left the list.
    pub fn forget(&self, node: NodeId) {
        let mut pools = self.pools.borrow_mut();
        pools.places.remove(node);
        let lost = pools.idle.remove(&node);
        drop(pools);
        drop(lost);
    }

    /// Closes connections that have been idle for long; runs as long as the program.
    pub async fn sweep(&self) {
        loop {
            tokio::time::sleep(self.idle_for.min(Duration::from_secs(1))).await;
            let mut old = Vec::new();
            for idle in self.pools.borrow_mut().idle.values_mut() {
                let keep = idle.iter().position(|(_, l)| l.idle_since.elapsed() < self.idle_for);
                old.extend(idle.drain(..keep.unwrap_or(idle.len())));
            }
            drop(old);
        }
    }

    /// The newest idle connection that has rested and still stands, as far as the runtime has heard.
    async fn pooled(&self, node: NodeId) -> Option<Link> {
        loop {
            let mut link = {
                let mut pools = self.pools.borrow_mut();
                let idle = pools.idle.get_mut(&node)?;
                let place = idle.iter().rposition(|(_, link)| link.idle_since.elapsed() >= REST)?;
                idle.remove(place).1
            };
            link.slot.busy();
            if link.idle_since.elapsed() < self.idle_for && link.usable().await {
                return Some(link);
            }
        }
    }

    fn keep(shared: &Rc<RefCell<Pools>>, node: NodeId, mut link: Link) {
        let mut pools = shared.borrow_mut();
        if link.ended || link.sender.is_closed() || pools.ready(node).is_none() {
            // Its end gives descriptors back, which may close other connections of these pools.
            drop(pools);
            return;
        }
        link.idle_since = Instant::now();
        let number = pools.next;
        pools.next += 1;
        let weak = Rc::downgrade(shared);
        link.slot.idle(move || {
            let Some(pools) = weak.upgrade() else { return };
            let link = pools.borrow_mut().idle.get_mut(&node).and_then(|idle| {
                let place = idle.iter().position(|(n, _)| *n == number)?;
                Some(idle.remove(place))
            });
            drop(link);
        });
        pools.idle.entry(node).or_default().push((number, link));
    }

    async fn connect(&self, address: SocketAddr, until: Instant) -> Option<Link> {
        let slot = self.budget.slot(Side::Node)?;
        let until = until.min(Instant::now() + self.connect_timeout);
        self.counters.node_connections.add();
        let stream = match timeout_at(until, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(problem)) => {
                log::debug!("node: {address}: {problem}");
                return None;
            }
            Err(_) => {
                log::debug!("node: {address}: no connection in time");
                return None;
            }
        };
        if let Err(problem) = stream.set_nodelay(true) {
            log::debug!("node: {address}: {problem}");
        }
        let progress = Progress { counters: self.counters.clone(), ..Progress::default() };
        let progress = Rc::new(progress);
        let io = TokioIo::new(Watched { stream, progress: progress.clone() });
        let mut http = http1::Builder::new();
        http.max_buf_size(LONGEST_HEAD);
        let (sender, connection) = http.handshake(io).await.ok()?;
        Some(Link { sender, connection, progress, slot, idle_since: Instant::now(), ended: false })
    }

    async fn attempt(&self, node: NodeId, envelope: &NodeRequest, permit: &Rc<SendPermit>) -> AttemptResult {
        let address = self.pools.borrow().places.address(node);
        let (pools, counters, permit) = (self.pools.clone(), self.counters.clone(), permit.clone());
        let gate = Gate { pools, counters, node, address, permit };
        let Some(address) = gate.admits(Stage::Chosen, None).ok().and(address) else {
            return AttemptResult::empty(AttemptOutcome::NotSent);
        };
        loop {
            let (link, pooled) = match self.pooled(node).await {
                Some(link) => (link, true),
                None => match self.connect(address, gate.permit.latest_start()).await {
                    Some(link) => (link, false),
                    // That it could wait no longer says nothing of the node.
                    None => match gate.in_time(Stage::Chosen) {
                        Err(Withheld::PermitExpired(
                            PermitExpired::RetryWindow
                            | PermitExpired::Shutdown
                            | PermitExpired::ClientDisconnected,
                        )) => {
                            return AttemptResult::empty(AttemptOutcome::NotSent);
                        }
                        _ => return AttemptResult::empty(AttemptOutcome::ConnectFailed),
                    },
                },
            };
            // A slow connect may have outlasted what held when the node was chosen.
            let exchanged = match gate.admits(Stage::Connected, None) {
                Ok(()) => self.exchange(link, address, envelope, &gate).await,
                Err(why) => Err(why),
            };
            match exchanged {
                Ok(reply) => return reply,
                // Nothing was written, so this is still the same attempt. A new connection that speaks first is
                // none that can be used.
                Err(Withheld::Connection) if pooled => {}
                Err(Withheld::Connection) => return AttemptResult::empty(AttemptOutcome::ConnectFailed),
                Err(Withheld::Node | Withheld::PermitExpired(_)) => {
                    return AttemptResult::empty(AttemptOutcome::NotSent);
                }
            }
        }
    }

    /// One request and its answer over a connection; an error where not a byte of it was written.
    async fn exchange(
        &self,
        mut link: Link,
        address: SocketAddr,
        envelope: &NodeRequest,
        gate: &Gate,
    ) -> Result<AttemptResult, Withheld> {
        let (node, until) = (gate.node, gate.permit.expires_at);
        let upload = envelope.payload.upload().cloned();
        let empty = matches!(&envelope.payload, Payload::Buffered(bytes) if bytes.is_empty());
        link.progress.restart(empty, gate.clone());
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let Some(request) = request(envelope, address, left, &link.progress) else {
            return Ok(AttemptResult::empty(AttemptOutcome::NotSent));
        };
        let answer = link.sender.send_request(request);
        let work = async {
            let (head, mut body) = answer.await?.into_parts();
            let has = |name| head.headers.contains_key(name);
            let (length, coding) = (has(CONTENT_LENGTH), has(TRANSFER_ENCODING));
            if length && coding {
                return Err("an answer whose length is in doubt".into());
            }
            // One that says no length ends with its connection; a reset is no end.
            let (held, wait) = match body.size_hint().exact() {
                Some(length) if length > HELD as u64 => (FIRST, None),
                Some(_) => (HELD, None),
                None => (HELD, Some((Instant::now() + FIRST_WAIT, FIRST))),
            };
            let gathered = self.memory.gather(&mut body, held, wait).await?;
            Ok::<_, Box<dyn std::error::Error + Send + Sync>>((head, body, gathered))
        };
        let ended =
            link.drive(work, || upload.as_ref().map_or(until, |upload| upload.attempt_deadline())).await;
        let progress = &link.progress;
        if let Some(why) = progress.withheld.get() {
            return Err(why);
        }
        Ok(match ended {
            // Never whole at the node, so it never began.
            None | Some(Err(_)) if !progress.whole.get() => {
                AttemptResult::empty(AttemptOutcome::ConnectFailed)
            }
            None if progress.heard.get().is_none() => AttemptResult::empty(AttemptOutcome::Timeout),
            Some(Err(problem)) if progress.ended.get() => {
                log::debug!("node: {address}: {problem}");
                AttemptResult::empty(AttemptOutcome::Reset)
            }
            // It has run, and what came back is of no use; nor is the connection.
            None | Some(Err(_)) => {
                self.counters.spoilt.add();
                log::debug!("node: {address}: spoilt answer");
                AttemptResult::empty(AttemptOutcome::Error)
            }
            Some(Ok((head, rest, Gathered { bytes, whole }))) => {
                let outcome = match head.status {
                    StatusCode::OK => AttemptOutcome::Ok,
                    StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
                        if head.headers.get("x-unprocessed").is_some_and(|v| v == "1") =>
                    {
                        AttemptOutcome::Rejected
                    }
                    _ => AttemptOutcome::Error,
                };
                let (used, report) = notes(&head.headers);
                let mut body = StreamedBody::from(bytes);
                if whole {
                    NodeTransport::keep(&self.pools, node, link);
                } else if outcome == AttemptOutcome::Ok {
                    body.length = rest.size_hint().exact().map(|rest| rest + body.buffered.len() as u64);
                    let (pools, over) = (self.pools.clone(), Box::pin(sleep_until(Instant::now() + STALLED)));
                    body.rest = Some(Box::pin(Passing { link: Some(link), body: rest, node, pools, over }));
                }
                AttemptResult { outcome, body, usage: used, load_report: report }
            }
        })
    }
}

impl Transport for NodeTransport {
    async fn send(&self, node: NodeId, envelope: &NodeRequest, permit: &Rc<SendPermit>) -> AttemptResult {
        self.attempt(node, envelope, permit).await
    }
}

/// The request as it goes to a node; `None` if its parts are no HTTP.
fn request(
    envelope: &NodeRequest,
    address: SocketAddr,
    left: f64,
    progress: &Rc<Progress>,
) -> Option<hyper::Request<Outgoing>> {
    let method = match envelope.operation {
        Operation::Read => Method::GET,
        Operation::Write => Method::PUT,
    };
    let mut request = hyper::Request::builder()
        .method(&method)
        .uri(&envelope.target)
        .header(HOST, address.to_string())
        .header("x-correlation-id", HeaderValue::from_maybe_shared(envelope.id.clone()).ok()?)
        .header("x-time-left", format!("{left:.3}"));
    if let Some(key) = &envelope.idempotency_key {
        request = request.header("idempotency-key", HeaderValue::from_maybe_shared(key.clone()).ok()?);
    }
    let (bytes, passing) = match &envelope.payload {
        Payload::Buffered(bytes) => (Some(bytes.clone()).filter(|b| !b.is_empty()), None),
        // None once they were taken: they can't be sent again.
        Payload::Streamed(upload) => (None, Some(upload.take()?)),
    };
    if method == Method::PUT && bytes.is_none() && passing.is_none() {
        request = request.header(CONTENT_LENGTH, 0);
    }
    let length = match &envelope.payload {
        Payload::Buffered(bytes) => Some(bytes.len() as u64),
        Payload::Streamed(upload) => upload.length,
    };
    let mut request = request.body(Outgoing { bytes, passing, length, progress: progress.clone() }).ok()?;
    let interim = progress.interim.clone();
    hyper::ext::on_informational(&mut request, move |_| interim.store(true, Ordering::Relaxed));
    Some(request)
}

/// The meter's figure and the load report that an answer may carry; what can't be read is left out.
fn notes(headers: &HeaderMap) -> (Option<f64>, LoadReport) {
    let used = headers.get("x-iops-used").and_then(|v| v.to_str().ok()?.trim().parse::<f64>().ok());
    let used = used.filter(|percent| percent.is_finite() && *percent >= 0.0).map(|percent| percent / 100.0);
    let load = headers.get("x-backend-load").map(HeaderValue::as_bytes);
    let load: HashMap<String, f64> = load.and_then(|l| serde_json::from_slice(l).ok()).unwrap_or_default();
    (used, crate::config::report(load.iter().map(|(name, value)| (name.as_str(), *value))))
}

#[cfg(test)]
mod tests;
