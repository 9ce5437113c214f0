//! The HTTP interface of a relay: the list and watches in the discovery protocol, readiness and counters.

use crate::connection::{MonitoredStream, SessionLink};
use crate::relay::{Relay, Unavailable};
use crate::response_body::ResponseBody;
use crate::session::Session;
use crate::session_registry::SessionKind;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Path of the list and of watches.
const TARGETS_PATH: &str = "/api/targets";
/// Path of the readiness check.
const READY_PATH: &str = "/-/ready";
/// Path of the status report with the counters.
const COUNTERS_PATH: &str = "/-/counters";
/// How long the head of a request may take to arrive.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Limit on the size of a request head, and on the response data that a connection buffers in addition to the socket's
/// buffer, in bytes. A stalled reader is detected only once both buffers are full.
const CONNECTION_BUFFER_BYTES: usize = 16 * 1024;
/// Send buffer of a connection's socket, in bytes; the kernel doubles this value for its bookkeeping. With the kernel's
/// automatic sizing the buffer grows to some MiB for a reader that accepts nothing. At a delay of 30 ms between regions
/// this size allows 4 MB/s.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// A connection fails if sent data is not acknowledged within this time.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections and serves each in a task, until the future is dropped.
pub async fn accept_connections(relay: &Rc<Relay>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => drop(spawn_local(serve_connection(relay.clone(), socket))),
            Err(error) => {
                log::warn!("relay: accept failed, error={error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection, on which only one request is allowed.
async fn serve_connection(relay: Rc<Relay>, socket: TcpStream) {
    let _guard = relay.connections().open();
    if let Err(error) = set_socket_options(&socket) {
        log::debug!("relay: socket options not set, error={error}");
    }
    let link = Rc::new(SessionLink::default());
    let service = service_fn(|request: Request<Incoming>| {
        let response = respond(&relay, &request, &link);
        async move { Ok::<_, Infallible>(response) }
    });
    let stream = MonitoredStream::new(socket, link.clone());
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(CONNECTION_BUFFER_BYTES);
    http.timer(TokioTimer::new()).header_read_timeout(REQUEST_TIMEOUT);
    tokio::select! {
        ended = http.serve_connection(TokioIo::new(stream), service) => {
            if let Err(error) = ended {
                log::debug!("relay: connection failed, error={error}");
            }
        }
        () = link.handle().aborted() => {}
    }
}

fn set_socket_options(socket: &TcpStream) -> io::Result<()> {
    socket.set_nodelay(true)?;
    socket2::SockRef::from(socket).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    let timeout_ms = TCP_USER_TIMEOUT.as_millis() as u32;
    rustix::net::sockopt::set_tcp_user_timeout(socket, timeout_ms)?;
    Ok(())
}

fn respond(relay: &Rc<Relay>, request: &Request<Incoming>, link: &SessionLink) -> Response<ResponseBody> {
    let path = request.uri().path();
    if !matches!(path, TARGETS_PATH | READY_PATH | COUNTERS_PATH) {
        return text_response(relay, StatusCode::NOT_FOUND, "not found\n".into());
    }
    if request.method() != Method::GET {
        return method_not_allowed(relay, request.method());
    }
    match path {
        READY_PATH => ready_response(relay),
        COUNTERS_PATH => {
            json_response(ResponseBody::text(relay.status().to_json(), relay.counters().clone()))
        }
        _ => targets_response(relay, request, link),
    }
}

fn ready_response(relay: &Relay) -> Response<ResponseBody> {
    match relay.availability() {
        Ok(()) => text_response(relay, StatusCode::OK, "ready\n".into()),
        Err(reason) => unavailable_response(relay, &reason),
    }
}

/// The response to a request for the complete list or for a watch.
fn targets_response(
    relay: &Rc<Relay>,
    request: &Request<Incoming>,
    link: &SessionLink,
) -> Response<ResponseBody> {
    let kind = match parse_targets_query(request.uri().query().unwrap_or_default()) {
        Ok(kind) => kind,
        Err(error) => return text_response(relay, StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match Session::open(relay, kind, link.handle()) {
        Ok(session) => {
            link.set_session(&session);
            json_response(ResponseBody::session(session, relay.counters().clone()))
        }
        Err(reason) => {
            relay.counters().rejected.add(1);
            unavailable_response(relay, &reason)
        }
    }
}

/// An invalid query of a request for the list, which is answered with status 400.
#[derive(Debug, Error)]
enum QueryError {
    #[error("since: {value} is not a version")]
    InvalidVersion {
        value: String,
        #[source]
        source: std::num::ParseIntError,
    },
}

/// Parses the query of a request for the list. A watch without a version starts with the complete list.
fn parse_targets_query(query: &str) -> Result<SessionKind, QueryError> {
    let mut is_watch = false;
    let mut since = 0;
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        match &*name {
            "follow" => is_watch = value == "1",
            "since" => since = parse_version(&value)?,
            _ => {}
        }
    }
    Ok(if is_watch { SessionKind::Watch { since } } else { SessionKind::List })
}

fn parse_version(value: &str) -> Result<u64, QueryError> {
    value.parse().map_err(|source| QueryError::InvalidVersion { value: value.to_string(), source })
}

fn method_not_allowed(relay: &Relay, method: &Method) -> Response<ResponseBody> {
    let text = format!("method {method} is not allowed\n");
    let mut response = text_response(relay, StatusCode::METHOD_NOT_ALLOWED, text);
    response.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
    response
}

fn unavailable_response(relay: &Relay, reason: &Unavailable) -> Response<ResponseBody> {
    let mut response = text_response(relay, StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n"));
    if let Some(retry_after_s) = reason.retry_after_s() {
        let seconds = HeaderValue::from(retry_after_s.ceil() as u64);
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
    response
}

fn json_response(body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text_response(relay: &Relay, status: StatusCode, text: String) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::text(text, relay.counters().clone()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}
