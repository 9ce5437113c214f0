//! The admin server, through which operators query and control a running head. Each connection serves one call, on the
//! state that the head shares with its other frontends.
//!
//! Admin connections have a limit of their own, apart from the descriptor budget of clients, so that client load does
//! not delay operators. When all slots are taken, the connection that has waited longest without sending a complete
//! call is closed.

mod call;

use crate::discovery::EndpointDirectory;
use crate::handover::Handover;
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::Counters;
use crate::resources::descriptors::MAX_ADMIN_CONNECTIONS;
use crate::resources::listening_socket::ListeningSocket;
use crate::shedding::controller::SheddingController;
use bytes::Bytes;
use call::{AdminCall, CallError, NodeAction, OverrideCall};
use flaxgap_load_shedding::level_override::OverrideError;
use flaxgap_load_shedding::report::LevelTransition;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

/// Time-out of a connection. A call is answered without waiting, so a connection that is open longer is stuck.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after `accept` failed, during which descriptors may be freed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Most bytes of a call's request line and headers; the smallest limit that hyper accepts.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Connections that have not sent a complete call yet, the oldest first. Notifying a connection closes it.
#[derive(Default)]
struct WaitingConnections {
    close_signals: RefCell<VecDeque<Rc<Notify>>>,
}

impl WaitingConnections {
    fn add(&self) -> Rc<Notify> {
        let close = Rc::new(Notify::new());
        self.close_signals.borrow_mut().push_back(close.clone());
        close
    }

    fn remove(&self, close: &Rc<Notify>) {
        self.close_signals.borrow_mut().retain(|other| !Rc::ptr_eq(other, close));
    }

    fn close_oldest(&self) {
        if let Some(oldest) = self.close_signals.borrow_mut().pop_front() {
            oldest.notify_one();
        }
    }
}

/// The admin server.
pub struct AdminServer {
    lifecycle: Rc<Lifecycle>,
    counters: Rc<Counters>,
    directory: Rc<EndpointDirectory>,
    handover: Rc<Handover>,
    shedding: Rc<SheddingController>,
    waiting: WaitingConnections,
    slots: Arc<Semaphore>,
}

impl AdminServer {
    /// Creates a server without connections.
    pub fn new(
        lifecycle: Rc<Lifecycle>,
        counters: Rc<Counters>,
        directory: Rc<EndpointDirectory>,
        handover: Rc<Handover>,
        shedding: Rc<SheddingController>,
    ) -> Rc<AdminServer> {
        Rc::new(AdminServer {
            lifecycle,
            counters,
            directory,
            handover,
            shedding,
            waiting: WaitingConnections::default(),
            slots: Arc::new(Semaphore::new(MAX_ADMIN_CONNECTIONS)),
        })
    }

    /// Accepts connections for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: ListeningSocket) {
        loop {
            match listener.accept().await {
                Ok(stream) => self.clone().accept(stream).await,
                Err(error) => {
                    log::warn!("ops: accept: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection in a task of its own, once a slot is free.
    async fn accept(self: Rc<Self>, stream: TcpStream) {
        if self.slots.available_permits() == 0 {
            self.waiting.close_oldest();
        }
        // A slot is freed soon: each connection is answered at once, closed in favour of a newer one, or times out.
        let Ok(slot) = self.slots.clone().acquire_owned().await else { return };
        let close = self.waiting.add();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            self.serve(stream, &close).await;
            self.waiting.remove(&close);
        });
    }

    /// Serves one call. Returns when it is answered, the connection times out or `close` is notified.
    async fn serve(&self, stream: TcpStream, close: &Rc<Notify>) {
        let service = service_fn(|request: Request<Incoming>| {
            self.waiting.remove(close);
            let response = self.respond(&request);
            async move { Ok::<_, Infallible>(response) }
        });
        let mut http = http1::Builder::new();
        http.keep_alive(false).max_buf_size(MAX_HEAD_BYTES);
        let connection = http.serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            ended = timeout(CONNECTION_TIMEOUT, connection) => match ended {
                Ok(Ok(())) => {}
                Ok(Err(error)) => log::debug!("ops: connection failed, error={error}"),
                Err(_) => log::debug!("ops: connection timed out without a complete call"),
            },
            () = close.notified() => log::debug!("ops: connection without a complete call closed to free its slot"),
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let Some(call) = AdminCall::from_path(request.uri().path()) else {
            return text(StatusCode::NOT_FOUND, "no such call\n");
        };
        let method = request.method();
        if *method != call.method() {
            return method_not_allowed(method, &call.method());
        }
        let query = request.uri().query().unwrap_or_default();
        match call {
            AdminCall::Readiness => self.readiness(),
            AdminCall::Stats => text(StatusCode::OK, self.counters.exposition(&self.directory.gauges())),
            AdminCall::Levels => match self.shedding.status_json() {
                Some(status) => json(status),
                None => shedding_is_off(),
            },
            AdminCall::Node(action) => self.change_exclusion(action, query),
            AdminCall::SetOverride => self.change_override(OverrideCall::parse_set(query)),
            AdminCall::ReleaseOverride => self.change_override(OverrideCall::parse_release(query)),
        }
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let phase = self.lifecycle.phase();
        let is_ready = phase == Phase::Ready;
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text(status, format!("{phase:?}\n"))
    }

    /// Excludes or readmits the node that the query names, and saves the exclusion.
    fn change_exclusion(&self, action: NodeAction, query: &str) -> Response<Full<Bytes>> {
        let node_name = match call::node_name(query) {
            Ok(name) => name,
            Err(error) => return bad_request(&error),
        };
        match self.directory.set_excluded(&node_name, action == NodeAction::Exclude) {
            Ok(true) => {
                self.handover.notify_exclusions_changed();
                text(StatusCode::OK, format!("{node_name} {}\n", action.outcome()))
            }
            Ok(false) => text(StatusCode::NOT_FOUND, "no node of this name has been listed\n"),
            Err(error) => {
                log::error!("ops: exclusion not saved, node={node_name}, error={error}");
                text(StatusCode::INTERNAL_SERVER_ERROR, format!("not saved: {error}\n"))
            }
        }
    }

    /// Overrides the shedding level of a scope, or releases its override.
    fn change_override(&self, call: Result<OverrideCall, CallError>) -> Response<Full<Bytes>> {
        let result: Option<Result<LevelTransition, OverrideError>> = match &call {
            Ok(OverrideCall::Set { scope, request }) => self.shedding.set_override(scope, request),
            Ok(OverrideCall::Release { scope, note }) => self.shedding.release_override(scope, note),
            Err(error) => return bad_request(error),
        };
        match result {
            None => shedding_is_off(),
            Some(Err(error)) => bad_request(&error),
            Some(Ok(transition)) => {
                self.handover.notify_overrides_changed();
                text(StatusCode::OK, format!("{transition}\n"))
            }
        }
    }
}

fn method_not_allowed(method: &Method, allowed: &Method) -> Response<Full<Bytes>> {
    let mut response =
        text(StatusCode::METHOD_NOT_ALLOWED, format!("method {method} is not allowed for this call\n"));
    if let Ok(allowed) = HeaderValue::from_str(allowed.as_str()) {
        response.headers_mut().insert(ALLOW, allowed);
    }
    response
}

fn shedding_is_off() -> Response<Full<Bytes>> {
    text(StatusCode::NOT_FOUND, "levels are off: the operators' file has no [levels]\n")
}

fn bad_request(error: &impl std::error::Error) -> Response<Full<Bytes>> {
    text(StatusCode::BAD_REQUEST, format!("{error}\n"))
}

fn json(body: String) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    response
}
