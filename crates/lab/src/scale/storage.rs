//! Stand-in storage nodes, and clients whose requests real heads serve from them.

use super::ScaleError;
use super::settings::{PLAN, READ_CLASS};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, spawn_local};

/// Nodes that serve requests; no event touches them.
pub const SERVING_NODES: usize = 4;
/// Pause between two requests of a client.
const REQUEST_PAUSE: Duration = Duration::from_millis(50);
/// What a node answers: a small block.
const BLOCK: &[u8] = &[0x5a; 4096];
/// Longest wait for one answer; past the class's deadline.
const LONGEST_ANSWER: Duration = Duration::from_secs(4);

/// Starts the nodes; they serve as long as the tool runs.
///
/// # Errors
///
/// A socket can't be opened.
pub async fn start_nodes() -> Result<Vec<SocketAddr>, ScaleError> {
    let mut addresses = Vec::new();
    for _ in 0..SERVING_NODES {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.map_err(|problem| ScaleError::Io("a storage node".into(), problem))?;
        let address = listener.local_addr();
        addresses.push(address.map_err(|problem| ScaleError::Io("a storage node".into(), problem))?);
        spawn_local(accept(listener));
    }
    Ok(addresses)
}

async fn accept(listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REQUEST_PAUSE).await;
            continue;
        };
        let answer = service_fn(|_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(BLOCK))))
        });
        spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), answer));
    }
}

/// What became of a client's requests.
#[derive(Debug, Default)]
pub struct Requests {
    /// Answered with a node's block.
    pub served: Cell<u64>,
    /// Not answered so.
    pub failed: Cell<u64>,
}

/// A client of one head, until it is dropped.
pub struct Client {
    /// What became of its requests.
    pub requests: Rc<Requests>,
    task: JoinHandle<()>,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Client {
    /// Starts one that sends a request every `REQUEST_PAUSE`.
    pub fn start(head: SocketAddr, number: usize) -> Client {
        let requests = Rc::new(Requests::default());
        let task = spawn_local(run(head, number, requests.clone()));
        Client { requests, task }
    }
}

async fn run(head: SocketAddr, number: usize, requests: Rc<Requests>) {
    let mut connection = None;
    for count in 0u64.. {
        tokio::time::sleep(REQUEST_PAUSE).await;
        let exchange = tokio::time::timeout(LONGEST_ANSWER, fetch(head, number, count, &mut connection));
        let served = exchange.await.is_ok_and(|served| served);
        let counter = if served { &requests.served } else { &requests.failed };
        counter.set(counter.get() + 1);
        if !served {
            connection = None;
        }
    }
}

/// One request; whether it was served.
async fn fetch(
    head: SocketAddr,
    number: usize,
    count: u64,
    connection: &mut Option<SendRequest<Empty<Bytes>>>,
) -> bool {
    if connection.as_ref().is_none_or(SendRequest::is_closed) {
        *connection = connect(head).await;
    }
    let Some(sender) = connection else { return false };
    let shard = count as usize % SERVING_NODES;
    let request = Request::get(format!("/{READ_CLASS}/{number:016x}/{count:016x}"))
        .header(HOST, head.to_string())
        .header("x-correlation-id", format!("scale-{number}-{count}"))
        .header("x-qos-policy", PLAN)
        .header("x-time-left", "2.0")
        .header("x-placement", format!("units=1,shard={shard}"))
        .body(Empty::new());
    let Ok(request) = request else { return false };
    let Ok(response) = sender.send_request(request).await else { return false };
    let served = response.status() == StatusCode::OK;
    response.into_body().collect().await.is_ok_and(|body| served && body.to_bytes() == BLOCK)
}

async fn connect(head: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let stream = TcpStream::connect(head).await.ok()?;
    let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(connection);
    Some(sender)
}
