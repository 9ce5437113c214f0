//! The platform's front: HTTP/1.1, as a tower service over hyper.

use crate::core::{Client, Transport};
use crate::frontend::closing::{self, Why};
use crate::frontend::intake::{Conversation, Intake, LONGEST_HEAD, MOST_FIELDS};
use crate::frontend::request::{FrontendContext, Outgoing};
use crate::resources::descriptors::ConnectionSlot;
use flaxgap_streams::frames::{Head, kind};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// Pause after the system would not give a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How long a new connection may wait with its first request once the program ends.
const FIRST_REQUEST: Duration = Duration::from_millis(300);
/// How often a client is looked after whose request is served while some of its body waits, unread, before its end.
const LOOK: Duration = Duration::from_millis(100);
/// How soon a connection is looked at again on which something has come that the runtime has not heard of.
const HEARD: Duration = Duration::from_millis(5);

/// The HTTP/1.1 front.
pub struct HttpFrontend<T> {
    /// What it shares with other fronts.
    pub desk: Rc<FrontendContext<T>>,
}

/// What a client of HTTP/2 is told here: its first SETTINGS, then GOAWAY with HTTP_1_1_REQUIRED (RFC 9113, section 7).
fn use_http1() -> Vec<u8> {
    let text = b"this port speaks HTTP/1.1";
    let frame = |length, kind| Head { length, kind, flags: 0, stream: 0 }.write();
    let goaway = frame(8 + text.len() as u32, kind::GOAWAY);
    [&frame(0, kind::SETTINGS)[..], &goaway, &[0, 0, 0, 0], &13u32.to_be_bytes(), text].concat()
}

/// One connection's service.
struct Service<T> {
    front: Rc<HttpFrontend<T>>,
    slot: Rc<ConnectionSlot>,
    scarce: Rc<Notify>,
    conversation: Rc<Conversation>,
}

impl<T> Clone for Service<T> {
    fn clone(&self) -> Self {
        let Service { front, slot, scarce, conversation } = self;
        let (front, slot) = (front.clone(), slot.clone());
        Service { front, slot, scarce: scarce.clone(), conversation: conversation.clone() }
    }
}

impl<T> Service<T> {
    /// Between two requests: may be closed if descriptors run short.
    fn rest(&self) {
        let scarce = self.scarce.clone();
        self.slot.idle(move || scarce.notify_one());
    }
}

impl<T: Transport + 'static> tower::Service<Request<Incoming>> for Service<T> {
    type Response = Response<Outgoing>;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request<Incoming>) -> Self::Future {
        let service = self.clone();
        let conversation = self.conversation.clone();
        let (grace, doubtful) = (conversation.grace(), conversation.serving());
        Box::pin(async move {
            service.slot.busy();
            let desk = &service.front.desk;
            let mut response = desk.answer(request, grace, doubtful, Some(conversation.clone())).await;
            // Not where another request is on its way already: it would be lost.
            let close = conversation.closing() || desk.phases.leaving() || desk.budget.crowded();
            if close && conversation.last() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            response.body_mut().at_end(move || {
                conversation.answered();
                service.rest();
            });
            Ok(response)
        })
    }
}

impl<T: Transport + 'static> HttpFrontend<T> {
    /// Accepts clients for as long as it is polled.
    pub async fn listen(self: Rc<Self>, listener: &TcpListener) {
        loop {
            let slot = self.desk.budget.client_slot().await;
            match self.desk.phases.next(listener).await {
                Ok(stream) => self.admit(stream, slot),
                Err(problem) => {
                    // Never the end of the program: a descriptor is freed, or the client has left.
                    log::warn!("http: accept: {problem}");
                    self.desk.budget.reclaim();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves one connection in a task of its own, from its acceptance to its close.
    pub fn admit(self: &Rc<Self>, stream: TcpStream, slot: ConnectionSlot) {
        self.desk.counters.client_connections.add();
        if let Err(problem) = stream.set_nodelay(true) {
            log::debug!("http: {problem}");
        }
        let (slot, scarce, stream) = (Rc::new(slot), Rc::new(Notify::new()), Rc::new(stream));
        let conversation = Conversation::new(stream.clone(), self.desk.counters.clone());
        let notify = scarce.clone();
        slot.silent(move || notify.notify_one());
        let guard = self.desk.phases.connection();
        let service = Service { front: self.clone(), slot, scarce: scarce.clone(), conversation };
        let front = self.clone();
        tokio::task::spawn_local(async move {
            let _guard = guard;
            // Held to the end: the connection takes its descriptor for as long.
            let _slot = service.slot.clone();
            let (why, short) = front.converse(&stream, service).await;
            let scarce = async {
                if !short {
                    scarce.notified().await;
                }
            };
            closing::end(&stream, why, scarce, &front.desk.counters).await;
        });
    }

    /// Reads requests and answers them until the connection is to end; why it is, and whether descriptors ran short.
    /// The one place that decides that: a connection ends while it rests and nothing has come on it, not even unread;
    /// with an answer that says so; or when what has begun on it does not go on in time.
    async fn converse(&self, stream: &Rc<TcpStream>, service: Service<T>) -> (Why, bool) {
        let Service { scarce, conversation, .. } = service.clone();
        let mut closing = self.desk.phases.subscribe_closing();
        let io = TokioIo::new(Intake::new(conversation.clone()));
        let mut http = http1::Builder::new();
        http.max_buf_size(LONGEST_HEAD).max_headers(MOST_FIELDS);
        let mut connection = std::pin::pin!(http.serve_connection(io, TowerToHyperService::new(service)));
        // A late connection's first request may have been written and not read yet.
        let opened = Instant::now();
        let end = async {
            let _ = closing.wait_for(|closing| *closing).await;
            sleep_until(opened + FIRST_REQUEST).await;
        };
        let (mut end, mut ends, mut short) = (std::pin::pin!(end), false, false);
        let mut due = std::pin::pin!(sleep_until(conversation.due().unwrap_or(opened)));
        let mut look = std::pin::pin!(sleep_until(opened));
        let mut looks = false;
        loop {
            if conversation.closing() && conversation.rests() && conversation.quiet() {
                return (if conversation.fresh() { Why::Unused } else { Why::Done }, short);
            }
            if looks != conversation.receives() {
                looks = !looks;
                look.as_mut().reset(Instant::now() + LOOK);
            }
            tokio::select! {
                biased;
                ended = connection.as_mut() => {
                    if let Err(problem) = &ended {
                        log::debug!("http: connection ended: {problem}");
                    }
                    if conversation.speaks_http2() {
                        log::info!("http: HTTP/2 on the port of HTTP/1.1");
                        let told = stream.try_write(&use_http1());
                        log::debug!("http: told so: {told:?}");
                    }
                    let broken = ended.is_err_and(|problem| problem.is_user());
                    return (if broken { Why::BrokenOff } else { Why::Done }, short);
                }
                () = scarce.notified(), if !short => {
                    short = true;
                    conversation.close();
                }
                () = end.as_mut(), if !ends => {
                    ends = true;
                    conversation.close();
                }
                () = conversation.moved() => {
                    if let Some(at) = conversation.due() {
                        due.as_mut().reset(at);
                    }
                }
                () = due.as_mut(), if conversation.due().is_some() => {
                    if !conversation.rests() && !conversation.fresh() {
                        return (Why::Done, short);
                    }
                    conversation.close();
                    due.as_mut().reset(Instant::now() + HEARD);
                }
                () = look.as_mut(), if looks => {
                    if !conversation.is_connected() {
                        log::debug!("http: a client left in the middle of its body");
                        return (Why::Done, short);
                    }
                    look.as_mut().reset(Instant::now() + LOOK);
                }
            }
        }
    }
}
