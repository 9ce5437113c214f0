//! Serves one HTTP/2 connection: preface, streams and graceful shutdown.

use super::frame_guard::{FrameGuard, InspectedStream, Violation};
use super::send_gate::SendGate;
use super::stream::StreamConnection;
use super::{Http2Frontend, stream};
use crate::core::{MAX_HOLD_UP, Transport, seconds};
use crate::frontend::closing::{CloseReason, ServiceEnd, SharedStream};
use crate::lifecycle::Closing;
use crate::resources::arrivals::ConnectionArrivals;
use crate::resources::descriptors::ClientSlot;
use bytes::Bytes;
use flaxgap_streams::abuse::FrameBudgets;
use flaxgap_streams::admission::Connection;
use flaxgap_streams::frames::{NotHttp2, PREFACE, Scanner, goaway_frames};
use flaxgap_streams::graceful_shutdown::{Action, Cause, GracefulShutdown};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use hyper::Request;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// Error code of a GOAWAY that ends a connection of which no stream was processed (RFC 9113, section 7).
const NO_ERROR: u32 = 0;
/// Pause before the first bytes of a client are looked at again, if they are not enough to detect its protocol.
const PREFACE_RECHECK_PAUSE: Duration = Duration::from_millis(10);
/// Time-out of the last write to a connection that is being closed.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the last answers are sent once the program answers no more requests: it may be held up before.
const LAST_ANSWERS_TIME: Duration = MAX_HOLD_UP.saturating_add(Duration::from_millis(100));
/// Delay of a timer that is not needed: longer than any connection waits for its next event.
const NEVER: Duration = Duration::from_secs(86_400);
/// Most bytes of a stream's answer that `h2` buffers beyond the client's flow-control window.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// The response to a client that speaks HTTP/1.
const USE_HTTP2_RESPONSE: &str = "HTTP/1.1 505 HTTP Version Not Supported\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 32\r\n\r\nthis port speaks HTTP/2 (h2c) \r\n";

/// Registers a connection for admission; removes it when dropped.
struct AdmittedConnection<T> {
    frontend: Rc<Http2Frontend<T>>,
    connection: Connection,
}

impl<T> Drop for AdmittedConnection<T> {
    fn drop(&mut self) {
        self.frontend.admission.borrow_mut().disconnect(self.connection);
    }
}

/// Serves a connection until the last frame is sent.
pub(super) async fn serve<T: Transport + 'static>(
    frontend: &Rc<Http2Frontend<T>>,
    stream: SharedStream,
    slot: &ClientSlot,
) -> ServiceEnd {
    let done = ServiceEnd::not_reclaimed(CloseReason::Done);
    let counters = &frontend.context.counters;
    counters.client_connections.add();
    counters.http2_connections.add();
    if let Err(error) = stream.socket().set_nodelay(true) {
        log::debug!("http2: TCP_NODELAY not set: {error}");
    }
    let connection = frontend.admission.borrow_mut().connect();
    let admitted = AdmittedConnection { frontend: frontend.clone(), connection };
    let opened_at = Instant::now();
    let handshake_timeout = seconds(frontend.settings.handshake_timeout_s);
    let preface = tokio::select! {
        preface = timeout(handshake_timeout, read_preface(stream.socket())) => preface,
        () = slot.reclaimed() => {
            return ServiceEnd::reclaimed(CloseReason::NothingOwed);
        }
    };
    match preface {
        Ok(Ok(Preface::Http2)) => {}
        Ok(Ok(Preface::Other(error))) => {
            reject(frontend, stream, error).await;
            return done;
        }
        Ok(Err(error)) => {
            log::debug!("http2: {error}");
            return done;
        }
        Err(_) => {
            log::debug!("http2: connection preface timed out");
            return done;
        }
    }
    let Some(_memory) = frontend.context.memory.try_reserve_http2_connection() else {
        counters.http2_refused.add();
        let frames = goaway_frames(NO_ERROR, "no memory for another connection");
        let written = stream.socket().try_write(&frames);
        log::debug!("http2: no memory for a connection, result={written:?}");
        return done;
    };
    let guard = FrameGuard::new(FrameBudgets::new(frontend.settings.frame_limits, 0.0), opened_at);
    let stall_timeout = seconds(frontend.settings.stall_timeout_s);
    let send_gate = Rc::new(SendGate::new(stream.shared_socket(), stall_timeout));
    let arrivals = stream.arrivals();
    let inspected = InspectedStream { stream, guard: guard.clone(), send_gate: send_gate.clone() };
    let library = match timeout(
        handshake_timeout.saturating_sub(opened_at.elapsed()),
        library_builder(frontend).handshake::<_, Bytes>(inspected),
    )
    .await
    {
        Ok(Ok(library)) => library,
        Ok(Err(error)) => {
            log::debug!("http2: {error}");
            return done;
        }
        Err(_) => {
            log::debug!("http2: handshake timed out");
            return done;
        }
    };
    let (ended_sender, ended) = mpsc::unbounded_channel();
    let graceful_shutdown = GracefulShutdown::new(
        frontend.settings.idle_timeout_s,
        frontend.settings.shutdown_grace_s,
        opened_at.elapsed().as_secs_f64(),
    );
    let open = OpenConnection {
        library,
        frontend,
        admission: admitted.connection,
        slot,
        guard,
        send_gate,
        arrivals,
        graceful_shutdown,
        opened_at,
        ended_sender,
        ended,
        shutdown: frontend.context.lifecycle.closing(),
        shutdown_begun: false,
    };
    let cause = open.run().await;
    match cause {
        Some(Cause::Reclaimed) => ServiceEnd::reclaimed(CloseReason::Done),
        _ => done,
    }
}

/// The protocol of a client, by its first bytes.
enum Preface {
    Http2,
    Other(NotHttp2),
}

/// Detects the protocol of a client from its first bytes, which stay in the socket.
async fn read_preface(stream: &TcpStream) -> io::Result<Preface> {
    let mut bytes = [0; PREFACE.len()];
    let mut peeked_before = 0;
    loop {
        let peeked = stream.peek(&mut bytes).await?;
        if peeked == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut scanner = Scanner::default();
        if let Err(error) = scanner.scan(&bytes[..peeked], |_| true) {
            return Ok(Preface::Other(error));
        }
        if scanner.is_past_preface() {
            return Ok(Preface::Http2);
        }
        if peeked == peeked_before {
            // The socket is readable already, so the runtime does not report further bytes.
            tokio::time::sleep(PREFACE_RECHECK_PAUSE).await;
        }
        peeked_before = peeked;
    }
}

/// Rejects a client that does not speak HTTP/2. A client that speaks HTTP/1 gets an HTTP/1.1 response.
async fn reject<T>(frontend: &Http2Frontend<T>, mut stream: SharedStream, error: NotHttp2) {
    frontend.context.counters.bad_input.add();
    log::info!("http2: {error}");
    if error == NotHttp2::Http1 {
        let write = stream.write_all(USE_HTTP2_RESPONSE.as_bytes());
        let written = timeout(LAST_WRITE_TIMEOUT, write).await;
        log::debug!("http2: HTTP/1 client answered, result={written:?}");
    }
}

fn library_builder<T>(frontend: &Http2Frontend<T>) -> h2::server::Builder {
    let settings = &frontend.settings;
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(settings.max_streams_per_connection as u32)
        .initial_window_size(settings.stream_window_bytes)
        .initial_connection_window_size(settings.connection_window_bytes)
        .max_header_list_size(settings.max_header_list_bytes)
        .max_send_buffer_size(SEND_BUFFER_BYTES);
    builder
}

/// A stream that `h2` accepted, or an error of the connection; `None` once the connection is closed.
type Accepted = Option<Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>>;

/// An event of an open connection.
enum ConnectionEvent {
    /// The client broke the protocol or exceeded a rate limit.
    Violation(Violation),
    /// A stream has ended.
    StreamEnded,
    /// The program shuts down. It answers requests until this time.
    Shutdown { requests_until: Instant },
    /// Descriptors run short, and this connection has to close.
    DescriptorsShort,
    /// The idle time-out or the grace time of the shutdown has passed.
    TimerDue,
    /// `h2` accepted a stream, failed or closed the connection.
    Accepted(Box<Accepted>),
}

/// A connection that has completed its handshake.
struct OpenConnection<'a, T> {
    library: h2::server::Connection<InspectedStream, Bytes>,
    frontend: &'a Rc<Http2Frontend<T>>,
    admission: Connection,
    slot: &'a ClientSlot,
    guard: Rc<FrameGuard>,
    send_gate: Rc<SendGate>,
    /// When the bytes of the connection arrived.
    arrivals: Rc<ConnectionArrivals>,
    /// Decides when the connection shuts down.
    graceful_shutdown: GracefulShutdown,
    opened_at: Instant,
    /// Receives a message when a stream ends.
    ended_sender: mpsc::UnboundedSender<()>,
    ended: mpsc::UnboundedReceiver<()>,
    shutdown: Closing,
    shutdown_begun: bool,
}

impl<T: Transport + 'static> OpenConnection<'_, T> {
    /// Serves streams until the connection has to close. Returns why it was shut down gracefully, if it was.
    async fn run(mut self) -> Option<Cause> {
        self.slot.mark_in_use();
        self.slot.mark_idle();
        loop {
            let action = match self.next_event().await {
                ConnectionEvent::Violation(violation) => {
                    self.end_for_violation(violation).await;
                    return None;
                }
                ConnectionEvent::StreamEnded => self.stream_ended(),
                ConnectionEvent::Shutdown { requests_until } => self.begin_shutdown(requests_until),
                ConnectionEvent::DescriptorsShort => self.reclaim(),
                ConnectionEvent::TimerDue => self.graceful_shutdown.poll(self.now()),
                ConnectionEvent::Accepted(accepted) => match *accepted {
                    Some(Ok((request, respond))) => {
                        self.stream_accepted(request, respond);
                        Action::None
                    }
                    Some(Err(error)) => {
                        self.library_failed(&error);
                        return None;
                    }
                    None => return self.graceful_shutdown.cause(),
                },
            };
            match action {
                Action::None => {}
                Action::SendGoaway => self.library.graceful_shutdown(),
                Action::Close => {
                    let cause = self.graceful_shutdown.cause();
                    log::debug!("http2: connection closed after the grace time, cause={cause:?}");
                    return cause;
                }
            }
        }
    }

    /// Returns the time since the connection opened, in seconds.
    fn now(&self) -> f64 {
        self.opened_at.elapsed().as_secs_f64()
    }

    /// Waits for the next event while `h2` reads and writes.
    async fn next_event(&mut self) -> ConnectionEvent {
        let due = match self.graceful_shutdown.deadline() {
            Some(due) => self.opened_at + seconds(due),
            None => Instant::now() + NEVER,
        };
        tokio::select! {
            biased;
            violation = self.guard.violation() => ConnectionEvent::Violation(violation),
            Some(()) = self.ended.recv() => ConnectionEvent::StreamEnded,
            requests_until = self.shutdown.when_idle(), if !self.shutdown_begun => {
                ConnectionEvent::Shutdown { requests_until }
            }
            () = self.slot.reclaimed() => ConnectionEvent::DescriptorsShort,
            () = sleep_until(due) => ConnectionEvent::TimerDue,
            accepted = self.library.accept() => ConnectionEvent::Accepted(Box::new(accepted)),
        }
    }

    /// Begins the graceful shutdown with the program. The connection stays open until the last answers are sent, however
    /// short its grace time is.
    fn begin_shutdown(&mut self, requests_until: Instant) -> Action {
        self.shutdown_begun = true;
        let action = self.graceful_shutdown.begin(self.now(), Cause::Drain);
        let answers_until = requests_until + LAST_ANSWERS_TIME;
        self.graceful_shutdown.keep_open_until((answers_until - self.opened_at).as_secs_f64());
        action
    }

    /// Sends a GOAWAY with the error code of the violation and closes the connection.
    async fn end_for_violation(&mut self, violation: Violation) {
        self.frontend.context.counters.http2_turned_out.add();
        log::warn!(event = "http2_turned_out"; "http2: a connection is ended: {violation}");
        self.library.abrupt_shutdown(violation.reason());
        let closed = poll_fn(|cx| self.library.poll_closed(cx));
        let result = timeout(LAST_WRITE_TIMEOUT, closed).await;
        log::debug!("http2: connection closed, result={result:?}");
    }

    /// Begins to close the connection to free its descriptor, unless a stream has been accepted in the meantime.
    fn reclaim(&mut self) -> Action {
        if self.graceful_shutdown.streams() > 0 {
            self.slot.decline_reclaim();
            return Action::None;
        }
        self.graceful_shutdown.begin(self.now(), Cause::Reclaimed)
    }

    fn stream_ended(&mut self) -> Action {
        self.graceful_shutdown.stream_closed(self.now());
        let is_idle = self.graceful_shutdown.streams() == 0;
        if is_idle {
            self.slot.mark_idle();
        }
        let context = &self.frontend.context;
        if context.lifecycle.should_reconnect() || is_idle && context.descriptors.has_too_many_idle_clients()
        {
            self.graceful_shutdown.begin(self.now(), Cause::Drain)
        } else {
            Action::None
        }
    }

    fn stream_accepted(&mut self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let was_idle = self.graceful_shutdown.streams() == 0;
        if was_idle {
            self.slot.decline_reclaim();
            self.slot.mark_in_use();
        }
        let connection = StreamConnection {
            admission: self.admission,
            ended: &self.ended_sender,
            send_gate: &self.send_gate,
            arrivals: &self.arrivals,
        };
        if stream::admit(self.frontend, &connection, request, respond) {
            self.graceful_shutdown.stream_opened();
        } else if was_idle {
            self.slot.mark_idle();
        }
    }

    fn library_failed(&self, error: &h2::Error) {
        // `h2` has rate limits of its own.
        if error.reason() == Some(Reason::ENHANCE_YOUR_CALM) {
            self.frontend.context.counters.http2_turned_out.add();
        }
        log::debug!("http2: {error}");
    }
}
