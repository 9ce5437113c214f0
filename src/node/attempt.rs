//! A single attempt: sending a request to a node once, and classifying the outcome.

use super::client_check;
use super::connection::NodeConnection;
use super::guard::{NotSentReason, SendGuard, Stage};
use super::progress::ExchangeProgress;
use super::request;
use super::response::{NodeResponse, ResponseError};
use super::transport::NodeTransport;
use crate::action_rules::time_to_tell;
use crate::core::content::Payload;
use crate::core::{AttemptResult, NodeRequest, SendDenial, SendPermit};
use crate::resources::descriptors::ConnectionKind;
use crate::resources::memory::MemoryReservation;
use crate::scheduler::{AttemptOutcome, NodeId};
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Context;
use tokio::time::Instant;

/// Whether an attempt's connection was taken from the pool or opened for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionOrigin {
    Pool,
    New,
}

/// Sends a request to a node, over a pooled connection if one is available. The request is written at most once.
pub(super) async fn run(
    transport: &NodeTransport,
    node: NodeId,
    request: &NodeRequest,
    permit: &Rc<SendPermit>,
) -> AttemptResult {
    let guard = transport.send_guard(node, request.id.clone(), permit);
    let Some(address) = guard.check(Stage::Chosen, None).ok().and(guard.address) else {
        return AttemptResult::empty(AttemptOutcome::NotSent);
    };
    Attempt { transport, request, guard, address }.run().await
}

/// An attempt at a node that accepted requests when it was chosen.
struct Attempt<'a> {
    transport: &'a NodeTransport,
    request: &'a NodeRequest,
    guard: SendGuard,
    address: SocketAddr,
}

impl Attempt<'_> {
    /// Tries connections until one of them carries the exchange.
    async fn run(&self) -> AttemptResult {
        loop {
            // Checked first, so that no connection is opened for a client that has disconnected.
            if self.confirm_client().await.is_err() {
                return AttemptResult::empty(AttemptOutcome::NotSent);
            }
            let (connection, origin) = match self.acquire_connection().await {
                Ok(acquired) => acquired,
                Err(outcome) => return AttemptResult::empty(outcome),
            };
            // Opening the connection may have taken long.
            if self.confirm_client().await.is_err() {
                self.transport.pool.put(self.guard.node, connection);
                return AttemptResult::empty(AttemptOutcome::NotSent);
            }
            let not_sent = match self.exchange(connection).await {
                Ok(result) => return result,
                Err(reason) => reason,
            };
            if not_sent == NotSentReason::SurplusBytes {
                self.transport.pool.surplus_found();
            }
            match (not_sent, origin) {
                (NotSentReason::Outdated, _) => {}
                // No byte was written, so another connection can carry the same attempt.
                (NotSentReason::ConnectionClosed | NotSentReason::SurplusBytes, ConnectionOrigin::Pool) => {}
                // The node has sent data on a new connection before any request, or has closed it.
                (NotSentReason::ConnectionClosed | NotSentReason::SurplusBytes, ConnectionOrigin::New) => {
                    return AttemptResult::empty(AttemptOutcome::ConnectFailed);
                }
                (NotSentReason::NodeUnavailable | NotSentReason::Denied(_), _) => {
                    return AttemptResult::empty(AttemptOutcome::NotSent);
                }
            }
        }
    }

    /// Checks that the client of a streamed body is still connected.
    async fn confirm_client(&self) -> Result<(), SendDenial> {
        let memory_timeout = self.transport.connect_timeout;
        let confirmed = client_check::confirm_client(&self.guard.permit, memory_timeout).await;
        if let Err(denial) = confirmed {
            self.guard.record_denial(Stage::Chosen, denial);
        }
        confirmed
    }

    /// Takes a connection from the pool or opens a new one.
    async fn acquire_connection(&self) -> Result<(NodeConnection, ConnectionOrigin), AttemptOutcome> {
        if let Some(connection) = self.transport.pool.take(self.guard.node).await {
            return Ok((connection, ConnectionOrigin::Pool));
        }
        match self.open_connection().await {
            Some(connection) => Ok((connection, ConnectionOrigin::New)),
            None => Err(self.classify_connect_failure()),
        }
    }

    async fn open_connection(&self) -> Option<NodeConnection> {
        let memory = self.reserve_connection_memory()?;
        if !self.transport.descriptors.has_free_slot(ConnectionKind::Node) {
            // Connections that rest make room for others of their kind, rather than clients' connections.
            self.transport.descriptors.close_idle_node_connection();
        }
        let slot = self.transport.descriptors.slot(ConnectionKind::Node)?;
        let connect_deadline = Instant::now() + self.transport.connect_timeout;
        let open_deadline = connect_deadline.min(self.guard.permit.latest_start());
        self.transport.counters.node_connections.add();
        match NodeConnection::open(self.address, slot, memory, open_deadline, &self.transport.counters).await
        {
            Ok(connection) => Some(connection),
            Err(error) => {
                log::debug!("node: connect failed, address={}: {error}", self.address);
                None
            }
        }
    }

    /// Reserves the memory of a new connection; if it is not free, an idle connection is closed for it.
    fn reserve_connection_memory(&self) -> Option<MemoryReservation> {
        let memory = &self.transport.memory;
        memory.try_reserve_node_connection().or_else(|| {
            self.transport.descriptors.close_idle_node_connection();
            memory.try_reserve_node_connection()
        })
    }

    /// The outcome of an attempt that got no connection. It is not counted as a failure of the node if the retry window
    /// ended, the shutdown deadline passed or the client disconnected meanwhile.
    fn classify_connect_failure(&self) -> AttemptOutcome {
        match self.guard.check_permit(Stage::Chosen) {
            Err(NotSentReason::Denied(
                SendDenial::RetryWindow
                | SendDenial::NotRepeatable
                | SendDenial::Shutdown
                | SendDenial::ClientDisconnected,
            )) => AttemptOutcome::NotSent,
            _ => AttemptOutcome::ConnectFailed,
        }
    }

    /// Sends the request over a connection and receives the response.
    ///
    /// # Errors
    ///
    /// Returns the reason if no byte of the request was written.
    async fn exchange(&self, mut connection: NodeConnection) -> Result<AttemptResult, NotSentReason> {
        // Opening the connection may have taken long.
        self.guard.check(Stage::Connected, None)?;
        let now = Instant::now();
        connection.progress.start(self.has_empty_body(), self.guard.clone(), now);
        connection.times.began_at = now;
        let time_left = time_to_tell(self.guard.permit.expires_at, now);
        let request =
            request::build(self.request, self.address, time_left.as_secs_f64(), &connection.progress);
        let Some(request) = request else { return Ok(AttemptResult::empty(AttemptOutcome::NotSent)) };
        let response = connection.sender.send_request(request);
        let receiving = NodeResponse::receive(response, &self.transport.memory, &self.guard.permit);
        let progress = connection.progress.clone();
        let deadline = || self.deadline(progress.reading_stops_at());
        let received = connection.drive(receiving, deadline, |cx| self.read_ahead(cx)).await;
        if let Some(reason) = connection.progress.refused() {
            return Err(reason);
        }
        let failure = match received {
            Some(Ok(response)) => {
                return Ok(response.into_result(connection, self.guard.node, &self.transport.pool));
            }
            Some(Err(error)) => Some(error),
            None => None,
        };
        let outcome = self.classify_failure(failure.as_ref(), &connection.progress);
        Ok(AttemptResult::empty(outcome))
    }

    fn has_empty_body(&self) -> bool {
        matches!(&self.request.payload, Payload::Buffered(bytes) if bytes.is_empty())
    }

    /// The attempt's current deadline, which moves while a streamed body is forwarded. `reading_stops_at` is when the node
    /// will have stopped reading, if the socket takes no bytes.
    fn deadline(&self, reading_stops_at: Option<Instant>) -> Instant {
        match self.request.payload.upload() {
            Some(upload) => upload.attempt_deadline(self.guard.permit.client.as_deref(), reading_stops_at),
            None => self.guard.permit.expires_at,
        }
    }

    /// Reads a streamed body further than the node takes it.
    fn read_ahead(&self, cx: &mut Context<'_>) {
        if let Some(upload) = self.request.payload.upload() {
            upload.poll_read_ahead(cx);
        }
    }

    /// The outcome of an exchange that failed with an error, or that timed out (`None`).
    fn classify_failure(&self, error: Option<&ResponseError>, progress: &ExchangeProgress) -> AttemptOutcome {
        // The node did not receive the complete request, so it can't have started to execute it.
        if !progress.is_request_complete() {
            return AttemptOutcome::ConnectFailed;
        }
        match error {
            None if !progress.has_response_begun() => AttemptOutcome::Timeout,
            // The node closed or reset the connection before or during its response.
            Some(error) if progress.is_closed_by_node() => {
                log::debug!("node: connection closed by node, address={}: {error}", self.address);
                AttemptOutcome::Reset
            }
            // The connection is still open: the response is malformed or too long, or it was not complete in time.
            _ => {
                self.transport.counters.spoilt.add();
                log::debug!("node: malformed, oversized or incomplete response, address={}", self.address);
                AttemptOutcome::Error
            }
        }
    }
}
