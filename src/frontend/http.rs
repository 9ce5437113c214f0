//! The HTTP/1.1 frontend: a tower service on hyper, with a task for each connection.

use crate::action_rules::check_closed;
use crate::core::{Client, Transport};
use crate::frontend::accept::{AcceptedConnection, Acceptor};
use crate::frontend::closing::{self, CloseReason, ServiceEnd};
use crate::frontend::intake::{ConnectionState, ExchangeError, Exchanges};
use crate::frontend::request::{FrontendContext, RequestInfo, ResponseBody};
use crate::resources::arrivals::RequestArrival;
use crate::resources::descriptors::{ClientSlot, ConnectionKind};
use crate::resources::listening_socket::ListeningSocket;
use flaxgap_streams::frames::goaway_frames;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response};
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until};

/// The response to a client that stopped in the middle of a request head, when descriptors run short.
const HEAD_INCOMPLETE_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The response to a client whose long head there is no memory for, or whose head is not complete at the end of the program.
const OVERLOADED_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// How long after its acceptance a connection is kept open for its first request while the program shuts down.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// Interval at which a connection is checked for a disconnected client while a request is served whose body is not read
/// to its end: the unread bytes hide the end of the connection from the reader.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before an idle connection that has timed out is checked again, if bytes have arrived of which the runtime has
/// not been notified yet.
const IDLE_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Error code of a GOAWAY that asks for HTTP/1.1 (RFC 9113, section 7).
const HTTP_1_1_REQUIRED: u32 = 13;

/// Number of looks that show that a client is connected whose connection closes.
const CLOSE_LOOKS: usize = 3;
/// Delay before a connection is looked at again that is still open at the end of the shutdown.
const BREAK_OFF_RECHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How far the shutdown of the program has come for one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownStage {
    /// The connection is in service.
    InService,
    /// The connection closes as soon as it is idle.
    CloseWhenIdle,
    /// The connection closes unless a request is owed an answer.
    BreakOff,
}

/// The HTTP/1.1 frontend.
pub struct HttpFrontend<T> {
    /// State that the frontends share.
    pub context: Rc<FrontendContext<T>>,
}

/// The service that hyper calls with the requests of one connection.
struct ConnectionService<T> {
    frontend: Rc<HttpFrontend<T>>,
    slot: Rc<ClientSlot>,
    state: Rc<ConnectionState>,
}

impl<T> Clone for ConnectionService<T> {
    fn clone(&self) -> Self {
        ConnectionService {
            frontend: self.frontend.clone(),
            slot: self.slot.clone(),
            state: self.state.clone(),
        }
    }
}

impl<T> ConnectionService<T> {
    /// Whether an answer gets `Connection: close`. It does not if another request has arrived already, which would be
    /// lost.
    fn announces_close(&self) -> bool {
        let context = &self.frontend.context;
        let close_wanted = self.state.is_close_requested()
            || context.lifecycle.should_reconnect()
            || context.descriptors.has_too_many_idle_clients();
        close_wanted && self.state.may_announce_close()
    }
}

impl<T: Transport + 'static> tower::Service<Request<Incoming>> for ConnectionService<T> {
    type Response = Response<ResponseBody>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        let body_grace = self.state.body_grace();
        let framing_ambiguous = self.state.service_began();
        Box::pin(async move {
            let client: Rc<dyn Client> = service.state.clone();
            let arrival: Rc<dyn RequestArrival> = service.state.clone();
            let info =
                RequestInfo { body_grace, framing_ambiguous, client: Some(client), arrival, permit: None };
            let context = &service.frontend.context;
            let mut response = tokio::select! {
                biased;
                response = context.answer(request, info) => response,
                () = service.state.body_rejected() => context.reject_slow_body(),
            };
            service.state.answer_begun();
            if service.announces_close() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response.body_mut().on_end(move || service.state.answer_ended());
            Ok(response)
        })
    }
}

impl<T: Transport + 'static> HttpFrontend<T> {
    /// Accepts clients for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: &ListeningSocket) -> Infallible {
        self.context.descriptors.put_in_service(ConnectionKind::Http);
        let acceptor = self.acceptor(listener);
        loop {
            self.admit(acceptor.accept().await);
        }
    }

    /// What accepts the frontend's connections from a listening socket.
    pub fn acceptor<'a>(&'a self, listener: &'a ListeningSocket) -> Acceptor<'a> {
        Acceptor {
            listener,
            kind: ConnectionKind::Http,
            budget: &self.context.descriptors,
            lifecycle: &self.context.lifecycle,
        }
    }

    /// Spawns a task that serves an accepted connection and closes it.
    pub fn admit(self: &Rc<Self>, accepted: AcceptedConnection) {
        let (stream, arrivals, slot) = accepted.into_parts();
        self.context.counters.client_connections.add();
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("http: TCP_NODELAY not set: {error}");
        }
        let stream = Rc::new(stream);
        let slot = Rc::new(slot);
        let counters = self.context.counters.clone();
        let state = ConnectionState::new(stream.clone(), arrivals, slot.clone(), counters);
        let connection_guard = self.context.lifecycle.track_connection();
        let service = ConnectionService { frontend: self.clone(), slot, state };
        tokio::task::spawn_local(async move {
            let _connection_guard = connection_guard;
            service.run(&stream).await;
        });
    }
}

impl<T: Transport + 'static> ConnectionService<T> {
    /// Serves the connection and closes it. Its slot in the descriptor budget is held until then.
    async fn run(self, stream: &TcpStream) {
        let end = self.serve(stream).await;
        // Looked at more than once, since a look may fail.
        let is_connected = (0..CLOSE_LOOKS).all(|_| self.state.is_connected());
        let violation = check_closed(self.state.owes_answer(), is_connected);
        let counters = &self.frontend.context.counters;
        counters.record_violation(violation, || format!("frontend=http end={end:?}"));
        closing::close(stream, end, &self.slot, counters).await;
    }

    /// Reads requests and answers them until the connection has to close, which is decided here alone. A connection
    /// closes while it is idle and no byte has arrived, read or unread; after an answer with `Connection: close`; or
    /// when a head, a body or the reading of an answer times out.
    async fn serve(&self, stream: &TcpStream) -> ServiceEnd {
        let state = &self.state;
        let service = TowerToHyperService::new(self.clone());
        let memory = self.frontend.context.memory.clone();
        let mut exchanges = Exchanges::new(state.clone(), memory, service);
        let opened_at = Instant::now();
        let mut stage = ShutdownStage::InService;
        let mut next_stage = pin!(self.next_stage(stage, opened_at));
        let mut timeout = pin!(sleep_until(state.timeout_at().unwrap_or(opened_at)));
        let mut client_check = pin!(sleep_until(opened_at));
        let mut checks_client = false;
        let mut reclaimed = false;
        let mut body_rejected = false;
        let reason = loop {
            if stage == ShutdownStage::BreakOff {
                if let Some(reason) = self.broken_off(stream) {
                    break reason;
                }
            }
            if state.is_close_requested() && state.may_close() {
                break if state.is_unused() { CloseReason::NothingOwed } else { CloseReason::Done };
            }
            if reclaimed && !state.is_idle() {
                state.decline_reclaim();
            }
            if checks_client != state.is_receiving_body() {
                checks_client = !checks_client;
                client_check.as_mut().reset(Instant::now() + CLIENT_CHECK_INTERVAL);
            }
            tokio::select! {
                biased;
                result = poll_fn(|cx| exchanges.poll(cx)) => break self.exchanges_ended(result, stream),
                () = self.slot.reclaimed() => {
                    reclaimed = true;
                    state.request_close();
                    if state.is_stalled_in_head() {
                        let written = stream.try_write(HEAD_INCOMPLETE_RESPONSE);
                        log::debug!("http: a client stopped in a head, result={written:?}");
                        break CloseReason::NothingOwed;
                    }
                    if state.is_stalled_in_body() {
                        body_rejected = true;
                        state.reject_body();
                    }
                }
                reached = next_stage.as_mut() => {
                    stage = reached;
                    next_stage.set(self.next_stage(stage, opened_at));
                    state.request_close();
                }
                () = state.changed() => if let Some(timeout_at) = state.timeout_at() {
                    timeout.as_mut().reset(timeout_at);
                },
                () = timeout.as_mut(), if state.timeout_at().is_some() => {
                    if state.is_send_blocked() {
                        if state.check_reading().is_err() {
                            // The client must not take the end of the connection for the end of its answer.
                            break CloseReason::AnswerBroken;
                        }
                        timeout.as_mut().reset(state.timeout_at().unwrap_or(opened_at));
                        continue;
                    }
                    if !state.is_idle() && !state.is_unused() {
                        break CloseReason::Done;
                    }
                    state.request_close();
                    timeout.as_mut().reset(Instant::now() + IDLE_RECHECK_INTERVAL);
                }
                () = client_check.as_mut(), if checks_client => {
                    if !state.is_connected() {
                        log::debug!("http: client disconnected before the end of its request body");
                        break CloseReason::Done;
                    }
                    client_check.as_mut().reset(Instant::now() + CLIENT_CHECK_INTERVAL);
                }
            }
        };
        let reason = match reason {
            // The client has read its answer or will read it with the end of the connection: all that it sent is read.
            CloseReason::Done if body_rejected => CloseReason::NothingOwed,
            reason => reason,
        };
        ServiceEnd { reason, reclaimed, unread_body_bytes: exchanges.unread_body_bytes() }
    }

    /// Waits for the stage of the shutdown that follows `stage`; for [`ShutdownStage::BreakOff`], until the connection has
    /// to be looked at again.
    async fn next_stage(&self, stage: ShutdownStage, opened_at: Instant) -> ShutdownStage {
        let mut closing = self.frontend.context.lifecycle.closing();
        match stage {
            ShutdownStage::InService => {
                let requests_until = closing.when_idle().await;
                // The first request of a new connection may be in transit.
                sleep_until((opened_at + FIRST_REQUEST_GRACE).min(requests_until)).await;
                ShutdownStage::CloseWhenIdle
            }
            ShutdownStage::CloseWhenIdle => {
                closing.break_off().await;
                ShutdownStage::BreakOff
            }
            ShutdownStage::BreakOff => {
                sleep(BREAK_OFF_RECHECK_INTERVAL).await;
                ShutdownStage::BreakOff
            }
        }
    }

    /// Decides how the connection closes at the end of the shutdown; `None` while a request is owed an answer, or is still
    /// to be read. A client must not take the end of the process for the end of its answer.
    fn broken_off(&self, stream: &TcpStream) -> Option<CloseReason> {
        let state = &self.state;
        if state.is_sending_answer() {
            log::info!("http: answer broken off at the end of the shutdown");
            return Some(CloseReason::AnswerBroken);
        }
        if !state.has_incomplete_head() || !state.has_nothing_unread() {
            return None;
        }
        let written = stream.try_write(OVERLOADED_RESPONSE);
        log::debug!("http: head incomplete at the end of the shutdown, result={written:?}");
        Some(CloseReason::Done)
    }

    /// Returns why the connection closes after its exchanges have ended.
    fn exchanges_ended(&self, result: Result<(), ExchangeError>, stream: &TcpStream) -> CloseReason {
        if let Err(error) = &result {
            log::debug!("http: connection ended: {error}");
        }
        if self.state.speaks_http2() {
            log::info!("http: HTTP/2 on the port of HTTP/1.1");
            let written = stream.try_write(&goaway_frames(HTTP_1_1_REQUIRED, "this port speaks HTTP/1.1"));
            log::debug!("http: HTTP_1_1_REQUIRED sent, result={written:?}");
        }
        match result {
            Err(ExchangeError::Http(error)) if error.is_user() => CloseReason::AnswerBroken,
            Err(ExchangeError::NoMemory) => {
                self.frontend.context.counters.rejected_memory.add();
                let written = stream.try_write(OVERLOADED_RESPONSE);
                log::debug!("http: no memory for a head, result={written:?}");
                CloseReason::Done
            }
            _ => CloseReason::Done,
        }
    }
}
