//! What the HTTP frontends share: a request's head read into a [`Call`], its body at a client's pace, and the answer as a
//! response. Nothing here knows how a version of HTTP frames them.

mod error;
mod fields;
mod paced_body;
mod response;

pub use error::BadRequest;
pub use response::ResponseBody;

use crate::config::WireSettings;
use crate::core::content::Payload;
use crate::core::upload::UploadStream;
use crate::core::{Call, Client, Dispatcher, NodeRequest, Operation, Transport, seconds};
use crate::lifecycle::{Lifecycle, Phase};
use crate::metrics::counters::{Counters, FinalOutcome, InFlightRequest};
use crate::resources::descriptors::DescriptorBudget;
use crate::resources::memory::{BodyError, BodyMemory, GatheredBody};
use bytes::Bytes;
use fields::RequestFields;
use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use paced_body::PacedBody;
use response::plain;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Longest body that is buffered completely, in bytes, so that its request can be sent again.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// What the frontends share.
pub struct FrontendContext<T> {
    /// Serves calls.
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
    /// The counters.
    pub counters: Rc<Counters>,
}

impl<T: Transport + 'static> FrontendContext<T> {
    /// Answers a request. `body_grace` is the time that its body has beyond its pace; `framing_ambiguous` is set if it is
    /// in doubt where it ends; `client` is who waits, if that can be asked at any moment.
    pub async fn answer<B>(
        &self,
        request: Request<B>,
        body_grace: Duration,
        framing_ambiguous: bool,
        client: Option<Rc<dyn Client>>,
    ) -> Response<ResponseBody>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        if let Some(response) = self.answer_status_path(request.uri().path()) {
            return response;
        }
        let fields = match framing_ambiguous {
            true => Err(BadRequest::Length),
            false => {
                RequestFields::read(request.method(), request.uri().path(), request.headers(), &self.notes)
            }
        };
        let fields = match fields {
            Ok(fields) => fields,
            Err(error) => return self.reject(&error),
        };
        let in_flight = self.counters.track_request(fields.class);
        // Boxed, so that its memory is free again once the body has come.
        let call = Box::pin(self.read_call(request, fields, body_grace, client)).await;
        match call.and_then(|call| self.claim_id(call)) {
            Ok(call) => self.serve(call, in_flight).await,
            Err(error) => {
                in_flight.finish(FinalOutcome::Failed);
                self.reject(&error)
            }
        }
    }

    /// Answers a path of the head's own; `None` for any other.
    fn answer_status_path(&self, path: &str) -> Option<Response<ResponseBody>> {
        match path {
            "/-/ready" => {
                let phase = self.phases.phase();
                let is_ready = phase == Phase::Ready;
                let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                Some(plain(status, format!("{phase:?}\n")))
            }
            "/-/healthy" => Some(plain(StatusCode::OK, "up\n")),
            "/-/counters" => Some(plain(StatusCode::OK, format!("{}\n", self.counters))),
            _ => None,
        }
    }

    /// Answers a request that can't be served.
    fn reject(&self, error: &BadRequest) -> Response<ResponseBody> {
        self.counters.bad_input.add();
        log::debug!("http: {error}");
        plain(error.status(), format!("{error}\n"))
    }

    /// Claims a call's id: a second request with the same one would be taken for a copy at the node.
    fn claim_id(&self, call: Call) -> Result<Call, BadRequest> {
        if self.dispatcher.claim_request_id(&call.node_request.id) {
            Ok(call)
        } else {
            Err(BadRequest::Duplicate)
        }
    }

    async fn serve(&self, call: Call, in_flight: InFlightRequest) -> Response<ResponseBody> {
        let upload = call.node_request.payload.upload().cloned();
        let answer = self.dispatcher.serve(&*self.transport, call, in_flight).await;
        // An answer may come before the body's end; a client that is still sending could not read it.
        if let Some(upload) = upload.filter(|upload| upload.ended_at().is_none()) {
            tokio::task::spawn_local(upload.drain());
        }
        response::from_answer(answer)
    }

    /// Reads a request's body and makes the call.
    async fn read_call<B>(
        &self,
        request: Request<B>,
        fields: RequestFields,
        body_grace: Duration,
        client: Option<Rc<dyn Client>>,
    ) -> Result<Call, BadRequest>
    where
        B: Body<Data = Bytes> + Unpin + 'static,
    {
        let (head, body) = request.into_parts();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
        let id = field_bytes(&head.headers, "x-correlation-id").unwrap_or_default();
        let idempotency_key = field_bytes(&head.headers, "idempotency-key");
        let body = self.read_body(body, fields.operation, body_grace).await?;
        // A request's time counts from its last byte.
        let time_left = seconds(fields.time_left_s);
        let deadline = Instant::now() + time_left;
        let payload = body.into_payload(time_left, &self.memory);
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
        })
    }

    /// Buffers a request's body, or the beginning of a long one. A read must have none.
    async fn read_body<B>(
        &self,
        body: B,
        operation: Operation,
        body_grace: Duration,
    ) -> Result<ReadBody<B>, BadRequest>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let length = body.size_hint().exact();
        let mut body = PacedBody::new(body, body_grace);
        let is_read = operation == Operation::Read;
        if is_read && length.is_some_and(|length| length > 0) {
            return Err(BadRequest::Length);
        }
        let is_too_long_to_buffer = length.is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
        let max_bytes = if is_too_long_to_buffer { 0 } else { MAX_BUFFERED_BYTES };
        let buffered = self.memory.gather(&mut body, max_bytes, None).await.map_err(|error| match error {
            BodyError::TooLong => BadRequest::TooLong,
            BodyError::Broken(error) => error,
        })?;
        if is_read && !(buffered.is_complete && buffered.bytes.is_empty()) {
            return Err(BadRequest::Length);
        }
        Ok(ReadBody { buffered, rest: body, length })
    }
}

/// A request's body of which the beginning, or all, is buffered.
struct ReadBody<B> {
    buffered: GatheredBody,
    rest: PacedBody<B>,
    length: Option<u64>,
}

impl<B: Body<Data = Bytes> + Unpin + 'static> ReadBody<B> {
    /// The payload for a node. `response_timeout` is how long the client waits after the body's last byte.
    fn into_payload(self, response_timeout: Duration, memory: &Rc<BodyMemory>) -> Payload {
        if self.buffered.is_complete {
            return Payload::Buffered(self.buffered.bytes);
        }
        let rest = Box::pin(self.rest);
        let beginning = self.buffered.bytes;
        let upload = UploadStream::new(beginning, rest, self.length, response_timeout, memory.clone());
        Payload::Streamed(upload)
    }
}

/// The value of a field as the client sent it.
fn field_bytes(headers: &HeaderMap, name: &str) -> Option<Bytes> {
    headers.get(name).map(|value: &HeaderValue| Bytes::copy_from_slice(value.as_bytes()))
}
