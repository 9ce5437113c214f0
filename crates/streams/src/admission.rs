//! Admission of streams, shared between connections. Each connection has a limit of its own, and all connections
//! together have one. As streams come near the total limit, each connection is guaranteed an equal share, and what some
//! connections leave unused goes to those that ask for more: max-min fairness, kept as streams open and close.

use std::collections::BTreeMap;
use thiserror::Error;

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Connection(pub u64);

/// Why a stream is refused. The client may open it again, since no part of it was processed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RefusalReason {
    /// The connection has reached its own limit.
    #[error("the connection has reached its stream limit")]
    ConnectionLimit,
    /// All connections together have reached the total limit, or the connection has been closed.
    #[error("all connections together have reached the stream limit")]
    TotalLimit,
    /// The connection has its equal share, and the free streams are kept for other connections.
    #[error("the connection has its equal share of the streams")]
    FairShare,
}

/// Counts the open streams of each connection and admits new ones.
#[derive(Clone, Debug)]
pub struct Admission {
    max_per_connection: usize,
    max_total: usize,
    /// The number of open streams of each connection.
    open: BTreeMap<Connection, usize>,
    streams: usize,
    next_connection: u64,
}

impl Admission {
    /// Creates an admission without connections. `max_per_connection` limits the open streams of one connection,
    /// `max_total` those of all connections together.
    pub fn new(max_per_connection: usize, max_total: usize) -> Admission {
        Admission { max_per_connection, max_total, open: BTreeMap::new(), streams: 0, next_connection: 0 }
    }

    /// Adds a connection without streams.
    pub fn connect(&mut self) -> Connection {
        let connection = Connection(self.next_connection);
        self.next_connection += 1;
        self.open.insert(connection, 0);
        connection
    }

    /// Removes a connection and its streams.
    pub fn disconnect(&mut self, connection: Connection) {
        self.streams -= self.open.remove(&connection).unwrap_or(0);
    }

    /// Changes the total limit. Streams that are open beyond it stay open.
    pub fn set_max_total(&mut self, max_total: usize) {
        self.max_total = max_total;
    }

    /// Admits a stream that a client opens on `connection`.
    ///
    /// # Errors
    ///
    /// The connection has reached its own limit or its equal share, or all connections together have reached the total
    /// limit. For an unknown connection the error is [`RefusalReason::TotalLimit`].
    pub fn open(&mut self, connection: Connection) -> Result<(), RefusalReason> {
        let connections = self.open.len().max(1);
        let equal_share = (self.max_total / connections).max(1);
        let Some(own) = self.open.get_mut(&connection) else { return Err(RefusalReason::TotalLimit) };
        if *own >= self.max_per_connection {
            return Err(RefusalReason::ConnectionLimit);
        }
        if self.streams >= self.max_total {
            return Err(RefusalReason::TotalLimit);
        }
        // A connection with its equal share gets no further stream once no more streams are free than there are
        // connections: each of the others can then still open one.
        let spare = self.max_total - self.streams;
        if *own >= equal_share && spare <= connections {
            return Err(RefusalReason::FairShare);
        }
        *own += 1;
        self.streams += 1;
        Ok(())
    }

    /// Notes that a stream of `connection` has ended.
    pub fn close(&mut self, connection: Connection) {
        if let Some(own) = self.open.get_mut(&connection).filter(|own| **own > 0) {
            *own -= 1;
            self.streams -= 1;
        }
    }

    /// Returns the number of open streams of all connections.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests;
