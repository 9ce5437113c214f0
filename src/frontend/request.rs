//! What the HTTP fronts share: a request's head read into a [`Call`], its body at a client's pace, and the answer in
//! words. Nothing here knows how a version of HTTP frames them.

use crate::config::WireSettings;
use crate::core::content::{ByteStream, IncompleteBody, Payload, PrefixedStream, StreamedBody, UploadStream};
use crate::core::{Answer, Call, Client, Dispatcher, NodeRequest, Operation, Transport, seconds};
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::{Counters, FinalOutcome, InFlightRequest};
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::{BodyError, BodyMemory, LONGEST};
use crate::scheduler::{ClassId, ExtentId, PlanId, ShardId, VolumeId};
use bytes::Bytes;
use futures_core::Stream;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until};

/// Longest id that is taken.
const LONGEST_ID: usize = 64;
/// Longest body that is held until it is whole, so that its request can be sent again.
const HELD: usize = 256 * 1024;
/// The least pace of a body, in bytes a second, and how long a client is waited for with each piece.
const PACE: f64 = 60e3;
const STALL: Duration = Duration::from_millis(2700);
/// Longest time that a client may say it waits, in seconds.
const LONGEST_WAIT: f64 = 3600.0;

/// What the HTTP fronts share: a request's head is read here, and its answer is worded here.
pub struct FrontendContext<T> {
    /// The core.
    pub dispatcher: Rc<Dispatcher>,
    /// The way to the nodes.
    pub transport: Rc<T>,
    /// Names of classes and plans.
    pub notes: WireSettings,
    /// The program's phase.
    pub phases: Rc<Lifecycle>,
    /// The descriptors.
    pub budget: Rc<DescriptorBudget>,
    /// The memory for bodies.
    pub memory: Rc<BodyMemory>,
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
    verb: Operation,
}

impl Fields {
    /// Reads them; everything else goes on as it came.
    pub fn read(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        notes: &WireSettings,
    ) -> Result<Fields, BadRequest> {
        let verb = match *method {
            Method::GET => Operation::Read,
            Method::PUT => Operation::Write,
            ref other => return Err(BadRequest::Method(other.clone())),
        };
        let mut parts = path.strip_prefix('/').ok_or(BadRequest::Path("no slash"))?.split('/');
        let class = parts.next().and_then(|c| notes.class_names.iter().position(|name| name == c));
        let class = ClassId(class.ok_or(BadRequest::Path("unknown class"))?);
        if notes.class_writes.get(class.0).is_some_and(|writes| *writes != (verb == Operation::Write)) {
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

/// A request's body. A client that stops is an error, a slow one is not; only the time counts that it is waited
/// for.
struct Paced<B> {
    body: B,
    grace: Duration,
    received: u64,
    waited: Duration,
    since: Option<Instant>,
    over: Pin<Box<Sleep>>,
}

impl<B> Paced<B> {
    fn new(body: B, grace: Duration) -> Paced<B> {
        let over = Box::pin(sleep_until(Instant::now()));
        Paced { body, grace, received: 0, waited: Duration::ZERO, since: None, over }
    }
}

impl<B: Body<Data = Bytes> + Unpin> Body for Paced<B> {
    type Data = Bytes;
    type Error = BadRequest;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BadRequest>>> {
        let this = &mut *self;
        let Poll::Ready(frame) = Pin::new(&mut this.body).poll_frame(cx) else {
            if this.since.is_none() {
                let now = Instant::now();
                let allowed = this.grace + Duration::from_secs_f64(this.received as f64 / PACE);
                this.since = Some(now);
                this.over.as_mut().reset(now + STALL.min(allowed.saturating_sub(this.waited)));
            }
            ready!(this.over.as_mut().poll(cx));
            return Poll::Ready(Some(Err(BadRequest::Slow)));
        };
        this.waited += this.since.take().map_or(Duration::ZERO, |since| since.elapsed());
        this.received += match &frame {
            Some(Ok(frame)) => frame.data_ref().map_or(0, |data| data.len() as u64),
            _ => 0,
        };
        Poll::Ready(frame.map(|frame| match frame {
            Ok(_) if this.received > LONGEST => Err(BadRequest::TooLong),
            frame => frame.map_err(|_| BadRequest::Length),
        }))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B: Body<Data = Bytes> + Unpin> Stream for Paced<B> {
    type Item = Result<Bytes, IncompleteBody>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let Some(frame) = ready!(self.as_mut().poll_frame(cx)) else { return Poll::Ready(None) };
            match frame.map(Frame::into_data) {
                Ok(Ok(data)) => return Poll::Ready(Some(Ok(data))),
                // Trailers say nothing that goes on.
                Ok(Err(_)) => {}
                Err(problem) => return Poll::Ready(Some(Err(IncompleteBody::new(problem.to_string())))),
            }
        }
    }
}

/// An answer's body: held, or passed on as it comes. The request is settled at its end.
pub struct Outgoing {
    first: Option<Bytes>,
    rest: Option<ByteStream>,
    left: Option<u64>,
    flight: Option<InFlightRequest>,
    ended: Option<Box<dyn FnOnce()>>,
}

impl Outgoing {
    fn new(content: StreamedBody, flight: Option<InFlightRequest>) -> Outgoing {
        let StreamedBody { buffered: first, rest, length } = content;
        let body = Outgoing {
            first: Some(first).filter(|f| !f.is_empty()),
            rest,
            left: length,
            flight,
            ended: None,
        };
        if body.rest.is_none() {
            body.settle(FinalOutcome::Served);
        }
        body
    }

    /// Has something done when the body is dropped, whole or not.
    pub fn at_end(&mut self, ended: impl FnOnce() + 'static) {
        self.ended = Some(Box::new(ended));
    }

    fn settle(&self, end: FinalOutcome) {
        self.flight.iter().for_each(|flight| flight.settle(end));
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        self.ended.take().into_iter().for_each(|ended| ended());
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        let piece = match (self.first.take(), &mut self.rest) {
            (Some(first), _) => Some(Ok(first)),
            (None, Some(rest)) => ready!(rest.as_mut().poll_next(cx)),
            (None, None) => None,
        };
        if let Some(Ok(data)) = &piece {
            self.left = self.left.map(|left| left.saturating_sub(data.len() as u64));
        }
        match &piece {
            Some(Ok(_)) if self.left != Some(0) => {}
            // The client can tell by the length or the chunks, and by the connection's end.
            Some(Err(problem)) => {
                log::debug!("http: an answer: {problem}");
                self.settle(FinalOutcome::Failed);
            }
            Some(Ok(_)) | None => self.settle(FinalOutcome::Served),
        }
        Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl<T: Transport + 'static> FrontendContext<T> {
    /// Answers a request. `grace` is the time that its body has, pace apart; `doubtful` is set where its length is;
    /// `client` is who waits, where that can be asked at any moment.
    pub async fn answer<B>(
        &self,
        request: Request<B>,
        grace: Duration,
        doubtful: bool,
        client: Option<Rc<dyn Client>>,
    ) -> Response<Outgoing>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
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
        // Its room is free again once the body has come.
        let call = Box::pin(self.call(request, fields, grace, client)).await;
        // A second request with an id would be a second copy at the node.
        match call.and_then(|call| {
            let fresh = self.dispatcher.claim_request_id(&call.node_request.id);
            if fresh { Ok(call) } else { Err(BadRequest::Duplicate) }
        }) {
            Err(problem) => {
                flight.settle(FinalOutcome::Failed);
                self.turn_down(&problem)
            }
            Ok(call) => {
                let upload = call.node_request.payload.upload().cloned();
                let answer = self.dispatcher.serve(&*self.transport, call, flight).await;
                // An answer may come before the data's end; a client that is still sending could not read it.
                if let Some(upload) = upload.filter(|upload| upload.ended_at().is_none()) {
                    tokio::task::spawn_local(upload.drain());
                }
                word(answer)
            }
        }
    }

    /// Answers what can't be served.
    fn turn_down(&self, problem: &BadRequest) -> Response<Outgoing> {
        self.counters.bad_input.add();
        log::debug!("http: {problem}");
        plain(problem.status(), format!("{problem}\n"))
    }

    /// The call that a request makes.
    async fn call<B>(
        &self,
        request: Request<B>,
        fields: Fields,
        grace: Duration,
        client: Option<Rc<dyn Client>>,
    ) -> Result<Call, BadRequest>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
        let bytes = |name| head.headers.get(name).map(|v: &HeaderValue| Bytes::copy_from_slice(v.as_bytes()));
        let id = bytes("x-correlation-id").unwrap_or_default();
        let repeat_key = bytes("idempotency-key");
        let (length, mut body) = (body.size_hint().exact(), Paced::new(body, grace));
        let read = fields.verb == Operation::Read;
        if read && length.is_some_and(|length| length > 0) {
            return Err(BadRequest::Length);
        }
        let held = if length.is_none_or(|length| length <= HELD as u64) { HELD } else { 0 };
        let gathered = self.memory.gather(&mut body, held, None).await.map_err(|problem| match problem {
            BodyError::TooLong => BadRequest::TooLong,
            BodyError::Broken(problem) => problem,
        })?;
        if read && !(gathered.whole && gathered.bytes.is_empty()) {
            return Err(BadRequest::Length);
        }
        // A request's time counts from its last byte.
        let wait = seconds(fields.left);
        let deadline = Instant::now() + wait;
        let payload = match gathered.whole {
            true => Payload::Buffered(gathered.bytes),
            false => Payload::Streamed(UploadStream::new(
                PrefixedStream::boxed(gathered.bytes, Box::pin(body)),
                length,
                wait,
            )),
        };
        Ok(Call {
            class: fields.class,
            plan: fields.plan,
            volume: fields.volume,
            extent: Some(fields.extent).filter(|e| e.0 != 0),
            shard: fields.shard,
            units: fields.units,
            heads: fields.hosts,
            client_retry: fields.repeat,
            deadline,
            client,
            node_request: Rc::new(NodeRequest {
                operation: fields.verb,
                target,
                id,
                idempotency_key: repeat_key,
                payload,
            }),
        })
    }
}

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::new(text.into().into(), None));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response
}

/// Words the core's answer.
fn word(answer: Answer) -> Response<Outgoing> {
    match answer {
        Answer::Served(content, flight) => Response::new(Outgoing::new(content, Some(flight))),
        Answer::Rejected { retry_after_s: wait } => {
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
