//! HTTP/2 in cleartext, with prior knowledge (RFC 9113, section 3.3), on a port of its own. Framing, HPACK and flow
//! control are the `h2` library's; who gets in, who is turned out and how a connection ends is decided by
//! `flaxgap_streams`. A stream is a request like any other: it goes through the same [`FrontendContext`].

use crate::core::{Transport, seconds};
use crate::frontend::closing::{self, Shared, Why};
use crate::frontend::request::{FrontendContext, Outgoing};
use crate::resources::descriptors::ConnectionSlot;
use bytes::{Buf, Bytes};
use flaxgap_streams::Http2;
use flaxgap_streams::abuse::{Kind, Scores};
use flaxgap_streams::admission::{Admission, Connection};
use flaxgap_streams::frames::{NotHttp2, Scanner};
use flaxgap_streams::goodbye::{Act, Cause, Goodbye};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc};
use tokio::time::{Instant, sleep_until, timeout};

/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a body may take beyond its pace, as on the front of HTTP/1.1.
const BODY_GRACE: Duration = Duration::from_millis(2500);
/// How long a last word to a connection may take to get out.
const LAST_WORD: Duration = Duration::from_secs(1);
/// Far enough away for a timer that is not needed.
const NEVER: Duration = Duration::from_secs(86_400);
/// Bytes that a stream's answer may wait in the library, past what the client has room for.
const SEND_BUFFER: usize = 16 * 1024;
/// What a client of HTTP/1 is told here.
const WRONG_PORT: &str = "HTTP/1.1 505 HTTP Version Not Supported\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 32\r\n\r\nthis port speaks HTTP/2 (h2c) \r\n";

/// What a connection did that ends it.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
enum Wrong {
    #[error(transparent)]
    NotHttp2(#[from] NotHttp2),
    #[error("too many {0}")]
    Flood(Kind),
    #[error("a frame of type {0} with {1} bytes")]
    Size(u8, u32),
}

impl Wrong {
    fn reason(self) -> Reason {
        match self {
            Wrong::NotHttp2(_) => Reason::PROTOCOL_ERROR,
            Wrong::Flood(_) => Reason::ENHANCE_YOUR_CALM,
            Wrong::Size(..) => Reason::FRAME_SIZE_ERROR,
        }
    }
}

/// What the reader of a connection has seen, for its task.
struct Guard {
    scanner: RefCell<Scanner>,
    scores: RefCell<Scores>,
    started: Instant,
    wrong: Cell<Option<Wrong>>,
    moved: Notify,
}

impl Guard {
    /// Looks at what has come; how much of it the library may have: nothing from a frame on that ends the connection.
    fn see(&self, bytes: &[u8]) -> usize {
        if self.wrong.get().is_some() {
            return 0;
        }
        let now = self.started.elapsed().as_secs_f64();
        let (mut scores, mut wrong) = (self.scores.borrow_mut(), None);
        let scanned = self.scanner.borrow_mut().take(bytes, |head| {
            let size = (!head.fits()).then_some(Wrong::Size(head.kind, head.length));
            wrong = size.or(scores.count(now, &head).map(Wrong::Flood));
            wrong.is_none()
        });
        let (passed, wrong) = match scanned {
            Ok(passed) => (passed, wrong),
            Err(problem) => (0, Some(problem.into())),
        };
        if wrong.is_some() {
            self.wrong.set(wrong);
            self.moved.notify_one();
        }
        passed
    }

    async fn wrong(&self) -> Wrong {
        loop {
            if let Some(wrong) = self.wrong.get() {
                return wrong;
            }
            self.moved.notified().await;
        }
    }
}

/// A connection whose frames are looked at as they come.
struct Seen {
    stream: Shared,
    guard: Rc<Guard>,
}

impl AsyncRead for Seen {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let come = buf.filled().len() - before;
        let passed = self.guard.see(&buf.filled()[before..]);
        buf.set_filled(before + passed);
        // The connection's task has been told; to the library nothing more comes, which is not the end.
        if come > 0 && passed == 0 { Poll::Pending } else { Poll::Ready(Ok(())) }
    }
}

impl AsyncWrite for Seen {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A request's body. The window of its sender opens as it is taken, and no sooner.
struct Received {
    body: RecvStream,
    left: Option<u64>,
}

impl Body for Received {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        let Some(data) = ready!(self.body.poll_data(cx)) else { return Poll::Ready(None) };
        let taken = data.and_then(|data| {
            self.body.flow_control().release_capacity(data.len())?;
            self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
            Ok(Frame::data(data))
        });
        Poll::Ready(Some(taken))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match self.left {
            _ if self.body.is_end_stream() => SizeHint::with_exact(0),
            Some(left) => SizeHint::with_exact(left),
            None => SizeHint::default(),
        }
    }
}

/// Why a stream's answer did not get out whole.
#[derive(Debug, Error)]
enum StreamError {
    #[error("reset by its client")]
    Reset,
    #[error("its client takes nothing")]
    Stalled,
    #[error("the node's answer broke off")]
    Broken,
    #[error("{0}")]
    Protocol(#[from] h2::Error),
}

/// The front of HTTP/2.
pub struct Http2Frontend<T> {
    desk: Rc<FrontendContext<T>>,
    settings: Http2,
    admission: RefCell<Admission>,
    places: Arc<Semaphore>,
}

/// A connection's membership, given up when dropped.
struct Member<T> {
    front: Rc<Http2Frontend<T>>,
    connection: Connection,
}

impl<T> Drop for Member<T> {
    fn drop(&mut self) {
        self.front.admission.borrow_mut().disconnect(self.connection);
    }
}

/// A stream's place, given back when dropped; its connection hears of it.
struct Place<T> {
    front: Rc<Http2Frontend<T>>,
    connection: Connection,
    ended: mpsc::UnboundedSender<()>,
}

impl<T> Drop for Place<T> {
    fn drop(&mut self) {
        self.front.admission.borrow_mut().close(self.connection);
        // The connection may have ended before.
        let _ = self.ended.send(());
    }
}

impl<T: Transport + 'static> Http2Frontend<T> {
    /// A front without connections.
    pub fn new(desk: Rc<FrontendContext<T>>, settings: Http2) -> Rc<Http2Frontend<T>> {
        let admission = RefCell::new(Admission::new(settings.streams_each, settings.streams_all));
        let places = Arc::new(Semaphore::new(settings.connections));
        Rc::new(Http2Frontend { desk, settings, admission, places })
    }

    /// Accepts clients for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: Rc<TcpListener>) {
        loop {
            let Ok(place) = self.places.clone().acquire_owned().await else { return };
            let slot = self.desk.budget.client_slot().await;
            match self.desk.phases.next(&listener).await {
                Ok(stream) => {
                    let (front, guard) = (self.clone(), self.desk.phases.connection());
                    tokio::task::spawn_local(async move {
                        let _held = (place, guard);
                        let (stream, close) = (Rc::new(stream), Rc::new(Notify::new()));
                        front.clone().serve(stream.clone(), &slot, &close).await;
                        // The library has said its goodbye; what still comes is not to reset it.
                        closing::end(&stream, Why::Done, close.notified(), &front.desk.counters).await;
                    });
                }
                Err(problem) => {
                    log::warn!("http2: accept: {problem}");
                    self.desk.budget.reclaim();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// One connection's life: its preface, its streams, its goodbye.
    async fn serve(self: Rc<Self>, stream: Rc<TcpStream>, slot: &ConnectionSlot, close: &Rc<Notify>) {
        let counters = &self.desk.counters;
        counters.client_connections.add();
        counters.http2_connections.add();
        if let Err(problem) = stream.set_nodelay(true) {
            log::debug!("http2: {problem}");
        }
        let closer = close.clone();
        slot.silent(move || closer.notify_one());
        let member = Member { front: self.clone(), connection: self.admission.borrow_mut().connect() };
        let patience = seconds(self.settings.handshake);
        let started = Instant::now();
        match tokio::select! {
            begun = timeout(patience, begins(&stream)) => begun,
            () = close.notified() => return,
        } {
            Ok(Ok(None)) => {}
            Ok(Ok(Some(problem))) => {
                counters.bad_input.add();
                log::info!("http2: {problem}");
                if problem == NotHttp2::Http1 {
                    let told = timeout(LAST_WORD, Shared(stream).write_all(WRONG_PORT.as_bytes())).await;
                    log::debug!("http2: told so: {told:?}");
                }
                return;
            }
            Ok(Err(problem)) => return log::debug!("http2: {problem}"),
            Err(_) => return log::debug!("http2: no preface in time"),
        }
        let guard = Rc::new(Guard {
            scanner: RefCell::default(),
            scores: RefCell::new(Scores::new(self.settings.allowances, 0.0)),
            started,
            wrong: Cell::new(None),
            moved: Notify::new(),
        });
        let mut builder = h2::server::Builder::new();
        builder
            .max_concurrent_streams(self.settings.streams_each as u32)
            .initial_window_size(self.settings.stream_window)
            .initial_connection_window_size(self.settings.connection_window)
            .max_header_list_size(self.settings.header_list)
            .max_send_buffer_size(SEND_BUFFER);
        let seen = Seen { stream: Shared(stream), guard: guard.clone() };
        let opening = builder.handshake::<_, Bytes>(seen);
        let mut connection = match timeout(patience.saturating_sub(started.elapsed()), opening).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(problem)) => return log::debug!("http2: {problem}"),
            Err(_) => return log::debug!("http2: no settings in time"),
        };
        let now = || started.elapsed().as_secs_f64();
        let mut goodbye = Goodbye::new(self.settings.idle, self.settings.grace, now());
        let (ended, mut ends) = mpsc::unbounded_channel();
        let mut closing = self.desk.phases.subscribe_closing();
        let mut leaving = false;
        slot.busy();
        rest(slot, close);
        loop {
            let due = goodbye.due().map_or(Instant::now() + NEVER, |due| started + seconds(due));
            let act = tokio::select! {
                biased;
                wrong = guard.wrong() => {
                    counters.http2_turned_out.add();
                    log::warn!(event = "http2_turned_out"; "http2: a connection is ended: {wrong}");
                    connection.abrupt_shutdown(wrong.reason());
                    // The last word goes out, then all that is left of it ends.
                    let last = poll_fn(|cx| connection.poll_closed(cx));
                    let told = timeout(LAST_WORD, last).await;
                    log::debug!("http2: its end: {told:?}");
                    break;
                }
                Some(()) = ends.recv() => {
                    goodbye.closed(now());
                    if goodbye.streams() == 0 {
                        rest(slot, close);
                    }
                    match self.desk.phases.leaving() || goodbye.streams() == 0 && self.desk.budget.crowded() {
                        true => goodbye.leave(now(), Cause::Drain),
                        false => Act::Wait,
                    }
                }
                _ = closing.wait_for(|closing| *closing), if !leaving => {
                    leaving = true;
                    goodbye.leave(now(), Cause::Drain)
                }
                () = close.notified() => goodbye.leave(now(), Cause::Reclaimed),
                () = sleep_until(due) => goodbye.look(now()),
                accepted = connection.accept() => match accepted {
                    Some(Ok((request, respond))) => {
                        if goodbye.streams() == 0 {
                            slot.busy();
                        }
                        if self.take(member.connection, request, respond, &ended) {
                            goodbye.opened();
                        } else if goodbye.streams() == 0 {
                            rest(slot, close);
                        }
                        Act::Wait
                    }
                    Some(Err(problem)) => {
                        // The library has bounds of its own.
                        if problem.reason() == Some(Reason::ENHANCE_YOUR_CALM) {
                            counters.http2_turned_out.add();
                        }
                        log::debug!("http2: {problem}");
                        break;
                    }
                    None => break,
                },
            };
            match act {
                Act::Wait => {}
                Act::Announce => connection.graceful_shutdown(),
                Act::Cut => {
                    log::debug!("http2: cut off, {:?}", goodbye.cause());
                    break;
                }
            }
        }
    }

    /// Takes a stream, or refuses it before anything of it is processed.
    fn take(
        self: &Rc<Self>,
        connection: Connection,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
        ended: &mpsc::UnboundedSender<()>,
    ) -> bool {
        let counters = &self.desk.counters;
        let opened = self.admission.borrow_mut().open(connection);
        if let Err(why) = opened {
            counters.http2_refused.add();
            log::debug!("http2: a stream is refused: {why:?}");
            respond.send_reset(Reason::REFUSED_STREAM);
            return false;
        }
        counters.http2_streams.add();
        let place = Place { front: self.clone(), connection, ended: ended.clone() };
        let front = self.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            match front.stream(request, &mut respond).await {
                Ok(()) => {}
                Err(StreamError::Reset) => front.desk.counters.http2_resets.add(),
                Err(problem) => {
                    if matches!(problem, StreamError::Stalled) {
                        front.desk.counters.http2_stalled.add();
                    }
                    log::debug!("http2: a stream: {problem}");
                }
            }
        });
        true
    }

    /// One stream's life, from its fields to the last byte of its answer. A reset drops all of it, and with it the
    /// attempt at the node.
    async fn stream(
        &self,
        request: Request<RecvStream>,
        respond: &mut SendResponse<Bytes>,
    ) -> Result<(), StreamError> {
        let (head, body) = request.into_parts();
        if head.headers.get(EXPECT).is_some_and(|expects| expects == "100-continue") && !body.is_end_stream()
        {
            let mut go_on = Response::new(());
            *go_on.status_mut() = StatusCode::CONTINUE;
            respond.send_informational(go_on)?;
        }
        let length = head.headers.get(CONTENT_LENGTH).and_then(|v| v.to_str().ok()?.parse().ok());
        let doubtful = !one_authority(&head);
        let request = Request::from_parts(head, Received { body, left: length });
        let response = tokio::select! {
            biased;
            _ = poll_fn(|cx| respond.poll_reset(cx)) => return Err(StreamError::Reset),
            response = self.desk.answer(request, BODY_GRACE, doubtful, None) => response,
        };
        let (mut head, mut body) = response.into_parts();
        if let Some(length) = body.size_hint().exact() {
            head.headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        let whole = body.is_end_stream();
        let mut send = respond.send_response(Response::from_parts(head, ()), whole)?;
        if !whole {
            self.pass_on(&mut body, &mut send).await?;
        }
        Ok(())
    }

    /// Passes an answer on as its client has room for it.
    async fn pass_on(&self, body: &mut Outgoing, send: &mut SendStream<Bytes>) -> Result<(), StreamError> {
        loop {
            let frame = tokio::select! {
                biased;
                _ = poll_fn(|cx| send.poll_reset(cx)) => return Err(StreamError::Reset),
                frame = body.frame() => frame,
            };
            let mut data = match frame.map(|frame| frame.map(Frame::into_data)) {
                Some(Ok(Ok(data))) => data,
                Some(Ok(Err(_))) => continue,
                Some(Err(_)) => {
                    send.send_reset(Reason::INTERNAL_ERROR);
                    return Err(StreamError::Broken);
                }
                None => {
                    send.send_data(Bytes::new(), true)?;
                    return Ok(());
                }
            };
            while data.has_remaining() {
                send.reserve_capacity(data.len());
                let stall = seconds(self.settings.stall);
                // A reset comes first, whatever room there is.
                let room = poll_fn(|cx| match send.poll_reset(cx) {
                    Poll::Ready(_) => Poll::Ready(Err(StreamError::Reset)),
                    Poll::Pending => send.poll_capacity(cx).map(Ok),
                });
                let room = timeout(stall, room).await;
                let Ok(room) = room else {
                    send.send_reset(Reason::CANCEL);
                    return Err(StreamError::Stalled);
                };
                let room = room?.transpose()?.unwrap_or(0).min(data.len());
                if room > 0 {
                    send.send_data(data.split_to(room), false)?;
                }
            }
        }
    }
}

/// Between streams a connection may be closed if descriptors run short.
fn rest(slot: &ConnectionSlot, close: &Rc<Notify>) {
    let close = close.clone();
    slot.idle(move || close.notify_one());
}

/// Waits until it is clear what a client speaks; nothing is read.
async fn begins(stream: &TcpStream) -> io::Result<Option<NotHttp2>> {
    let (mut bytes, mut before) = ([0; flaxgap_streams::frames::PREFACE.len()], 0);
    loop {
        let come = stream.peek(&mut bytes).await?;
        if come == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut scanner = Scanner::default();
        if let Err(problem) = scanner.take(&bytes[..come], |_| true) {
            return Ok(Some(problem));
        }
        if scanner.begun() {
            return Ok(None);
        }
        if come == before {
            // What is there stays readable; more of it is not told of.
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
        before = come;
    }
}

/// `:authority` and `host` name one authority where both are there (RFC 9113, section 8.3.1).
fn one_authority(head: &Parts) -> bool {
    let mut hosts = head.headers.get_all(HOST).iter();
    match (head.uri.authority(), hosts.next(), hosts.next()) {
        (Some(authority), Some(host), None) => {
            host.as_bytes().eq_ignore_ascii_case(authority.as_str().as_bytes())
        }
        (_, _, Some(_)) => false,
        _ => true,
    }
}
