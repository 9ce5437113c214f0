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
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// Guards against a connection with 1,000 streams that leaves one with two without any.
    #[test]
    fn a_greedy_connection_leaves_the_others_theirs() {
        let mut admission = Admission::new(1000, 100);
        let greedy = admission.connect();
        let modest: Vec<Connection> = (0..4).map(|_| admission.connect()).collect();
        let taken = (0..1000).filter(|_| admission.open(greedy).is_ok()).count();
        assert_eq!(taken, 95, "all but one for each connection");
        for connection in &modest {
            assert_eq!(admission.open(*connection), Ok(()));
        }
        assert_eq!(admission.open(greedy), Err(Refused::Share));
        admission.close(greedy);
        assert_eq!(admission.open(modest[0]), Ok(()), "what it gives back goes to those with less");
        admission.disconnect(greedy);
        assert_eq!((admission.streams(), admission.connections()), (5, 4));
        assert_eq!(admission.open(greedy), Err(Refused::AllTaken), "it has gone");
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 100, failure_persistence: None, ..ProptestConfig::default() })]

        /// Never more than the bounds, whatever comes; and the counts are those of what is open.
        #[test]
        fn bounds_hold(steps in proptest::collection::vec((0u8..4, 0u64..6), 1..400)) {
            let (mut admission, mut model) = (Admission::new(7, 20), BTreeMap::new());
            for (step, number) in steps {
                let connection = Connection(number);
                match step {
                    0 => {
                        model.insert(admission.connect(), 0usize);
                    }
                    1 => {
                        if admission.open(connection).is_ok() {
                            *model.get_mut(&connection).expect("known") += 1;
                        }
                    }
                    2 => {
                        admission.close(connection);
                        model.entry(connection).and_modify(|own| *own = own.saturating_sub(1));
                    }
                    _ => {
                        admission.disconnect(connection);
                        model.remove(&connection);
                    }
                }
                prop_assert_eq!(admission.streams(), model.values().sum::<usize>());
                prop_assert!(admission.streams() <= 20 && model.values().all(|own| *own <= 7));
            }
        }
    }
}
