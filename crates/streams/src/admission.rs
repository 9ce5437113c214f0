//! Streams over all connections. A connection has streams up to its own bound; while all streams together are few,
//! that is all. When they run short, each connection is sure of its even part, and what some leave unused goes to
//! those that ask for more: max-min fairness, kept as streams come and go.

use std::collections::BTreeMap;

/// A connection, by the number that it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Connection(pub u64);

/// Why a stream is not taken. The client may open it again: nothing of it was processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The connection has as many as it may have.
    OwnBound,
    /// All streams together are as many as there may be.
    AllTaken,
    /// The connection has its even part, and others would find none.
    Share,
}

/// Who has how many streams.
#[derive(Clone, Debug)]
pub struct Admission {
    each: usize,
    all: usize,
    open: BTreeMap<Connection, usize>,
    streams: usize,
    next: u64,
}

impl Admission {
    /// No connection yet; `each` bounds one's streams, `all` those of all together.
    pub fn new(each: usize, all: usize) -> Admission {
        Admission { each, all, open: BTreeMap::new(), streams: 0, next: 0 }
    }

    /// A connection came.
    pub fn connect(&mut self) -> Connection {
        let connection = Connection(self.next);
        self.next += 1;
        self.open.insert(connection, 0);
        connection
    }

    /// A connection ended, and its streams with it.
    pub fn disconnect(&mut self, connection: Connection) {
        self.streams -= self.open.remove(&connection).unwrap_or(0);
    }

    /// Changes what all may have together; those that are open past it stay until they end.
    pub fn set_all(&mut self, all: usize) {
        self.all = all;
    }

    /// A client opens a stream.
    ///
    /// # Errors
    ///
    /// The connection or all connections together have as many streams as they may have, or others would find none.
    pub fn open(&mut self, connection: Connection) -> Result<(), Refused> {
        let connections = self.open.len().max(1);
        let even = (self.all / connections).max(1);
        let Some(own) = self.open.get_mut(&connection) else { return Err(Refused::AllTaken) };
        if *own >= self.each {
            return Err(Refused::OwnBound);
        }
        if self.streams >= self.all {
            return Err(Refused::AllTaken);
        }
        // Past its even part it takes only what is not another's: what others have free of theirs stays theirs
        // once fewer are left than connections could ask for at a time.
        let spare = self.all - self.streams;
        if *own >= even && spare <= connections {
            return Err(Refused::Share);
        }
        *own += 1;
        self.streams += 1;
        Ok(())
    }

    /// A stream ended.
    pub fn close(&mut self, connection: Connection) {
        if let Some(own) = self.open.get_mut(&connection).filter(|own| **own > 0) {
            *own -= 1;
            self.streams -= 1;
        }
    }

    /// Streams of all connections.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Connections.
    pub fn connections(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests;
