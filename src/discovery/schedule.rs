//! When a head polls discovery, which all heads of a fleet may share. Every head decides on its own, from the number of
//! heads and a random seed, so that the calls of all heads together stay within the capacity of one server. The module
//! opens no sockets and sets no timers: it returns durations, and the caller waits. It reads the clock in one place, to
//! bound the time from one call to the next.

use crate::fleet::SMALL_FLEET_MAX_HEADS;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// First and longest backoff in a small fleet.
const SMALL_FLEET_FIRST_BACKOFF: Duration = Duration::from_millis(50);
const SMALL_FLEET_MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Jitter of a backoff in a small fleet.
const SMALL_FLEET_JITTER: JitterRange = JitterRange { min: 0.5, max: 1.5 };
/// A larger fleet spreads calls that fall due together over this, times [`PollSchedule::fleet_scale`].
const SPREAD: Duration = Duration::from_secs(1);
/// Upper limit of the spread: heads have to know of a change 6 s after discovery has it, and a call may wait 2 s of
/// these in the server's queue.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// Timeout of a call for the list, times [`PollSchedule::fleet_scale`]. Where many heads call, calls queue at the
/// server, and cancelling one early only makes the queue longer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle timeout of a watch on a shared server, which sends a heartbeat every 2 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A local agent is polled this many times within the configured grace for draining nodes: its list takes effect at
/// once, and the grace has to cover the time to the next call, the call, and attempts in progress.
const POLLS_IN_GRACE: u32 = 4;
/// Bounds of the polling interval of a local agent.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(25);
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// A local agent that has answered no call for this long is reported as silent.
const AGENT_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Idle timeout of a watch on a local agent. A watch on a silent agent is kept until another one receives a message,
/// since it may be the first to do so, but no longer than this.
const AGENT_WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a head that starts with a cached list waits for discovery. Clients of a volume are served by its heads
/// alone, and a shared server may be overloaded for long. A local agent answers at once unless it is cut off, and its
/// list takes effect from the first request on: the wait covers two failed calls.
const START_TIMEOUT_SHARED_SERVER: Duration = Duration::from_millis(150);
const START_TIMEOUT_LOCAL_AGENT: Duration = Duration::from_millis(2500);
/// Longest interval from the beginning of one call to that of the next in a larger fleet, however the first one ends.
/// Heads have to know of a change 6 s after the server has it and is reachable; the rest of that is for the response. A
/// call that began right before the server's return may never be answered.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(5250);
/// Longest interval for each unit of [`PollSchedule::fleet_scale`], up to [`MAX_CALL_INTERVAL`].
const CALL_INTERVAL: Duration = Duration::from_secs(2);
/// Jitter of a backoff that still grows, in a larger fleet: no head calls again at once, and heads that failed together
/// return at different times.
const GROWING_BACKOFF_JITTER: JitterRange = JitterRange { min: 0.1, max: 1.0 };
/// Jitter of the longest backoff and of the interval between calls, in a larger fleet. It is narrow, so that the calls
/// stay few.
const MAX_BACKOFF_JITTER: JitterRange = JitterRange { min: 0.85, max: 1.0 };

/// Range of the random factor by which a duration is multiplied.
#[derive(Clone, Copy, Debug)]
struct JitterRange {
    /// Inclusive.
    min: f64,
    /// Exclusive.
    max: f64,
}

impl JitterRange {
    /// Multiplies `duration` by the factor of this range that corresponds to `sample`, a random number in [0, 1).
    fn apply(self, duration: Duration, sample: f64) -> Duration {
        duration.mul_f64(self.min + (self.max - self.min) * sample)
    }
}

/// What answers a head's calls for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// An agent on the head's machine, to which changes are pushed. It serves this head only, at any rate of calls.
    LocalAgent,
    /// One server of fixed capacity that answers all heads of the fleet.
    SharedServer,
}

/// When one head of a fleet polls, and its timeouts.
pub struct PollSchedule {
    source_kind: SourceKind,
    /// Ratio of the number of heads to that of a small fleet, 1 at least; 1 for a local agent.
    fleet_scale: f64,
    /// Polling interval of a local agent.
    poll_interval: Duration,
    /// State of the random number generator.
    rng_state: Cell<u64>,
}

impl PollSchedule {
    /// Creates the schedule of one of `heads` heads, each of which has its own random `seed`. `grace` is how long a
    /// draining node may still be sent requests after the update was received. A local agent is called without delay
    /// whatever the number of heads: its list takes effect at once, so a delay would mean using an outdated one.
    pub fn new(heads: u32, seed: u64, source_kind: SourceKind, grace: Duration) -> PollSchedule {
        let fleet_scale = match source_kind {
            SourceKind::LocalAgent => 1.0,
            SourceKind::SharedServer => (f64::from(heads) / f64::from(SMALL_FLEET_MAX_HEADS)).max(1.0),
        };
        let poll_interval = (grace / POLLS_IN_GRACE).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL);
        PollSchedule { source_kind, fleet_scale, poll_interval, rng_state: Cell::new(seed | 1) }
    }

    /// Creates the poller of one address, before its first call.
    pub fn poller(&self) -> Poller<'_> {
        Poller { schedule: self, backoff: self.backoff(), next_call_by: None }
    }

    /// Timeout of a call for the list.
    pub fn call_timeout(&self) -> Duration {
        CALL_TIMEOUT.mul_f64(self.fleet_scale).min(MAX_CALL_TIMEOUT)
    }

    /// How long a start with a cached list waits for the current list.
    pub fn start_timeout(&self) -> Duration {
        match self.source_kind {
            SourceKind::LocalAgent => START_TIMEOUT_LOCAL_AGENT,
            SourceKind::SharedServer => START_TIMEOUT_SHARED_SERVER,
        }
    }

    /// Duration over which a larger fleet spreads calls that fall due together.
    fn spread(&self) -> Duration {
        SPREAD.mul_f64(self.fleet_scale).min(MAX_SPREAD)
    }

    /// Longest interval between the beginnings of two calls, and longest backoff, in a larger fleet.
    fn max_call_interval(&self) -> Duration {
        CALL_INTERVAL.mul_f64(self.fleet_scale).min(MAX_CALL_INTERVAL)
    }

    /// Whether the fleet is too large for its heads to call a shared server at any time.
    fn is_large(&self) -> bool {
        self.fleet_scale > 1.0
    }

    /// Delay before a first call that all heads may make at the same time; zero in a small fleet.
    pub fn initial_delay(&self) -> Duration {
        if self.is_large() { self.spread().mul_f64(self.sample()) } else { Duration::ZERO }
    }

    /// Creates the backoff between failed calls, which starts with the shortest delay.
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

/// Timeouts of a call's stages.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until the call opens, and for one list from its first byte to its last.
    pub call: Duration,
    /// From the opening of the call to the first message.
    pub first_message: Duration,
    /// From one message to the next.
    pub idle: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call opened and delivered the complete list.
    Completed,
    /// The call opened, then timed out.
    Stalled,
    /// The call opened, then failed.
    Broken,
    /// The call never opened.
    NeverOpened,
}

/// Decides when one address is polled.
///
/// A local agent is polled at a fixed interval, however its calls end and whether or not a watch is open: that costs
/// little there, and bounds the delay of any update. On a shared server one watch is opened. Its failed calls are
/// retried with a backoff that spreads the calls of a fleet, and in a larger fleet calls begin at most one interval
/// apart, however they end.
pub struct Poller<'a> {
    schedule: &'a PollSchedule,
    backoff: Backoff<'a>,
    /// When the next call to a shared server begins at the latest, unless a watch is open.
    next_call_by: Option<Instant>,
}

impl Poller<'_> {
    /// Whether another watch is opened while one is open.
    pub fn renews_watches(&self) -> bool {
        self.schedule.source_kind == SourceKind::LocalAgent
    }

    /// Timeouts of calls.
    pub fn timeouts(&self) -> CallTimeouts {
        let idle = match self.schedule.source_kind {
            SourceKind::LocalAgent => AGENT_WATCH_IDLE_TIMEOUT,
            SourceKind::SharedServer => IDLE_TIMEOUT,
        };
        CallTimeouts { call: self.schedule.call_timeout(), first_message: IDLE_TIMEOUT, idle }
    }

    /// How long without a message the source may be before it is reported as silent.
    pub fn idle_timeout(&self) -> Duration {
        match self.schedule.source_kind {
            SourceKind::LocalAgent => AGENT_IDLE_TIMEOUT,
            SourceKind::SharedServer => IDLE_TIMEOUT,
        }
    }

    /// Records that a call has begun. Returns the time to the next one, if that does not depend on how this one ends.
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

    /// Records that a call has ended. Returns the time to the next one, if that depends on how this one ended.
    pub fn on_call_ended(&mut self, end: CallEnd) -> Option<Duration> {
        if self.renews_watches() {
            return None;
        }
        // A watch that ends before the next call was due was never established.
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

    /// Delay of a call that is needed although a watch is open.
    pub fn early_call_delay(&mut self) -> Duration {
        if self.renews_watches() { self.schedule.poll_interval } else { self.backoff.next_delay() }
    }
}

/// Exponential backoff with jitter: the range of each delay is twice that of the one before, so that heads that failed
/// together do not retry together.
pub struct Backoff<'a> {
    schedule: &'a PollSchedule,
    /// The next delay, before jitter.
    next: Duration,
}

impl Backoff<'_> {
    /// Starts again with the first delay.
    pub fn restart(&mut self) {
        self.next = if self.schedule.is_large() { self.schedule.spread() } else { SMALL_FLEET_FIRST_BACKOFF };
    }

    /// Starts again with half of the first delay, after a watch that was idle: most of the time in which an update has
    /// to be received is over by then, and heads notice at different moments anyway.
    pub fn restart_halved(&mut self) {
        self.restart();
        self.next /= 2;
    }

    /// Returns the next delay and doubles the one after it, up to the longest.
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
