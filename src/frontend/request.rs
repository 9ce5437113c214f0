//! The part that the HTTP frontends share: parses a request into a [`Call`], reads its body within time limits, and
//! encodes the answer as a response. Does not depend on the version of HTTP.

mod error;
mod fields;
mod paced_body;
mod response;

pub use error::BadRequest;
pub use response::ResponseBody;

use crate::action_rules::{check_answered, may_serve};
use crate::config::WireSettings;
use crate::core::content::Payload;
use crate::core::upload::UploadStream;
use crate::core::{Call, Client, Dispatcher, NodeRequest, Operation, Transport, seconds};
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::{Counters, FinalOutcome, InFlightRequest};
use crate::resources::admission::{Admission, Overload, RequestPermit, SlowTransferPermit};
use crate::resources::arrivals::RequestArrival;
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::{BodyError, GatheredBody, MemoryBudget};
use bytes::Bytes;
use fields::RequestFields;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use paced_body::{PacedBody, SlowTransfer};
use response::plain;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{Instant, timeout};

/// How long a body may take to arrive before its client counts as slow. A client's system sends what it holds sooner.
const FAST_BODY_TIME: Duration = Duration::from_millis(100);
/// Longest body that is buffered completely, in bytes. Only a request with a buffered body can be sent again.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// State that the HTTP frontends share.
pub struct FrontendContext<T> {
    /// Sends calls to nodes, with retries.
    pub dispatcher: Rc<Dispatcher>,
    /// Transport to the nodes.
    pub transport: Rc<T>,
    /// Names of classes and plans.
    pub wire_settings: WireSettings,
    /// Phase of the process, and its open connections.
    pub lifecycle: Rc<Lifecycle>,
    /// Limits the file descriptors of connections.
    pub descriptors: Rc<DescriptorBudget>,
    /// Limits the memory held for peers.
    pub memory: Rc<MemoryBudget>,
    /// Rejects requests for which resources are short.
    pub admission: Rc<Admission>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
}

/// What a frontend knows of a request beside its fields and body.
pub struct RequestInfo {
    /// Time that the body may take beyond its transfer at the minimum rate.
    pub body_grace: Duration,
    /// Whether the end of the body or the authority can't be determined, so that the request is rejected.
    pub framing_ambiguous: bool,
    /// Tells whether the client is still connected, if the protocol can find out.
    pub client: Option<Rc<dyn Client>>,
    /// Tells when the request arrived, which may be long before it is read.
    pub arrival: Rc<dyn RequestArrival>,
    /// The memory of the request, if the frontend has admitted it already.
    pub permit: Option<RequestPermit>,
}

impl<T: Transport + 'static> FrontendContext<T> {
    /// Answers a request.
    pub async fn answer<B>(&self, request: Request<B>, info: RequestInfo) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        let RequestInfo { body_grace, framing_ambiguous, client, arrival, permit } = info;
        if let Some(response) = self.answer_status_path(request.uri().path()) {
            return response;
        }
        let fields = match framing_ambiguous {
            true => Err(BadRequest::Length),
            false => RequestFields::read(
                request.method(),
                request.uri().path(),
                request.headers(),
                &self.wire_settings,
            ),
        };
        let fields = match fields {
            Ok(fields) => fields,
            Err(error) => return self.reject(&error),
        };
        let in_flight = self.counters.track_request(fields.class);
        let permit = match permit.map_or_else(|| self.admission.admit_request(), Ok) {
            Ok(permit) => permit,
            Err(overload) => return reject_overloaded(overload, &in_flight),
        };
        // Boxed, so that the future's memory is freed once the body has been read.
        let mut reading = Box::pin(self.read_call(request, fields, body_grace, client, &*arrival));
        let call = tokio::select! {
            biased;
            call = reading.as_mut() => call,
            () = self.dispatcher.shutdown_deadline_passed() => Err(CallError::ShutDown),
        };
        drop(reading);
        let call = call.and_then(|call| self.claim_id(call));
        let mut response = match call {
            Ok(call) => self.serve_in_time(call, in_flight).await,
            Err(CallError::Overloaded(overload)) => reject_overloaded(overload, &in_flight),
            Err(CallError::Expired { arrived_at, deadline }) => {
                let waited = arrived_at.elapsed();
                log::debug!("http: request rejected, its time was over when it was read, waited={waited:?}");
                let violation = check_answered(deadline, Instant::now());
                self.counters.record_violation(violation, || format!("unread for {waited:?}"));
                self.counters.expired_unread.add();
                in_flight.finish(FinalOutcome::Rejected);
                response::rejected(0.0)
            }
            Err(CallError::ShutDown) => {
                log::debug!("http: request rejected, body incomplete at the end of the shutdown");
                in_flight.finish(FinalOutcome::Rejected);
                response::rejected(0.0)
            }
            Err(CallError::BadRequest(error)) => {
                in_flight.finish(FinalOutcome::Failed);
                self.reject(&error)
            }
        };
        response.body_mut().hold(permit);
        response
    }

    /// Answers the status paths of the head itself. Returns `None` for any other path.
    fn answer_status_path(&self, path: &str) -> Option<Response<ResponseBody>> {
        match path {
            "/-/ready" => {
                let phase = self.lifecycle.phase();
                let is_ready = phase == Phase::Ready;
                let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Some(plain(status, format!("{phase:?}\n")))
            }
            "/-/healthy" => Some(plain(StatusCode::OK, "up\n")),
            "/-/counters" => Some(plain(StatusCode::OK, format!("{}\n", self.counters))),
            _ => None,
        }
    }

    /// Returns the response to a request whose body has stopped arriving while descriptors run short.
    pub fn reject_slow_body(&self) -> Response<ResponseBody> {
        self.reject(&BadRequest::Slow)
    }

    /// Returns the response to a request that can't be served, and counts it.
    fn reject(&self, error: &BadRequest) -> Response<ResponseBody> {
        self.counters.bad_input.add();
        log::debug!("http: {error}");
        plain(error.status(), format!("{error}\n"))
    }

    /// Claims the request id of a call. A node would take a second request with the same id for a copy of the first.
    fn claim_id(&self, mut call: Call) -> Result<Call, CallError> {
        let claim = self.dispatcher.request_ids().claim(&call.node_request.id);
        call.id_claim = Some(Rc::new(claim.ok_or(BadRequest::Duplicate)?));
        Ok(call)
    }

    /// Serves a call and checks that its answer begins in time. The time of a streamed body begins with its end.
    async fn serve_in_time(&self, call: Call, in_flight: InFlightRequest) -> Response<ResponseBody> {
        let is_streamed = call.node_request.payload.upload().is_some();
        let deadline = call.deadline;
        let id = call.node_request.id.clone();
        let response = self.serve(call, in_flight).await;
        if !is_streamed {
            let violation = check_answered(deadline, Instant::now());
            self.counters.record_violation(violation, || format!("request={}", String::from_utf8_lossy(&id)));
        }
        response
    }

    async fn serve(&self, call: Call, in_flight: InFlightRequest) -> Response<ResponseBody> {
        let upload = call.node_request.payload.upload().cloned();
        let answer = self.dispatcher.serve(&*self.transport, call, in_flight).await;
        // An answer may arrive before the end of the body. The rest is read, since a client that is still sending might
        // not read the answer.
        if let Some(upload) = upload.filter(|upload| upload.ended_at().is_none()) {
            tokio::task::spawn_local(upload.drain());
        }
        response::from_answer(answer)
    }

    /// Reads the body of a request and builds the call.
    async fn read_call<B>(
        &self,
        request: Request<B>,
        fields: RequestFields,
        body_grace: Duration,
        client: Option<Rc<dyn Client>>,
        arrival: &dyn RequestArrival,
    ) -> Result<Call, CallError>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
        let id = field_bytes(&head.headers, "x-correlation-id").unwrap_or_default();
        let idempotency_key = field_bytes(&head.headers, "idempotency-key");
        let body = self.read_body(body, fields.operation, body_grace).await?;
        // The client's time limit runs from the last byte of the request, or of the part that is buffered.
        let time_left = seconds(fields.time_left_s);
        let arrived_at = arrival.request_arrived_at();
        let deadline = arrived_at + time_left;
        if !may_serve(deadline, Instant::now()) {
            return Err(CallError::Expired { arrived_at, deadline });
        }
        let payload = body.into_payload(arrived_at, time_left, &self.memory);
        Ok(Call {
            class: fields.class,
            plan: fields.plan,
            volume: fields.volume,
            extent: Some(fields.extent).filter(|extent| extent.0 != 0),
            shard: fields.placement.shard,
            units: fields.placement.units,
            heads: fields.placement.heads,
            client_retry: fields.is_client_retry,
            deadline,
            client,
            node_request: Rc::new(NodeRequest {
                operation: fields.operation,
                target,
                id,
                idempotency_key,
                payload,
            }),
            id_claim: None,
        })
    }

    /// Buffers the body of a request, or the beginning of a long one. A read with a body is an error.
    async fn read_body<B>(
        &self,
        body: B,
        operation: Operation,
        body_grace: Duration,
    ) -> Result<ReadBody<B>, CallError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let length = body.size_hint().exact();
        let mut body = PacedBody::new(body, body_grace);
        let is_read = operation == Operation::Read;
        if is_read && length.is_some_and(|length| length > 0) {
            return Err(BadRequest::Length.into());
        }
        let is_too_long_to_buffer = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
        let max_bytes = if is_too_long_to_buffer { 0 } else { MAX_BUFFERED_BYTES };
        let (buffered, permit) = self.gather(&mut body, max_bytes).await?;
        if is_read && !(buffered.is_complete && buffered.bytes.is_empty()) {
            return Err(BadRequest::Length.into());
        }
        let permit = match permit {
            None if !buffered.is_complete => Some(self.admission.admit_slow_transfer()?),
            permit => permit.filter(|_| !buffered.is_complete),
        };
        Ok(ReadBody { buffered, rest: body, length, permit })
    }

    /// Receives the beginning of a body. A client that takes longer than [`FAST_BODY_TIME`] counts as a slow transfer
    /// from then on.
    async fn gather<B>(
        &self,
        body: &mut PacedBody<B>,
        max_bytes: usize,
    ) -> Result<(GatheredBody, Option<SlowTransferPermit>), CallError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut gathering = pin!(self.memory.gather(body, max_bytes, None));
        let (gathered, permit) = match timeout(FAST_BODY_TIME, gathering.as_mut()).await {
            Ok(gathered) => (gathered, None),
            Err(_) => {
                let permit = self.admission.admit_slow_transfer()?;
                (gathering.await, Some(permit))
            }
        };
        Ok((gathered?, permit))
    }
}

/// Why no call could be built from a request.
#[derive(Debug, Error)]
enum CallError {
    /// The request can't be served.
    #[error(transparent)]
    BadRequest(#[from] BadRequest),
    /// Resources are short.
    #[error(transparent)]
    Overloaded(#[from] Overload),
    /// The client has stopped waiting before the request was read.
    #[error("the request's time was over when it was read")]
    Expired {
        /// When the request arrived.
        arrived_at: Instant,
        /// When its client stopped waiting.
        deadline: Instant,
    },
    /// The process ends before the body is complete.
    #[error("the process ends")]
    ShutDown,
}

impl From<BodyError<BadRequest>> for CallError {
    fn from(error: BodyError<BadRequest>) -> CallError {
        match error {
            BodyError::TooLong => BadRequest::TooLong.into(),
            BodyError::Broken(error) => error.into(),
        }
    }
}

/// Returns the response to a request that is rejected because resources are short, and counts it. It was not sent to any
/// node.
fn reject_overloaded(overload: Overload, in_flight: &InFlightRequest) -> Response<ResponseBody> {
    log::debug!("http: request rejected, short of={overload}");
    in_flight.finish(FinalOutcome::Rejected);
    response::overloaded()
}

/// A request body that is buffered in part or completely.
struct ReadBody<B> {
    buffered: GatheredBody,
    rest: PacedBody<B>,
    length: Option<u64>,
    /// Held for as long as the rest is received.
    permit: Option<SlowTransferPermit>,
}

impl<B: Body<Data = Bytes> + Unpin + 'static> ReadBody<B> {
    /// Returns the payload for a node. The bytes read so far arrived up to `arrived_at`; `response_timeout` is how long the
    /// client waits after the last byte of the body.
    fn into_payload(
        self,
        arrived_at: Instant,
        response_timeout: Duration,
        memory: &Rc<MemoryBudget>,
    ) -> Payload {
        if self.buffered.is_complete {
            return Payload::Buffered(self.buffered.bytes);
        }
        let rest = Box::pin(SlowTransfer { body: self.rest, _permit: self.permit });
        let beginning = self.buffered.bytes;
        let upload =
            UploadStream::new(beginning, rest, self.length, arrived_at, response_timeout, memory.clone());
        Payload::Streamed(upload)
    }
}

/// Returns the value of a field as the client sent it.
fn field_bytes(headers: &HeaderMap, name: &str) -> Option<Bytes> {
    headers.get(name).map(|value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes()))
}
