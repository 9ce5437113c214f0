//! How a connection is ended (RFC 9113, section 6.8): first a GOAWAY that names the largest id, so that nothing on its
//! way is lost; after a round trip the one with the true last id; then what was taken is answered. A client that goes
//! on as if nothing were said is left behind at the end of its time.

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In service.
    Open,
    /// GOAWAY was sent; streams that are open are answered, until the moment.
    Leaving {
        /// When it is cut off, whatever is open.
        until: f64,
    },
    /// It is cut off.
    Over,
}

/// Why a connection is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The program ends, or a newer process takes over.
    Drain,
    /// Nothing was asked for long.
    Idle,
    /// Descriptors run short.
    Reclaimed,
}

/// What is to be done now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Nothing.
    Wait,
    /// The first GOAWAY is sent.
    Announce,
    /// The connection is closed, whatever is open.
    Cut,
}

/// One connection's way to its end.
#[derive(Clone, Debug)]
pub struct Goodbye {
    state: State,
    idle_after: f64,
    grace: f64,
    streams: usize,
    rested: f64,
    cause: Option<Cause>,
}

impl Goodbye {
    /// A connection that has just come. It is ended after `idle_after` seconds without a stream, and is given `grace`
    /// seconds from its GOAWAY on.
    pub fn new(idle_after: f64, grace: f64, now: f64) -> Goodbye {
        Goodbye { state: State::Open, idle_after, grace, streams: 0, rested: now, cause: None }
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Why it is ended.
    pub fn cause(&self) -> Option<Cause> {
        self.cause
    }

    /// Streams that are open.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// A stream was taken. After the second GOAWAY the library takes none.
    pub fn opened(&mut self) {
        self.streams += 1;
    }

    /// A stream has ended.
    pub fn closed(&mut self, now: f64) {
        self.streams = self.streams.saturating_sub(1);
        if self.streams == 0 {
            self.rested = now;
        }
    }

    /// It shall end; only the first cause counts.
    pub fn leave(&mut self, now: f64, cause: Cause) -> Act {
        if self.state != State::Open {
            return Act::Wait;
        }
        (self.state, self.cause) = (State::Leaving { until: now + self.grace }, Some(cause));
        Act::Announce
    }

    /// When it has to be looked at next.
    pub fn due(&self) -> Option<f64> {
        match self.state {
            State::Open if self.streams == 0 => Some(self.rested + self.idle_after),
            State::Open | State::Over => None,
            State::Leaving { until } => Some(until),
        }
    }

    /// Time has passed.
    pub fn look(&mut self, now: f64) -> Act {
        if self.due().is_none_or(|due| now < due) {
            return Act::Wait;
        }
        match self.state {
            State::Open => self.leave(now, Cause::Idle),
            _ => {
                self.state = State::Over;
                Act::Cut
            }
        }
    }
}

#[cfg(test)]
mod tests;
