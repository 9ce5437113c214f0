//! When a head polls discovery, which the whole fleet may share. Every head decides alone, from the number of heads
//! and a random seed, so that the fleet's calls together stay within the capacity of one server. No sockets and no
//! timers: durations come out and the caller waits. The clock is read in one place, to bound the time from one call
//! to the next.

use crate::fleet::SMALL_FLEET_MAX_HEADS;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// First and longest delay between two attempts in a small fleet.
const FIRST_DELAY: Duration = Duration::from_millis(50);
const MAX_DELAY: Duration = Duration::from_secs(1);
/// A larger fleet spreads calls that fall due together over this, times the ratio of its size to a small fleet's.
const SPREAD: Duration = Duration::from_secs(1);
/// But over no more than this: a change counts as told 6 s after discovery has it, and a call may wait 2 s of
/// these for its turn.
const MAX_SPREAD: Duration = Duration::from_secs(4);
/// Timeout of a call for the list. Where many heads call, calls queue at the server, and one that is given up early
/// has only made the queue longer.
const CALL: Duration = Duration::from_secs(1);
const MAX_CALL: Duration = Duration::from_secs(4);
/// A watch on a shared server that stays silent this long is dead: a heartbeat is due every 2 s.
const SILENCE: Duration = Duration::from_secs(3);
/// An agent of the head's own is polled so many times within the settings' grace for nodes that leave: what it holds
/// counts as told at once, and the grace has to cover the time to the next call, the call, and attempts in progress.
const POLLS_IN_GRACE: u32 = 4;
/// Bounds of that polling interval.
const LEAST_EVERY: Duration = Duration::from_millis(25);
const MOST_EVERY: Duration = Duration::from_millis(500);
/// An own agent that has answered no call for so long is reported as silent.
const AGENT_SILENCE: Duration = Duration::from_secs(1);
/// A watch on an own agent that is silent is kept until another speaks, since it may be the first to; it ends here.
const MAX_AGENT_SILENCE: Duration = Duration::from_secs(60);
/// How long a head that starts with a cached list waits for discovery. A volume's clients have only its heads, and a
/// shared server may be overloaded for long. An agent of the head's own answers at once unless it is cut off, and what
/// it holds counts as told from the first request on: two calls may fail.
const START_WAIT_SHARED: Duration = Duration::from_millis(150);
const START_WAIT_AGENT: Duration = Duration::from_millis(2500);
/// Longest interval from the beginning of one call to that of the next in a larger fleet, whatever came of the first.
/// A change counts as told 6 s after the server has it and can be reached; the rest of that is for the answer. A call
/// that began right before the server's return may never be answered.
const MAX_INTERVAL: Duration = Duration::from_millis(5250);
/// The same times the ratio of the fleet's size to a small fleet's, where that is less.
const INTERVAL: Duration = Duration::from_secs(2);
/// Random part of a delay or interval of a larger fleet: of one that still grows, so that no head calls again at
/// once and those that failed together come back spread; and of the longest, which keeps the calls few.
const GROWING_PART: f64 = 0.1;
const LONGEST_PART: f64 = 0.85;

/// What answers a head's calls for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// An agent of the head's own, to which changes are pushed. It bears every call of that head.
    LocalAgent,
    /// One server of fixed capacity that answers all heads of the fleet.
    SharedServer,
}

/// One head's share of the polling that its fleet does.
pub struct PollSchedule {
    /// Ratio of the fleet's size to a small fleet's, 1 at least.
    fleet: f64,
    /// One server of fixed capacity serves the whole fleet.
    shared: bool,
    /// Polling interval of an agent of the head's own.
    every: Duration,
    /// State of the random numbers.
    random: Cell<u64>,
}

impl PollSchedule {
    /// For one of `hosts` heads, with a seed of its own; `grace` is how long a node that leaves may still be sent to
    /// after the change was told. `shared` is set where one server of fixed capacity answers all heads; an agent of
    /// the head's own, to which changes are pushed, bears every call of that head, and what it holds counts as told:
    /// a delay before a call to it would mean to use a list that is known to be old.
    pub fn new(hosts: u32, seed: u64, kind: SourceKind, grace: Duration) -> PollSchedule {
        let shared = kind == SourceKind::SharedServer;
        let fleet = if shared { (f64::from(hosts) / f64::from(SMALL_FLEET_MAX_HEADS)).max(1.0) } else { 1.0 };
        let every = (grace / POLLS_IN_GRACE).clamp(LEAST_EVERY, MOST_EVERY);
        PollSchedule { fleet, shared, every, random: Cell::new(seed | 1) }
    }

    /// Decides when one address is polled, from its first call on.
    pub fn poller(&self) -> Poller<'_> {
        Poller { schedule: self, backoff: self.backoff(), next_by: None }
    }

    /// Timeout of a call for the list.
    pub fn call_timeout(&self) -> Duration {
        CALL.mul_f64(self.fleet).min(MAX_CALL)
    }

    /// How long a start with a cached list waits for the current one.
    pub fn start_timeout(&self) -> Duration {
        if self.shared { START_WAIT_SHARED } else { START_WAIT_AGENT }
    }

    fn spread(&self) -> Duration {
        SPREAD.mul_f64(self.fleet).min(MAX_SPREAD)
    }

    /// Longest interval between the beginnings of two calls, and longest delay.
    fn interval(&self) -> Duration {
        INTERVAL.mul_f64(self.fleet).min(MAX_INTERVAL)
    }

    /// Whether the fleet is too large for its heads to call a shared server at any time.
    fn is_large(&self) -> bool {
        self.fleet > 1.0
    }

    /// Delay before a first call that all heads may make together; none in a small fleet.
    pub fn initial_delay(&self) -> Duration {
        if self.is_large() { self.spread().mul_f64(self.draw()) } else { Duration::ZERO }
    }

    /// Delays between attempts, from the shortest on.
    pub fn backoff(&self) -> Backoff<'_> {
        let mut backoff = Backoff { schedule: self, next: Duration::ZERO };
        backoff.restart();
        backoff
    }

    /// A random number in [0, 1) (xorshift).
    fn draw(&self) -> f64 {
        let mut state = self.random.get();
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        self.random.set(state);
        (state >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Timeouts of a call's stages.
#[derive(Clone, Copy, Debug)]
pub struct CallTimeouts {
    /// Until it opens, and for one list from its first byte to its last.
    pub call: Duration,
    /// From its opening to the first message.
    pub first: Duration,
    /// From one message to the next.
    pub silence: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It brought the whole list.
    Completed,
    /// It opened, and then timed out.
    Stalled,
    /// It opened, and broke.
    Broken,
    /// It never opened.
    NeverOpened,
}

/// Decides when one address is polled. An agent of the head's own is polled at a fixed interval, however its calls end
/// and whether a watch stands: that costs nothing there, and bounds how late any change is heard. Of a shared server a
/// watch is opened once, with delays that spread a fleet's calls and grow while they fail, and in a larger fleet with a
/// longest interval from one call to the next, whatever becomes of the first.
pub struct Poller<'a> {
    schedule: &'a PollSchedule,
    backoff: Backoff<'a>,
    /// When the next call to a shared server begins at the latest, unless a watch stands.
    next_by: Option<Instant>,
}

impl Poller<'_> {
    /// Whether a watch is opened anew while one stands.
    pub fn renews_watches(&self) -> bool {
        !self.schedule.shared
    }

    /// Timeouts of calls.
    pub fn timeouts(&self) -> CallTimeouts {
        let silence = if self.schedule.shared { SILENCE } else { MAX_AGENT_SILENCE };
        CallTimeouts { call: self.schedule.call_timeout(), first: SILENCE, silence }
    }

    /// After how long without a message the other side counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        if self.schedule.shared { SILENCE } else { AGENT_SILENCE }
    }

    /// A call has begun. Gives the time to the next one, if that does not depend on how this one ends.
    pub fn on_call_started(&mut self) -> Option<Duration> {
        if self.renews_watches() {
            return Some(self.schedule.every);
        }
        if !self.schedule.is_large() {
            return None;
        }
        let interval = self.schedule.interval().mul_f64(random_part(LONGEST_PART, self.schedule.draw()));
        self.next_by = Some(Instant::now() + interval);
        Some(interval)
    }

    /// A call has ended. Gives the time to the next one, if that depends on it.
    pub fn on_call_ended(&mut self, end: CallEnd) -> Option<Duration> {
        if self.renews_watches() {
            return None;
        }
        // A watch that ends before the next call would have been due has not stood.
        let left = self.next_by.map(|at| at.saturating_duration_since(Instant::now()));
        let left = left.filter(|left| !left.is_zero());
        match end {
            CallEnd::Completed => return Some(Duration::ZERO),
            CallEnd::Stalled => self.backoff.restart_late(),
            CallEnd::Broken if left.is_none() => self.backoff.restart(),
            CallEnd::Broken | CallEnd::NeverOpened => {}
        }
        let delay = self.backoff.next_delay();
        Some(left.map_or(delay, |left| delay.min(left)))
    }

    /// Delay of a call that is wanted although a watch stands.
    pub fn early_call_delay(&mut self) -> Duration {
        if self.renews_watches() { self.schedule.every } else { self.backoff.next_delay() }
    }
}

/// A factor in [`least`, 1).
fn random_part(least: f64, draw: f64) -> f64 {
    least + (1.0 - least) * draw
}

/// Exponential backoff with jitter: each delay is drawn from a range up to twice as long as the one before, so that
/// heads that failed together do not come back together.
pub struct Backoff<'a> {
    schedule: &'a PollSchedule,
    next: Duration,
}

impl Backoff<'_> {
    /// Begins again with the first delay.
    pub fn restart(&mut self) {
        self.next = if self.schedule.is_large() { self.schedule.spread() } else { FIRST_DELAY };
    }

    /// Begins again after a watch that was silent: time is short by then, and heads notice at different moments.
    pub fn restart_late(&mut self) {
        self.restart();
        self.next /= 2;
    }

    /// The next delay.
    pub fn next_delay(&mut self) -> Duration {
        let draw = self.schedule.draw();
        let longest = if self.schedule.is_large() { self.schedule.interval() } else { MAX_DELAY };
        let part = match self.schedule.is_large() {
            true if self.next >= longest => random_part(LONGEST_PART, draw),
            true => random_part(GROWING_PART, draw),
            false => 0.5 + draw,
        };
        let delay = self.next.mul_f64(part);
        self.next = (self.next * 2).min(longest);
        delay
    }
}

#[cfg(test)]
mod tests;
