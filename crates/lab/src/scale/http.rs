//! Single calls over HTTP/1.1: a body for a path.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest time of a call: a busy machine may need seconds for the longest list.
const LONGEST_CALL: Duration = Duration::from_secs(20);

/// Why a call brought nothing.
#[derive(Debug, Error)]
#[error("GET {path} at {address}: {problem}")]
pub struct HttpError {
    address: SocketAddr,
    path: String,
    problem: Problem,
}

#[derive(Debug, Error)]
enum Problem {
    #[error("{0}")]
    Connection(#[from] std::io::Error),
    #[error("{0}")]
    Exchange(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("status {0}")]
    Status(StatusCode),
    #[error("no answer within {LONGEST_CALL:?}")]
    Late,
}

/// The body that a path gives.
///
/// # Errors
///
/// The server can't be reached, breaks off, answers with another status than 200, or does not answer in time.
pub async fn get(address: SocketAddr, path: &str) -> Result<Bytes, HttpError> {
    let answer = timeout(LONGEST_CALL, exchange(address, path)).await;
    let answer = answer.unwrap_or(Err(Problem::Late));
    answer.map_err(|problem| HttpError { address, path: path.into(), problem })
}

async fn exchange(address: SocketAddr, path: &str) -> Result<Bytes, Problem> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = spawn_local(connection);
    let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    connection.abort();
    match status {
        StatusCode::OK => Ok(body),
        other => Err(Problem::Status(other)),
    }
}
