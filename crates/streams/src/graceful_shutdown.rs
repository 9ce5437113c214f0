//! Graceful shutdown of a connection (RFC 9113, section 6.8): a first GOAWAY has the largest stream identifier, so that
//! no request in transit is lost; after a round trip a second one has the identifier of the last stream that was
//! accepted; then the open streams are served to their end. A connection that is still open after the grace time is
//! closed.

/// How long a connection without a stream is kept open once its descriptor is to be freed, in seconds, since a request
/// may be in transit.
const RECLAIMED_GRACE_S: f64 = 0.1;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    /// In service.
    Open,
    /// The first GOAWAY was sent, and open streams are served to their end.
    Draining {
        /// When the connection is closed with any streams that are still open, in seconds.
        until: f64,
    },
    /// The connection is closed.
    Closed,
}

/// Why a connection shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The program shuts down, a newer process takes over, or the client is to connect again.
    Drain,
    /// No stream was open for the idle time-out.
    Idle,
    /// File descriptors run short.
    Reclaimed,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing yet.
    None,
    /// Send the first GOAWAY.
    SendGoaway,
    /// Close the connection with any streams that are still open.
    Close,
}

/// Decides when a connection shuts down, and counts its open streams.
#[derive(Clone, Debug)]
pub struct GracefulShutdown {
    state: State,
    idle_timeout: f64,
    grace: f64,
    streams: usize,
    /// When the connection opened or its last open stream ended, in seconds.
    idle_since: f64,
    cause: Option<Cause>,
    /// Since when the connection's descriptor is to be freed, in seconds.
    reclaimed_at: Option<f64>,
}

impl GracefulShutdown {
    /// Creates the state of a connection that opened at `now`. The connection shuts down after `idle_timeout` seconds
    /// without a stream, and is closed `grace` seconds after its first GOAWAY.
    pub fn new(idle_timeout: f64, grace: f64, now: f64) -> GracefulShutdown {
        GracefulShutdown {
            state: State::Open,
            idle_timeout,
            grace,
            streams: 0,
            idle_since: now,
            cause: None,
            reclaimed_at: None,
        }
    }

    /// Returns the state of the connection.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns why the connection shuts down; `None` while it is open.
    pub fn cause(&self) -> Option<Cause> {
        self.cause
    }

    /// Returns the number of open streams.
    pub fn streams(&self) -> usize {
        self.streams
    }

    /// Notes that a stream was accepted. The HTTP/2 library accepts none after the second GOAWAY.
    pub fn stream_opened(&mut self) {
        self.streams += 1;
    }

    /// Notes that a stream has ended.
    pub fn stream_closed(&mut self, now: f64) {
        self.streams = self.streams.saturating_sub(1);
        if self.streams == 0 {
            self.idle_since = now;
        }
    }

    /// Begins the shutdown. If it has begun before, the first cause stays, but [`Cause::Reclaimed`] still shortens the
    /// time until a connection without a stream is closed.
    pub fn begin(&mut self, now: f64, cause: Cause) -> Action {
        if cause == Cause::Reclaimed {
            self.reclaimed_at.get_or_insert(now);
        }
        if self.state != State::Open {
            return Action::None;
        }
        (self.state, self.cause) = (State::Draining { until: now + self.grace }, Some(cause));
        Action::SendGoaway
    }

    /// Keeps a connection that shuts down open at least until `until`, in seconds, unless its streams end before.
    pub fn keep_open_until(&mut self, until: f64) {
        if let State::Draining { until: scheduled } = &mut self.state {
            *scheduled = scheduled.max(until);
        }
    }

    /// Returns when [`poll`](Self::poll) has to be called next, in seconds; `None` if there is no timer.
    pub fn deadline(&self) -> Option<f64> {
        match self.state {
            State::Open if self.streams == 0 => Some(self.idle_since + self.idle_timeout),
            State::Open | State::Closed => None,
            State::Draining { until } => match self.reclaimed_at {
                Some(at) if self.streams == 0 => Some(until.min(at.max(self.idle_since) + RECLAIMED_GRACE_S)),
                _ => Some(until),
            },
        }
    }

    /// Begins the shutdown once the idle time-out has passed, and ends it once the grace time has.
    pub fn poll(&mut self, now: f64) -> Action {
        if self.deadline().is_none_or(|deadline| now < deadline) {
            return Action::None;
        }
        match self.state {
            State::Open => self.begin(now, Cause::Idle),
            _ => {
                self.state = State::Closed;
                Action::Close
            }
        }
    }
}

#[cfg(test)]
mod tests;
