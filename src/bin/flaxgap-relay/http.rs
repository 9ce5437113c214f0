//! The relay's calls: the list and watches on it in discovery's protocol, readiness and counters.

use crate::body::AnswerBody;
use crate::link::{Link, LinkedStream};
use crate::relay::{Relay, Unavailable};
use crate::session::Kind;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// How long a call may take to come.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest head of a call, and how much of an answer a connection takes ahead of what the socket has room for: a
/// watcher that does not read is noticed by what stays behind that.
const CONNECTION_BUFFER: usize = 16 * 1024;
/// What the system may hold for one watcher, in bytes, of which it takes twice as much for its own use. Left to itself it
/// holds some MiB for one that does not read. Over 30 ms between regions it lets 4 MB/s through.
const SEND_BUFFER: usize = 128 * 1024;
/// After so long without a word from a watcher's system that what was sent has come, its connection has failed.
const UNACKNOWLEDGED: Duration = Duration::from_secs(10);

/// Accepts callers for as long as it is polled.
pub async fn listen(relay: &Rc<Relay>, listener: &TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(spawn_local(serve(relay.clone(), stream))),
            Err(problem) => {
                log::warn!("relay: accept: {problem}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one call on its connection.
async fn serve(relay: Rc<Relay>, stream: TcpStream) {
    let _open = relay.connection();
    if let Err(problem) = prepare(&stream) {
        log::debug!("relay: {problem}");
    }
    let link = Rc::new(Link::default());
    let call = service_fn(|request: Request<Incoming>| {
        let answer = answer(&relay, &request, &link);
        async move { Ok::<_, Infallible>(answer) }
    });
    let stream = LinkedStream { stream, link: link.clone() };
    let mut http = http1::Builder::new();
    http.keep_alive(false).max_buf_size(CONNECTION_BUFFER);
    http.timer(TokioTimer::new()).header_read_timeout(CALL_TIMEOUT);
    tokio::select! {
        ended = http.serve_connection(TokioIo::new(stream), call) => {
            if let Err(problem) = ended {
                log::debug!("relay: {problem}");
            }
        }
        () = link.handle.is_cut_off() => {}
    }
}

fn prepare(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_send_buffer_size(SEND_BUFFER)?;
    let limit = UNACKNOWLEDGED.as_millis() as u32;
    rustix::net::sockopt::set_tcp_user_timeout(stream, limit)?;
    Ok(())
}

fn answer(relay: &Rc<Relay>, request: &Request<Incoming>, link: &Link) -> Response<AnswerBody> {
    let path = request.uri().path();
    if !matches!(path, "/api/targets" | "/-/ready" | "/-/counters") {
        return text(relay, StatusCode::NOT_FOUND, "no such call\n".into());
    }
    if request.method() != Method::GET {
        let problem = format!("{} has no meaning here\n", request.method());
        let mut answer = text(relay, StatusCode::METHOD_NOT_ALLOWED, problem);
        answer.headers_mut().insert(ALLOW, HeaderValue::from_static("GET"));
        return answer;
    }
    match path {
        "/-/ready" => match relay.availability() {
            Ok(()) => text(relay, StatusCode::OK, "ready\n".into()),
            Err(problem) => unavailable(relay, &problem),
        },
        "/-/counters" => json(AnswerBody::text(relay.report(), relay.counters().clone())),
        _ => targets(relay, request, link),
    }
}

/// The list once, or a watch on it.
fn targets(relay: &Rc<Relay>, request: &Request<Incoming>, link: &Link) -> Response<AnswerBody> {
    let query = match Query::parse(request.uri().query().unwrap_or_default()) {
        Ok(query) => query,
        Err(problem) => return text(relay, StatusCode::BAD_REQUEST, format!("{problem}\n")),
    };
    let session = match query {
        Query::Whole => relay.open(Kind::Whole, 0, &link.handle),
        Query::Since(version) => relay.open(Kind::Watch, version, &link.handle),
    };
    match session {
        Ok(session) => {
            link.set_session(&session);
            json(AnswerBody::session(session, relay.counters().clone()))
        }
        Err(problem) => {
            relay.counters().refused.add(1);
            unavailable(relay, &problem)
        }
    }
}

/// What a call for the list asks for.
enum Query {
    Whole,
    Since(u64),
}

impl Query {
    /// Reads the query; a watch that names no version begins with the whole list.
    fn parse(query: &str) -> Result<Query, String> {
        let (mut follow, mut since) = (false, 0);
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "follow" => follow = value == "1",
                "since" => since = value.parse().map_err(|_| format!("since: {value} is no version"))?,
                _ => {}
            }
        }
        Ok(if follow { Query::Since(since) } else { Query::Whole })
    }
}

fn unavailable(relay: &Relay, problem: &Unavailable) -> Response<AnswerBody> {
    let mut answer = text(relay, StatusCode::SERVICE_UNAVAILABLE, format!("{problem}\n"));
    if let Some(after_s) = problem.retry_after() {
        let seconds = HeaderValue::from(after_s.ceil() as u64);
        answer.headers_mut().insert(RETRY_AFTER, seconds);
    }
    answer
}

fn json(body: AnswerBody) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn text(relay: &Relay, status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::text(text, relay.counters().clone()));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    answer
}
