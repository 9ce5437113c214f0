//! Determines when a head polls discovery. All heads of a fleet may share one discovery server, so that the calls of
//! all heads together must stay within its capacity. Each head calculates its own delays from the number of heads and
//! a random seed. The module opens no sockets and sets no timers: it returns durations, and the caller waits. It
//! reads the clock only to limit the time between two calls.

use crate::fleet::SMALL_FLEET_MAX_HEADS;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// First backoff in a small fleet.
const SMALL_FLEET_FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff in a small fleet.
const SMALL_FLEET_MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Jitter of a backoff in a small fleet.
const SMALL_FLEET_JITTER: JitterRange = JitterRange { min: 0.5, max: 1.5 };
/// Period over which a larger fleet spreads calls that become due at the same time, for each unit of
/// [`PollSchedule::fleet_scale`].
const SPREAD: Duration = Duration::from_secs(1);
/// Upper limit of the spread. A head has to receive a change within 6 s after discovery has it, and a call may wait
/// in the server's queue for 2 s of these.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// Timeout of a call for the list, for each unit of [`PollSchedule::fleet_scale`]. The calls of many heads queue at the
/// server, and cancelling a queued call early would only lengthen the queue.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper limit of the timeout of a call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle timeout of a watch on a shared server, which sends a heartbeat every 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of times that a local agent is polled within the configured grace period for draining nodes. Requests to a
/// node have to end within the grace period after the agent has reported its drain, so the period has to cover the
/// time to the next call, the call itself, and attempts in progress.
const POLLS_IN_GRACE: u32 = 4;
/// Shortest polling interval of a local agent.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Longest polling interval of a local agent.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// A local agent that has answered no call for this long is reported as silent.
const AGENT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of a watch on a local agent. A watch on a silent agent is kept until another watch receives a message,
/// since either may be the first to receive one.
const AGENT_WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a head that starts with a cached list waits for a shared discovery server. The wait is short, since the
/// server may be overloaded for a long time and only the heads of a volume can serve its clients.
const START_TIMEOUT_SHARED_SERVER: Duration = Duration::from_millis(150);
/// How long a head that starts with a cached list waits for a local agent, so that its list is applied before the first
/// request. An agent that is reachable answers at once, so the wait only has to cover two failed calls.
const START_TIMEOUT_LOCAL_AGENT: Duration = Duration::from_millis(2500);
/// Longest interval between the starts of two calls in a larger fleet, however the first one ends. A head has to
/// receive a change within 6 s after the server has it and is reachable, which leaves 0.75 s for the response. The
/// interval is limited because a call that started just before the server became reachable may never be answered.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(5250);
/// Longest interval between the starts of two calls, for each unit of [`PollSchedule::fleet_scale`], up to
/// [`MAX_CALL_INTERVAL`].
const CALL_INTERVAL: Duration = Duration::from_secs(2);
/// Jitter in a larger fleet of a backoff that has not reached its maximum: no head retries at once, and heads that
/// failed at the same time retry at different times.
const GROWING_BACKOFF_JITTER: JitterRange = JitterRange { min: 0.1, max: 1.0 };
/// Jitter in a larger fleet of the longest backoff and of the interval between calls. The range is narrow, to keep the
/// number of calls low.
const MAX_BACKOFF_JITTER: JitterRange = JitterRange { min: 0.85, max: 1.0 };

/// Range of the random factor by which a duration is multiplied.
#[derive(Clone, Copy, Debug)]
struct JitterRange {
    /// Lower bound, inclusive.
    min: f64,
    /// Upper bound, exclusive.
    max: f64,
}

impl JitterRange {
    /// Multiplies `duration` by the factor of this range that corresponds to `sample`, a random number in [0, 1).
    fn apply(self, duration: Duration, sample: f64) -> Duration {
        duration.mul_f64(self.min + (self.max - self.min) * sample)
    }
}

/// The kind of server that answers a head's calls for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// An agent on the head's machine that receives changes by push. It serves only this head, and calls are not
    /// limited.
    LocalAgent,
    /// One server of limited capacity that serves all heads of the fleet.
    SharedServer,
}

/// The schedule by which one head of a fleet polls discovery, and the timeouts of its calls.
pub struct PollSchedule {
    source_kind: SourceKind,
    /// Ratio of the number of heads to [`SMALL_FLEET_MAX_HEADS`], but at least 1; always 1 for a local agent.
    fleet_scale: f64,
    /// Polling interval of a local agent.
    poll_interval: Duration,
    /// State of the random number generator.
    rng_state: Cell<u64>,
}

impl PollSchedule {
    /// Creates the schedule of one of `heads` heads, each of which has its own random `seed`. `grace` is how long
    /// requests may still be sent to a draining node after the agent has reported its drain. The number of heads is
    /// ignored for a local agent, which is always called without delay, so that its list is never outdated.
    pub fn new(heads: u32, seed: u64, source_kind: SourceKind, grace: Duration) -> PollSchedule {
        let fleet_scale = match source_kind {
            SourceKind::LocalAgent => 1.0,
            SourceKind::SharedServer => (f64::from(heads) / f64::from(SMALL_FLEET_MAX_HEADS)).max(1.0),
        };
        let poll_interval = (grace / POLLS_IN_GRACE).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
        PollSchedule { source_kind, fleet_scale, poll_interval, rng_state: Cell::new(seed | 1) }
    }

    /// Creates the poller of one address.
    pub fn poller(&self) -> Poller<'_> {
        Poller { schedule: self, backoff: self.backoff(), next_call_by: None }
    }

    /// Timeout of a call for the list.
    pub fn call_timeout(&self) -> Duration {
        CALL_TIMEOUT.mul_f64(self.fleet_scale).min(MAX_CALL_TIMEOUT)
    }

    /// How long a head that starts with a cached list waits for the current list.
    pub fn start_timeout(&self) -> Duration {
        match self.source_kind {
            SourceKind::LocalAgent => START_TIMEOUT_LOCAL_AGENT,
            SourceKind::SharedServer => START_TIMEOUT_SHARED_SERVER,
        }
    }

    /// Period over which a larger fleet spreads calls that become due at the same time.
    fn spread(&self) -> Duration {
        SPREAD.mul_f64(self.fleet_scale).min(MAX_SPREAD)
    }

    /// Longest interval between the starts of two calls, and longest backoff, in a larger fleet.
    fn max_call_interval(&self) -> Duration {
        CALL_INTERVAL.mul_f64(self.fleet_scale).min(MAX_CALL_INTERVAL)
    }

    /// Whether the fleet is so large that its heads have to spread their calls to a shared server.
    fn is_large(&self) -> bool {
        self.fleet_scale > 1.0
    }

    /// Delay before the first call, which all heads may make at the same time; zero in a small fleet.
    pub fn initial_delay(&self) -> Duration {
        if self.is_large() { self.spread().mul_f64(self.sample()) } else { Duration::ZERO }
    }

    /// Creates the backoff between failed calls, which starts with the first delay.
    pub fn backoff(&self) -> Backoff<'_> {
        let mut backoff = Backoff { schedule: self, next: Duration::ZERO };
        backoff.restart();
        backoff
    }

    /// Returns a random number in [0, 1) (xorshift).
    fn sample(&self) -> f64 {
        let mut state = self.rng_state.get();
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.rng_state.set(state);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Timeouts of the stages of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Limit on the time until the response header, and on the time from the first to the last byte of a list.
    pub call: Duration,
    /// Limit on the time from the response header to the first message.
    pub first_message: Duration,
    /// Limit on the time between two messages.
    pub idle: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The source responded with status 200 and delivered the complete list.
    Completed,
    /// The source responded with status 200, then the call timed out.
    Stalled,
    /// The source responded with status 200, then the call failed.
    Broken,
    /// The source did not respond with status 200.
    NeverOpened,
}

/// Determines when one address is polled.
///
/// A local agent is polled at a fixed interval, regardless of how its calls end and whether a watch is open: such
/// calls are cheap, and the interval limits the delay of every update. On a shared server only one watch is open at a
/// time. Failed calls are retried with a backoff that spreads the calls of a fleet. In a larger fleet, the starts of
/// two calls are also at most one interval apart, regardless of how they end.
pub struct Poller<'a> {
    schedule: &'a PollSchedule,
    backoff: Backoff<'a>,
    /// The latest start of the next call to a shared server, unless a watch is open.
    next_call_by: Option<Instant>,
}

impl Poller<'_> {
    /// Whether new watches are opened while one is open.
    pub fn renews_watches(&self) -> bool {
        self.schedule.source_kind == SourceKind::LocalAgent
    }

    /// The timeouts of calls to this address.
    pub fn timeouts(&self) -> CallTimeouts {
        let idle = match self.schedule.source_kind {
            SourceKind::LocalAgent => AGENT_WATCH_IDLE_TIMEOUT,
            SourceKind::SharedServer => IDLE_TIMEOUT,
        };
        CallTimeouts { call: self.schedule.call_timeout(), first_message: IDLE_TIMEOUT, idle }
    }

    /// The time without a message after which the source is reported as silent.
    pub fn idle_timeout(&self) -> Duration {
        match self.schedule.source_kind {
            SourceKind::LocalAgent => AGENT_IDLE_TIMEOUT,
            SourceKind::SharedServer => IDLE_TIMEOUT,
        }
    }

    /// Records the start of a call. Returns the time to the next one, unless that depends on how this one ends.
    pub fn on_call_started(&mut self) -> Option<Duration> {
        if self.renews_watches() {
            return Some(self.schedule.poll_interval);
        }
        if !self.schedule.is_large() {
            return None;
        }
        let interval = MAX_BACKOFF_JITTER.apply(self.schedule.max_call_interval(), self.schedule.sample());
        self.next_call_by = Some(Instant::now() + interval);
        Some(interval)
    }

    /// Records the end of a call. Returns the time to the next one, if that depends on how this one ended.
    pub fn on_call_ended(&mut self, end: CallEnd) -> Option<Duration> {
        if self.renews_watches() {
            return None;
        }
        // A watch that ends before the next call is due counts as a failed call: the backoff is not restarted.
        let time_left = self.next_call_by.map(|at| at.saturating_duration_since(Instant::now()));
        let time_left = time_left.filter(|left| !left.is_zero());
        match end {
            CallEnd::Completed => return Some(Duration::ZERO),
            CallEnd::Stalled => self.backoff.restart_halved(),
            CallEnd::Broken if time_left.is_none() => self.backoff.restart(),
            CallEnd::Broken | CallEnd::NeverOpened => {}
        }
        let delay = self.backoff.next_delay();
        Some(time_left.map_or(delay, |left| delay.min(left)))
    }

    /// Returns the delay of a call that is needed while a watch is open.
    pub fn early_call_delay(&mut self) -> Duration {
        if self.renews_watches() { self.schedule.poll_interval } else { self.backoff.next_delay() }
    }
}

/// Exponential backoff with jitter: each delay is twice the previous one before jitter. Heads that failed at the same
/// time retry at different times.
pub struct Backoff<'a> {
    schedule: &'a PollSchedule,
    /// The next delay, before jitter.
    next: Duration,
}

impl Backoff<'_> {
    /// Restarts the backoff with the first delay.
    pub fn restart(&mut self) {
        self.next = if self.schedule.is_large() { self.schedule.spread() } else { SMALL_FLEET_FIRST_BACKOFF };
    }

    /// Restarts the backoff with half of the first delay, after the idle timeout of a watch. The timeout has already
    /// used up most of the time in which an update has to be received, and it expires at different times on different
    /// heads, so that less spread is needed.
    pub fn restart_halved(&mut self) {
        self.restart();
        self.next /= 2;
    }

    /// Returns the next delay, and doubles the delay after it, up to the longest one.
    pub fn next_delay(&mut self) -> Duration {
        let sample = self.schedule.sample();
        let delay = self.jitter().apply(self.next, sample);
        self.next = (self.next * 2).min(self.max_delay());
        delay
    }

    /// The longest delay, before jitter.
    fn max_delay(&self) -> Duration {
        if self.schedule.is_large() { self.schedule.max_call_interval() } else { SMALL_FLEET_MAX_BACKOFF }
    }

    /// Jitter of the next delay.
    fn jitter(&self) -> JitterRange {
        if !self.schedule.is_large() {
            SMALL_FLEET_JITTER
        } else if self.next >= self.max_delay() {
            MAX_BACKOFF_JITTER
        } else {
            GROWING_BACKOFF_JITTER
        }
    }
}

#[cfg(test)]
mod tests;
