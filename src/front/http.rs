//! The platform's front: HTTP/1.1, as a tower service over hyper.

use crate::api::*;
use crate::config::WireNotes;
use crate::core::{Answer, Call, Dispatcher, Envelope, Transport, Verb, seconds};
use crate::counters::{Counters, Final};
use crate::daemon::{Phase, Phases};
use crate::descriptors::{Budget, Slot};
use crate::front::intake::{Intake, LONGEST_HEAD, MOST_FIELDS, Watch, quiet};
use crate::memory::{BodyError, Memory};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until, timeout_at};

/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest id that is taken.
const LONGEST_ID: usize = 64;
/// How long a new connection may wait with its first request once the program ends.
const FIRST_REQUEST: Duration = Duration::from_millis(300);
/// Longest time that a client may say it waits, in seconds.
const LONGEST_WAIT: f64 = 3600.0;

/// What all connections of this front share.
pub struct HttpFront<T> {
    /// The core.
    pub dispatcher: Rc<Dispatcher>,
    /// The way to the nodes.
    pub transport: Rc<T>,
    /// Names of classes and plans.
    pub notes: WireNotes,
    /// The program's phase.
    pub phases: Rc<Phases>,
    /// The descriptors.
    pub budget: Rc<Budget>,
    /// The memory for bodies.
    pub memory: Rc<Memory>,
    /// The counts.
    pub counters: Rc<Counters>,
}

/// A request that can't be understood.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum BadRequest {
    /// A method with no meaning here.
    #[error("method {0} is not served")]
    Method(Method),
    /// The path is not class, volume and object.
    #[error("path: {0}")]
    Path(&'static str),
    /// A field is missing or can't be read.
    #[error("{0} is missing, malformed or there twice")]
    Field(&'static str),
    /// The class is read where it writes, or the other way round.
    #[error("method {0} is not this class's")]
    ClassMethod(Method),
    /// It is not clear where the body ends.
    #[error("the length of the body is in doubt")]
    Length,
    /// More of a body than any request has.
    #[error("a body past any sensible length")]
    TooLong,
    /// There is no memory for its body now; it did not run.
    #[error("no memory for the body now, come again")]
    NoMemory,
    /// The body did not come in time.
    #[error("the body did not come whole in time")]
    Slow,
    /// Another request has this id.
    #[error("this id is another request's")]
    Duplicate,
}

impl BadRequest {
    fn status(&self) -> StatusCode {
        match self {
            BadRequest::Method(_) | BadRequest::ClassMethod(_) => StatusCode::METHOD_NOT_ALLOWED,
            BadRequest::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            BadRequest::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            BadRequest::Slow => StatusCode::REQUEST_TIMEOUT,
            BadRequest::Duplicate => StatusCode::CONFLICT,
            BadRequest::Path(_) | BadRequest::Field(_) | BadRequest::Length => StatusCode::BAD_REQUEST,
        }
    }
}

/// The fields that a decision needs, out of a request's head.
#[derive(Debug, PartialEq)]
pub struct Fields {
    class: ClassId,
    plan: PlanId,
    volume: VolumeId,
    extent: ExtentId,
    shard: Option<ShardId>,
    units: f64,
    hosts: u32,
    repeat: bool,
    left: f64,
    verb: Verb,
}

impl Fields {
    /// Reads them; everything else goes on as it came.
    pub fn read(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        notes: &WireNotes,
    ) -> Result<Fields, BadRequest> {
        let verb = match *method {
            Method::GET => Verb::Read,
            Method::PUT => Verb::Write,
            ref other => return Err(BadRequest::Method(other.clone())),
        };
        let mut parts = path.strip_prefix('/').ok_or(BadRequest::Path("no slash"))?.split('/');
        let class = parts.next().and_then(|c| notes.class_names.iter().position(|name| name == c));
        let class = ClassId(class.ok_or(BadRequest::Path("unknown class"))?);
        if notes.class_writes.get(class.0).is_some_and(|writes| *writes != (verb == Verb::Write)) {
            return Err(BadRequest::ClassMethod(method.clone()));
        }
        let digits = |p: &&str| p.len() == 16 && p.bytes().all(|b| b.is_ascii_hexdigit());
        let mut hex = || parts.next().filter(digits).and_then(|p| u64::from_str_radix(p, 16).ok());
        let volume = VolumeId(hex().ok_or(BadRequest::Path("no volume"))?);
        let extent = ExtentId(hex().ok_or(BadRequest::Path("no object"))?);
        if parts.next().is_some() {
            return Err(BadRequest::Path("more than three parts"));
        }
        let text = |name: &'static str| {
            let mut values = headers.get_all(name).iter();
            let value = values.next().filter(|_| values.next().is_none());
            value.and_then(|v| v.to_str().ok()).map(str::trim).ok_or(BadRequest::Field(name))
        };
        let id = text("x-correlation-id")?;
        if id.is_empty() || id.len() > LONGEST_ID || id.contains([' ', '\t', ',']) {
            return Err(BadRequest::Field("x-correlation-id"));
        }
        if headers.contains_key("idempotency-key") {
            text("idempotency-key")?;
        }
        let plan = text("x-qos-policy")?;
        let plan = notes.plan_names.iter().position(|name| name == plan);
        let plan = PlanId(plan.ok_or(BadRequest::Field("x-qos-policy"))?);
        let left =
            text("x-time-left")?.parse::<f64>().ok().filter(|left| (0.0..=LONGEST_WAIT).contains(left));
        let left = left.ok_or(BadRequest::Field("x-time-left"))?;
        let left = notes.class_deadlines.get(class.0).map_or(left, |longest| left.min(*longest));
        let (mut units, mut shard, mut hosts) = (None, None, 1);
        for pair in text("x-placement")?.split(',') {
            let bad = BadRequest::Field("x-placement");
            match pair.trim().split_once('=') {
                Some(("units", value)) => units = value.parse().ok(),
                Some(("shard", value)) => shard = Some(value.parse::<i64>().map_err(|_| bad)?),
                Some(("hosts", value)) => hosts = value.parse().map_err(|_| bad)?,
                Some(_) => {}
                None => return Err(bad),
            }
        }
        let units = units.filter(|units: &f64| (0.0..=1e6).contains(units));
        let units = units.ok_or(BadRequest::Field("x-placement"))?;
        let shard = match shard {
            Some(number @ 0..) => Some(u32::try_from(number).map_err(|_| BadRequest::Field("x-placement"))?),
            _ => None,
        };
        let (shard, repeat) = (shard.map(ShardId), headers.get("x-repeat").is_some_and(|v| v == "1"));
        Ok(Fields { class, plan, volume, extent, shard, units, hosts, repeat, left, verb })
    }
}

/// One connection's service.
struct Service<T> {
    front: Rc<HttpFront<T>>,
    slot: Rc<Slot>,
    close: Rc<Notify>,
    watch: Rc<Watch>,
}

impl<T> Clone for Service<T> {
    fn clone(&self) -> Self {
        let Service { front, slot, close, watch } = self;
        Service { front: front.clone(), slot: slot.clone(), close: close.clone(), watch: watch.clone() }
    }
}

impl<T> Service<T> {
    /// Between two requests: may be closed if descriptors run short.
    fn rest(&self) {
        let close = self.close.clone();
        self.slot.idle(move || close.notify_one());
    }
}

impl<T: Transport + 'static> tower::Service<Request<Incoming>> for Service<T> {
    type Response = Response<Full<Bytes>>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        let (whole_by, doubtful) = (self.watch.serving(), self.watch.doubtful());
        Box::pin(async move {
            service.slot.busy();
            let mut response = service.front.answer(request, whole_by, doubtful).await;
            service.watch.answered();
            if service.front.phases.leaving() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            service.rest();
            Ok(response)
        })
    }
}

impl<T: Transport + 'static> HttpFront<T> {
    async fn answer(
        &self,
        request: Request<Incoming>,
        whole_by: Instant,
        doubtful: bool,
    ) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/-/ready" => {
                let ready = self.phases.now() == Phase::Ready;
                let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                return plain(status, format!("{:?}\n", self.phases.now()));
            }
            "/-/healthy" => return plain(StatusCode::OK, "up\n"),
            "/-/counters" => return plain(StatusCode::OK, format!("{}\n", self.counters)),
            _ => {}
        }
        let fields = match doubtful {
            true => Err(BadRequest::Length),
            false => Fields::read(request.method(), request.uri().path(), request.headers(), &self.notes),
        };
        let fields = match fields {
            Ok(fields) => fields,
            Err(problem) => return self.turn_down(&problem),
        };
        let flight = self.counters.flight(fields.class);
        let call = self.call(request, fields, whole_by).await;
        // A second request with an id would be a second copy at the node.
        match call.and_then(|call| {
            let fresh = self.dispatcher.claim(&call.envelope.id);
            if fresh { Ok(call) } else { Err(BadRequest::Duplicate) }
        }) {
            Err(problem) => {
                let status = problem.status();
                let refused = status == StatusCode::SERVICE_UNAVAILABLE;
                flight.settle(if refused { Final::Refused } else { Final::Failed });
                self.turn_down(&problem)
            }
            Ok(call) => word(self.dispatcher.serve(&*self.transport, call, flight).await),
        }
    }

    /// Answers what can't be served.
    fn turn_down(&self, problem: &BadRequest) -> Response<Full<Bytes>> {
        self.counters.bad_input.add();
        log::debug!("http: {problem}");
        plain(problem.status(), format!("{problem}\n"))
    }

    /// The call that a request makes.
    async fn call(
        &self,
        request: Request<Incoming>,
        fields: Fields,
        whole_by: Instant,
    ) -> Result<Call, BadRequest> {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        let bytes = |name| head.headers.get(name).map(|v: &HeaderValue| Bytes::copy_from_slice(v.as_bytes()));
        let id = bytes("x-correlation-id").unwrap_or_default();
        let repeat_key = bytes("idempotency-key");
        let payload = match timeout_at(whole_by, self.memory.collect(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::TooLong)) => return Err(BadRequest::TooLong),
            Ok(Err(BodyError::Full)) => return Err(BadRequest::NoMemory),
            Ok(Err(BodyError::Broken(_))) => return Err(BadRequest::Length),
            Err(_) => return Err(BadRequest::Slow),
        };
        // A request's time counts from its last byte.
        let deadline = Instant::now() + seconds(fields.left);
        if fields.verb == Verb::Read && !payload.is_empty() {
            return Err(BadRequest::Length);
        }
        Ok(Call {
            class: fields.class,
            plan: fields.plan,
            volume: fields.volume,
            extent: Some(fields.extent).filter(|e| e.0 != 0),
            shard: fields.shard,
            units: fields.units,
            hosts: fields.hosts,
            repeat: fields.repeat,
            deadline,
            envelope: Rc::new(Envelope { verb: fields.verb, target, id, repeat_key, payload }),
        })
    }

    /// Accepts clients for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let slot = self.budget.client_slot().await;
            match self.phases.next(listener).await {
                Ok(stream) => self.admit(stream, slot),
                Err(problem) => {
                    // Never the end of the program: a descriptor is freed, or the client has left.
                    log::warn!("http: accept: {problem}");
                    self.budget.reclaim();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection in a task of its own.
    pub fn admit(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        self.counters.client_connections.add();
        if let Err(problem) = stream.set_nodelay(true) {
            log::debug!("http: {problem}");
        }
        let (slot, close, watch) = (Rc::new(slot), Rc::new(Notify::new()), Rc::new(Watch::default()));
        let closer = close.clone();
        slot.silent(move || closer.notify_one());
        let service = Service { front: self.clone(), slot, close: close.clone(), watch: watch.clone() };
        let guard = self.phases.connection();
        let mut closing = self.phases.subscribe_closing();
        tokio::task::spawn_local(async move {
            let _guard = guard;
            let stream = Rc::new(stream);
            let io = TokioIo::new(Intake::new(stream.clone(), watch.clone()));
            let mut http = http1::Builder::new();
            http.max_buf_size(LONGEST_HEAD).max_headers(MOST_FIELDS);
            let mut connection = std::pin::pin!(http.serve_connection(io, TowerToHyperService::new(service)));
            // Told to close before it has read anything, hyper closes at once: a request that came with a
            // late connection, written but not yet read, would be lost.
            let opened = Instant::now();
            let end = async {
                let _ = closing.wait_for(|closing| *closing).await;
                sleep_until(opened + FIRST_REQUEST).await;
            };
            let (mut end, mut told, mut ending) = (std::pin::pin!(end), false, false);
            let mut due = std::pin::pin!(sleep_until(watch.due().unwrap_or(opened)));
            let ended = loop {
                tokio::select! {
                    biased;
                    ended = connection.as_mut() => break ended,
                    () = close.notified(), if !told => {}
                    // What has come and was not read yet is answered, and ends the connection.
                    () = end.as_mut(), if !told && !ending => {
                        ending = true;
                        if !quiet(&stream) {
                            continue;
                        }
                    }
                    () = watch.moved() => {
                        if let Some(at) = watch.due() {
                            due.as_mut().reset(at);
                        }
                        continue;
                    }
                    () = due.as_mut(), if watch.due().is_some() => break Ok(()),
                }
                told = true;
                connection.as_mut().graceful_shutdown();
            };
            if let Err(problem) = ended {
                log::debug!("http: connection ended: {problem}");
            }
        });
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Words the core's answer.
fn word(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body, flight) => {
            flight.settle(Final::Served);
            Response::new(Full::new(body))
        }
        Answer::Refused { wait } => {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused, come again\n");
            if wait > 0.0 {
                if let Ok(value) = HeaderValue::from_str(&format!("{wait:.3}")) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
            response
        }
        Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
    }
}
