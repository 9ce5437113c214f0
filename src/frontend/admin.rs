//! The operators' door: one call a connection, over the state that the other fronts share.
//!
//! Its connections have slots of their own beside the budget of descriptors, so that neither load nor clients
//! delay it. When all are taken, the caller that has kept one longest without a whole call gives it up.

use crate::discovery::EndpointDirectory;
use crate::handover::Handover;
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::Counters;
use crate::resources::descriptors::FOR_OPERATORS;
use crate::shedding::controller::{Hold, SheddingController};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::timeout;

/// How long a connection is kept at most.
const KEPT: Duration = Duration::from_secs(6);
/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest head of a call.
const LONGEST_HEAD: usize = 8 * 1024;

/// What all calls share.
pub struct AdminServer {
    phases: Rc<Lifecycle>,
    counters: Rc<Counters>,
    directory: Rc<EndpointDirectory>,
    handover: Rc<Handover>,
    levels: Rc<SheddingController>,
    /// Connections without a whole call, the oldest first.
    waiting: RefCell<VecDeque<Rc<Notify>>>,
    free: Arc<Semaphore>,
}

impl AdminServer {
    /// A door without callers.
    pub fn new(
        phases: Rc<Lifecycle>,
        counters: Rc<Counters>,
        directory: Rc<EndpointDirectory>,
        handover: Rc<Handover>,
        levels: Rc<SheddingController>,
    ) -> Rc<AdminServer> {
        let free = Arc::new(Semaphore::new(FOR_OPERATORS));
        let waiting = RefCell::default();
        Rc::new(AdminServer { phases, counters, directory, handover, levels, waiting, free })
    }

    /// Accepts callers for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.clone().admit(stream).await,
                Err(problem) => {
                    log::warn!("ops: accept: {problem}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection in a task of its own, once there is a slot.
    async fn admit(self: Rc<Self>, stream: TcpStream) {
        if self.free.available_permits() == 0 {
            if let Some(oldest) = self.waiting.borrow_mut().pop_front() {
                oldest.notify_one();
            }
        }
        // Calls take no time; whoever holds the last slot is answered, or gives it up.
        let Ok(slot) = self.free.clone().acquire_owned().await else { return };
        let give_up = Rc::new(Notify::new());
        self.waiting.borrow_mut().push_back(give_up.clone());
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let call = service_fn(|request: Request<Incoming>| {
                self.waiting.borrow_mut().retain(|other| !Rc::ptr_eq(other, &give_up));
                let answer = self.answer(&request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut http = http1::Builder::new();
            http.keep_alive(false).max_buf_size(LONGEST_HEAD);
            tokio::select! {
                ended = timeout(KEPT, http.serve_connection(TokioIo::new(stream), call)) => match ended {
                    Ok(Ok(())) => {}
                    Ok(Err(problem)) => log::debug!("ops: {problem}"),
                    Err(_) => log::debug!("ops: no whole call"),
                },
                () = give_up.notified() => log::debug!("ops: a slot was wanted"),
            }
            self.waiting.borrow_mut().retain(|other| !Rc::ptr_eq(other, &give_up));
        });
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        let (method, wanted) = match request.uri().path() {
            "/ops/readiness" | "/ops/stats" | "/ops/levels" => (request.method(), Method::GET),
            "/ops/bricks/down" | "/ops/bricks/up" => (request.method(), Method::PUT),
            "/ops/levels/pin" | "/ops/levels/release" => (request.method(), Method::PUT),
            _ => return text(StatusCode::NOT_FOUND, "no such call\n"),
        };
        if *method != wanted {
            let mut answer = text(StatusCode::METHOD_NOT_ALLOWED, format!("{method} has no meaning here\n"));
            let allow = HeaderValue::from_str(wanted.as_str());
            allow.into_iter().for_each(|allow| _ = answer.headers_mut().insert(ALLOW, allow));
            return answer;
        }
        match request.uri().path() {
            "/ops/readiness" => {
                let phase = self.phases.now();
                let ready = phase == Phase::Ready;
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                text(status, format!("{phase:?}\n"))
            }
            "/ops/stats" => text(StatusCode::OK, self.counters.exposition(&self.directory.gauges())),
            "/ops/levels" => match self.levels.status() {
                Some(status) => json(status),
                None => levels_off(),
            },
            path @ ("/ops/levels/pin" | "/ops/levels/release") => {
                self.hold_level(path == "/ops/levels/pin", request.uri().query().unwrap_or_default())
            }
            path => {
                let query = request.uri().query().unwrap_or_default();
                let mut named = form_urlencoded::parse(query.as_bytes()).filter(|(name, _)| name == "host");
                let (Some((_, name)), None) = (named.next(), named.next()) else {
                    return text(StatusCode::BAD_REQUEST, "one host has to be named\n");
                };
                let out = path == "/ops/bricks/down";
                match self.directory.ban(&name, out) {
                    Ok(true) => {
                        self.handover.bans_changed();
                        text(StatusCode::OK, format!("{name} {}\n", if out { "out" } else { "back" }))
                    }
                    Ok(false) => text(StatusCode::NOT_FOUND, "never listed\n"),
                    Err(problem) => {
                        log::error!("ops: bans: {problem}");
                        text(StatusCode::INTERNAL_SERVER_ERROR, format!("not saved: {problem}\n"))
                    }
                }
            }
        }
    }
}

impl AdminServer {
    /// Pins a level or releases it, as the query says.
    fn hold_level(&self, pin: bool, query: &str) -> Response<Full<Bytes>> {
        let wanted: &[&str] =
            if pin { &["scope", "level", "seconds", "who", "why"] } else { &["scope", "who", "why"] };
        let mut named = BTreeMap::new();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            if !wanted.contains(&&*name) || named.insert(name.to_string(), value.to_string()).is_some() {
                let problem = format!("{name}: unknown, or there twice; wanted are {}\n", wanted.join(", "));
                return text(StatusCode::BAD_REQUEST, problem);
            }
        }
        let mut take = |name: &str| named.remove(name).unwrap_or_default();
        let (scope, who, why) = (take("scope"), take("who"), take("why"));
        let done = match (pin, take("level"), take("seconds").parse()) {
            (false, ..) => self.levels.release(&scope, &who, &why),
            (true, level, Ok(seconds)) => self.levels.pin(&Hold { scope, level, seconds, who, why }),
            (true, ..) => return text(StatusCode::BAD_REQUEST, "seconds: a number is wanted\n"),
        };
        match done {
            None => levels_off(),
            Some(Err(problem)) => text(StatusCode::BAD_REQUEST, format!("{problem}\n")),
            Some(Ok(change)) => {
                self.handover.pins_changed();
                text(StatusCode::OK, format!("{change}\n"))
            }
        }
    }
}

fn levels_off() -> Response<Full<Bytes>> {
    text(StatusCode::NOT_FOUND, "levels are off: the operators' file has no [levels]\n")
}

fn json(body: String) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    response
}
