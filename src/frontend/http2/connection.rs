//! One connection: its preface, its streams, its graceful shutdown.

use super::frame_guard::{FrameGuard, InspectedStream, Violation};
use super::{ACCEPT_PAUSE, Http2Frontend, stream};
use crate::core::{Transport, seconds};
use crate::frontend::closing::SharedStream;
use crate::resources::descriptors::ConnectionSlot;
use bytes::Bytes;
use flaxgap_streams::abuse::FrameBudgets;
use flaxgap_streams::admission::Connection;
use flaxgap_streams::frames::{NotHttp2, PREFACE, Scanner};
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
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout};

/// How long the last bytes to a connection may take.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Far enough away for a timer that is not needed.
const NEVER: Duration = Duration::from_secs(86_400);
/// Bytes of a stream's answer that may wait in the library, past what the client's window allows.
const SEND_BUFFER_BYTES: usize = 16 * 1024;
/// What a client of HTTP/1 is answered here.
const USE_HTTP2_RESPONSE: &str = "HTTP/1.1 505 HTTP Version Not Supported\r\nConnection: close\r\n\
    Content-Type: text/plain\r\nContent-Length: 32\r\n\r\nthis port speaks HTTP/2 (h2c) \r\n";

/// A connection's admission, given up when dropped.
struct AdmittedConnection<T> {
    frontend: Rc<Http2Frontend<T>>,
    connection: Connection,
}

impl<T> Drop for AdmittedConnection<T> {
    fn drop(&mut self) {
        self.frontend.admission.borrow_mut().disconnect(self.connection);
    }
}

/// Serves a connection until nothing more is to be sent on it. `descriptors_short` is notified when descriptors run short
/// and the connection is to close.
pub(super) async fn serve<T: Transport + 'static>(
    frontend: &Rc<Http2Frontend<T>>,
    stream: Rc<TcpStream>,
    slot: &ConnectionSlot,
    descriptors_short: &Rc<Notify>,
) {
    let counters = &frontend.context.counters;
    counters.client_connections.add();
    counters.http2_connections.add();
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("http2: TCP_NODELAY not set: {error}");
    }
    let notify = descriptors_short.clone();
    slot.mark_unused(move || notify.notify_one());
    let connection = frontend.admission.borrow_mut().connect();
    let admitted = AdmittedConnection { frontend: frontend.clone(), connection };
    let opened_at = Instant::now();
    let handshake_timeout = seconds(frontend.settings.handshake_timeout_s);
    let preface = tokio::select! {
        preface = timeout(handshake_timeout, read_preface(&stream)) => preface,
        () = descriptors_short.notified() => return,
    };
    match preface {
        Ok(Ok(Preface::Http2)) => {}
        Ok(Ok(Preface::Other(error))) => return reject(frontend, stream, error).await,
        Ok(Err(error)) => return log::debug!("http2: {error}"),
        Err(_) => return log::debug!("http2: no preface in time"),
    }
    let guard = FrameGuard::new(FrameBudgets::new(frontend.settings.frame_limits, 0.0), opened_at);
    let inspected = InspectedStream { stream: SharedStream(stream), guard: guard.clone() };
    let library = match timeout(
        handshake_timeout.saturating_sub(opened_at.elapsed()),
        library_builder(frontend).handshake::<_, Bytes>(inspected),
    )
    .await
    {
        Ok(Ok(library)) => library,
        Ok(Err(error)) => return log::debug!("http2: {error}"),
        Err(_) => return log::debug!("http2: no settings in time"),
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
        descriptors_short,
        guard,
        graceful_shutdown,
        opened_at,
        ended_sender,
        ended,
        shutdown: frontend.context.phases.subscribe_closing(),
        shutdown_begun: false,
    };
    open.run().await;
}

/// What a client begins with.
enum Preface {
    Http2,
    Other(NotHttp2),
}

/// Waits until it is clear what a client speaks; nothing is read.
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
            // The socket stays readable, so the runtime does not notify of further bytes.
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
        peeked_before = peeked;
    }
}

/// Rejects a client that does not speak HTTP/2. One of HTTP/1 is answered in its protocol.
async fn reject<T>(frontend: &Http2Frontend<T>, stream: Rc<TcpStream>, error: NotHttp2) {
    frontend.context.counters.bad_input.add();
    log::info!("http2: {error}");
    if error == NotHttp2::Http1 {
        let mut stream = SharedStream(stream);
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

/// A stream that the library accepted, or its error; `None` at the connection's end.
type Accepted = Option<Result<(Request<RecvStream>, SendResponse<Bytes>), h2::Error>>;

/// What happens on an open connection.
enum ConnectionEvent {
    /// The client broke a bound.
    Violation(Violation),
    /// A stream has ended.
    StreamEnded,
    /// The program shuts down.
    Shutdown,
    /// Descriptors run short, and this connection is to close.
    DescriptorsShort,
    /// The graceful shutdown's timer, or the idle timer, is due.
    TimerDue,
    /// The library accepted a stream, failed, or is done.
    Accepted(Box<Accepted>),
}

/// A connection whose handshake is done.
struct OpenConnection<'a, T> {
    library: h2::server::Connection<InspectedStream, Bytes>,
    frontend: &'a Rc<Http2Frontend<T>>,
    admission: Connection,
    slot: &'a ConnectionSlot,
    descriptors_short: &'a Rc<Notify>,
    guard: Rc<FrameGuard>,
    /// Decides when the connection shuts down.
    graceful_shutdown: GracefulShutdown,
    opened_at: Instant,
    /// Gets a message at each stream's end.
    ended_sender: mpsc::UnboundedSender<()>,
    ended: mpsc::UnboundedReceiver<()>,
    shutdown: watch::Receiver<bool>,
    shutdown_begun: bool,
}

impl<T: Transport + 'static> OpenConnection<'_, T> {
    async fn run(mut self) {
        self.slot.mark_in_use();
        self.mark_idle();
        loop {
            let action = match self.next_event().await {
                ConnectionEvent::Violation(violation) => return self.end_for_violation(violation).await,
                ConnectionEvent::StreamEnded => self.stream_ended(),
                ConnectionEvent::Shutdown => {
                    self.shutdown_begun = true;
                    self.graceful_shutdown.begin(self.now(), Cause::Drain)
                }
                ConnectionEvent::DescriptorsShort => {
                    self.graceful_shutdown.begin(self.now(), Cause::Reclaimed)
                }
                ConnectionEvent::TimerDue => self.graceful_shutdown.poll(self.now()),
                ConnectionEvent::Accepted(accepted) => match *accepted {
                    Some(Ok((request, respond))) => {
                        self.stream_accepted(request, respond);
                        Action::None
                    }
                    Some(Err(error)) => return self.library_failed(&error),
                    None => return,
                },
            };
            match action {
                Action::None => {}
                Action::SendGoaway => self.library.graceful_shutdown(),
                Action::Close => {
                    return log::debug!("http2: connection cut, cause={:?}", self.graceful_shutdown.cause());
                }
            }
        }
    }

    /// Seconds since the connection opened.
    fn now(&self) -> f64 {
        self.opened_at.elapsed().as_secs_f64()
    }

    /// Waits for the next event, and lets the library read and write meanwhile.
    async fn next_event(&mut self) -> ConnectionEvent {
        let due = match self.graceful_shutdown.deadline() {
            Some(due) => self.opened_at + seconds(due),
            None => Instant::now() + NEVER,
        };
        tokio::select! {
            biased;
            violation = self.guard.violation() => ConnectionEvent::Violation(violation),
            Some(()) = self.ended.recv() => ConnectionEvent::StreamEnded,
            _ = self.shutdown.wait_for(|closing| *closing), if !self.shutdown_begun => {
                ConnectionEvent::Shutdown
            }
            () = self.descriptors_short.notified() => ConnectionEvent::DescriptorsShort,
            () = sleep_until(due) => ConnectionEvent::TimerDue,
            accepted = self.library.accept() => ConnectionEvent::Accepted(Box::new(accepted)),
        }
    }

    /// Between streams the connection may be closed if descriptors run short.
    fn mark_idle(&self) {
        let notify = self.descriptors_short.clone();
        self.slot.mark_idle(move || notify.notify_one());
    }

    /// Sends a GOAWAY and ends the connection.
    async fn end_for_violation(&mut self, violation: Violation) {
        self.frontend.context.counters.http2_turned_out.add();
        log::warn!(event = "http2_turned_out"; "http2: a connection is ended: {violation}");
        self.library.abrupt_shutdown(violation.reason());
        let closed = poll_fn(|cx| self.library.poll_closed(cx));
        let result = timeout(LAST_WRITE_TIMEOUT, closed).await;
        log::debug!("http2: connection closed, result={result:?}");
    }

    fn stream_ended(&mut self) -> Action {
        self.graceful_shutdown.stream_closed(self.now());
        let is_idle = self.graceful_shutdown.streams() == 0;
        if is_idle {
            self.mark_idle();
        }
        let context = &self.frontend.context;
        if context.phases.should_reconnect() || is_idle && context.budget.has_too_many_idle_clients() {
            self.graceful_shutdown.begin(self.now(), Cause::Drain)
        } else {
            Action::None
        }
    }

    fn stream_accepted(&mut self, request: Request<RecvStream>, respond: SendResponse<Bytes>) {
        let was_idle = self.graceful_shutdown.streams() == 0;
        if was_idle {
            self.slot.mark_in_use();
        }
        if stream::admit(self.frontend, self.admission, request, respond, &self.ended_sender) {
            self.graceful_shutdown.stream_opened();
        } else if was_idle {
            self.mark_idle();
        }
    }

    fn library_failed(&self, error: &h2::Error) {
        // The library has bounds of its own.
        if error.reason() == Some(Reason::ENHANCE_YOUR_CALM) {
            self.frontend.context.counters.http2_turned_out.add();
        }
        log::debug!("http2: {error}");
    }
}
